/// \file
/// Tests of the placement of callers' keys in the key-value service.
#include "bergamotpaddle/Router/ClaimRegister.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

/// One router's process and claim register.
struct RouterFixture
{
  RouterFixture(VirtualTime& aTime,
                FakeKeyValue& aKeyValue,
                ClaimRegisterOptions aOptions = {})
    : m_process(aTime)
    , m_register(aOptions,
                 aKeyValue.MakeHooks(m_process, [] { return true; }),
                 m_process.Timers())
  {
  }

  /// Proposes a placement of \p aKey and records the decision.
  void Decide(const std::string& aKey, KeyPlacement aProposal)
  {
    m_register.Decide(AccountId("a"),
                      RequestKey(aKey),
                      std::move(aProposal),
                      [this](const absl::StatusOr<KeyPlacement>& aDecision) {
                        m_decisions.push_back(aDecision);
                      });
  }

  FakeProcess m_process;
  ClaimRegister m_register;
  std::vector<absl::StatusOr<KeyPlacement>> m_decisions;
};

KeyPlacement
PlacementAt(const std::string& aPlace,
            std::uint64_t aGeneration,
            const std::string& aClaimant)
{
  return { "f", UpstreamId(aPlace), aGeneration, aClaimant };
}

} // namespace

TEST_CASE("routers that reach different homes agree on one place", "[claims]")
{
  VirtualTime time;
  FakeKeyValue keyValue(time, 7);
  RouterFixture first(time, keyValue);
  RouterFixture second(time, keyValue);

  SECTION("of two concurrent proposals, one is the decision for both routers")
  {
    first.Decide("k", PlacementAt("u1", 1, "r1/1"));
    second.Decide("k", PlacementAt("u2", 1, "r2/1"));
    time.Advance(std::chrono::seconds(1));
    REQUIRE(first.m_decisions.size() == 1);
    REQUIRE(second.m_decisions.size() == 1);
    CHECK(*first.m_decisions[0] == *second.m_decisions[0]);

    SECTION("a move to the next generation is a new decision")
    {
      second.Decide("k", PlacementAt("u3", 2, "r2/2"));
      first.Decide("k", PlacementAt("u4", 2, "r1/2"));
      time.Advance(std::chrono::seconds(1));
      CHECK(*first.m_decisions[1] == *second.m_decisions[1]);
      CHECK(first.m_decisions[1]->m_generation == 2);
    }

    SECTION("a late proposal for an earlier generation changes nothing")
    {
      second.Decide("k", PlacementAt("u3", 2, "r2/2"));
      time.Advance(std::chrono::seconds(1));
      first.Decide("k", PlacementAt("u1", 1, "r1/1"));
      time.Advance(std::chrono::seconds(1));
      CHECK(*first.m_decisions[1] == PlacementAt("u3", 2, "r2/2"));
    }

    SECTION("another key is decided independently")
    {
      second.Decide("other", PlacementAt("u2", 1, "r2/9"));
      time.Advance(std::chrono::seconds(1));
      CHECK(*second.m_decisions[1] == PlacementAt("u2", 1, "r2/9"));
    }
  }

  SECTION("a lost response of the service does not lead to a second decision")
  {
    keyValue.Faults().m_lostResponseProbability = 1;
    first.Decide("k", PlacementAt("u1", 1, "r1/1"));
    time.Advance(std::chrono::milliseconds(40));
    keyValue.Faults() = {};
    second.Decide("k", PlacementAt("u2", 1, "r2/1"));
    time.Advance(std::chrono::seconds(10));
    REQUIRE(first.m_decisions.size() == 1);
    REQUIRE(second.m_decisions.size() == 1);
    CHECK(*first.m_decisions[0] == *second.m_decisions[0]);
  }

  SECTION("while the service is down, the proposal fails with Unavailable")
  {
    keyValue.Faults().m_isDown = true;
    first.Decide("k", PlacementAt("u1", 1, "r1/1"));
    time.Advance(std::chrono::minutes(1));
    REQUIRE(first.m_decisions.size() == 1);
    CHECK(absl::IsUnavailable(first.m_decisions[0].status()));
  }
}

TEST_CASE("the number of decisions in a slot is limited", "[claims]")
{
  VirtualTime time;
  FakeKeyValue keyValue(time, 7);
  ClaimRegisterOptions options;
  options.m_slots = 1;
  options.m_maxEntries = 2;
  RouterFixture router(time, keyValue, options);
  for (const char* key : { "k1", "k2", "k3" }) {
    router.Decide(key, PlacementAt("u1", 1, key));
    time.Advance(std::chrono::seconds(1));
  }

  SECTION("the newest decisions are retained")
  {
    router.Decide("k3", PlacementAt("u2", 1, "late"));
    time.Advance(std::chrono::seconds(1));
    CHECK(router.m_decisions.back()->m_claimant == "k3");
  }

  SECTION("the oldest decision is evicted")
  {
    router.Decide("k1", PlacementAt("u2", 1, "late"));
    time.Advance(std::chrono::seconds(1));
    CHECK(router.m_decisions.back()->m_claimant == "late");
  }
}
