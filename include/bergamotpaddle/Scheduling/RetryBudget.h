/// \file
/// Limits how often a router may retry requests at another upstream.
///
/// The limit applies to all routers together in any window: each router applies
/// the ratio to its own requests and has an equal share of the fixed allowance.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"

#include <deque>
#include <map>

namespace bergamotpaddle {

/// The limit over all routers.
struct RetryBudgetOptions
{
  double m_ratio = 0.2;    ///< Retries per request in the window.
  double m_allowance = 50; ///< Retries per window regardless of requests.
  Duration m_window = std::chrono::seconds(10);
  /// Fraction of the limit that is used, since other parties also count the
  /// requests.
  double m_safetyFactor = 0.8;
};

/// The retry budgets of one router, one per service.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  /// Sets the number of routers that share the allowance.
  void SetRouters(std::size_t aCount);

  /// Records a request to \p aService, not counting its retries.
  void NoteRequest(const ServiceId& aService, Instant aNow);
  /// Whether a retry is left in the window.
  bool HasRetry(const ServiceId& aService, Instant aNow);
  /// Consumes one retry; returns false if none is left in the window.
  bool Consume(const ServiceId& aService, Instant aNow);
  /// Returns the retry that was consumed at \p aConsumedAt and not used.
  void Release(const ServiceId& aService, Instant aConsumedAt);

private:
  /// Times of the requests and retries in the window, the oldest first.
  struct History
  {
    std::deque<Instant> m_requests;
    std::deque<Instant> m_retries;
  };
  /// Returns the history of \p aService after removing what left the window.
  History& PrunedHistory(const ServiceId& aService, Instant aNow);

  RetryBudgetOptions m_options;
  std::size_t m_routerCount = 1;
  std::map<ServiceId, History> m_histories;
};

} // namespace bergamotpaddle
