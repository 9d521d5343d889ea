#include "bergamotpaddle/Gateway/RetryBudget.h"

#include <algorithm>

namespace bergamotpaddle {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : m_options(aOptions)
{
}

void
RetryBudget::SetRouters(std::size_t aCount)
{
  m_routers = std::max<std::size_t>(aCount, 1);
}

RetryBudget::Counts&
RetryBudget::PrunedCounts(const ServiceId& aService, Instant aNow)
{
  Counts& counts = m_counts[aService];
  for (std::deque<Instant>* times : { &counts.m_requests, &counts.m_retries }) {
    while (!times->empty() && aNow - times->front() > m_options.m_window) {
      times->pop_front();
    }
  }
  return counts;
}

void
RetryBudget::NoteRequest(const ServiceId& aService, Instant aNow)
{
  PrunedCounts(aService, aNow).m_requests.push_back(aNow);
}

bool
RetryBudget::Consume(const ServiceId& aService, Instant aNow)
{
  Counts& counts = PrunedCounts(aService, aNow);
  const double bound =
    m_options.m_safetyFactor *
    (m_options.m_ratio * static_cast<double>(counts.m_requests.size()) +
     m_options.m_allowance / static_cast<double>(m_routers));
  if (static_cast<double>(counts.m_retries.size()) + 1 > bound) {
    return false;
  }
  counts.m_retries.push_back(aNow);
  return true;
}

} // namespace bergamotpaddle
