/// \file
/// Promises on leaving upstreams, planned stops and configuration, as stories
/// over whole fleets in virtual time.
#include "Oracle.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

constexpr int kLeavingSeconds = 3;

FakeFleetOptions
MakeOptions()
{
  FakeFleetOptions options;
  options.m_budgets = { { "big", 100000 }, { "small", 300 } };
  return options;
}

/// Counts runs that started at an upstream since a moment.
std::size_t
RunsSince(const FakeFleet& aFleet, const std::string& aUpstream, Instant aSince)
{
  const auto& runs = aFleet.Runs();
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_upstream == aUpstream && aRun.m_startedAt > aSince;
    }));
}

} // namespace

TEST_CASE("a leaving upstream gets no new work after seconds", "[promise]")
{
  FakeFleet fleet(MakeOptions());
  Oracle oracle(fleet);
  VirtualTime& time = fleet.Time();
  time.Advance(milliseconds(2000));
  const std::string leaving = fleet.AgentName(1);
  auto load = [&](int aSeconds) {
    for (int i = 0; i < aSeconds * 10; ++i) {
      oracle.Ask(i % 2, "big", true, true, i % 3 == 0, 5);
      time.Advance(milliseconds(100));
    }
  };
  load(3);
  REQUIRE(RunsSince(fleet, leaving, Instant{}) > 0);

  SECTION("drained by an operator")
  {
    fleet.ApplyConfig({ leaving });
  }
  SECTION("drained by an operator while a router does not reach the platform")
  {
    fleet.SetKeyValueReachable(fleet.RouterName(1), false);
    fleet.ApplyConfig({ leaving });
  }
  SECTION("drained by an operator, the agent cut off from one router")
  {
    fleet.Network().Cut(fleet.RouterName(0), leaving);
    fleet.ApplyConfig({ leaving });
  }
  SECTION("named as leaving by the host list")
  {
    fleet.Router(0)->SetLeaving({ UpstreamId(leaving) });
    fleet.Router(1)->SetLeaving({ UpstreamId(leaving) });
  }
  SECTION("its agent asked to stop")
  {
    fleet.Agent(1)->SetStopping();
  }
  load(kLeavingSeconds);
  const Instant since = time.Now();
  load(5);
  CHECK(RunsSince(fleet, leaving, since) == 0);
  time.Advance(milliseconds(20000));
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_answers == 1);
  }
}

TEST_CASE("a stopping agent refuses what is already on its way", "[promise]")
{
  FakeFleet fleet(MakeOptions());
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  // No router can have heard of it when these leave.
  fleet.Agent(1)->SetStopping();
  for (int i = 0; i < 12; ++i) {
    oracle.Ask(i % 2, "big", true, true, false, 5);
  }
  fleet.Time().Advance(milliseconds(20000));
  CHECK(RunsSince(fleet, fleet.AgentName(1), Instant{}) == 0);
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_answers == 1);
  }
}

TEST_CASE(
  "a planned stop of a router cuts off nothing and leaves nothing behind",
  "[promise]")
{
  FakeFleet fleet(MakeOptions());
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  for (int i = 0; i < 8; ++i) {
    oracle.Ask(0, "big", true, true, i % 2 == 0, 60);
  }
  fleet.Time().Advance(milliseconds(300));
  bool isDone = false;
  fleet.RetireRouter(0, [&] { isDone = true; });

  SECTION("the platform is well") {}
  SECTION("answers of the platform are lost")
  {
    fleet.KeyValue().Faults().m_lostResponseProbability = 0.5;
  }
  SECTION("the platform is down for a while")
  {
    fleet.KeyValue().Faults().m_isDown = true;
    fleet.Time().Advance(milliseconds(5000));
    fleet.KeyValue().Faults().m_isDown = false;
  }
  fleet.Time().Advance(milliseconds(60000));
  REQUIRE(isDone);
  for (const CallerRequest& request : oracle.Requests()) {
    CHECK(request.m_answers == 1);
  }
  CHECK(oracle.CheckAtRest().empty());
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
  SECTION("also at a router that does not reach the platform: agents tell it")
  {
    fleet.SetKeyValueReachable(fleet.RouterName(0), false);
    fleet.Time().Advance(milliseconds(4000));
  }
  SECTION("also at processes that start in an outage right after")
  {
    fleet.Time().Advance(milliseconds(1000));
    fleet.KeyValue().Faults().m_isDown = true;
    fleet.KillAgent(2);
    fleet.StartAgent(2);
    fleet.Time().Advance(milliseconds(4000));
  }
  SECTION("a frozen router comes back with the old one and catches up")
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
