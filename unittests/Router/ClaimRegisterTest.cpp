/// \file
/// Placements of callers' keys decided in the key-value service.
#include "bergamotpaddle/Router/ClaimRegister.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

/// A router with its register.
struct Life
{
  Life(VirtualTime& aTime,
       FakeKeyValue& aKeyValue,
       ClaimRegisterOptions aOptions = {})
    : m_process(aTime)
    , m_register(aOptions,
                 aKeyValue.MakeHooks(m_process, [] { return true; }),
                 m_process.Timers())
  {
  }

  /// Proposes a placement of \p aKey and notes the decision.
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
At(const std::string& aPlace,
   std::uint64_t aGeneration,
   const std::string& aClaimant)
{
  return { "f", UpstreamId(aPlace), aGeneration, aClaimant };
}

} // namespace

TEST_CASE("routers that reach different homes come to one place", "[claims]")
{
  VirtualTime time;
  FakeKeyValue keyValue(time, 7);
  Life first(time, keyValue);
  Life second(time, keyValue);

  SECTION("two propose at once: one proposal is the decision of both")
  {
    first.Decide("k", At("u1", 1, "r1/1"));
    second.Decide("k", At("u2", 1, "r2/1"));
    time.Advance(std::chrono::seconds(1));
    REQUIRE(first.m_decisions.size() == 1);
    REQUIRE(second.m_decisions.size() == 1);
    CHECK(*first.m_decisions[0] == *second.m_decisions[0]);

    SECTION("a move to the next generation is decided anew")
    {
      second.Decide("k", At("u3", 2, "r2/2"));
      first.Decide("k", At("u4", 2, "r1/2"));
      time.Advance(std::chrono::seconds(1));
      CHECK(*first.m_decisions[1] == *second.m_decisions[1]);
      CHECK(first.m_decisions[1]->m_generation == 2);
    }

    SECTION("a late proposal for the earlier generation changes nothing")
    {
      second.Decide("k", At("u3", 2, "r2/2"));
      time.Advance(std::chrono::seconds(1));
      first.Decide("k", At("u1", 1, "r1/1"));
      time.Advance(std::chrono::seconds(1));
      CHECK(*first.m_decisions[1] == At("u3", 2, "r2/2"));
    }

    SECTION("another key is another matter")
    {
      second.Decide("other", At("u2", 1, "r2/9"));
      time.Advance(std::chrono::seconds(1));
      CHECK(*second.m_decisions[1] == At("u2", 1, "r2/9"));
    }
  }

  SECTION("an answer that is lost does not decide twice")
  {
    keyValue.Faults().m_lostResponseProbability = 1;
    first.Decide("k", At("u1", 1, "r1/1"));
    time.Advance(std::chrono::milliseconds(40));
    keyValue.Faults() = {};
    second.Decide("k", At("u2", 1, "r2/1"));
    time.Advance(std::chrono::seconds(10));
    REQUIRE(first.m_decisions.size() == 1);
    REQUIRE(second.m_decisions.size() == 1);
    CHECK(*first.m_decisions[0] == *second.m_decisions[0]);
  }

  SECTION("without the service nothing is decided, and that is said")
  {
    keyValue.Faults().m_isDown = true;
    first.Decide("k", At("u1", 1, "r1/1"));
    time.Advance(std::chrono::minutes(1));
    REQUIRE(first.m_decisions.size() == 1);
    CHECK(absl::IsUnavailable(first.m_decisions[0].status()));
  }
}

TEST_CASE("a slot of the register is bounded", "[claims]")
{
  VirtualTime time;
  FakeKeyValue keyValue(time, 7);
  ClaimRegisterOptions options;
  options.m_slots = 1;
  options.m_maxEntries = 2;
  Life router(time, keyValue, options);
  for (const char* key : { "k1", "k2", "k3" }) {
    router.Decide(key, At("u1", 1, key));
    time.Advance(std::chrono::seconds(1));
  }

  SECTION("the newest decisions stay")
  {
    router.Decide("k3", At("u2", 1, "late"));
    time.Advance(std::chrono::seconds(1));
    CHECK(router.m_decisions.back()->m_claimant == "k3");
  }

  SECTION("the oldest one has gone")
  {
    router.Decide("k1", At("u2", 1, "late"));
    time.Advance(std::chrono::seconds(1));
    CHECK(router.m_decisions.back()->m_claimant == "late");
  }
}
