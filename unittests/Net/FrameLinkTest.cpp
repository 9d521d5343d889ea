/// \file
/// Tests of links between processes: frames arrive complete and in order, and
/// processes without the secret are rejected.
#include "bergamotpaddle/Net/FrameLink.h"
#include "bergamotpaddle/Kernel/EventLoop.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace bergamotpaddle;

namespace {

/// Runs \p aLoop until \p aDone returns true, which is checked every
/// millisecond.
void
RunUntil(EventLoop& aLoop, std::function<bool()> aDone)
{
  std::function<void()> check = [&] {
    if (aDone()) {
      aLoop.Stop();
      return;
    }
    aLoop.After(std::chrono::milliseconds(1), check);
  };
  aLoop.After(std::chrono::milliseconds(1), check);
  aLoop.Run();
}

} // namespace

TEST_CASE("a link between two processes", "[net]")
{
  EventLoop loop;
  auto executor = [&](std::function<void()> aTask) {
    loop.Post(std::move(aTask));
  };
  std::vector<std::string> receivedByServer;
  int openedAtServer = 0;
  int closedAtClient = 0;
  bool isClientOpened = false;

  LinkHooks serverHooks;
  serverHooks.m_opened = [&](LinkId) { ++openedAtServer; };
  serverHooks.m_received = [&](LinkId, std::string aFrame) {
    receivedByServer.push_back(std::move(aFrame));
  };
  serverHooks.m_closed = [](LinkId) {};
  LinkHub server("secret", executor, serverHooks);
  const std::string address = "127.0.0.1:19471";
  REQUIRE(server.Listen(address).ok());

  LinkHooks clientHooks;
  clientHooks.m_opened = [&](LinkId) { isClientOpened = true; };
  clientHooks.m_received = [](LinkId, const std::string&) {};
  clientHooks.m_closed = [&](LinkId) { ++closedAtClient; };

  SECTION("delivers a thousand frames complete and in order")
  {
    LinkHub client("secret", executor, clientHooks);
    LinkId link = client.Dial(address);
    bool isSent = false;
    constexpr int kFrames = 1000;
    RunUntil(loop, [&] {
      if (isClientOpened && !isSent) {
        isSent = true;
        for (int i = 0; i < kFrames; ++i) {
          client.Send(link, std::to_string(i) + std::string(i, 'x'));
        }
      }
      return receivedByServer.size() == kFrames;
    });
    for (int i = 0; i < kFrames; ++i) {
      REQUIRE(receivedByServer[i] == std::to_string(i) + std::string(i, 'x'));
    }
  }

  SECTION("is closed without being opened if one process lacks the secret")
  {
    LinkHub unauthorized("guess", executor, clientHooks);
    unauthorized.Dial(address);
    RunUntil(loop, [&] { return closedAtClient == 1; });
    CHECK(openedAtServer == 0);
    CHECK_FALSE(isClientOpened);
  }

  SECTION("is reported as closed if no process listens at its address")
  {
    LinkHub client("secret", executor, clientHooks);
    client.Dial("127.0.0.1:19472");
    RunUntil(loop, [&] { return closedAtClient == 1; });
    CHECK(openedAtServer == 0);
  }
}
