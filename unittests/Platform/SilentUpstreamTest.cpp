/// \file
/// Tests with upstreams that fall silent in the middle of an exchange.
#include "SilenceFixture.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

// Regression: a silent upstream was given up although the request could not be
// sent to another one, so that callers lost responses that were on their way.
TEST_CASE("a response whose upstream is silent for longer than a timeout",
          "[forwarding][silence]")
{
  constexpr milliseconds kStreamPause(1400);
  constexpr milliseconds kCallDelay(700);
  constexpr milliseconds kLongWindow(60'000);

  SECTION("arrives whole if the route allows no further attempt")
  {
    SilenceFixture fixture(1);
    SECTION("of a stream")
    {
      fixture.Script(PausingStream(kStreamPause), {});
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
    }
    SECTION("of a call")
    {
      fixture.Script(LateResponse(kCallDelay), {});
      CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.SendCount() == 1);
  }

  SECTION("arrives whole if the retry budget is used up")
  {
    SilenceFixture fixture(2);
    fixture.ExhaustRetries(kLongWindow);
    SECTION("of a stream")
    {
      fixture.Script(PausingStream(kStreamPause), {});
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
    }
    SECTION("of a call")
    {
      fixture.Script(LateResponse(kCallDelay), {});
      CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.SendCount() == 1);
    CHECK(fixture.m_state.m_counters.m_retries == 0);
  }

  SECTION("arrives whole if no other upstream is usable")
  {
    SilenceFixture fixture(2);
    fixture.m_state.m_upstreams.Remove(UpstreamId("u2"));
    SECTION("of a stream")
    {
      fixture.Script(PausingStream(kStreamPause), {});
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
    }
    SECTION("of a call")
    {
      fixture.Script(LateResponse(kCallDelay), {});
      CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.SendCount() == 1);
  }

  SECTION("is awaited until the deadline while nothing can replace it")
  {
    SilenceFixture fixture(1);
    fixture.Script({ "", true }, {});
    CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 504"));
    CHECK(fixture.SendCount() == 1);
  }

  SECTION("is replaced by that of another upstream at the cost of one retry")
  {
    SilenceFixture fixture(2);
    fixture.m_state.m_retries = RetryBudget({ 0, 1, kLongWindow, 1 });
    SECTION("which resumes a stream")
    {
      fixture.Script({ BegunStream(), true }, PausingStream(milliseconds(10)));
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
      CHECK(fixture.m_state.m_counters.m_streamsResumed == 1);
    }
    SECTION("which answers a call")
    {
      fixture.Script({ "", true }, LateResponse(milliseconds(10)));
      CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.SendCount() == 2);
    CHECK(fixture.m_state.m_counters.m_retries == 1);
    CHECK(fixture.m_firstUpstream.m_openConnections +
            fixture.m_secondUpstream.m_openConnections ==
          0);
  }

  SECTION("is replaced as soon as the retry budget allows")
  {
    SilenceFixture fixture(2);
    fixture.ExhaustRetries(milliseconds(1800));
    fixture.Script({ BegunStream(), true }, PausingStream(milliseconds(10)));
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
    CHECK(fixture.SendCount() == 2);
  }

  SECTION("is not sent again if it may run only once")
  {
    SilenceFixture fixture(2);
    fixture.Script(PausingStream(kStreamPause), {});
    CHECK(IsWholeStream(fixture.Call("/stream/x")));
    CHECK(fixture.SendCount() == 1);
  }

  SECTION("keeps later requests away from the silent upstream")
  {
    SilenceFixture fixture(1);
    fixture.Script(PausingStream(kStreamPause), {});
    bool isAvoided = false;
    asio::steady_timer timer(fixture.m_io, milliseconds(1300));
    timer.async_wait([&](const boost::system::error_code&) {
      isAvoided =
        fixture.m_state.m_upstreams.Find(fixture.m_chosen)->m_avoidUntil >
        fixture.m_state.Now();
    });
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
    CHECK(isAvoided);
  }
}

// Regression: the time that a caller took to read was counted as silence of the
// upstream, and the stream was moved although its upstream was not silent.
TEST_CASE("a stream whose caller reads slowly", "[forwarding][silence]")
{
  SilenceFixture fixture(2);
  // The events exceed what the sockets between router and caller hold.
  constexpr std::size_t kEventBytes = 100'000;
  constexpr int kEvents = 200;
  std::string events;
  for (int id = 1; id <= kEvents; ++id) {
    events += GatewayFixture::Chunk("id: " + std::to_string(id) + "\ndata: " +
                                    std::string(kEventBytes, 'x') + "\n\n");
  }
  const ScriptedUpstream::Script script{ GatewayFixture::StreamHead() + events +
                                         "0\r\n\r\n" };
  fixture.Script(script, script);
  asio::ip::tcp::socket caller(fixture.m_io);
  const std::size_t colon = fixture.m_callerAddress.rfind(':');
  caller.connect({ asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(
                     std::stoi(fixture.m_callerAddress.substr(colon + 1))) });
  std::string request = GatewayFixture::Request("/resume/x");
  request.replace(request.find("Timeout-Ms: 1500"), 16, "Timeout-Ms: 3900");
  asio::write(caller, asio::buffer(request));
  fixture.RunFor(milliseconds(2000));

  CHECK(fixture.SendCount() == 1);
  CHECK(fixture.m_state.m_counters.m_retries == 0);
  CHECK(
    fixture.m_state.m_upstreams.Find(fixture.m_chosen)->m_consecutiveFailures ==
    0);

  SECTION("arrives whole from its first upstream")
  {
    std::string response;
    asio::co_spawn(
      fixture.m_io,
      [](Tcp::socket& aCaller,
         std::string& aResponse) -> asio::awaitable<void> {
        boost::system::error_code error;
        std::vector<char> bytes(1 << 20U);
        while (!error) {
          const std::size_t count = co_await aCaller.async_read_some(
            asio::buffer(bytes),
            asio::redirect_error(asio::use_awaitable, error));
          aResponse.append(bytes.data(), count);
        }
      }(caller, response),
      asio::detached);
    fixture.RunFor(milliseconds(1500));
    CHECK(response.ends_with("0\r\n\r\n"));
    CHECK(fixture.SendCount() == 1);
  }
}

// Regression: the timeout of a response ran from the send, so that an upstream
// that sent its body slowly counted as silent, once for each part of it.
TEST_CASE("a response that arrives slowly", "[forwarding][silence]")
{
  SilenceFixture fixture(2);
  ScriptedUpstream::Script slow;
  slow.m_pause = milliseconds(250);
  int failures = 0;
  const auto checkHealthEvery = [&](milliseconds aInterval, int aTimes) {
    for (int i = 1; i <= aTimes; ++i) {
      fixture.After(aInterval * i, [&] {
        failures = std::max(failures,
                            fixture.m_state.m_upstreams.Find(fixture.m_chosen)
                              ->m_consecutiveFailures);
      });
    }
  };

  SECTION("is awaited where it is")
  {
    slow.m_response = "HTTP/1.1 200 OK\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
                      "Bergamotpaddle-Response-Seal: s\r\n"
                      "Content-Length: 6\r\n\r\n";
    slow.m_furtherParts = { "a", "b", "c", "d", "e", "f" };
    fixture.Script(slow, {});
    checkHealthEvery(milliseconds(50), 32);
    CHECK(fixture.Call("/again/x").ends_with("abcdef"));
  }

  SECTION("is awaited where it is if it is a stream")
  {
    slow.m_response = BegunStream();
    slow.m_pause = milliseconds(500);
    slow.m_furtherParts = { GatewayFixture::Chunk("id: 2\n"),
                            GatewayFixture::Chunk("data: "),
                            GatewayFixture::Chunk("b\n"),
                            GatewayFixture::Chunk("\n") + "0\r\n\r\n" };
    fixture.Script(slow, {});
    checkHealthEvery(milliseconds(50), 40);
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
  }
  CHECK(fixture.SendCount() == 1);
  CHECK(failures == 0);
}

TEST_CASE("the log of a stream that the router closes", "[forwarding][log]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const auto script = [&fixture](const ScriptedUpstream::Script& aScript) {
    fixture.m_firstUpstream.m_scripts = { aScript };
    fixture.m_secondUpstream.m_scripts = { aScript };
  };
  const auto logLine = [&fixture](const std::string& aEvent) {
    fixture.m_log.Flush();
    return fixture.m_logPipe.LineOf(aEvent);
  };

  SECTION("names an upstream that broke off, and what was left for a retry")
  {
    script({ BegunStream() });
    fixture.Call(GatewayFixture::Request("/stream/"));
    const std::string line = logLine("caller.closed");
    CAPTURE(line);
    CHECK(Contains(line, "\"cause\":\"upstream\""));
    CHECK(Contains(line, "\"silent_ms\":"));
    CHECK(Contains(line, "\"events\":1"));
    CHECK(Contains(line, "\"attempt_left\":false"));
    CHECK(Contains(line, "\"retry_left\":true"));
    CHECK(Contains(line, "\"upstream_left\":true"));
  }

  SECTION("names the deadline")
  {
    script({ BegunStream(), true });
    fixture.Call(GatewayFixture::Request("/stream/"));
    CHECK(Contains(logLine("caller.closed"), "\"cause\":\"deadline\""));
  }

  SECTION("names a caller that disconnected")
  {
    script({ BegunStream(), true });
    fixture.Call(GatewayFixture::Request("/stream/"), milliseconds(100));
    CHECK(Contains(logLine("caller.closed"), "\"cause\":\"caller\""));
  }

  SECTION("names the first failure if the one of a later upstream closed it")
  {
    SilenceFixture moved(2);
    moved.Script({ BegunStream(), false, true }, { "", true });
    moved.Call("/resume/x");
    moved.m_log.Flush();
    const std::string line = moved.m_logPipe.LineOf("caller.closed");
    CHECK(Contains(line, "\"cause\":\"deadline\""));
    CHECK(Contains(line, "\"first_cause\":\"upstream\""));
  }

  SECTION("has the same fields for a failed exchange")
  {
    script({ "", false, true });
    fixture.Call(GatewayFixture::Request("/once/"));
    const std::string line = logLine("exchange.failed");
    CHECK(Contains(line, "\"cause\":\"upstream\""));
    CHECK(Contains(line, "\"upstream_left\":true"));
  }
}
