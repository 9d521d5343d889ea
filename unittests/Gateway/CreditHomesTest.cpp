/// \file
/// Who draws an account's credit while homes come and go.
#include "bergamotpaddle/Gateway/CreditHomes.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

using DrawRole = CreditBook::DrawRole;

const AccountId kCafe("cafe");
constexpr std::size_t kRouters = 10;

Instant
At(double aSeconds)
{
  return Instant(Duration(static_cast<Duration::rep>(aSeconds * 1e6)));
}

std::string
Address(std::size_t aNumber)
{
  return "10.0.0." + std::to_string(aNumber) + ":7200";
}

/// All routers but \p aLeftOut.
std::vector<std::string>
Fleet(const std::vector<std::string>& aLeftOut)
{
  std::vector<std::string> fleet;
  for (std::size_t number = 0; number < kRouters; ++number) {
    const bool isLeftOut =
      std::count(aLeftOut.begin(), aLeftOut.end(), Address(number)) > 0;
    if (!isLeftOut) {
      fleet.push_back(Address(number));
    }
  }
  return fleet;
}

CreditHomes
Homes(const std::string& aSelf, const std::vector<std::string>& aReachable)
{
  CreditHomes homes(aSelf, At(0), {});
  homes.Choose({ kCafe }, aReachable, kRouters, At(10));
  return homes;
}

} // namespace

TEST_CASE("the home of an account", "[credit][home]")
{
  const std::string home =
    Homes(Address(0), Fleet({ Address(0) })).HomeOf(kCafe);

  SECTION("is the same to all routers, and draws")
  {
    for (const std::string& router : Fleet({})) {
      const CreditHomes homes = Homes(router, Fleet({ router }));
      CHECK(homes.HomeOf(kCafe) == home);
      CHECK(homes.DrawRoleOf(kCafe, At(10)) ==
            (router == home ? DrawRole::kHome : DrawRole::kBorrower));
    }
  }

  SECTION("is nobody in a small fleet: each draws for itself")
  {
    CreditHomes homes(Address(0), At(0), {});
    homes.Choose({ kCafe }, { Address(1), Address(2) }, 3, At(10));
    CHECK(homes.HomeOf(kCafe).empty());
    CHECK(homes.DrawRoleOf(kCafe, At(10)) == DrawRole::kIndependent);
  }

  SECTION("is not known to a router that has just started")
  {
    CreditHomes homes(Address(0), At(0), {});
    homes.Choose({ kCafe }, { Address(1) }, kRouters, At(0.5));
    CHECK(homes.HomeOf(kCafe).empty());
    CHECK(homes.DrawRoleOf(kCafe, At(0.5)) == DrawRole::kBorrower);

    SECTION("until it heard others, or has waited")
    {
      homes.Choose({ kCafe }, { Address(1) }, kRouters, At(2));
      CHECK_FALSE(homes.HomeOf(kCafe).empty());
    }
  }

  SECTION("is passed over for a while when it does not answer")
  {
    const std::string self = home == Address(0) ? Address(1) : Address(0);
    CreditHomes homes = Homes(self, Fleet({ self }));
    homes.NoteUnresponsive(home, At(10));
    homes.Choose({ kCafe }, Fleet({ self }), kRouters, At(10.2));
    CHECK(homes.HomeOf(kCafe) != home);
    homes.Choose({ kCafe }, Fleet({ self }), kRouters, At(12.1));
    CHECK(homes.HomeOf(kCafe) == home);
  }

  // Accounts had no credit for two seconds after their home lost power.
  SECTION("has a successor that draws as soon as it is asked")
  {
    const std::string next =
      Homes(Fleet({ home }).front(), Fleet({ home })).HomeOf(kCafe);
    CreditHomes homes = Homes(next, Fleet({ next }));
    REQUIRE(homes.HomeOf(kCafe) == home); // It has not noticed the end yet.
    homes.NoteBorrowRequest(kCafe, At(10.1));
    CHECK(homes.DrawRoleOf(kCafe, At(10.1)) == DrawRole::kHome);

    SECTION("and stops when nobody asks any more")
    {
      CHECK(homes.DrawRoleOf(kCafe, At(12.2)) == DrawRole::kBorrower);
    }
  }
}
