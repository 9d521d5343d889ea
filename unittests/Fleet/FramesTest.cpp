/// \file
/// Frames that come late, crossed, repeated or with a gap never show in a
/// caller's answer.
#include "Oracle.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

TEST_CASE("an answer is whole and its own whatever frames come", "[promise]")
{
  FakeFleetOptions options;
  options.m_routers = 1;
  options.m_chatUpstreams = 1;
  options.m_budgets = { { "big", 100000 } };
  FakeFleet fleet(options);
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  oracle.Ask(0, "big", true, true, false, 20);
  oracle.Ask(0, "big", true, true, false, 20);
  fleet.Time().Advance(milliseconds(200));
  RouterCore& router = *fleet.Router(0);
  const PeerId peer =
    router.Directory().Agents().at(UpstreamId(fleet.AgentName(0))).m_peer;
  // The first attempts of a router's life are numbered from 1.
  const AttemptId mine = 1;
  const std::string first = FakeToken(RequestKey("~u0"), 0);

  SECTION("a piece is repeated")
  {
    router.OnMessage(peer, ResponseData{ mine, 0, first, 1, 0 });
  }
  SECTION("a piece is repeated with more behind it")
  {
    const std::string both = first + FakeToken(RequestKey("~u0"), 1);
    router.OnMessage(peer, ResponseData{ mine, 0, both, 2, 0 });
  }
  SECTION("a piece is missing before this one")
  {
    router.OnMessage(peer,
                     ResponseData{ mine, 100000, "from far ahead", 99, 0 });
  }
  SECTION("a piece of an attempt that is not known")
  {
    router.OnMessage(peer, ResponseData{ 999, 0, "crossed", 1, 0 });
  }
  SECTION("an end that comes before the last pieces")
  {
    ResponseEnd end;
    end.m_attempt = mine;
    end.m_length = 100000;
    router.OnMessage(peer, end);
  }
  SECTION("a piece from an agent that was not asked")
  {
    router.OnMessage(peer + 12345, ResponseData{ mine, 0, "stranger", 1, 0 });
  }
  fleet.Time().Advance(milliseconds(20000));
  CHECK(oracle.CheckAlways({ { "big", 100000 } }).empty());
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_answers == 1);
  }
}
