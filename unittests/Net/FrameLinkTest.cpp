/// \file
/// Tests of links between processes: frames arrive complete and in order, and
/// processes without the secret are rejected.
#include "bergamotpaddle/Net/FrameLink.h"
#include "bergamotpaddle/Kernel/EventLoop.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace bergamotpaddle;

namespace {

/// Runs \p aLoop until \p aDone returns true; checks it every millisecond.
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

TEST_CASE("links carry frames between processes that share the secret", "[net]")
{
  EventLoop loop;
  auto executor = [&](std::function<void()> aTask) {
    loop.Post(std::move(aTask));
  };
  std::vector<std::string> atServer;
  int serverOpened = 0;
  int clientClosed = 0;
  bool clientOpened = false;

  LinkHooks serverHooks;
  serverHooks.m_opened = [&](LinkId) { ++serverOpened; };
  serverHooks.m_received = [&](LinkId, std::string aFrame) {
    atServer.push_back(std::move(aFrame));
  };
  serverHooks.m_closed = [](LinkId) {};
  LinkHub server("secret", executor, serverHooks);
  const std::string address = "127.0.0.1:19471";
  REQUIRE(server.Listen(address).ok());

  LinkHooks clientHooks;
  clientHooks.m_opened = [&](LinkId) { clientOpened = true; };
  clientHooks.m_received = [](LinkId, const std::string&) {};
  clientHooks.m_closed = [&](LinkId) { ++clientClosed; };

  SECTION("a thousand frames arrive whole and in order")
  {
    LinkHub client("secret", executor, clientHooks);
    LinkId link = client.Dial(address);
    bool sent = false;
    constexpr int kFrames = 1000;
    RunUntil(loop, [&] {
      if (clientOpened && !sent) {
        sent = true;
        for (int i = 0; i < kFrames; ++i) {
          client.Send(link, std::to_string(i) + std::string(i, 'x'));
        }
      }
      return atServer.size() == kFrames;
    });
    for (int i = 0; i < kFrames; ++i) {
      REQUIRE(atServer[i] == std::to_string(i) + std::string(i, 'x'));
    }
  }

  SECTION("a process without the secret is locked out and its link is closed")
  {
    LinkHub unauthorized("guess", executor, clientHooks);
    unauthorized.Dial(address);
    RunUntil(loop, [&] { return clientClosed == 1; });
    CHECK(serverOpened == 0);
    CHECK_FALSE(clientOpened);
  }

  SECTION("a link to an address without a listener is reported as closed")
  {
    LinkHub client("secret", executor, clientHooks);
    client.Dial("127.0.0.1:19472");
    RunUntil(loop, [&] { return clientClosed == 1; });
    CHECK(serverOpened == 0);
  }
}
