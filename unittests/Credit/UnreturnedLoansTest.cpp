/// \file
/// Borrowers return unused credit to the home.
#include "CreditFleet.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::uint64_t kSmallBudget = 820'000;
constexpr std::size_t kRouters = 31;
constexpr std::uint64_t kMeanRequest = 5'500;
constexpr std::uint64_t kMinRequest = 1'500;
constexpr std::uint64_t kMaxRequest = 20'000;

/// Returns a random request size in tokens, distributed like prompt sizes: many
/// are small and few are large.
std::uint64_t
RequestSize(std::mt19937& aRandom)
{
  std::exponential_distribution<double> size(
    1.0 / static_cast<double>(kMeanRequest - kMinRequest));
  const auto tokens = static_cast<std::uint64_t>(size(aRandom));
  return std::min(kMinRequest + tokens, kMaxRequest);
}

} // namespace

// Guards against borrowers that don't return the unused parts of loans:
// requests of a small account were refused while these held a fifth of its
// budget.
TEST_CASE("unused loans are returned before a small account runs out",
          "[credit][short]")
{
  CreditFleet fleet(kRouters, kSmallBudget, 20);
  fleet.AdvanceTime(std::chrono::seconds(10));
  for (int request = 0; request < 170; ++request) {
    const std::uint64_t maxTokens = RequestSize(fleet.Random());
    fleet.Request(
      maxTokens, maxTokens * 93 / 100, std::chrono::milliseconds(700));
    fleet.AdvanceTime(std::chrono::milliseconds(200));
  }
  const CreditFleetCounts& counts = fleet.Counts();
  INFO("asked " << counts.m_requested << ", refused " << counts.m_refused
                << ", of these covered by the budget "
                << counts.m_refusedCovered << ", spent " << fleet.Spent());
  // Nothing fails in this test, so requests that the budget covers may be
  // refused only while a draw is in progress.
  CHECK(counts.m_refusedCovered * 100 <= counts.m_requested * 3);
}
