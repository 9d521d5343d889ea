/// \file
/// Tests of the cause that is recorded for a request without credit. They
/// replay an account that has used up its budget, most of which was written off
/// with an earlier process.
#include "bergamotpaddle/Credit/CreditBook.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using DrawRole = CreditBook::DrawRole;

const AccountId kAccount("account");
constexpr CreditRank kLessUrgent = 1;
constexpr std::uint64_t kTokens = 1'000;

CreditBook
MakeBook(const std::string& aHost, std::uint64_t aPrepaid, DrawRole aRole)
{
  CreditBook book({ aHost, HolderId(aHost + "/1"), aHost }, CreditOptions{});
  book.SetPrepaid(kAccount, aPrepaid);
  book.SetDrawRole(kAccount, aRole);
  return book;
}

} // namespace

TEST_CASE("a request without credit", "[credit][shortage]")
{
  SECTION("may get it with the next draw, before the record was read")
  {
    CreditBook book = MakeBook("r1", 100 * kTokens, DrawRole::kIndependent);
    const Instant now(seconds(1));
    REQUIRE(book.Allot(kAccount, kTokens, now) == AllotResult::kNotGranted);
    CHECK(book.ShortageOf(kAccount, kTokens, now, kMostUrgent) ==
          CreditShortage::kDrawPending);
  }

  SECTION("gets none if nothing is left of the budget")
  {
    // Four fifths of the budget were written off with an earlier process.
    CreditRecord record;
    AccountCredit& credit = record.m_accounts[kAccount];
    credit.m_closed = 80 * kTokens;
    Instant now(seconds(1));
    CreditBook home = MakeBook("home", 100 * kTokens, DrawRole::kHome);
    CreditBook borrower = MakeBook("r1", 100 * kTokens, DrawRole::kBorrower);
    const auto draw = [&] {
      if (const auto plan = home.Plan(record, now)) {
        record.Apply(*plan);
        home.Confirm();
      }
    };
    const auto request = [&](CreditRank aRank) {
      now += milliseconds(50);
      draw();
      const auto wanted = borrower.TokensToBorrow(now);
      if (!wanted.empty()) {
        borrower.AcceptHomeLoans(home.LendAsHome(wanted, now), wanted, now);
      }
      const AllotResult result = borrower.Allot(kAccount, kTokens, now, aRank);
      if (result == AllotResult::kAllotted) {
        borrower.Settle(kAccount, kTokens, kTokens);
      }
      return result;
    };
    int served = 0;
    AllotResult result = AllotResult::kAllotted;
    for (int i = 0; i < 200; ++i) {
      result = request(kMostUrgent);
      served += result == AllotResult::kAllotted ? 1 : 0;
    }
    CHECK(served >= 18);
    REQUIRE(result == AllotResult::kNotGranted);
    CHECK(borrower.ShortageOf(kAccount, kTokens, now, kMostUrgent) ==
          CreditShortage::kSpent);
    CHECK(home.ShortageOf(kAccount, kTokens, now, kMostUrgent) ==
          CreditShortage::kSpent);
    // More than was left before the first request: certain also at a borrower.
    CHECK(borrower.Allot(kAccount, 30 * kTokens, now, kLessUrgent) ==
          AllotResult::kExhausted);

    SECTION("until it is raised")
    {
      home.SetPrepaid(kAccount, 200 * kTokens);
      borrower.SetPrepaid(kAccount, 200 * kTokens);
      for (int i = 0; i < 40 && result != AllotResult::kAllotted; ++i) {
        result = request(kMostUrgent);
      }
      CHECK(result == AllotResult::kAllotted);
      CHECK(borrower.ShortageOf(kAccount, kTokens, now, kLessUrgent) ==
            CreditShortage::kDrawPending);
    }
  }
}
