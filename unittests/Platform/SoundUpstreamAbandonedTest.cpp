/// \file
/// Tests with an upstream that pauses and continues while its request is moved
/// to another one.
#include "SilenceFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// Beyond the idle timeout of streams, 1200 ms.
constexpr milliseconds kStreamPause(1500);
/// Beyond the response timeout of calls, 400 ms.
constexpr milliseconds kCallDelay(1200);

ScriptedUpstream::Script
Refusal()
{
  return { "HTTP/1.1 503 Busy\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
           "Bergamotpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
}

ScriptedUpstream::Script
Failure()
{
  return { "HTTP/1.1 500 Failed\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
           "Bergamotpaddle-Response-Seal: s\r\nContent-Length: 0\r\n\r\n" };
}

/// The second event of the stream, after \p aDelay.
ScriptedUpstream::Script
Resumption(milliseconds aDelay)
{
  return { "",
           false,
           false,
           aDelay,
           GatewayFixture::StreamHead() +
             GatewayFixture::Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" };
}

class FailoverFixture : public SilenceFixture
{
public:
  FailoverFixture()
    : SilenceFixture(2)
  {
  }

  ScriptedUpstream& Chosen()
  {
    return m_chosen == UpstreamId("u1") ? m_firstUpstream : m_secondUpstream;
  }
  ScriptedUpstream& Other()
  {
    return m_chosen == UpstreamId("u1") ? m_secondUpstream : m_firstUpstream;
  }

  /// Lets the upstream that is not chosen first answer twice, each time in the
  /// same way.
  void RepeatScriptOfOther()
  {
    m_state.m_onLoadChanged = [this, script = m_state.m_onLoadChanged](
                                const UpstreamId& aId,
                                const std::vector<PromptPart>& aParts) {
      const bool isFirst = m_chosen == UpstreamId();
      script(aId, aParts);
      if (isFirst) {
        Other().m_scripts.push_back(Other().m_scripts.front());
      }
    };
  }

  /// Lets the upstream that is not chosen first refuse connections.
  void CloseOtherPort()
  {
    asio::ip::tcp::acceptor unused(m_io,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
    const std::string address =
      "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
    m_state.m_onLoadChanged = [this, address, script = m_state.m_onLoadChanged](
                                const UpstreamId& aId,
                                const std::vector<PromptPart>& aParts) {
      const bool isFirst = m_chosen == UpstreamId();
      script(aId, aParts);
      if (isFirst) {
        const UpstreamId other(aId == UpstreamId("u1") ? "u2" : "u1");
        UpstreamEntry entry = m_state.m_upstreams.Find(other)->m_entry;
        entry.m_address = address;
        m_state.m_upstreams.Upsert(entry);
      }
    };
  }
};

} // namespace

// Regression: a request was taken from a sound upstream that paused before
// another one had answered, so that a refusal by the other one lost the answer.
TEST_CASE("the answer of a sound upstream that pauses",
          "[forwarding][failover]")
{
  FailoverFixture fixture;

  SECTION("arrives whole although the other upstream")
  {
    const bool isStream = GENERATE(true, false);
    CAPTURE(isStream);
    ScriptedUpstream::Script other;
    SECTION("refuses the request")
    {
      other = Refusal();
    }
    SECTION("breaks off without a byte") {}
    SECTION("resets the connection")
    {
      other.m_isReset = true;
    }
    SECTION("breaks off within its head")
    {
      other.m_response = "HTTP/1.1 200 OK\r\nContent-Le";
    }
    SECTION("breaks off after its head")
    {
      other.m_response = GatewayFixture::StreamHead();
    }
    SECTION("reports an error")
    {
      other = Failure();
    }
    SECTION("stays silent")
    {
      other.m_isKeptOpen = true;
    }

    if (isStream) {
      fixture.Script(PausingStream(kStreamPause), other);
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
    } else {
      fixture.Script(LateResponse(kCallDelay), other);
      CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.SendCount() == 2);
  }

  SECTION("arrives whole although the other upstream does not listen")
  {
    SECTION("of a stream")
    {
      fixture.Script(PausingStream(kStreamPause), {});
      fixture.CloseOtherPort();
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
    }
    SECTION("of a call")
    {
      fixture.Script(LateResponse(kCallDelay), {});
      fixture.CloseOtherPort();
      CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.SendCount() == 1);
    CHECK(fixture.m_state.m_counters.m_retries == 0);
  }

  SECTION("arrives whole although the other upstream's error came first")
  {
    fixture.Script(LateResponse(kCallDelay), Failure());
    const std::string response = fixture.Call("/again/x");
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("done"));
  }

  // Regression: a connection counted as a response, so that a silent upstream
  // took the stream over after 320 ms, and lost it when it crashed.
  SECTION("arrives whole although the other upstream crashes after a silence")
  {
    fixture.Script(PausingStream(milliseconds(1800)),
                   { "", false, true, milliseconds(450), "H" });
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
    CHECK(fixture.SendCount() == 2);
  }

  SECTION("arrives once although the other upstream takes the request as well")
  {
    fixture.Script(PausingStream(milliseconds(1400)),
                   Resumption(milliseconds(2000)));
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
    CHECK(fixture.SendCount() == 2);
    // Both connections end as soon as the answer is whole.
    CHECK(fixture.Chosen().m_openConnections == 0);
  }
}

// Regression: the bytes of a response that was given up counted as buffered for
// ever, until every response was too long.
TEST_CASE("a response that is given up for that of another upstream",
          "[forwarding][failover]")
{
  FailoverFixture fixture;
  ScriptedUpstream::Script other;
  other.m_response = "HTTP/1.1 200 OK\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
                     "Bergamotpaddle-Response-Seal: s\r\n"
                     "Content-Length: 100\r\n\r\nthe first bytes";

  SECTION("is not buffered any longer if it is incomplete")
  {
    other.m_isKeptOpen = true;
    fixture.Script(LateResponse(kCallDelay), other);
    CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
  }
  SECTION("is not buffered any longer if it broke off")
  {
    fixture.Script(LateResponse(kCallDelay), other);
    CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
  }
  SECTION("is not buffered any longer if it cannot continue the stream")
  {
    other.m_response = "HTTP/1.1 404 No\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
                       "Content-Length: 4\r\n\r\nnone";
    fixture.Script(PausingStream(kStreamPause), other);
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
  }
  CHECK(fixture.m_state.m_responses.Bytes() == 0);
}

TEST_CASE("a request whose upstream stays silent", "[forwarding][failover]")
{
  FailoverFixture fixture;

  SECTION("is answered by the other upstream as soon as that one answers")
  {
    std::uint64_t expectedRetries = 1;
    SECTION("of a stream")
    {
      fixture.Script({ BegunStream(), true }, Resumption(milliseconds(200)));
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
      CHECK(fixture.m_state.m_counters.m_streamsResumed == 1);
    }
    SECTION("of a stream, if that takes longer than both may work")
    {
      // It is taken back from the other upstream, which has said nothing, and
      // sent there again when the pause is too long to wait for.
      expectedRetries = 2;
      fixture.Script({ BegunStream(), true }, Resumption(milliseconds(700)));
      fixture.RepeatScriptOfOther();
      CHECK(IsWholeStream(fixture.Call("/resume/x")));
    }
    SECTION("of a call")
    {
      fixture.Script({ "", true }, LateResponse(milliseconds(200)));
      CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.m_state.m_counters.m_retries == expectedRetries);
  }

  SECTION("is at work at two upstreams for less than 400 ms if it is a stream")
  {
    // While both work on it, the event loop is blocked for some time.
    const int blockedMs = GENERATE(0, 20);
    CAPTURE(blockedMs);
    fixture.Script({ BegunStream(), true }, { "", true });
    std::optional<std::chrono::steady_clock::time_point> since;
    std::chrono::steady_clock::duration longestOverlap{ 0 };
    bool wasBlocked = false;
    std::function<void()> measure = [&] {
      const auto now = std::chrono::steady_clock::now();
      const bool isAtBoth = fixture.Chosen().m_openConnections > 0 &&
                            fixture.Other().m_openConnections > 0;
      if (!isAtBoth) {
        since.reset();
      } else if (!since) {
        since = now;
      } else {
        longestOverlap = std::max(longestOverlap, now - *since);
      }
      if (since && now - *since > milliseconds(310) &&
          !std::exchange(wasBlocked, true)) {
        std::this_thread::sleep_for(milliseconds(blockedMs));
      }
      fixture.After(milliseconds(2), measure);
    };
    fixture.After(milliseconds(5), measure);
    fixture.Call("/resume/x");
    CHECK(longestOverlap < milliseconds(400));
    CHECK(longestOverlap > milliseconds(300));
    // Once to the second one beside the first, and once in place of it.
    CHECK(fixture.SendCount() == 3);
  }

  SECTION("is answered by the other one if its own upstream breaks off")
  {
    ScriptedUpstream::Script first = PausingStream(milliseconds(1300));
    first.m_continuation = "0";
    first.m_isReset = true;
    fixture.Script(first, Resumption(milliseconds(250)));
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
    CHECK(fixture.m_state.m_counters.m_streamsResumed == 1);
  }

  // Regression: a few bytes of the first upstream ended the attempt at the
  // other one, and the stream was lost when the first one broke off after them.
  SECTION("is answered by the other one if its own breaks off within an event")
  {
    ScriptedUpstream::Script first = PausingStream(milliseconds(1300));
    first.m_continuation = GatewayFixture::Chunk("id: 2\nda");
    fixture.Script(first, Resumption(milliseconds(250)));
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
  }

  // The other upstream was given up when both had been at work for 320 ms.
  SECTION("is answered by the other one if its own crashes after that time")
  {
    ScriptedUpstream::Script first = PausingStream(milliseconds(1650));
    first.m_continuation = "0";
    first.m_isReset = true;
    fixture.Script(first, Resumption(milliseconds(500)));
    fixture.RepeatScriptOfOther();
    CHECK(IsWholeStream(fixture.Call("/resume/x")));
    CHECK(fixture.SendCount() == 3);
  }

  SECTION("is answered with the other one's error if its own breaks off")
  {
    ScriptedUpstream::Script first{ "", false, true, milliseconds(700), "H" };
    ScriptedUpstream::Script other = Failure();
    const std::string length = "Content-Length: 0\r\n\r\n";
    other.m_response.replace(other.m_response.find(length),
                             length.size(),
                             "Content-Length: 4\r\n\r\nwhy?");
    fixture.Script(first, other);
    const std::string response = fixture.Call("/again/x");
    CHECK(response.starts_with("HTTP/1.1 500"));
    CHECK(response.ends_with("why?"));
    CHECK(fixture.m_state.m_responses.Bytes() == 0);
  }

  SECTION("ends at its deadline if the other upstream is silent too")
  {
    fixture.Script({ "", true }, { "", true });
    CHECK(fixture.Call("/again/x").starts_with("HTTP/1.1 504"));
    CHECK(fixture.m_state.m_requestsInFlight == 0);
  }

  // Regression: the request was sent to a second upstream for a caller that had
  // left in the same iteration of the event loop.
  SECTION("is not sent to another one once its caller has left")
  {
    fixture.Script({ "", true }, { "", true });
    Tcp::socket caller(fixture.m_io);
    const std::string& address = fixture.m_callerAddress;
    caller.connect({ asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(
                       std::stoi(address.substr(address.rfind(':') + 1))) });
    std::string request = GatewayFixture::Request("/again/x");
    request.replace(request.find("Timeout-Ms: 1500"), 16, "Timeout-Ms: 3500");
    asio::write(caller, asio::buffer(request));
    fixture.After(milliseconds(385), [&caller] {
      caller.close();
      std::this_thread::sleep_for(milliseconds(45)); // Beyond the timeout.
    });
    fixture.RunFor(milliseconds(1000));
    CHECK(fixture.SendCount() == 1);
    CHECK(fixture.m_state.m_requestsInFlight == 0);
  }

  SECTION("ends at both upstreams when its caller leaves")
  {
    fixture.Script({ "", true }, { "", true });
    int openBefore = 0;
    fixture.After(milliseconds(600), [&] {
      openBefore =
        fixture.Chosen().m_openConnections + fixture.Other().m_openConnections;
    });
    std::string request = GatewayFixture::Request("/again/x");
    fixture.GatewayFixture::Call(request, milliseconds(700));
    CHECK(openBefore == 2);
    CHECK(fixture.Chosen().m_openConnections == 0);
    CHECK(fixture.Other().m_openConnections == 0);
  }
}

// Regression: a router that ended with requests in flight called hooks of parts
// that were destroyed already.
TEST_CASE("a router that is destroyed with a request at two upstreams",
          "[forwarding][failover]")
{
  auto fixture = std::make_unique<FailoverFixture>();
  fixture->Script({ "", true }, { "", true });
  Tcp::socket caller(fixture->m_io);
  const std::string& address = fixture->m_callerAddress;
  caller.connect({ asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(
                     std::stoi(address.substr(address.rfind(':') + 1))) });
  asio::write(caller, asio::buffer(GatewayFixture::Request("/again/x")));
  fixture->RunFor(milliseconds(600));
  REQUIRE(fixture->SendCount() == 2);
  int calls = 0;
  fixture->m_state.m_onLoadChanged =
    [&calls](const UpstreamId&, const std::vector<PromptPart>&) { ++calls; };
  boost::system::error_code ignored;
  caller.close(ignored);
  fixture.reset();
  CHECK(calls == 0);
}
