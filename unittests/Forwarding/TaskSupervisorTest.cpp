/// \file
/// Tests of coroutines and handlers that end with an exception.
#include "bergamotpaddle/Forwarding/TaskSupervisor.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace bergamotpaddle;
namespace asio = boost::asio;

namespace {

/// A wait whose initiation or completion handler throws, as a read into a
/// buffer does that cannot be allocated.
asio::awaitable<void>
WaitAndThrowInHandler(asio::io_context& aIo)
{
  const auto initiate = [&aIo](auto aHandler) {
    asio::post(aIo, [handler = std::move(aHandler)]() mutable {
      throw std::runtime_error("no memory");
    });
  };
  co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(
    initiate, asio::use_awaitable);
}

asio::awaitable<void>
Fail()
{
  throw std::runtime_error("malformed message");
  co_return;
}

asio::awaitable<void>
CountAndFail(int& aCount, int aFailures)
{
  if (++aCount <= aFailures) {
    throw std::runtime_error("malformed message");
  }
  co_return;
}

} // namespace

TEST_CASE("a supervisor of tasks", "[tasks]")
{
  asio::io_context io(1);
  TaskSupervisor tasks;
  std::vector<std::pair<std::string, std::string>> failures;
  tasks.OnFailure([&](std::string_view aTask, std::string_view aReason) {
    failures.emplace_back(aTask, aReason);
  });
  const auto executor = io.get_executor();
  const auto run = [&] {
    io.restart();
    tasks.Run(io);
  };

  SECTION("reports what a task ends with; the others go on")
  {
    bool hasRun = false;
    tasks.Spawn(executor, "session", Fail());
    asio::post(io, [&] { hasRun = true; });
    run();
    CHECK(hasRun);
    REQUIRE(failures.size() == 1);
    CHECK(failures.front().first == "session");
    CHECK(failures.front().second == "malformed message");
    CHECK(tasks.Failures() == 1);
  }

  SECTION("goes on after a handler that throws")
  {
    int handlersRun = 0;
    asio::post(io, [] { throw std::runtime_error("no memory"); });
    asio::post(io, [] { throw 7; });
    asio::post(io, [&] { ++handlersRun; });
    run();
    CHECK(handlersRun == 1);
    CHECK(failures.size() == 2);
  }

  SECTION("restarts a permanent task that failed, until it returns")
  {
    int starts = 0;
    tasks.SpawnPermanent(
      executor, "watch", [&] { return CountAndFail(starts, 2); });
    for (int i = 0; i < 5; ++i) {
      run();
      tasks.RestartFailed();
    }
    CHECK(starts == 3);
    CHECK(failures.size() == 2);
  }

  SECTION("restarts a permanent task that a handler's exception destroyed")
  {
    int starts = 0;
    tasks.SpawnPermanent(executor, "watch", [&] {
      ++starts;
      return WaitAndThrowInHandler(io);
    });
    run();
    CHECK(starts == 1);
    tasks.RestartFailed();
    run();
    CHECK(starts == 2);
    CHECK(failures.size() == 2);
  }

  SECTION("does not restart a task that runs")
  {
    int starts = 0;
    asio::steady_timer timer(io, std::chrono::hours(1));
    tasks.SpawnPermanent(executor, "watch", [&] {
      ++starts;
      return timer.async_wait(asio::use_awaitable);
    });
    io.run_for(std::chrono::milliseconds(5));
    tasks.RestartFailed();
    io.run_for(std::chrono::milliseconds(5));
    CHECK(starts == 1);
    io.stop();
  }
}
