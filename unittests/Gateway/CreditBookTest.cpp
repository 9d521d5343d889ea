/// \file
/// Credit of routers that draw for themselves from one shared record.
#include "bergamotpaddle/Gateway/CreditBook.h"

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

TEST_CASE("credit of a router", "[credit]")
{
  CreditRecord record;
  CreditBook first(Router("a", "1"), {});
  CreditBook second(Router("b", "1"), {});
  first.SetPrepaid(kAccount, kPrepaid);
  second.SetPrepaid(kAccount, kPrepaid);

  SECTION("nothing is allotted before a draw is confirmed")
  {
    CHECK(first.Allot(kAccount, 100, At(0)) == AllotResult::kNotGranted);
    REQUIRE(first.Plan(record, At(0)).has_value());
    CHECK(first.Allot(kAccount, 100, At(0)) == AllotResult::kNotGranted);
    first.Confirm();
    CHECK(first.Allot(kAccount, 100, At(0)) == AllotResult::kAllotted);
  }

  SECTION("a lowered grant of unknown outcome limits spending")
  {
    Draw(first, record, At(0));
    const std::uint64_t before = first.Spendable(kAccount);
    REQUIRE(before > 0);
    CreditRecord fullyClosed = record;
    fullyClosed.m_accounts[kAccount].m_closed = kPrepaid;
    REQUIRE(first.Plan(fullyClosed, At(60)).has_value());
    const std::uint64_t during = first.Spendable(kAccount);
    CHECK(during < before);
    first.Drop();
    CHECK(first.Spendable(kAccount) == during);
  }

  SECTION("the next draw covers the requests that wait for one")
  {
    Draw(first, record, At(0));
    const std::uint64_t large = first.Spendable(kAccount) + 50'000;
    REQUIRE(first.Allot(kAccount, large, At(1)) == AllotResult::kNotGranted);
    REQUIRE(first.CanObtain(kAccount, At(0)));
    first.AddWaiter(kAccount, large);
    CHECK(first.HasWaiters());
    Draw(first, record, At(1));
    CHECK(first.AllotWaiter(kAccount, large) == AllotResult::kAllotted);
    CHECK_FALSE(first.HasWaiters());

    SECTION("and requests do not wait when no credit is left to draw")
    {
      record.m_accounts[kAccount].m_closed = kPrepaid;
      Draw(first, record, At(2));
      CHECK_FALSE(first.CanObtain(kAccount, At(0)));
    }
  }

  SECTION("idle routers return credit to the router with demand")
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

  SECTION("the grant of a killed incarnation, and no more, counts as spent")
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

  SECTION("a planned stop loses nothing")
  {
    Draw(first, record, At(0));
    REQUIRE(first.Allot(kAccount, 5'000, At(1)) == AllotResult::kAllotted);
    first.Settle(kAccount, 5'000, 3'000);
    record.Apply(first.PlanStop(record));
    CHECK(record.m_accounts[kAccount].Committed() == 3'000);
    CHECK(record.m_accounts[kAccount].Spent() == 3'000);
    CHECK(record.m_accounts[kAccount].m_grants.empty());
    CHECK(first.PlanStop(record).empty());

    SECTION("and nothing is allotted after it")
    {
      CHECK(first.Allot(kAccount, 1, At(2)) == AllotResult::kNotGranted);
    }
  }

  SECTION("a budget is reported as exhausted only when that is certain")
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

  // Guards against a budget that is reported as exhausted when half of it is
  // spent, because the router's own spending is counted twice.
  SECTION("what a router spent itself counts once")
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

  SECTION("accounts and routers are decoded, malformed text is rejected")
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
  SECTION("a draw writes only the accounts that it changes")
  {
    const AccountId otherAccount("bar");
    first.SetPrepaid(otherAccount, kPrepaid);
    first.SetDrawRole(otherAccount, CreditBook::DrawRole::kBorrower);
    second.SetPrepaid(otherAccount, kPrepaid);
    second.SetDrawRole(kAccount, CreditBook::DrawRole::kBorrower);
    const auto ofFirst = first.Plan(record, At(0));
    const auto ofSecond = second.Plan(record, At(0));
    REQUIRE(ofFirst.has_value());
    REQUIRE(ofSecond.has_value());
    CHECK(ofFirst->size() == 1);
    CHECK(ofFirst->contains(kAccount));
    CHECK(ofSecond->size() == 1);
    CHECK(ofSecond->contains(otherAccount));
  }

  SECTION("a plan has at most the given number of accounts")
  {
    constexpr int kAccounts = 5;
    constexpr std::size_t kMost = 2;
    for (int number = 0; number < kAccounts; ++number) {
      first.SetPrepaid(AccountId("shop" + std::to_string(number)), kPrepaid);
    }
    std::size_t written = 0;
    while (const auto plan = first.Plan(record, At(0), kMost)) {
      REQUIRE(plan->size() <= kMost);
      first.Confirm();
      record.Apply(*plan);
      written += plan->size();
    }
    CHECK(written == kAccounts + 1);
    CHECK(first.Spendable(AccountId("shop4")) > 0);
  }
}
