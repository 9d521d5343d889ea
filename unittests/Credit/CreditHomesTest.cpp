/// \file
/// The choice of accounts' homes as routers start, fail and recover.
#include "bergamotpaddle/Credit/CreditHomes.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

using DrawRole = CreditBook::DrawRole;

const AccountId kAccount("cafe");
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

/// Returns the addresses of all routers except \p aExcluded.
std::vector<std::string>
Fleet(const std::vector<std::string>& aExcluded)
{
  std::vector<std::string> fleet;
  for (std::size_t number = 0; number < kRouters; ++number) {
    const bool isExcluded =
      std::count(aExcluded.begin(), aExcluded.end(), Address(number)) > 0;
    if (!isExcluded) {
      fleet.push_back(Address(number));
    }
  }
  return fleet;
}

/// Returns the homes that \p aSelf chooses long after its start.
CreditHomes
Homes(const std::string& aSelf, const std::vector<std::string>& aReachable)
{
  CreditHomes homes(aSelf, At(0), {});
  homes.Choose({ kAccount }, aReachable, kRouters, At(10));
  return homes;
}

} // namespace

TEST_CASE("the home of an account", "[credit][home]")
{
  const std::string home =
    Homes(Address(0), Fleet({ Address(0) })).HomeOf(kAccount);

  SECTION("is the same at all routers and draws for all of them")
  {
    for (const std::string& router : Fleet({})) {
      const CreditHomes homes = Homes(router, Fleet({ router }));
      CHECK(homes.HomeOf(kAccount) == home);
      CHECK(homes.DrawRoleOf(kAccount, At(10)) ==
            (router == home ? DrawRole::kHome : DrawRole::kBorrower));
    }
  }

  SECTION("does not exist in a small fleet, where each router draws for itself")
  {
    CreditHomes homes(Address(0), At(0), {});
    homes.Choose({ kAccount }, { Address(1), Address(2) }, 3, At(10));
    CHECK(homes.HomeOf(kAccount).empty());
    CHECK(homes.DrawRoleOf(kAccount, At(10)) == DrawRole::kIndependent);
  }

  SECTION("is unknown to a router that has just started")
  {
    CreditHomes homes(Address(0), At(0), {});
    homes.Choose({ kAccount }, { Address(1) }, kRouters, At(0.5));
    CHECK(homes.HomeOf(kAccount).empty());
    CHECK(homes.DrawRoleOf(kAccount, At(0.5)) == DrawRole::kBorrower);

    SECTION("until the discovery time has passed")
    {
      homes.Choose({ kAccount }, { Address(1) }, kRouters, At(2));
      CHECK_FALSE(homes.HomeOf(kAccount).empty());
    }
  }

  SECTION("is not chosen for two seconds after it failed to respond")
  {
    const std::string self = home == Address(0) ? Address(1) : Address(0);
    CreditHomes homes = Homes(self, Fleet({ self }));
    homes.NoteUnresponsive(home, At(10));
    homes.Choose({ kAccount }, Fleet({ self }), kRouters, At(10.2));
    CHECK(homes.HomeOf(kAccount) != home);
    homes.Choose({ kAccount }, Fleet({ self }), kRouters, At(12.1));
    CHECK(homes.HomeOf(kAccount) == home);
  }

  // Guards against two seconds without credit after a home loses power, because
  // its successor does not lend until it detects the failure itself.
  SECTION("has a successor that draws as soon as it is asked for a loan")
  {
    const std::string successor =
      Homes(Fleet({ home }).front(), Fleet({ home })).HomeOf(kAccount);
    CreditHomes homes = Homes(successor, Fleet({ successor }));
    REQUIRE(homes.HomeOf(kAccount) == home); // The failure is not detected yet.
    homes.NoteBorrowRequest(kAccount, At(10.1));
    CHECK(homes.DrawRoleOf(kAccount, At(10.1)) == DrawRole::kHome);

    SECTION("and stops drawing when no more loans are requested")
    {
      CHECK(homes.DrawRoleOf(kAccount, At(12.2)) == DrawRole::kBorrower);
    }
  }
}
