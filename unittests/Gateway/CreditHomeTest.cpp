/// \file
/// Accounts whose credit one router draws for all, in virtual time.
#include "bergamotpaddle/Gateway/CreditBook.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace bergamotpaddle;

namespace {

using DrawRole = CreditBook::DrawRole;

const AccountId kCafe("cafe");
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

/// Writes what \p aBook wants, as if the platform had taken it; true if it
/// wants anything.
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

/// \p aBorrower asks \p aHome for what it is short of.
void
AskHome(CreditBook& aBorrower, CreditBook& aHome, Instant aNow)
{
  aBorrower.BorrowFromHome(
    aHome.LendAsHome(aBorrower.TokensToBorrow(aNow), aNow), aNow);
}

} // namespace

TEST_CASE("an account with a home", "[credit][home]")
{
  CreditRecord record;
  CreditBook home(Router("home"), {});
  CreditBook other(Router("other"), {});
  for (CreditBook* book : { &home, &other }) {
    book->SetPrepaid(kCafe, kPrepaid);
    Draw(*book, record, At(0));
  }
  home.SetDrawRole(kCafe, DrawRole::kHome);
  other.SetDrawRole(kCafe, DrawRole::kBorrower);
  Draw(other, record, At(1));
  Draw(home, record, At(1));

  SECTION("is drawn by it alone; the others return what they held")
  {
    CHECK_FALSE(
      record.m_accounts.at(kCafe).m_grants.contains(HolderId("other/1")));
    CHECK(home.Spendable(kCafe) > 0);
  }

  SECTION("lends to the others what their requests need")
  {
    REQUIRE(other.Allot(kCafe, 5'000, At(2)) == AllotResult::kNotGranted);
    REQUIRE(other.CanObtain(kCafe, At(2)));
    other.AddWaiter(kCafe, 5'000);
    CHECK_FALSE(other.HasWaiters()); // It does not draw by itself.
    AskHome(other, home, At(2));
    CHECK(other.AllotWaiter(kCafe, 5'000) == AllotResult::kAllotted);

    SECTION("and draws for what it could not lend")
    {
      other.AddWaiter(kCafe, 400'000);
      AskHome(other, home, At(2.1));
      CHECK(other.AllotWaiter(kCafe, 400'000) == AllotResult::kNotGranted);
      CHECK(home.HasWaiters());
      CHECK(Draw(home, record, At(2.2)));
      CHECK_FALSE(home.HasWaiters());
    }
  }

  SECTION("that has nothing to lend is not asked again at once")
  {
    record.m_accounts[kCafe].m_closed = kPrepaid;
    Draw(home, record, At(2));
    other.AddWaiter(kCafe, 5'000);
    AskHome(other, home, At(2));
    CHECK_FALSE(other.CanObtain(kCafe, At(2.1)));
    CHECK(other.TokensToBorrow(At(2.1)).empty());
    CHECK(other.CanObtain(kCafe, At(3)));
  }

  // Requests were refused for 400 ms while the home drew within 50 ms.
  SECTION("that is about to draw is waited for and asked again at once")
  {
    other.AddWaiter(kCafe, 400'000);
    AskHome(other, home, At(2));
    CHECK(other.CanObtain(kCafe, At(2)));
    Draw(home, record, At(2.05));
    AskHome(other, home, At(2.05));
    CHECK(other.AllotWaiter(kCafe, 400'000) == AllotResult::kAllotted);
  }

  // A new home drew single requests for a second and a half.
  SECTION("that follows another one draws for the demand of that one")
  {
    for (int step = 0; step < 100; ++step) {
      other.AddWaiter(kCafe, 2'000);
      AskHome(other, home, At(2 + step * 0.05));
      Draw(home, record, At(2 + step * 0.05));
      if (other.AllotWaiter(kCafe, 2'000) != AllotResult::kAllotted) {
        other.RemoveWaiter(kCafe, 2'000);
      }
    }
    CreditBook next(Router("next"), {});
    next.SetPrepaid(kCafe, kPrepaid);
    next.SetDrawRole(kCafe, DrawRole::kHome);
    Draw(next, record, At(7));
    CHECK(next.Spendable(kCafe) >= 40'000); // A second of it.
  }

  SECTION("is exhausted for the others as well once that is certain")
  {
    record.m_accounts[kCafe].m_closed = kPrepaid;
    record.m_accounts[kCafe].m_closedSpent = kPrepaid;
    Draw(home, record, At(2));
    other.AddWaiter(kCafe, 5'000);
    AskHome(other, home, At(2));
    other.RemoveWaiter(kCafe, 5'000);
    CHECK(other.Allot(kCafe, 5'000, At(3)) == AllotResult::kExhausted);

    SECTION("but not any more when the budget is raised")
    {
      other.SetPrepaid(kCafe, 2 * kPrepaid);
      CHECK(other.Allot(kCafe, 5'000, At(4)) == AllotResult::kNotGranted);
    }
  }

  SECTION("is drawn by the next one when the home is gone")
  {
    other.SetDrawRole(kCafe, DrawRole::kHome);
    Draw(other, record, At(2));
    CHECK(other.Allot(kCafe, 5'000, At(2)) == AllotResult::kAllotted);
  }
}

// Thirty routers once drew from each account: most writes met a conflict, and
// those with slow links had no credit for seconds.
TEST_CASE("one account with demand at thirty routers", "[credit][home]")
{
  constexpr std::size_t kRouters = 30;
  constexpr std::uint64_t kRequest = 1'000;
  constexpr int kSteps = 900; // What they ask for is 90% of the budget.
  CreditRecord record;
  std::vector<std::unique_ptr<CreditBook>> routers;
  for (std::size_t i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<CreditBook>(
      Router("r" + std::to_string(i)), CreditOptions{}));
    routers.back()->SetPrepaid(kCafe, kPrepaid);
    Draw(*routers.back(), record, At(0));
    routers.back()->SetDrawRole(kCafe,
                                i == 0 ? DrawRole::kHome : DrawRole::kBorrower);
  }
  int served = 0;
  int attempts = 0;
  for (int step = 0; step < kSteps; ++step) {
    const Instant now = At(1 + step * 0.05);
    CreditBook& router = *routers[static_cast<std::size_t>(step) % kRouters];
    bool isAllotted =
      router.Allot(kCafe, kRequest, now) == AllotResult::kAllotted;
    if (!isAllotted) {
      router.AddWaiter(kCafe, kRequest);
      AskHome(router, *routers[0], now);
      isAllotted =
        router.AllotWaiter(kCafe, kRequest) == AllotResult::kAllotted;
    }
    if (isAllotted) {
      router.Settle(kCafe, kRequest, kRequest);
      ++served;
    } else {
      router.RemoveWaiter(kCafe, kRequest);
    }
    // Of the writes at one moment the first wins, that of the fastest link.
    bool isTaken = false;
    for (std::size_t i = 0; i < kRouters; ++i) {
      const bool isDue = step % 100 == static_cast<int>(i);
      if (!isDue && !routers[i]->NeedsDraw(now) && !routers[i]->HasWaiters()) {
        continue;
      }
      const auto plan = routers[i]->Plan(record, now);
      attempts += plan ? 1 : 0;
      if (plan && !isTaken) {
        routers[i]->Confirm();
        record.Apply(*plan);
        isTaken = true;
      } else {
        routers[i]->Drop();
      }
    }
    REQUIRE(record.m_accounts.at(kCafe).Committed() <= kPrepaid);
  }
  CHECK(served >= kSteps * 97 / 100);
  CHECK(attempts <= kSteps); // At the most one write for a request.
}
