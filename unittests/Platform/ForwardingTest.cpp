/// \file
/// Tests of the forwarding path over real sockets: requests to upstreams and
/// responses to callers.
#include "Loopback.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
StatusOf(const std::string& aResponse)
{
  return aResponse.substr(0, std::min<std::size_t>(aResponse.size(), 12));
}

} // namespace

TEST_CASE("a call that the local credit does not cover", "[forwarding][credit]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  CreditBook& credit = fixture.m_state.m_credit;
  const AccountId account("school");
  credit.SetPrepaid(account, GatewayFixture::kPrepaid);
  CreditRecord record;
  const auto draw = [&] {
    if (const auto plan = credit.Plan(record, fixture.m_state.Now())) {
      credit.Confirm();
      record.Apply(*plan);
    }
  };
  draw();
  const std::uint64_t promptTokens = credit.Spendable(account) + 1'000;
  std::string request = GatewayFixture::Request(
    "/once/",
    "Bergamotpaddle-Token-Usage: " + std::to_string(promptTokens) + ",100\r\n");
  request.replace(request.find("Bearer key"), 10, "Bearer prepaid-key");
  for (ScriptedUpstream* upstream :
       { &fixture.m_firstUpstream, &fixture.m_secondUpstream }) {
    upstream->m_scripts = { { GatewayFixture::SealedResponse() } };
  }
  int drawRequests = 0;
  const auto startedAt = std::chrono::steady_clock::now();
  const auto upstreamRequestCount = [&fixture] {
    return fixture.m_firstUpstream.m_requests.size() +
           fixture.m_secondUpstream.m_requests.size();
  };

  SECTION("waits for the next draw and is served")
  {
    fixture.m_state.m_drawCredit = [&] {
      if (++drawRequests == 3) {
        draw();
      }
      return true;
    };
    CHECK(StatusOf(fixture.Call(request)) == "HTTP/1.1 200");
    CHECK_FALSE(credit.HasWaiters());
  }

  SECTION("does not wait while no credit can be drawn")
  {
    fixture.m_state.m_drawCredit = [&] {
      ++drawRequests;
      return false;
    };
    const std::string response = fixture.Call(request);
    CHECK(StatusOf(response) == "HTTP/1.1 503");
    CHECK(Contains(response, "Retry-After: "));
    CHECK(drawRequests == 1);
    CHECK(upstreamRequestCount() == 0);
  }

  SECTION("waits for a limited time, then is rejected")
  {
    fixture.m_state.m_drawCredit = [&] {
      ++drawRequests;
      return true;
    };
    CHECK(StatusOf(fixture.Call(request)) == "HTTP/1.1 503");
    CHECK(drawRequests > 1);
    CHECK(std::chrono::steady_clock::now() - startedAt <
          std::chrono::seconds(1));
    CHECK_FALSE(credit.HasWaiters());
    CHECK(upstreamRequestCount() == 0);
  }

  SECTION("is rejected at once if nothing of the prepaid credit is left")
  {
    fixture.m_state.m_drawCredit = [&] {
      ++drawRequests;
      return true;
    };

    SECTION("for this router, with 503: another one may return its grant")
    {
      CreditGrant other;
      other.m_granted = GatewayFixture::kPrepaid;
      record.m_accounts[account].m_grants[HolderId("other/1")] = other;
      draw();
      const std::string response = fixture.Call(request);
      CHECK(StatusOf(response) == "HTTP/1.1 503");
      CHECK(Contains(response, "Retry-After: "));
    }

    SECTION("for any router, with 402: all of it was spent or written off")
    {
      record.m_accounts[account].m_closed = GatewayFixture::kPrepaid;
      draw();
      const std::string response = fixture.Call(request);
      CHECK(StatusOf(response) == "HTTP/1.1 402");
      CHECK_FALSE(Contains(response, "Retry-After: "));
    }
    CHECK(drawRequests == 0);
    CHECK(upstreamRequestCount() == 0);
  }
}

TEST_CASE("a call through the gateway", "[forwarding]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const auto script = [&fixture](const std::string& aResponse) {
    fixture.m_firstUpstream.m_scripts.push_back({ aResponse });
    fixture.m_secondUpstream.m_scripts.push_back({ aResponse });
  };
  const auto upstreamRequestCount = [&fixture] {
    return fixture.m_firstUpstream.m_requests.size() +
           fixture.m_secondUpstream.m_requests.size();
  };

  SECTION("is forwarded in full to one upstream, without the API key")
  {
    script(GatewayFixture::SealedResponse());
    const std::string response =
      fixture.Call(GatewayFixture::Request("/once/x?q=1"));
    CHECK(StatusOf(response) == "HTTP/1.1 200");
    CHECK(Contains(response, "Bergamotpaddle-Response-Seal: s\r\n"));
    CHECK(Contains(response, "\r\n\r\ndone"));
    REQUIRE(upstreamRequestCount() == 1);
    const std::string request = fixture.m_firstUpstream.m_requests.empty()
                                  ? fixture.m_secondUpstream.m_requests.front()
                                  : fixture.m_firstUpstream.m_requests.front();
    CHECK(Contains(request, "POST /once/x?q=1 HTTP/1.1\r\n"));
    CHECK(Contains(request, "Bergamotpaddle-Tenant: cafe\r\n"));
    CHECK(Contains(request, "\r\n\r\nbody"));
    CHECK_FALSE(Contains(request, "Bearer"));

    SECTION("and its bytes are counted by remote endpoint")
    {
      const TrafficCounters& traffic = fixture.m_state.m_counters.m_traffic;
      CHECK(traffic.CountFor(TrafficPeer::kCallers).m_sent == response.size());
      CHECK(traffic.CountFor(TrafficPeer::kUpstreams).m_sent == request.size());
      CHECK(traffic.CountFor(TrafficPeer::kCallers).m_received > 0);
      CHECK(traffic.CountFor(TrafficPeer::kUpstreams).m_received > 0);
      CHECK(fixture.m_state.m_counters.m_connectTime.Count() == 1);
    }
  }

  SECTION("with ambiguous framing or a duplicate Host is rejected")
  {
    const std::string contradictoryFraming =
      "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /again/ HTTP/1.1\r\n\r\n";
    CHECK(StatusOf(fixture.Call(contradictoryFraming)) == "HTTP/1.1 400");
    const std::string duplicateHost =
      "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nHost: other\r\n"
      "Content-Length: 0\r\n\r\n";
    CHECK(StatusOf(fixture.Call(duplicateHost)) == "HTTP/1.1 400");
    CHECK(upstreamRequestCount() == 0);
  }

  SECTION("is rejected without a route, with too long a body or a wrong key")
  {
    CHECK(StatusOf(fixture.Call(GatewayFixture::Request("/none/"))) ==
          "HTTP/1.1 404");
    CHECK(StatusOf(fixture.Call(GatewayFixture::Request(
            "/once/", "", std::string(2000, 'x')))) == "HTTP/1.1 413");
    std::string unknownKeyRequest = GatewayFixture::Request("/once/");
    unknownKeyRequest.replace(
      unknownKeyRequest.find("Bearer key"), 10, "Bearer not");
    CHECK(StatusOf(fixture.Call(unknownKeyRequest)) == "HTTP/1.1 401");
    CHECK(upstreamRequestCount() == 0);
  }

  SECTION("gets a Retry-After if a newer configuration may accept it")
  {
    fixture.m_state.m_isConfigurationPossiblyStale = [] { return true; };
    std::string unknownKeyRequest = GatewayFixture::Request("/once/");
    unknownKeyRequest.replace(
      unknownKeyRequest.find("Bearer key"), 10, "Bearer not");
    for (const std::string& request :
         { GatewayFixture::Request("/none/"), unknownKeyRequest }) {
      const std::string response = fixture.Call(request);
      CHECK(StatusOf(response) == "HTTP/1.1 503");
      CHECK(Contains(response, "Retry-After: "));
    }
    CHECK(upstreamRequestCount() == 0);
    fixture.m_firstUpstream.m_scripts = {
      { GatewayFixture::SealedResponse() }
    };
    fixture.m_secondUpstream.m_scripts = {
      { GatewayFixture::SealedResponse() }
    };
    CHECK(StatusOf(fixture.Call(GatewayFixture::Request("/once/"))) ==
          "HTTP/1.1 200");
  }

  SECTION("gets no unsealed, mismatched or truncated success response")
  {
    const std::string unsealed =
      "HTTP/1.1 200 OK\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
      "Content-Length: 2\r\n\r\nno";
    std::string mismatched = GatewayFixture::SealedResponse();
    mismatched.replace(mismatched.find("{ID}"), 4, "ffff");
    const std::string truncated = GatewayFixture::SealedResponse().substr(
      0, GatewayFixture::SealedResponse().size() - 1);
    for (const std::string& invalid : { unsealed, mismatched, truncated }) {
      fixture.m_firstUpstream.m_scripts = { { invalid } };
      fixture.m_secondUpstream.m_scripts = { { invalid } };
      CHECK(StatusOf(fixture.Call(GatewayFixture::Request("/once/"))) ==
            "HTTP/1.1 502");
    }
    CHECK(upstreamRequestCount() == 3);
  }

  SECTION("that provably did not run is sent to each upstream, then rejected")
  {
    script("HTTP/1.1 503 Busy\r\nBergamotpaddle-Not-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n");
    script(GatewayFixture::SealedResponse());
    const std::string response =
      fixture.Call(GatewayFixture::Request("/once/"));
    CHECK(upstreamRequestCount() == 2);
    CHECK(StatusOf(response) == "HTTP/1.1 503");
    CHECK(Contains(response, "Retry-After: "));
  }

  SECTION("that may have run is reported with an unknown outcome")
  {
    fixture.m_firstUpstream.m_scripts = { { "", false, true } };
    fixture.m_secondUpstream.m_scripts = { { "", false, true } };
    CHECK(StatusOf(fixture.Call(GatewayFixture::Request("/once/"))) ==
          "HTTP/1.1 502");
    CHECK(upstreamRequestCount() == 1);

    SECTION("but is repeated if the route allows it")
    {
      fixture.m_firstUpstream.m_scripts = {
        { GatewayFixture::SealedResponse() }
      };
      fixture.m_secondUpstream.m_scripts = {
        { GatewayFixture::SealedResponse() }
      };
      CHECK(StatusOf(fixture.Call(GatewayFixture::Request("/again/"))) ==
            "HTTP/1.1 200");
    }
  }

  SECTION("without a response ends at the timeout of its route")
  {
    fixture.m_firstUpstream.m_scripts = { { "", true } };
    fixture.m_secondUpstream.m_scripts = { { "", true } };
    const auto startedAt = std::chrono::steady_clock::now();
    CHECK(StatusOf(fixture.Call(GatewayFixture::Request("/once/"))) ==
          "HTTP/1.1 504");
    CHECK(std::chrono::steady_clock::now() - startedAt <
          std::chrono::milliseconds(1450));
  }

  SECTION("is cancelled at the upstream when its caller disconnects")
  {
    fixture.m_firstUpstream.m_scripts = { { "", true } };
    fixture.m_secondUpstream.m_scripts = { { "", true } };
    fixture.Call(GatewayFixture::Request("/once/"),
                 std::chrono::milliseconds(100));
    CHECK(upstreamRequestCount() == 1);
    CHECK(fixture.m_firstUpstream.m_openConnections +
            fixture.m_secondUpstream.m_openConnections ==
          0);
  }
}

TEST_CASE("a stream through the gateway", "[forwarding]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const std::string interruptedStream =
    GatewayFixture::StreamHead() +
    GatewayFixture::Chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  const std::string remainingStream =
    GatewayFixture::StreamHead() +
    GatewayFixture::Chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") + "0\r\n\r\n";

  SECTION("that is interrupted is resumed at another upstream if resumable")
  {
    // The upstream that is chosen first interrupts the stream; the other one
    // sends the remaining events.
    fixture.m_firstUpstream.m_scripts = { { interruptedStream, false, false } };
    fixture.m_secondUpstream.m_scripts = {
      { interruptedStream, false, false }
    };
    std::string response;
    {
      fixture.m_state.m_onLoadChanged = [&](const UpstreamId& aId,
                                            const std::vector<PromptPart>&) {
        ScriptedUpstream& other = aId == UpstreamId("u1")
                                    ? fixture.m_secondUpstream
                                    : fixture.m_firstUpstream;
        if (fixture.m_firstUpstream.m_requests.size() +
              fixture.m_secondUpstream.m_requests.size() ==
            0) {
          other.m_scripts = { { remainingStream } };
        }
      };
      response = fixture.Call(GatewayFixture::Request("/resume/"));
    }
    CHECK(Contains(response, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    CHECK(Contains(response, "id: 3\ndata: c\n\n"));
    CHECK(response.find("data: b") == response.rfind("data: b"));
    CHECK_FALSE(Contains(response, "id: 3\nda\r\n"));
    CHECK(response.ends_with("0\r\n\r\n"));
    const auto& resumed =
      Contains(fixture.m_firstUpstream.m_requests.front(), "Last-Event-Id: 2")
        ? fixture.m_firstUpstream
        : fixture.m_secondUpstream;
    CHECK(Contains(resumed.m_requests.front(), "Last-Event-Id: 2\r\n"));
  }

  SECTION("that is interrupted and not resumable ends without the last chunk")
  {
    fixture.m_firstUpstream.m_scripts = { { interruptedStream } };
    fixture.m_secondUpstream.m_scripts = { { interruptedStream } };
    const std::string response =
      fixture.Call(GatewayFixture::Request("/stream/"));
    CHECK(fixture.m_wasClosedByGateway);
    CHECK(Contains(response, "data: b\n\n"));
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    CHECK_FALSE(Contains(response, "id: 3"));
  }
}

TEST_CASE("a planned shutdown of the gateway", "[forwarding]")
{
  // Regression: a connection whose response had begun before the shutdown was
  // kept open afterwards and accepted a request just before the process exited.
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const std::string unfinishedStream =
    GatewayFixture::StreamHead() + GatewayFixture::Chunk("id: 1\ndata: a\n\n");
  fixture.m_firstUpstream.m_scripts = { { unfinishedStream, true } };
  fixture.m_secondUpstream.m_scripts = { { unfinishedStream, true } };
  std::string keepAliveRequest = GatewayFixture::Request("/stream/");
  const std::string closeField = "Connection: close\r\n";
  keepAliveRequest.erase(keepAliveRequest.find(closeField), closeField.size());

  bool isStopped = false;
  asio::steady_timer stopTimer(fixture.m_io, std::chrono::milliseconds(100));
  stopTimer.async_wait([&](const boost::system::error_code&) {
    fixture.m_server.BeginStop([&isStopped] { isStopped = true; });
  });
  CHECK_FALSE(isStopped);
  const std::string response =
    fixture.Call(keepAliveRequest, std::chrono::milliseconds(2500));

  SECTION("is not ready once the shutdown has begun")
  {
    CHECK_FALSE(fixture.m_server.IsReady());
  }

  SECTION("closes the connection after the response")
  {
    CHECK(Contains(response, "data: a"));
    CHECK(fixture.m_wasClosedByGateway);
  }

  SECTION("completes and accepts no more connections")
  {
    fixture.RunFor(std::chrono::milliseconds(300));
    CHECK(isStopped);
    CHECK(fixture.Call(GatewayFixture::Request("/once/")).empty());
  }
}

TEST_CASE("a planned shutdown with idle connections", "[forwarding]")
{
  // A caller keeps a connection open without sending anything. A shutdown does
  // not wait for it, and closes it before it can send a request that would be
  // interrupted.
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  bool isStopped = false;
  std::chrono::steady_clock::time_point stoppedAt;
  const auto startedAt = std::chrono::steady_clock::now();
  asio::steady_timer stopTimer(fixture.m_io, std::chrono::milliseconds(50));
  stopTimer.async_wait([&](const boost::system::error_code&) {
    fixture.m_server.BeginStop([&] {
      isStopped = true;
      stoppedAt = std::chrono::steady_clock::now();
    });
  });
  const std::string response =
    fixture.Call("", std::chrono::milliseconds(2500));
  CHECK(response.empty());
  CHECK(fixture.m_wasClosedByGateway);
  REQUIRE(isStopped);
  CHECK(stoppedAt - startedAt < std::chrono::milliseconds(1500));
}

// Regression: connections of callers that had given up were accepted one at a
// time, so that later callers were never accepted.
TEST_CASE("a gateway accepts many pending connections in few loop iterations",
          "[forwarding]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  constexpr std::uint64_t kCallerCount = 100;
  constexpr int kRounds = 20;
  asio::io_context callersIo(1);
  std::vector<Tcp::socket> callers;
  const std::size_t colon = fixture.m_callerAddress.rfind(':');
  const Tcp::endpoint gateway(asio::ip::make_address("127.0.0.1"),
                              static_cast<std::uint16_t>(std::stoi(
                                fixture.m_callerAddress.substr(colon + 1))));
  for (std::uint64_t i = 0; i < kCallerCount; ++i) {
    callers.emplace_back(callersIo).connect(gateway);
  }
  for (int i = 0; i < kRounds; ++i) {
    fixture.m_io.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(fixture.m_state.m_counters.m_connectionsAccepted == kCallerCount);
}
