/// \file
/// Credit that is lost when routers lose power.
#include "CreditFleet.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::uint64_t kBudget = 4'400'000;
constexpr std::size_t kRouters = 31;
constexpr std::uint64_t kRequestTokens = 5'000;
constexpr Duration kRequestInterval = std::chrono::milliseconds(60);
/// Tokens per second.
constexpr double kDemandRate = 5'000 / 0.06;

/// Returns the home, which is the first running router, and half of the others.
std::vector<std::size_t>
HomeAndHalfOfOthers()
{
  std::vector<std::size_t> routers;
  for (std::size_t i = 0; i < kRouters; i += 2) {
    routers.push_back(i);
  }
  return routers;
}

} // namespace

// Guards against losing the reserves for an outage of the store together with
// the routers that hold them: three power losses made 0.6 of all budgets
// unusable.
TEST_CASE("a power loss loses only the credit of a few seconds of demand",
          "[credit][short]")
{
  CreditFleet fleet(kRouters, kBudget, 21);
  fleet.AdvanceTime(std::chrono::seconds(10));
  constexpr int kPowerLosses = 3;
  for (int powerLoss = 0; powerLoss < kPowerLosses; ++powerLoss) {
    for (int request = 0; request < 100; ++request) {
      fleet.Request(
        kRequestTokens, kRequestTokens, std::chrono::milliseconds(700));
      fleet.AdvanceTime(kRequestInterval);
    }
    fleet.LosePower(HomeAndHalfOfOthers(), std::chrono::milliseconds(1500));
  }
  fleet.AdvanceTime(std::chrono::seconds(15));
  const std::uint64_t committed =
    fleet.Record().m_accounts.at(kSharedAccount).Committed();
  const std::uint64_t lost = committed - fleet.Spent();
  INFO("spent " << fleet.Spent() << ", committed " << committed << ", lost "
                << lost << ", refused " << fleet.Counts().m_refused);
  // Each power loss loses the credit that covers demand between two draws, but
  // not the reserve for a 10 s outage of the store.
  constexpr double kMaxLostSeconds = 4;
  CHECK(static_cast<double>(lost) <=
        kPowerLosses * kMaxLostSeconds * kDemandRate);
}
