/// \file
/// Frames that are late, misdirected, repeated or out of sequence never corrupt
/// a caller's response.
#include "Oracle.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

TEST_CASE("a response is complete and unaltered whatever frames arrive",
          "[promise]")
{
  FakeFleetOptions options;
  options.m_routers = 1;
  options.m_chatUpstreams = 1;
  options.m_budgets = { { "big", 100000 } };
  FakeFleet fleet(options);
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  oracle.Submit(0, "big", true, true, false, 20);
  oracle.Submit(0, "big", true, true, false, 20);
  fleet.Time().Advance(milliseconds(200));
  RouterCore& router = *fleet.Router(0);
  const PeerId peer =
    router.Directory().Agents().at(UpstreamId(fleet.AgentName(0))).m_peer;
  // Each router incarnation numbers its attempts from 1.
  const AttemptId attempt = 1;
  const std::string firstToken = FakeToken(RequestKey("~u0"), 0);

  SECTION("a frame is repeated")
  {
    router.OnMessage(peer, ResponseData{ attempt, 0, firstToken, 1, 0 });
  }
  SECTION("a frame repeats received bytes and continues with new ones")
  {
    const std::string firstTwoTokens =
      firstToken + FakeToken(RequestKey("~u0"), 1);
    router.OnMessage(peer, ResponseData{ attempt, 0, firstTwoTokens, 2, 0 });
  }
  SECTION("a frame leaves a gap before its offset")
  {
    router.OnMessage(peer,
                     ResponseData{ attempt, 100000, "from far ahead", 99, 0 });
  }
  SECTION("a frame names an unknown attempt")
  {
    router.OnMessage(peer, ResponseData{ 999, 0, "crossed", 1, 0 });
  }
  SECTION("the end arrives before the last bytes")
  {
    ResponseEnd end;
    end.m_attempt = attempt;
    end.m_length = 100000;
    router.OnMessage(peer, end);
  }
  SECTION("a frame arrives from a peer other than the dispatched agent")
  {
    router.OnMessage(peer + 12345,
                     ResponseData{ attempt, 0, "stranger", 1, 0 });
  }
  fleet.Time().Advance(milliseconds(20000));
  CHECK(oracle.CheckInvariants({ { "big", 100000 } }).empty());
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_completeResponses == 1);
  }
}
