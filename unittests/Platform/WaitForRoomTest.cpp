/// \file
/// Requests that wait in the gateway while both upstreams are full.
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

const ServiceId kDesk("desk");

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// A gateway whose upstreams other routers keep full.
class FullGateway : public GatewayFixture
{
public:
  FullGateway()
  {
    RoutingConfig config = Config();
    for (Route& route : config.m_routes) {
      route.m_objective = milliseconds(400);
    }
    m_state.m_routes = std::make_shared<const RouteTable>(std::move(config));
    for (ScriptedUpstream* upstream : { &m_firstUpstream, &m_secondUpstream }) {
      upstream->m_scripts = { { SealedResponse() } };
    }
    SetPeerRequests(16); // Twice the slots.
    AdmissionQueueOptions options;
    options.m_minStall = std::chrono::seconds(1);
    UseOptions(options);
  }

  void UseOptions(const AdmissionQueueOptions& aOptions)
  {
    m_state.m_waiting.Queue() = AdmissionQueue(aOptions);
    m_state.m_waiting.Queue().NoteEnded(kDesk, milliseconds(50));
  }

  void SetPeerRequests(int aRequests)
  {
    for (const char* id : { "u1", "u2" }) {
      m_state.m_upstreams.NotePeerLoad(
        "peer", UpstreamId(id), { aRequests, 0, {} }, m_state.Now());
    }
  }

  std::size_t Waiting() { return m_state.m_waiting.Queue().Waiting(); }
  WaitingCounters& Counters() { return m_state.m_waiting.Counters(); }
  std::size_t PassedOn() const
  {
    return m_firstUpstream.m_requests.size() +
           m_secondUpstream.m_requests.size();
  }
};

} // namespace

TEST_CASE("a request that finds all upstreams full", "[queue]")
{
  FullGateway gateway;
  REQUIRE(gateway.m_startStatus.ok());
  RawSocket caller(gateway.m_callerAddress);

  SECTION("waits and is served when there is room")
  {
    caller.Send(KeepAliveRequest("/once/"));
    gateway.RunFor(milliseconds(60));
    CHECK(caller.Received().empty());
    CHECK(gateway.Waiting() == 1);
    CHECK(gateway.PassedOn() == 0);
    gateway.SetPeerRequests(15);
    gateway.RunFor(milliseconds(100));
    CHECK(caller.Received().starts_with("HTTP/1.1 200"));
    CHECK(gateway.Waiting() == 0);
    CHECK(gateway.Counters().m_admitted == 1);
    gateway.RunFor(milliseconds(200));
    CHECK(Contains(gateway.m_logPipe.LineOf("request.end"),
                   "\"queue\":\"admitted\""));
  }

  SECTION("leaves the queue with its caller and isn't passed on")
  {
    caller.Send(KeepAliveRequest("/once/"));
    gateway.RunFor(milliseconds(60));
    REQUIRE(gateway.Waiting() == 1);
    caller.Socket().close();
    gateway.RunFor(milliseconds(100));
    CHECK(gateway.Waiting() == 0);
    CHECK(gateway.Counters().m_left == 1);
    gateway.SetPeerRequests(0);
    gateway.RunFor(milliseconds(100));
    CHECK(gateway.PassedOn() == 0);
  }

  SECTION("is refused at once if no room is expected in time")
  {
    for (int i = 0; i < 100; ++i) {
      gateway.m_state.m_waiting.Queue().NoteEnded(kDesk, milliseconds(20'000));
    }
    caller.Send(KeepAliveRequest("/once/"));
    gateway.RunFor(milliseconds(50));
    CHECK(caller.Received().starts_with("HTTP/1.1 503"));
    CHECK(Contains(caller.Received(), "Retry-After: "));
    CHECK(gateway.Counters().m_refused == 1);
    CHECK(gateway.PassedOn() == 0);
  }

  SECTION("is refused as soon as no room is expected in time any more")
  {
    caller.Send(KeepAliveRequest("/once/"));
    gateway.RunFor(milliseconds(60));
    REQUIRE(gateway.Waiting() == 1);
    for (int i = 0; i < 100; ++i) {
      gateway.m_state.m_waiting.Queue().NoteEnded(kDesk, milliseconds(20'000));
    }
    gateway.RunFor(milliseconds(60));
    CHECK(caller.Received().starts_with("HTTP/1.1 503"));
    CHECK(gateway.Counters().m_pushedOut == 1);
    CHECK(gateway.PassedOn() == 0);
  }

  SECTION("is refused early if the room never comes")
  {
    gateway.UseOptions({});
    caller.Send(KeepAliveRequest("/once/"));
    gateway.RunFor(milliseconds(200));
    CHECK(caller.Received().starts_with("HTTP/1.1 503"));
    CHECK(gateway.PassedOn() == 0);
  }
}
