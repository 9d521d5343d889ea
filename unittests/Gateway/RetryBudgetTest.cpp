/// \file
/// The bound on repeats over all routers.
#include "bergamotpaddle/Gateway/RetryBudget.h"

#include <catch2/catch.hpp>
#include <random>

using namespace bergamotpaddle;

TEST_CASE("the retry budget holds over all routers in any window", "[retry]")
{
  // Load pattern: every answer is lost for a while, at four routers of which
  // one has half of the traffic.
  const RetryBudgetOptions options{ 0.2, 52, std::chrono::seconds(10), 0.8 };
  const ServiceId service("desk");
  std::vector<RetryBudget> routers(4, RetryBudget(options));
  for (RetryBudget& router : routers) {
    router.SetRouters(routers.size());
  }
  std::mt19937_64 random(11);
  std::discrete_distribution<std::size_t> which({ 5, 2, 2, 1 });
  std::vector<Instant> requests;
  std::vector<Instant> repeats;
  for (int step = 0; step < 4'000; ++step) {
    const Instant now{ std::chrono::milliseconds(10 * step) };
    RetryBudget& router = routers[which(random)];
    router.NoteRequest(service, now);
    requests.push_back(now);
    if (router.Take(service, now)) {
      repeats.push_back(now);
    }
  }
  const auto within = [&](const std::vector<Instant>& aTimes, Instant aEnd) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](Instant aTime) {
      return aTime <= aEnd && aEnd - aTime <= options.m_window;
    });
  };
  REQUIRE(repeats.size() > 100);
  for (const Instant end : repeats) {
    const double bound =
      options.m_ratio * static_cast<double>(within(requests, end)) +
      options.m_allowance;
    REQUIRE(static_cast<double>(within(repeats, end)) <= bound);
  }
}
