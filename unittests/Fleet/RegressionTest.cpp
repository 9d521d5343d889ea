/// \file
/// Sequences that once broke a promise, found by fuzzing, kept as they were
/// shrunk.
#include "Oracle.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// A settled fleet of the size that the fuzzing uses.
class KeptFleet
{
public:
  KeptFleet()
    : m_fleet(MakeOptions())
    , m_oracle(m_fleet)
  {
    Pass(2000);
  }

  void Pass(int aMilliseconds)
  {
    m_fleet.Time().Advance(milliseconds(aMilliseconds));
  }
  void SetDown(bool aIsDown) { m_fleet.KeyValue().Faults().m_isDown = aIsDown; }

  /// Heals everything and returns all findings.
  std::vector<std::string> Judge()
  {
    m_fleet.HealAll();
    Pass(200'000);
    std::vector<std::string> findings =
      m_oracle.CheckAlways({ { "big", 100000 }, { "small", 300 } });
    const std::vector<std::string> atRest = m_oracle.CheckAtRest();
    findings.insert(findings.end(), atRest.begin(), atRest.end());
    return findings;
  }

  static FakeFleetOptions MakeOptions()
  {
    FakeFleetOptions options;
    options.m_budgets = { { "big", 100000 }, { "small", 300 } };
    return options;
  }

  FakeFleet m_fleet;
  Oracle m_oracle;
};

} // namespace

TEST_CASE("sequences that once broke a promise", "[kept]")
{
  KeptFleet kept;

  SECTION("two calls with one key at once: one run, one bill")
  {
    kept.m_oracle.Ask(1, "small", true, true, true, 1);
    kept.m_oracle.AskAgain(0, 1);
    CHECK(kept.Judge().empty());
    CHECK(kept.m_fleet.Runs().size() == 1);
  }

  SECTION("a run given up by one router and moved on by another: one bill")
  {
    FakeFleet& fleet = kept.m_fleet;
    fleet.Network().Cut(fleet.AgentName(0), fleet.RouterName(0));
    kept.m_oracle.Ask(0, "small", true, true, true, 1);
    kept.Pass(700);
    fleet.SetKeyValueReachable(fleet.RouterName(0), false);
    kept.Pass(2000);
    kept.m_oracle.AskAgain(0, 1);
    CHECK(kept.Judge().empty());
  }

  SECTION("a doubled request and another with its key at the same router: the "
          "other one's end does not forget the charge")
  {
    FakeFleet& fleet = kept.m_fleet;
    fleet.Network().Cut(fleet.RouterName(1), fleet.AgentName(1));
    for (int router : { 0, 0, 1, 1, 1, 0 }) {
      kept.m_oracle.Ask(router, "small", true, true, false, 1);
    }
    kept.Pass(200);
    kept.m_oracle.Ask(1, "big", true, true, true, 1);
    fleet.Network().Cut(fleet.AgentName(2), fleet.RouterName(1));
    kept.m_oracle.AskAgain(6, 1);
    kept.Pass(2000);
    fleet.SetKeyValueReachable(fleet.RouterName(1), false);
    kept.Pass(2000);
    CHECK(kept.Judge().empty());
  }

  SECTION("a frozen agent's charge comes while the second attempt waits for "
          "credit: one bill")
  {
    kept.m_oracle.Ask(0, "small", true, true, false, 1);
    kept.Pass(2000);
    kept.SetDown(true);
    kept.m_oracle.Ask(0, "small", true, true, false, 1);
    kept.m_fleet.AgentProcess(0).Freeze();
    kept.Pass(2700);
    CHECK(kept.Judge().empty());
  }

  SECTION("the place of a finished request is cut off when its caller asks "
          "again: one bill")
  {
    kept.m_oracle.Ask(0, "small", true, true, true, 1);
    kept.Pass(200);
    for (int agent = 0; agent < 3; ++agent) {
      const std::string name = kept.m_fleet.AgentName(agent);
      if (name == kept.m_fleet.Runs().front().m_upstream) {
        kept.m_fleet.Network().Cut("router-0", name);
      }
    }
    kept.m_oracle.AskAgain(0, 0);
    kept.Pass(15000);
    CHECK(kept.Judge().empty());
  }

  SECTION("a call is lost at a frozen agent and cannot be journaled elsewhere: "
          "not said to be not run")
  {
    kept.m_fleet.AgentProcess(3).Freeze();
    kept.m_oracle.Ask(1, "small", false, false, true, 1);
    kept.Pass(700);
    kept.SetDown(true);
    kept.Pass(6000);
    CHECK(kept.Judge().empty());
  }
}

TEST_CASE("a request that ran elsewhere is never said to be not run", "[kept]")
{
  FakeFleetOptions options = KeptFleet::MakeOptions();
  options.m_requestTimeoutMilliseconds = 1000;
  FakeFleet fleet(options);
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  oracle.Ask(0, "small", true, true, true, 1);
  fleet.Time().Advance(milliseconds(300));
  REQUIRE(oracle.Requests().front().m_answers == 1);
  // Its place goes out of reach; the request times out before the router stops
  // waiting for the place.
  const std::string place = fleet.Runs().front().m_upstream;
  fleet.Network().Cut("router-0", place);
  fleet.Network().Cut(place, "router-0");
  fleet.Time().Advance(milliseconds(2000));
  oracle.AskAgain(0, 0);
  fleet.Time().Advance(milliseconds(5000));
  REQUIRE(oracle.Requests().front().m_failures.size() == 1);
  CHECK(oracle.Requests().front().m_failures.front().m_ran == Ran::kUnknown);
}
