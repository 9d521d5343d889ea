/// \file
/// The limit on retries over all routers.
#include "bergamotpaddle/Scheduling/RetryBudget.h"

#include <catch2/catch.hpp>
#include <random>

using namespace bergamotpaddle;

TEST_CASE(
  "retries of all routers together stay within the budget in any window",
  "[retry]")
{
  // All responses are lost for some time at four routers, one of which receives
  // half of the traffic.
  const RetryBudgetOptions options{ 0.2, 52, std::chrono::seconds(10), 0.8 };
  const ServiceId service("desk");
  std::vector<RetryBudget> routers(4, RetryBudget(options));
  for (RetryBudget& router : routers) {
    router.SetRouters(routers.size());
  }
  std::mt19937_64 random(11);
  std::discrete_distribution<std::size_t> pickRouter({ 5, 2, 2, 1 });
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  for (int step = 0; step < 4'000; ++step) {
    const Instant now{ std::chrono::milliseconds(10 * step) };
    RetryBudget& router = routers[pickRouter(random)];
    router.NoteRequest(service, now);
    requests.push_back(now);
    if (router.Consume(service, now)) {
      retries.push_back(now);
    }
  }
  const auto countInWindow = [&](const std::vector<Instant>& aTimes,
                                 Instant aEnd) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](Instant aTime) {
      return aTime <= aEnd && aEnd - aTime <= options.m_window;
    });
  };
  REQUIRE(retries.size() > 100);
  for (const Instant end : retries) {
    const double bound =
      options.m_ratio * static_cast<double>(countInWindow(requests, end)) +
      options.m_allowance;
    REQUIRE(static_cast<double>(countInWindow(retries, end)) <= bound);
  }
}

TEST_CASE("a retry whose connection was not established", "[retry]")
{
  const ServiceId service("desk");
  const Instant start{ std::chrono::seconds(1) };
  RetryBudget budget({ 0, 2, std::chrono::seconds(10), 1 });
  REQUIRE(budget.Consume(service, start));
  REQUIRE(budget.Consume(service, start + std::chrono::milliseconds(5)));
  REQUIRE_FALSE(budget.HasRetry(service, start));

  SECTION("is available again after it was released")
  {
    budget.Release(service, start);
    CHECK(budget.Consume(service, start));
    CHECK_FALSE(budget.HasRetry(service, start));
  }

  SECTION("is not released twice, nor for another service")
  {
    budget.Release(service, start);
    budget.Release(service, start);
    budget.Release(ServiceId("other"), start);
    CHECK(budget.Consume(service, start));
    CHECK_FALSE(budget.HasRetry(service, start));
  }
}
