/// \file
/// Planned stops of a router whose requests outlast the grace, that is, the
/// time until its host kills it.
#include "Oracle.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kGrace = seconds(8);
/// The unit of fake work is a token of 20 ms: 60 s.
constexpr std::uint64_t kLongChat = 3000;

FakeFleetOptions
MakeOptions()
{
  FakeFleetOptions options;
  options.m_budgets = { { "big", 100000 }, { "small", 300 } };
  options.m_upstream.m_callDuration = seconds(60);
  return options;
}

} // namespace

TEST_CASE("a planned stop answers every caller before the grace ends",
          "[promise]")
{
  FakeFleet fleet(MakeOptions());
  Oracle oracle(fleet);
  fleet.Time().Advance(milliseconds(2000));
  // The process ends once it has retired, or its host kills it.
  auto stop = [&](bool aIsComplete) {
    std::optional<bool> result;
    fleet.RetireRouter(0, [&](bool aResult) { result = aResult; });
    fleet.Time().Advance(kGrace);
    CHECK(result == aIsComplete);
    fleet.KillRouter(0);
  };
  auto checkFailure = [&](ResultCode aCode, Ran aRan) {
    for (const CallerRequest& request : oracle.Requests()) {
      CHECK(request.m_completeResponses == 0);
      REQUIRE(request.m_failures.size() == 1);
      CHECK(request.m_failures.front() == RequestFailure{ aCode, aRan });
    }
  };

  SECTION("work that can be cancelled is settled in time")
  {
    oracle.Submit(0, "big", true, true, false, kLongChat);
    fleet.Time().Advance(milliseconds(500));
    REQUIRE(fleet.Runs().size() == 1);
    stop(true);
    checkFailure(ResultCode::kOutcomeUnknown, Ran::kUnknown);
    CHECK(fleet.Budget("big").m_draws.empty());
    CHECK(fleet.KeyValue().Store().List("ledger/").empty());
  }

  SECTION("work that outlasts the grace may have run")
  {
    oracle.Submit(0, "big", true, true, false, kLongChat);
    oracle.Submit(0, "big", true, true, true, kLongChat);
    oracle.Submit(0, "big", false, false, true, 0);
    fleet.Time().Advance(milliseconds(500));
    REQUIRE(fleet.Runs().size() == 3);
    stop(false);
    checkFailure(ResultCode::kOutcomeUnknown, Ran::kUnknown);
  }

  SECTION("work that an unreachable upstream may still do may have run")
  {
    oracle.Submit(0, "big", true, true, false, kLongChat);
    fleet.Time().Advance(milliseconds(500));
    for (std::size_t i = 0; i < fleet.AgentCount(); ++i) {
      fleet.AgentProcess(static_cast<int>(i)).Freeze();
    }
    stop(false);
    checkFailure(ResultCode::kOutcomeUnknown, Ran::kUnknown);
  }

  SECTION("a request that still waits for credit has not run")
  {
    fleet.KeyValue().Faults().m_addedLatency = seconds(60);
    oracle.Submit(0, "big", true, true, false, 5);
    fleet.Time().Advance(milliseconds(500));
    stop(false);
    checkFailure(ResultCode::kDraining, Ran::kNo);
    CHECK(fleet.Runs().empty());
  }

  SECTION("credit that cannot be returned in time does not delay the end")
  {
    oracle.Submit(0, "big", true, true, false, 5);
    fleet.Time().Advance(milliseconds(500));
    REQUIRE(oracle.Requests().front().m_completeResponses == 1);
    fleet.KeyValue().Faults().m_isDown = true;
    stop(false);
  }

  fleet.HealAll();
  fleet.Time().Advance(seconds(200));
  CHECK(
    oracle.CheckInvariants({ { "big", 100000 }, { "small", 300 } }).empty());
  CHECK(oracle.CheckFinalBills().empty());
}
