/// \file
/// Guarantees on leaving upstreams, planned stops and configuration changes,
/// tested on simulated fleets.
#include "Oracle.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

constexpr int kDrainSeconds = 3;

FakeFleetOptions
MakeOptions()
{
  FakeFleetOptions options;
  options.m_budgets = { { "big", 100000 }, { "small", 300 } };
  return options;
}

/// Counts the runs that started at an upstream after \p aSince.
std::size_t
CountRunsSince(const FakeFleet& aFleet,
               const std::string& aUpstream,
               Instant aSince)
{
  const auto& runs = aFleet.Runs();
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_upstream == aUpstream && aRun.m_startedAt > aSince;
    }));
}

} // namespace

TEST_CASE("a leaving upstream receives no new work after a few seconds",
          "[promise]")
{
  FakeFleet fleet(MakeOptions());
  Oracle oracle(fleet);
  VirtualTime& time = fleet.Time();
  time.Advance(milliseconds(2000));
  const std::string leavingUpstream = fleet.AgentName(1);
  auto submitLoad = [&](int aSeconds) {
    for (int i = 0; i < aSeconds * 10; ++i) {
      oracle.Submit(i % 2, "big", true, true, i % 3 == 0, 5);
      time.Advance(milliseconds(100));
    }
  };
  submitLoad(3);
  REQUIRE(CountRunsSince(fleet, leavingUpstream, Instant{}) > 0);

  SECTION("drained by an operator")
  {
    fleet.ApplyConfig({ leavingUpstream });
  }
  SECTION(
    "drained by an operator while a router cannot reach the key-value service")
  {
    fleet.SetKeyValueReachable(fleet.RouterName(1), false);
    fleet.ApplyConfig({ leavingUpstream });
  }
  SECTION("drained by an operator while one router cannot reach its agent")
  {
    fleet.Network().Cut(fleet.RouterName(0), leavingUpstream);
    fleet.ApplyConfig({ leavingUpstream });
  }
  SECTION("reported as leaving by the host list")
  {
    fleet.Router(0)->SetLeaving({ UpstreamId(leavingUpstream) });
    fleet.Router(1)->SetLeaving({ UpstreamId(leavingUpstream) });
  }
  SECTION("its agent is stopping")
  {
    fleet.Agent(1)->SetStopping();
  }
  submitLoad(kDrainSeconds);
  const Instant since = time.Now();
  submitLoad(5);
  CHECK(CountRunsSince(fleet, leavingUpstream, since) == 0);
  time.Advance(milliseconds(20000));
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_completeResponses == 1);
  }
}

TEST_CASE("a stopping agent refuses requests that are already in flight",
          "[promise]")
{
  FakeFleet fleet(MakeOptions());
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  // No router has been notified yet when these requests are dispatched.
  fleet.Agent(1)->SetStopping();
  for (int i = 0; i < 12; ++i) {
    oracle.Submit(i % 2, "big", true, true, false, 5);
  }
  fleet.Time().Advance(milliseconds(20000));
  CHECK(CountRunsSince(fleet, fleet.AgentName(1), Instant{}) == 0);
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_completeResponses == 1);
  }
}

TEST_CASE(
  "a planned stop of a router interrupts no request and leaves no state behind",
  "[promise]")
{
  FakeFleet fleet(MakeOptions());
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  for (int i = 0; i < 8; ++i) {
    oracle.Submit(0, "big", true, true, i % 2 == 0, 60);
  }
  fleet.Time().Advance(milliseconds(300));
  bool isRetired = false;
  fleet.RetireRouter(0, [&](bool aIsComplete) { isRetired = aIsComplete; });

  SECTION("the key-value service is healthy") {}
  SECTION("responses of the key-value service are lost")
  {
    fleet.KeyValue().Faults().m_lostResponseProbability = 0.5;
  }
  SECTION("the key-value service is down for a while")
  {
    fleet.KeyValue().Faults().m_isDown = true;
    fleet.Time().Advance(milliseconds(5000));
    fleet.KeyValue().Faults().m_isDown = false;
  }
  fleet.Time().Advance(milliseconds(60000));
  REQUIRE(isRetired);
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_completeResponses == 1);
  }
  CHECK(oracle.CheckFinalBills().empty());
  CHECK(fleet.Budget("big").m_draws.empty());
  CHECK(fleet.KeyValue().Store().List("ledger/").empty());
}

TEST_CASE(
  "an accepted configuration is in force within seconds and never reverts",
  "[promise]")
{
  FakeFleet fleet(MakeOptions());
  fleet.Time().Advance(milliseconds(2000));
  const std::uint64_t version = fleet.ApplyConfig({ fleet.AgentName(0) });

  SECTION("everywhere")
  {
    fleet.Time().Advance(milliseconds(3000));
  }
  SECTION(
    "also at a router that cannot reach the key-value service, through agents")
  {
    fleet.SetKeyValueReachable(fleet.RouterName(0), false);
    fleet.Time().Advance(milliseconds(4000));
  }
  SECTION("also at processes that start in an outage right after the change")
  {
    fleet.Time().Advance(milliseconds(1000));
    fleet.KeyValue().Faults().m_isDown = true;
    fleet.KillAgent(2);
    fleet.StartAgent(2);
    fleet.Time().Advance(milliseconds(4000));
  }
  SECTION("a frozen router resumes with the previous version and catches up")
  {
    fleet.RouterProcess(1).Freeze();
    fleet.Time().Advance(milliseconds(20000));
    fleet.RouterProcess(1).Thaw();
    fleet.Time().Advance(milliseconds(4000));
  }
  for (int i = 0; i < static_cast<int>(fleet.RouterCount()); ++i) {
    CHECK(fleet.Router(i)->Current().m_version == version);
  }
  for (int i = 0; i < static_cast<int>(fleet.AgentCount()); ++i) {
    CHECK(fleet.Agent(i)->Current().m_version == version);
  }
}
