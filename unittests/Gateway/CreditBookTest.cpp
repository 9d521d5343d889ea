/// \file
/// Credit of routers that share one record.
#include "bergamotpaddle/Gateway/CreditBook.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

const AccountId kCafe("cafe");
constexpr std::uint64_t kPrepaid = 1'000'000;

Instant
At(double aSeconds)
{
  return Instant(Duration(static_cast<Duration::rep>(aSeconds * 1e6)));
}

CreditHolder
Router(const std::string& aHost, const std::string& aLife)
{
  return { aHost, HolderId(aHost + "/" + aLife), aHost + ":7200" };
}

/// Writes what \p aBook wants, as if the platform had taken it.
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
  first.SetPrepaid(kCafe, kPrepaid);
  second.SetPrepaid(kCafe, kPrepaid);

  SECTION("nothing is allotted before a draw is confirmed")
  {
    CHECK(first.Allot(kCafe, 100, At(0)) == AllotResult::kNotGranted);
    REQUIRE(first.Plan(record, At(0)).has_value());
    CHECK(first.Allot(kCafe, 100, At(0)) == AllotResult::kNotGranted);
    first.Confirm();
    CHECK(first.Allot(kCafe, 100, At(0)) == AllotResult::kAllotted);
  }

  SECTION("a lowering that may not have been written counts as written")
  {
    Draw(first, record, At(0));
    const std::uint64_t before = first.Spendable(kCafe);
    REQUIRE(before > 0);
    CreditRecord crowded = record;
    crowded.m_accounts[kCafe].m_closed = kPrepaid;
    REQUIRE(first.Plan(crowded, At(60)).has_value());
    const std::uint64_t during = first.Spendable(kCafe);
    CHECK(during < before);
    first.Drop();
    CHECK(first.Spendable(kCafe) == during);
  }

  SECTION("the next draw covers the requests that wait for one")
  {
    Draw(first, record, At(0));
    const std::uint64_t large = first.Spendable(kCafe) + 50'000;
    REQUIRE(first.Allot(kCafe, large, At(1)) == AllotResult::kNotGranted);
    REQUIRE(first.CanObtain(kCafe, At(0)));
    first.AddWaiter(kCafe, large);
    CHECK(first.HasWaiters());
    Draw(first, record, At(1));
    CHECK(first.AllotWaiter(kCafe, large) == AllotResult::kAllotted);
    CHECK_FALSE(first.HasWaiters());

    SECTION("and none is waited for when nothing is left to draw")
    {
      record.m_accounts[kCafe].m_closed = kPrepaid;
      Draw(first, record, At(2));
      CHECK_FALSE(first.CanObtain(kCafe, At(0)));
    }
  }

  SECTION("idle routers return credit to the one where demand is")
  {
    Draw(first, record, At(0));
    Draw(second, record, At(0));
    std::uint64_t served = 0;
    for (int step = 0; step < 400; ++step) {
      const Instant now = At(1 + step * 0.1);
      if (first.Allot(kCafe, 5'000, now) == AllotResult::kAllotted) {
        first.Settle(kCafe, 5'000, 5'000);
        served += 5'000;
      }
      Draw(first, record, now);
      Draw(second, record, now);
    }
    CHECK(served >= kPrepaid * 95 / 100);
    CHECK(served <= kPrepaid);
  }

  SECTION("a life that was killed stands as spent, and only that")
  {
    Draw(first, record, At(0));
    Draw(second, record, At(0));
    const std::uint64_t granted =
      record.m_accounts[kCafe].m_grants[HolderId("a/1")].m_granted;
    CreditBook again(Router("a", "2"), {});
    again.SetPrepaid(kCafe, kPrepaid);
    Draw(again, record, At(1));
    CHECK(record.m_accounts[kCafe].m_closed == granted);
    CHECK_FALSE(record.m_accounts[kCafe].m_grants.contains(HolderId("a/1")));
    CHECK(record.m_accounts[kCafe].Committed() <= kPrepaid);
  }

  SECTION("a planned stop loses nothing")
  {
    Draw(first, record, At(0));
    REQUIRE(first.Allot(kCafe, 5'000, At(1)) == AllotResult::kAllotted);
    first.Settle(kCafe, 5'000, 3'000);
    record.Apply(first.PlanStop(record));
    CHECK(record.m_accounts[kCafe].Committed() == 3'000);
    CHECK(record.m_accounts[kCafe].Spent() == 3'000);
    CHECK(record.m_accounts[kCafe].m_grants.empty());
    CHECK(first.PlanStop(record).empty());

    SECTION("and nothing is allotted after it")
    {
      CHECK(first.Allot(kCafe, 1, At(2)) == AllotResult::kNotGranted);
    }
  }

  SECTION("exhausted is said only when it is certain")
  {
    Draw(first, record, At(0));
    CHECK(first.Allot(kCafe, kPrepaid, At(1)) == AllotResult::kNotGranted);
    CHECK(first.Allot(kCafe, kPrepaid + 1, At(1)) == AllotResult::kExhausted);

    SECTION("what others hold but did not spend may come back")
    {
      CreditGrant other;
      other.m_granted = kPrepaid * 9 / 10;
      record.m_accounts[kCafe].m_grants[HolderId("b/1")] = other;
      Draw(first, record, At(2));
      CHECK(first.Allot(kCafe, kPrepaid / 2, At(2)) ==
            AllotResult::kNotGranted);
      other.m_spent = kPrepaid * 9 / 10;
      record.m_accounts[kCafe].m_grants[HolderId("b/1")] = other;
      Draw(first, record, At(3));
      first.Plan(record, At(3));
      CHECK(first.Allot(kCafe, kPrepaid / 2, At(3)) == AllotResult::kExhausted);
    }
  }

  // Own spending, counted twice, once made a budget look exhausted at half of
  // it.
  SECTION("what a router spent itself counts once")
  {
    for (int step = 0; step < 120; ++step) {
      const Instant now = At(step * 0.5);
      Draw(first, record, now);
      if (first.Allot(kCafe, 5'000, now) == AllotResult::kAllotted) {
        first.Settle(kCafe, 5'000, 5'000);
      }
    }
    Draw(first, record, At(61));
    REQUIRE(first.Status(kCafe, At(61)).m_spent > kPrepaid / 2);
    CHECK(first.Allot(kCafe, kPrepaid / 10, At(61)) != AllotResult::kExhausted);
  }

  SECTION("accounts and routers survive their encoding, garbage is refused")
  {
    Draw(first, record, At(0));
    Draw(second, record, At(0));
    const AccountCredit& credit = record.m_accounts[kCafe];
    const auto again = AccountCredit::Decode(credit.Encode());
    REQUIRE(again.ok());
    CHECK(*again == credit);
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

  // Draws that wrote all accounts conflicted with each other for seconds.
  SECTION("a draw writes the accounts that it changes, and no others")
  {
    const AccountId bar("bar");
    first.SetPrepaid(bar, kPrepaid);
    first.SetDrawRole(bar, CreditBook::DrawRole::kBorrower);
    second.SetPrepaid(bar, kPrepaid);
    second.SetDrawRole(kCafe, CreditBook::DrawRole::kBorrower);
    const auto ofFirst = first.Plan(record, At(0));
    const auto ofSecond = second.Plan(record, At(0));
    REQUIRE(ofFirst.has_value());
    REQUIRE(ofSecond.has_value());
    CHECK(ofFirst->size() == 1);
    CHECK(ofFirst->contains(kCafe));
    CHECK(ofSecond->size() == 1);
    CHECK(ofSecond->contains(bar));
  }

  SECTION("many accounts are planned a few at a time")
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
