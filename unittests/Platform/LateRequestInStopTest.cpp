/// \file
/// Requests that are late in a planned stop of the gateway.
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// From the stop request to the end of the process; the forced end comes 600 ms
/// before.
constexpr milliseconds kGrace(1600);

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// A gateway that is stopped while it serves requests.
class StoppingGateway : public GatewayFixture
{
public:
  StoppingGateway()
    : GatewayFixture(kGrace)
  {
  }

  void Stop()
  {
    m_server.BeginStop([this] { m_isStopped = true; });
  }

  bool m_isStopped = false;
};

} // namespace

// Regression: nothing told which requests the end of a stop had cut.
TEST_CASE("a request that is cut at the forced end of a stop", "[stop]")
{
  StoppingGateway gateway;
  REQUIRE(gateway.m_startStatus.ok());
  // More than the sockets hold, for a caller that does not read.
  std::string stream = StreamHeadOf();
  const std::string event(100'000, 'e');
  for (int i = 1; i <= 200; ++i) {
    stream += GatewayFixture::Chunk("id: " + std::to_string(i) +
                                    "\ndata: " + event + "\n\n");
  }
  gateway.m_firstUpstream.m_scripts = { { stream } };
  gateway.m_secondUpstream.m_scripts = { { stream } };
  RawSocket caller(gateway.m_callerAddress);
  caller.Send(KeepAliveRequest("/stream/"));
  gateway.RunFor(milliseconds(200));
  gateway.Stop();
  gateway.RunFor(milliseconds(900));
  CHECK_FALSE(gateway.m_isStopped);
  gateway.RunFor(milliseconds(400));
  REQUIRE(gateway.m_isStopped);

  SECTION("leaves a line with its id, its time and whether it was passed on")
  {
    const std::string line = gateway.m_logPipe.LineOf("request.cut");
    CHECK(Contains(line, "\"request\":\"a1b2\""));
    const std::string field = "\"in_flight_ms\":";
    REQUIRE(Contains(line, field));
    CHECK(std::stoi(line.substr(line.find(field) + field.size())) >= 1000);
    CHECK(Contains(line, "\"passed_on\":true"));
    CHECK(Contains(line, "\"begun\":true"));
  }

  SECTION("is counted")
  {
    CHECK(gateway.m_state.m_counters.m_requestsCut == 1);
  }
}
