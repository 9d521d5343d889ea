/// \file
/// Command sequences that once violated an invariant, found by fuzzing and
/// reproduced here in their shrunk form.
#include "Oracle.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// A fleet of the size that the fuzz tests use, after its startup, with an
/// oracle.
class RegressionFleet
{
public:
  RegressionFleet()
    : m_fleet(MakeOptions())
    , m_oracle(m_fleet)
  {
    AdvanceMilliseconds(2000);
  }

  void AdvanceMilliseconds(int aMilliseconds)
  {
    m_fleet.Time().Advance(milliseconds(aMilliseconds));
  }
  void SetKeyValueDown(bool aIsDown)
  {
    m_fleet.KeyValue().Faults().m_isDown = aIsDown;
  }

  /// Ends all faults, waits until all work has completed and returns all
  /// violations.
  std::vector<std::string> RecoverAndCheck()
  {
    m_fleet.HealAll();
    AdvanceMilliseconds(200'000);
    std::vector<std::string> violations =
      m_oracle.CheckInvariants({ { "big", 100000 }, { "small", 300 } });
    const std::vector<std::string> billViolations = m_oracle.CheckFinalBills();
    violations.insert(
      violations.end(), billViolations.begin(), billViolations.end());
    return violations;
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

TEST_CASE("command sequences that once violated an invariant", "[kept]")
{
  RegressionFleet fixture;

  SECTION(
    "two concurrent submissions with one key run once and are billed once")
  {
    fixture.m_oracle.Submit(1, "small", true, true, true, 1);
    fixture.m_oracle.Resubmit(0, 1);
    CHECK(fixture.RecoverAndCheck().empty());
    CHECK(fixture.m_fleet.Runs().size() == 1);
  }

  SECTION("a run that one router abandons and another moves is billed once")
  {
    FakeFleet& fleet = fixture.m_fleet;
    fleet.Network().Cut(fleet.AgentName(0), fleet.RouterName(0));
    fixture.m_oracle.Submit(0, "small", true, true, true, 1);
    fixture.AdvanceMilliseconds(700);
    fleet.SetKeyValueReachable(fleet.RouterName(0), false);
    fixture.AdvanceMilliseconds(2000);
    fixture.m_oracle.Resubmit(0, 1);
    CHECK(fixture.RecoverAndCheck().empty());
  }

  SECTION("the charge of a duplicated request is not lost when another request "
          "with its key ends at the same router")
  {
    FakeFleet& fleet = fixture.m_fleet;
    fleet.Network().Cut(fleet.RouterName(1), fleet.AgentName(1));
    for (int router : { 0, 0, 1, 1, 1, 0 }) {
      fixture.m_oracle.Submit(router, "small", true, true, false, 1);
    }
    fixture.AdvanceMilliseconds(200);
    fixture.m_oracle.Submit(1, "big", true, true, true, 1);
    fleet.Network().Cut(fleet.AgentName(2), fleet.RouterName(1));
    fixture.m_oracle.Resubmit(6, 1);
    fixture.AdvanceMilliseconds(2000);
    fleet.SetKeyValueReachable(fleet.RouterName(1), false);
    fixture.AdvanceMilliseconds(2000);
    CHECK(fixture.RecoverAndCheck().empty());
  }

  SECTION(
    "a request is billed once if a frozen agent's charge arrives while the "
    "second attempt waits for credit")
  {
    fixture.m_oracle.Submit(0, "small", true, true, false, 1);
    fixture.AdvanceMilliseconds(2000);
    fixture.SetKeyValueDown(true);
    fixture.m_oracle.Submit(0, "small", true, true, false, 1);
    fixture.m_fleet.AgentProcess(0).Freeze();
    fixture.AdvanceMilliseconds(2700);
    CHECK(fixture.RecoverAndCheck().empty());
  }

  SECTION("a completed request whose upstream is cut off is billed once if its "
          "caller submits it again")
  {
    fixture.m_oracle.Submit(0, "small", true, true, true, 1);
    fixture.AdvanceMilliseconds(200);
    for (int agent = 0; agent < 3; ++agent) {
      const std::string name = fixture.m_fleet.AgentName(agent);
      if (name == fixture.m_fleet.Runs().front().m_upstream) {
        fixture.m_fleet.Network().Cut("router-0", name);
      }
    }
    fixture.m_oracle.Resubmit(0, 0);
    fixture.AdvanceMilliseconds(15000);
    CHECK(fixture.RecoverAndCheck().empty());
  }

  SECTION("a call that is lost at a frozen agent and cannot be journaled "
          "elsewhere is not reported as not run")
  {
    fixture.m_fleet.AgentProcess(3).Freeze();
    fixture.m_oracle.Submit(1, "small", false, false, true, 1);
    fixture.AdvanceMilliseconds(700);
    fixture.SetKeyValueDown(true);
    fixture.AdvanceMilliseconds(6000);
    CHECK(fixture.RecoverAndCheck().empty());
  }
}

TEST_CASE("a request that ran elsewhere is never reported as not run", "[kept]")
{
  FakeFleetOptions options = RegressionFleet::MakeOptions();
  options.m_requestTimeoutMilliseconds = 1000;
  FakeFleet fleet(options);
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  oracle.Submit(0, "small", true, true, true, 1);
  fleet.Time().Advance(milliseconds(300));
  REQUIRE(oracle.Requests().front().m_completeResponses == 1);
  // The upstream of the run becomes unreachable, and the request times out
  // before the router stops waiting for that upstream.
  const std::string upstream = fleet.Runs().front().m_upstream;
  fleet.Network().Cut("router-0", upstream);
  fleet.Network().Cut(upstream, "router-0");
  fleet.Time().Advance(milliseconds(2000));
  oracle.Resubmit(0, 0);
  fleet.Time().Advance(milliseconds(5000));
  REQUIRE(oracle.Requests().front().m_failures.size() == 1);
  CHECK(oracle.Requests().front().m_failures.front().m_ran == Ran::kUnknown);
}

TEST_CASE("a request that failed at an upstream is never reported as not run",
          "[kept]")
{
  FakeFleetOptions options = RegressionFleet::MakeOptions();
  options.m_chatUpstreams = 2;
  FakeFleet fleet(options);
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  fleet.SetFailing(0, true);
  fleet.SetFailing(1, true);
  oracle.Submit(0, "big", true, true, false, 5);

  SECTION("when it fails at the other upstream too") {}
  SECTION("when the other upstream refuses it")
  {
    const auto isSentAgain = [&] {
      return std::count_if(fleet.Events().begin(),
                           fleet.Events().end(),
                           [](const Event& aEvent) {
                             return aEvent.m_fields.m_name == "dispatched";
                           }) == 2;
    };
    while (!isSentAgain()) {
      fleet.Time().Advance(std::chrono::microseconds(100));
    }
    const bool isAtFirst =
      fleet.Events().back().m_fields.m_upstream == fleet.AgentName(0);
    fleet.Agent(isAtFirst ? 0 : 1)->SetStopping();
  }
  fleet.Time().Advance(milliseconds(5000));
  const CallerRequest& failed = oracle.Requests().front();
  REQUIRE(failed.m_failures.size() == 1);
  CHECK(failed.m_failures.front().m_ran == Ran::kUnknown);
  CHECK(
    oracle.CheckInvariants({ { "big", 100000 }, { "small", 300 } }).empty());
}
