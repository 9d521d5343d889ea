/// \file
/// Accounts of which one router, the home, draws credit for all routers, in
/// virtual time.
#include "bergamotpaddle/Credit/CreditBook.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace bergamotpaddle;

namespace {

using DrawRole = CreditBook::DrawRole;

const AccountId kAccount("cafe");
constexpr std::uint64_t kPrepaid = 1'000'000;

Instant
At(double aSeconds)
{
  return Instant(Duration(static_cast<Duration::rep>(aSeconds * 1e6)));
}

CreditHolder
Router(const std::string& aHost)
{
  return { aHost, HolderId(aHost + "/1"), aHost + ":7200" };
}

/// Writes the plan of \p aBook to \p aRecord and confirms it; false if there is
/// nothing to write.
bool
Draw(CreditBook& aBook, CreditRecord& aRecord, Instant aNow)
{
  const auto plan = aBook.Plan(aRecord, aNow);
  if (plan) {
    aBook.Confirm();
    aRecord.Apply(*plan);
  }
  return plan.has_value();
}

/// Lends \p aBorrower the credit that it needs from \p aHome, if available.
void
BorrowFromHome(CreditBook& aBorrower, CreditBook& aHome, Instant aNow)
{
  const std::map<AccountId, CreditWant> wanted = aBorrower.TokensToBorrow(aNow);
  aBorrower.AcceptHomeLoans(aHome.LendAsHome(wanted, aNow), wanted, aNow);
}

} // namespace

TEST_CASE("an account with a home", "[credit][home]")
{
  CreditRecord record;
  CreditBook home(Router("home"), {});
  CreditBook other(Router("other"), {});
  for (CreditBook* book : { &home, &other }) {
    book->SetPrepaid(kAccount, kPrepaid);
    Draw(*book, record, At(0));
  }
  home.SetDrawRole(kAccount, DrawRole::kHome);
  other.SetDrawRole(kAccount, DrawRole::kBorrower);
  Draw(other, record, At(1));
  Draw(home, record, At(1));

  SECTION("is drawn only by the home; other routers return their grants")
  {
    CHECK_FALSE(
      record.m_accounts.at(kAccount).m_grants.contains(HolderId("other/1")));
    CHECK(home.Spendable(kAccount) > 0);
  }

  SECTION("is lent to other routers as their requests need it")
  {
    REQUIRE(other.Allot(kAccount, 5'000, At(2)) == AllotResult::kNotGranted);
    REQUIRE(other.CanObtain(kAccount, At(2)));
    other.AddWaiter(kAccount, 5'000);
    CHECK_FALSE(other.HasWaiters()); // A borrower does not draw.
    BorrowFromHome(other, home, At(2));
    CHECK(other.AllotWaiter(kAccount, 5'000, At(2)) == AllotResult::kAllotted);

    SECTION("and the home draws what it could not lend")
    {
      other.AddWaiter(kAccount, 400'000);
      BorrowFromHome(other, home, At(2.1));
      CHECK(other.AllotWaiter(kAccount, 400'000, At(2)) ==
            AllotResult::kNotGranted);
      CHECK(home.HasWaiters());
      CHECK(Draw(home, record, At(2.2)));
      CHECK_FALSE(home.HasWaiters());
    }
  }

  SECTION(
    "is requested again only after a delay if the home has no credit left")
  {
    record.m_accounts[kAccount].m_closed = kPrepaid;
    Draw(home, record, At(2));
    other.AddWaiter(kAccount, 5'000);
    BorrowFromHome(other, home, At(2));
    CHECK_FALSE(other.CanObtain(kAccount, At(2.1)));
    CHECK(other.TokensToBorrow(At(2.1)).empty());
    CHECK(other.CanObtain(kAccount, At(3)));
  }

  // Guards against requests being refused for 400 ms although the home draws
  // within 50 ms.
  SECTION("keeps requests waiting while the home is going to draw")
  {
    other.AddWaiter(kAccount, 400'000);
    BorrowFromHome(other, home, At(2));
    CHECK(other.CanObtain(kAccount, At(2)));
    Draw(home, record, At(2.05));
    BorrowFromHome(other, home, At(2.05));
    CHECK(other.AllotWaiter(kAccount, 400'000, At(2)) ==
          AllotResult::kAllotted);
  }

  // Guards against a new home that doesn't know the demand and draws for single
  // requests only, for 1.5 s.
  SECTION("is drawn by a new home for the demand of the previous one")
  {
    for (int step = 0; step < 100; ++step) {
      other.AddWaiter(kAccount, 2'000);
      BorrowFromHome(other, home, At(2 + step * 0.05));
      Draw(home, record, At(2 + step * 0.05));
      if (other.AllotWaiter(kAccount, 2'000, At(2 + step * 0.05)) !=
          AllotResult::kAllotted) {
        other.RemoveWaiter(kAccount, 2'000);
      }
    }
    CreditBook successor(Router("next"), {});
    successor.SetPrepaid(kAccount, kPrepaid);
    successor.SetDrawRole(kAccount, DrawRole::kHome);
    Draw(successor, record, At(7));
    CHECK(successor.Spendable(kAccount) >= 40'000); // One second of demand.
  }

  SECTION("is reported as exhausted by borrowers once that is certain")
  {
    record.m_accounts[kAccount].m_closed = kPrepaid;
    record.m_accounts[kAccount].m_closedSpent = kPrepaid;
    Draw(home, record, At(2));
    other.AddWaiter(kAccount, 5'000);
    BorrowFromHome(other, home, At(2));
    other.RemoveWaiter(kAccount, 5'000);
    CHECK(other.Allot(kAccount, 5'000, At(3)) == AllotResult::kExhausted);

    SECTION("but no longer after the budget is raised")
    {
      other.SetPrepaid(kAccount, 2 * kPrepaid);
      CHECK(other.Allot(kAccount, 5'000, At(4)) == AllotResult::kNotGranted);
    }
  }

  SECTION("is drawn by the successor when the home has failed")
  {
    other.SetDrawRole(kAccount, DrawRole::kHome);
    Draw(other, record, At(2));
    CHECK(other.Allot(kAccount, 5'000, At(2)) == AllotResult::kAllotted);
  }
}

// Guards against conflicts of routers that all draw from one account: with
// thirty of them most writes conflicted, and routers with slow links had no
// credit for seconds.
TEST_CASE("one account serves thirty routers with few conflicting draws",
          "[credit][home]")
{
  constexpr std::size_t kRouters = 30;
  constexpr std::uint64_t kRequest = 1'000;
  constexpr int kSteps = 900; // Requests 90% of the budget.
  CreditRecord record;
  std::vector<std::unique_ptr<CreditBook>> routers;
  for (std::size_t i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<CreditBook>(
      Router("r" + std::to_string(i)), CreditOptions{}));
    routers.back()->SetPrepaid(kAccount, kPrepaid);
    Draw(*routers.back(), record, At(0));
    routers.back()->SetDrawRole(kAccount,
                                i == 0 ? DrawRole::kHome : DrawRole::kBorrower);
  }
  int served = 0;
  int attempts = 0;
  for (int step = 0; step < kSteps; ++step) {
    const Instant now = At(1 + step * 0.05);
    CreditBook& router = *routers[static_cast<std::size_t>(step) % kRouters];
    bool isAllotted =
      router.Allot(kAccount, kRequest, now) == AllotResult::kAllotted;
    if (!isAllotted) {
      router.AddWaiter(kAccount, kRequest);
      BorrowFromHome(router, *routers[0], now);
      isAllotted =
        router.AllotWaiter(kAccount, kRequest, now) == AllotResult::kAllotted;
    }
    if (isAllotted) {
      router.Settle(kAccount, kRequest, kRequest);
      ++served;
    } else {
      router.RemoveWaiter(kAccount, kRequest);
    }
    // Of concurrent writes only the first succeeds, that of the fastest link.
    bool isWritten = false;
    for (std::size_t i = 0; i < kRouters; ++i) {
      const bool isDue = step % 100 == static_cast<int>(i);
      if (!isDue && !routers[i]->NeedsDraw(now) && !routers[i]->HasWaiters()) {
        continue;
      }
      const auto plan = routers[i]->Plan(record, now);
      attempts += plan ? 1 : 0;
      if (plan && !isWritten) {
        routers[i]->Confirm();
        record.Apply(*plan);
        isWritten = true;
      } else {
        routers[i]->Drop();
      }
    }
    REQUIRE(record.m_accounts.at(kAccount).Committed() <= kPrepaid);
  }
  CHECK(served >= kSteps * 97 / 100);
  CHECK(attempts <= kSteps); // At most one write per request.
}
