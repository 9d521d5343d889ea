/// \file
/// How often a router may send a request on to a second upstream.
///
/// The bound holds for all routers together in any window: each keeps to its
/// own requests' part of the ratio and to an equal part of the fixed allowance.
#pragma once

#include "bergamotpaddle/Gateway/RouteTable.h"

#include <deque>
#include <map>

namespace bergamotpaddle {

/// The bound over all routers.
struct RetryBudgetOptions
{
  double m_ratio = 0.2;    ///< Of the requests in the window.
  double m_allowance = 50; ///< In each window, whatever the requests.
  Duration m_window = std::chrono::seconds(10);
  /// Part of the bound that is used, since requests are counted by others too.
  double m_safety = 0.8;
};

/// The budget of one router, for each service.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  /// The number of routers that share the allowance.
  void SetRouters(std::size_t aCount);

  void NoteRequest(const ServiceId& aService, Instant aNow);
  /// Takes one retry, if there is one left in the window.
  bool Take(const ServiceId& aService, Instant aNow);

private:
  struct Counts
  {
    std::deque<Instant> m_requests;
    std::deque<Instant> m_retries;
  };
  Counts& Trimmed(const ServiceId& aService, Instant aNow);

  RetryBudgetOptions m_options;
  std::size_t m_routers = 1;
  std::map<ServiceId, Counts> m_counts;
};

} // namespace bergamotpaddle
