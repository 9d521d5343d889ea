/// \file
/// Tests of the event loop with tasks that throw.
#include "bergamotpaddle/Kernel/EventLoop.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <vector>

using namespace bergamotpaddle;

TEST_CASE("an event loop whose task throws", "[kernel]")
{
  EventLoop loop;
  std::vector<std::string> failures;
  loop.OnTaskFailed(
    [&](const std::string& aReason) { failures.push_back(aReason); });
  int tasksRun = 0;
  const auto fail = [] { throw std::runtime_error("malformed message"); };
  const auto countAndStop = [&] {
    ++tasksRun;
    loop.Stop();
  };

  SECTION("reports the exception and runs the tasks that follow")
  {
    loop.Post(fail);
    loop.Post([&] { ++tasksRun; });
    loop.Post(countAndStop);
    loop.Run();
    CHECK(tasksRun == 2);
    CHECK(failures == std::vector<std::string>{ "malformed message" });
  }

  SECTION("goes on after a timer")
  {
    loop.After(std::chrono::milliseconds(1), fail);
    loop.After(std::chrono::milliseconds(2), countAndStop);
    loop.Run();
    CHECK(tasksRun == 1);
    CHECK(failures.size() == 1);
  }
}
