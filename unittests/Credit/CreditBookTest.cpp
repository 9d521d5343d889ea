/// \file
/// Credit of routers that draw for themselves from one shared record.
#include "bergamotpaddle/Credit/CreditBook.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

const AccountId kAccount("cafe");
constexpr std::uint64_t kPrepaid = 1'000'000;

Instant
At(double aSeconds)
{
  return Instant(Duration(static_cast<Duration::rep>(aSeconds * 1e6)));
}

CreditHolder
Router(const std::string& aHost, const std::string& aIncarnation)
{
  return { aHost, HolderId(aHost + "/" + aIncarnation), aHost + ":7200" };
}

/// Writes the plan of \p aBook to \p aRecord and confirms it.
void
Draw(CreditBook& aBook, CreditRecord& aRecord, Instant aNow)
{
  if (const auto plan = aBook.Plan(aRecord, aNow)) {
    aBook.Confirm();
    aRecord.Apply(*plan);
  }
}

} // namespace

TEST_CASE("the credit book of a router that draws for itself", "[credit]")
{
  CreditRecord record;
  CreditBook first(Router("a", "1"), {});
  CreditBook second(Router("b", "1"), {});
  first.SetPrepaid(kAccount, kPrepaid);
  second.SetPrepaid(kAccount, kPrepaid);

  SECTION("allots nothing before a draw is confirmed")
  {
    CHECK(first.Allot(kAccount, 100, At(0)) == AllotResult::kNotGranted);
    REQUIRE(first.Plan(record, At(0)).has_value());
    CHECK(first.Allot(kAccount, 100, At(0)) == AllotResult::kNotGranted);
    first.Confirm();
    CHECK(first.Allot(kAccount, 100, At(0)) == AllotResult::kAllotted);
  }

  SECTION(
    "spends within a lowered grant even if its write's outcome is unknown")
  {
    Draw(first, record, At(0));
    const std::uint64_t before = first.Spendable(kAccount);
    REQUIRE(before > 0);
    CreditRecord exhausted = record;
    exhausted.m_accounts[kAccount].m_closed = kPrepaid;
    REQUIRE(first.Plan(exhausted, At(60)).has_value());
    const std::uint64_t lowered = first.Spendable(kAccount);
    CHECK(lowered < before);
    first.Drop();
    CHECK(first.Spendable(kAccount) == lowered);
  }

  SECTION("covers waiting requests with the next draw")
  {
    Draw(first, record, At(0));
    const std::uint64_t large = first.Spendable(kAccount) + 50'000;
    REQUIRE(first.Allot(kAccount, large, At(1)) == AllotResult::kNotGranted);
    REQUIRE(first.CanObtain(kAccount, At(0)));
    first.AddWaiter(kAccount, large);
    CHECK(first.HasWaiters());
    Draw(first, record, At(1));
    CHECK(first.AllotWaiter(kAccount, large, At(1)) == AllotResult::kAllotted);
    CHECK_FALSE(first.HasWaiters());

    SECTION("and lets no request wait when no credit is left to draw")
    {
      record.m_accounts[kAccount].m_closed = kPrepaid;
      Draw(first, record, At(2));
      CHECK_FALSE(first.CanObtain(kAccount, At(0)));
    }
  }

  SECTION("returns credit without demand, so that a busy router can draw it")
  {
    Draw(first, record, At(0));
    Draw(second, record, At(0));
    std::uint64_t served = 0;
    for (int step = 0; step < 400; ++step) {
      const Instant now = At(1 + step * 0.1);
      if (first.Allot(kAccount, 5'000, now) == AllotResult::kAllotted) {
        first.Settle(kAccount, 5'000, 5'000);
        served += 5'000;
      }
      Draw(first, record, now);
      Draw(second, record, now);
    }
    CHECK(served >= kPrepaid * 95 / 100);
    CHECK(served <= kPrepaid);
  }

  SECTION("counts the grant of a killed incarnation, and no more, as spent")
  {
    Draw(first, record, At(0));
    Draw(second, record, At(0));
    const std::uint64_t granted =
      record.m_accounts[kAccount].m_grants[HolderId("a/1")].m_granted;
    CreditBook restarted(Router("a", "2"), {});
    restarted.SetPrepaid(kAccount, kPrepaid);
    Draw(restarted, record, At(1));
    CHECK(record.m_accounts[kAccount].m_closed == granted);
    CHECK_FALSE(record.m_accounts[kAccount].m_grants.contains(HolderId("a/1")));
    CHECK(record.m_accounts[kAccount].Committed() <= kPrepaid);
  }

  SECTION("loses no credit in a planned stop")
  {
    Draw(first, record, At(0));
    REQUIRE(first.Allot(kAccount, 5'000, At(1)) == AllotResult::kAllotted);
    first.Settle(kAccount, 5'000, 3'000);
    record.Apply(first.PlanStop(record));
    CHECK(record.m_accounts[kAccount].Committed() == 3'000);
    CHECK(record.m_accounts[kAccount].m_closedSpent == 3'000);
    CHECK(record.m_accounts[kAccount].Consumed() == 3'000);
    CHECK(record.m_accounts[kAccount].m_grants.empty());
    CHECK(first.PlanStop(record).empty());

    SECTION("and allots nothing after it")
    {
      CHECK(first.Allot(kAccount, 1, At(2)) == AllotResult::kNotGranted);
    }

    SECTION("and lends no credit that it has returned")
    {
      const std::map<AccountId, std::uint64_t> wanted{ { kAccount, 4'000 } };
      constexpr double kAll = 1;
      const std::uint64_t lent =
        first.LendAsHome({ { kAccount, CreditWant(4'000) } }, At(2))
          .at(kAccount)
          .m_lent;
      CHECK(first.Lend(wanted, kAll).empty());
      CHECK(first.TokensToBorrow(At(2)).empty());
      second.AddWaiter(kAccount, kPrepaid - 3'000);
      Draw(second, record, At(2));
      CHECK(3'000 + lent + second.Spendable(kAccount) <= kPrepaid);
    }
  }

  SECTION("reports a budget as exhausted only when that is certain")
  {
    Draw(first, record, At(0));
    CHECK(first.Allot(kAccount, kPrepaid, At(1)) == AllotResult::kNotGranted);
    CHECK(first.Allot(kAccount, kPrepaid + 1, At(1)) ==
          AllotResult::kExhausted);

    SECTION("and not while other routers hold unspent credit")
    {
      CreditGrant other;
      other.m_granted = kPrepaid * 9 / 10;
      record.m_accounts[kAccount].m_grants[HolderId("b/1")] = other;
      Draw(first, record, At(2));
      CHECK(first.Allot(kAccount, kPrepaid / 2, At(2)) ==
            AllotResult::kNotGranted);
      other.m_spent = kPrepaid * 9 / 10;
      record.m_accounts[kAccount].m_grants[HolderId("b/1")] = other;
      Draw(first, record, At(3));
      first.Plan(record, At(3));
      CHECK(first.Allot(kAccount, kPrepaid / 2, At(3)) ==
            AllotResult::kExhausted);
    }
  }

  SECTION("reports a budget as exhausted if the rest of it was written off")
  {
    CreditGrant ended;
    ended.m_granted = kPrepaid * 9 / 10;
    ended.m_spent = kPrepaid / 10;
    record.m_accounts[kAccount].m_grants[HolderId("a/0")] = ended;
    Draw(first, record, At(1));
    CHECK(first.Allot(kAccount, kPrepaid / 20, At(1)) !=
          AllotResult::kExhausted);
    CHECK(first.Allot(kAccount, kPrepaid / 2, At(1)) ==
          AllotResult::kExhausted);

    SECTION("until it is raised")
    {
      first.SetPrepaid(kAccount, 2 * kPrepaid);
      CHECK(first.Allot(kAccount, kPrepaid / 2, At(2)) !=
            AllotResult::kExhausted);
    }
  }

  // Guards against a budget that is reported as exhausted when half of it is
  // spent, because the router's own spending is counted twice.
  SECTION("counts the router's own spending once")
  {
    for (int step = 0; step < 120; ++step) {
      const Instant now = At(step * 0.5);
      Draw(first, record, now);
      if (first.Allot(kAccount, 5'000, now) == AllotResult::kAllotted) {
        first.Settle(kAccount, 5'000, 5'000);
      }
    }
    Draw(first, record, At(61));
    REQUIRE(first.Status(kAccount, At(61)).m_spent > kPrepaid / 2);
    CHECK(first.Allot(kAccount, kPrepaid / 10, At(61)) !=
          AllotResult::kExhausted);
  }

  SECTION("draws records that survive encoding; malformed text is rejected")
  {
    Draw(first, record, At(0));
    Draw(second, record, At(0));
    const AccountCredit& credit = record.m_accounts[kAccount];
    const auto decoded = AccountCredit::Decode(credit.Encode());
    REQUIRE(decoded.ok());
    CHECK(*decoded == credit);
    CHECK_FALSE(AccountCredit::Decode("{\"closed\":0}").ok());
    CHECK_FALSE(AccountCredit::Decode("not JSON").ok());
    CHECK_FALSE(AccountCredit::Decode(R"({"closed":0,"closed_spent":0,)"
                                      R"("grants":[["a/1",1]]})")
                  .ok());
    const auto router = CreditHolder::Decode(Router("a", "1").Encode());
    REQUIRE(router.ok());
    CHECK(*router == Router("a", "1"));
    CHECK_FALSE(CreditHolder::Decode("[1]").ok());
  }

  // Guards against conflicts that last for seconds: draws that write all
  // accounts conflict with each other.
  SECTION("writes only the accounts that a draw changes")
  {
    const AccountId otherAccount("bar");
    first.SetPrepaid(otherAccount, kPrepaid);
    first.SetDrawRole(otherAccount, CreditBook::DrawRole::kBorrower);
    second.SetPrepaid(otherAccount, kPrepaid);
    second.SetDrawRole(kAccount, CreditBook::DrawRole::kBorrower);
    const auto firstPlan = first.Plan(record, At(0));
    const auto secondPlan = second.Plan(record, At(0));
    REQUIRE(firstPlan.has_value());
    REQUIRE(secondPlan.has_value());
    CHECK(firstPlan->size() == 1);
    CHECK(firstPlan->contains(kAccount));
    CHECK(secondPlan->size() == 1);
    CHECK(secondPlan->contains(otherAccount));
  }

  SECTION("plans to write at most the given number of accounts")
  {
    constexpr int kAccounts = 5;
    constexpr std::size_t kMaxAccounts = 2;
    for (int number = 0; number < kAccounts; ++number) {
      first.SetPrepaid(AccountId("shop" + std::to_string(number)), kPrepaid);
    }
    std::size_t written = 0;
    while (const auto plan = first.Plan(record, At(0), kMaxAccounts)) {
      REQUIRE(plan->size() <= kMaxAccounts);
      first.Confirm();
      record.Apply(*plan);
      written += plan->size();
    }
    CHECK(written == kAccounts + 1);
    CHECK(first.Spendable(AccountId("shop4")) > 0);
  }
}
