/// \file
/// Credit that is lost when all routers are killed at once, again and again.
#include "CreditFleet.h"

#include "bergamotpaddle/Credit/LossBound.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::size_t kRouters = 4;
constexpr std::uint64_t kRequestTokens = 1'000;
constexpr Duration kRequestInterval = std::chrono::milliseconds(20);
/// Tokens per second.
constexpr double kDemandRate = 50'000;
constexpr std::uint64_t kBudget = 2'500'000;
constexpr Duration kRequestDuration = std::chrono::milliseconds(300);
constexpr Duration kDownTime = std::chrono::milliseconds(1'100);

void
SendRequests(CreditFleet& aFleet, Duration aDuration)
{
  for (Duration sent{}; sent < aDuration; sent += kRequestInterval) {
    aFleet.Request(kRequestTokens, kRequestTokens, kRequestDuration);
    aFleet.AdvanceTime(kRequestInterval);
  }
}

void
KillAll(CreditFleet& aFleet)
{
  std::vector<std::size_t> routers;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    routers.push_back(i);
  }
  aFleet.LosePower(routers, kDownTime);
  aFleet.AdvanceTime(kDownTime);
}

} // namespace

// Guards against budgets that repeated kills of all routers write off: with
// half of it spent nothing was served any more (review/1).
TEST_CASE("repeated losses of all routers cost a bounded share of a budget",
          "[credit][short]")
{
  const bool hasHome = GENERATE(false, true);
  INFO("has home: " << hasHome);
  CreditFleet fleet(kRouters, kBudget, 38, hasHome);
  constexpr int kLosses = 5;
  for (int loss = 0; loss < kLosses; ++loss) {
    SendRequests(fleet, std::chrono::milliseconds(3'900));
    KillAll(fleet);
  }
  const int refusedBefore = fleet.Counts().m_refused;
  const std::uint64_t lost =
    fleet.Record().m_accounts.at(kSharedAccount).Committed() - fleet.Spent();
  INFO("spent " << fleet.Spent() << ", lost " << lost << ", refused "
                << refusedBefore);
  // Beside the bound, one loss takes working parts, and each takes the least
  // ones, which cover two draw intervals and a request of each router.
  const double bound = LossBoundOptions{}.m_maxShare * kBudget;
  constexpr double kWorkingSeconds = 1.5;
  constexpr double kLeastSeconds = 0.3 + kRouters / 50.0;
  CHECK(static_cast<double>(lost) <=
        bound + (kWorkingSeconds + kLosses * kLeastSeconds) * kDemandRate);
  SendRequests(fleet, std::chrono::seconds(18));
  CHECK(fleet.Counts().m_refused == refusedBefore);
  CHECK(fleet.Spent() <= kBudget);
}

TEST_CASE("credit held ahead and credit written off share one bound",
          "[credit]")
{
  const HolderId self("a/2");
  const LossBoundOptions options;
  constexpr std::uint64_t kPrepaid = 100'000;
  AccountCredit credit;
  REQUIRE(MaxHeldAhead(options, credit, self, kPrepaid) == 20'000);

  SECTION("what others hold beyond their use counts")
  {
    CreditGrant other;
    other.m_granted = 50'000;
    other.m_used = 42'000;
    credit.m_grants[HolderId("b/1")] = other;
    CHECK(MaxHeldAhead(options, credit, self, kPrepaid) == 12'000);

    SECTION("and still does once they are closed")
    {
      credit.Close(HolderId("b/1"), false);
      CHECK(credit.WrittenOff() == 8'000);
      CHECK(MaxHeldAhead(options, credit, self, kPrepaid) == 12'000);
    }

    SECTION("but for a reserve that is proven closed")
    {
      credit.m_grants[HolderId("b/1")].m_working = 44'000;
      credit.Close(HolderId("b/1"), true);
      CHECK(MaxHeldAhead(options, credit, self, kPrepaid) == 18'000);
    }
  }

  SECTION("what this router holds doesn't")
  {
    CreditGrant own;
    own.m_granted = 10'000;
    credit.m_grants[self] = own;
    CHECK(MaxHeldAhead(options, credit, self, kPrepaid) == 20'000);
  }

  SECTION("nothing is left once the bound is used up")
  {
    credit.m_closed = 60'000;
    credit.m_closedUsed = 30'000;
    CHECK(MaxHeldAhead(options, credit, self, kPrepaid) == 0);
    CHECK(MaxHeldAhead(options, credit, self, 2 * kPrepaid) == 10'000);
  }

  SECTION("records of an earlier release count as spent what they tell")
  {
    const auto decoded = AccountCredit::Decode(
      R"({"closed":9,"closed_spent":4,"grants":[["b/1",8,7,6,5]]})");
    REQUIRE(decoded.ok());
    CHECK(decoded->WrittenOff() == 5);
    CHECK(decoded->m_grants.at(HolderId("b/1")).HeldAhead() == 2);
  }
}
