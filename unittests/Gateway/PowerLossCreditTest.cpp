/// \file
/// Credit that is lost with routers that lose power.
#include "CreditFleet.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::uint64_t kBudget = 4'400'000;
constexpr std::size_t kRouters = 31;
constexpr std::uint64_t kRequest = 5'000;
constexpr Duration kBetweenRequests = std::chrono::milliseconds(60);
/// Tokens a second.
constexpr double kDemand = 5'000 / 0.06;

/// The home, which is the first of the living, and half of the others.
std::vector<std::size_t>
HomeAndHalf()
{
  std::vector<std::size_t> routers;
  for (std::size_t i = 0; i < kRouters; i += 2) {
    routers.push_back(i);
  }
  return routers;
}

} // namespace

// Three losses of power took 0.6 of all budgets with them.
TEST_CASE("routers that lose power take credit with them", "[credit][short]")
{
  CreditFleet fleet(kRouters, kBudget, 21);
  fleet.Pass(std::chrono::seconds(10));
  constexpr int kLosses = 3;
  for (int loss = 0; loss < kLosses; ++loss) {
    for (int request = 0; request < 100; ++request) {
      fleet.Request(kRequest, kRequest, std::chrono::milliseconds(700));
      fleet.Pass(kBetweenRequests);
    }
    fleet.LosePower(HomeAndHalf(), std::chrono::milliseconds(1500));
  }
  fleet.Pass(std::chrono::seconds(15));
  const std::uint64_t committed =
    fleet.Record().m_accounts.at(kSharedAccount).Committed();
  const std::uint64_t lost = committed - fleet.Spent();
  INFO("spent " << fleet.Spent() << ", committed " << committed << ", lost "
                << lost << ", refused " << fleet.Counts().m_refused);
  // Each loss costs what is needed between two draws, not what is kept for an
  // outage of the store of 10 s.
  constexpr double kMostLostSeconds = 4;
  CHECK(static_cast<double>(lost) <= kLosses * kMostLostSeconds * kDemand);
}
