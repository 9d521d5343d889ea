/// \file
/// Credit that borrowers keep without a use for it.
#include "CreditFleet.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::uint64_t kSmallBudget = 820'000;
constexpr std::size_t kRouters = 31;
constexpr std::uint64_t kMeanRequest = 5'500;
constexpr std::uint64_t kLeastRequest = 1'500;
constexpr std::uint64_t kLargestRequest = 20'000;

/// Sizes spread like those of prompts: many small, few large.
std::uint64_t
RequestSize(std::mt19937& aRandom)
{
  std::exponential_distribution<double> size(
    1.0 / static_cast<double>(kMeanRequest - kLeastRequest));
  const auto tokens = static_cast<std::uint64_t>(size(aRandom));
  return std::min(kLeastRequest + tokens, kLargestRequest);
}

} // namespace

// A small account was refused while a fifth of its budget lay in remainders.
TEST_CASE("loans that are not returned leave a small account short",
          "[credit][short]")
{
  CreditFleet fleet(kRouters, kSmallBudget, 20);
  fleet.Pass(std::chrono::seconds(10));
  for (int request = 0; request < 170; ++request) {
    const std::uint64_t most = RequestSize(fleet.Random());
    fleet.Request(most, most * 93 / 100, std::chrono::milliseconds(700));
    fleet.Pass(std::chrono::milliseconds(200));
  }
  const CreditFleetCounts& counts = fleet.Counts();
  INFO("asked " << counts.m_asked << ", refused " << counts.m_refused
                << ", of these owed " << counts.m_refusedOwed << ", spent "
                << fleet.Spent());
  // Nothing fails: the budget serves all that it covers, but for requests that
  // come while a draw is under way.
  CHECK(counts.m_refusedOwed * 100 <= counts.m_asked * 3);
}
