#include "bergamotpaddle/Scheduling/RetryBudget.h"

#include <algorithm>

namespace bergamotpaddle {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : m_options(aOptions)
{
}

void
RetryBudget::SetRouters(std::size_t aCount)
{
  m_routerCount = std::max<std::size_t>(aCount, 1);
}

RetryBudget::History&
RetryBudget::PrunedHistory(const ServiceId& aService, Instant aNow)
{
  History& history = m_histories[aService];
  for (std::deque<Instant>* times :
       { &history.m_requests, &history.m_retries }) {
    while (!times->empty() && aNow - times->front() > m_options.m_window) {
      times->pop_front();
    }
  }
  return history;
}

void
RetryBudget::NoteRequest(const ServiceId& aService, Instant aNow)
{
  PrunedHistory(aService, aNow).m_requests.push_back(aNow);
}

bool
RetryBudget::HasRetry(const ServiceId& aService, Instant aNow)
{
  const History& history = PrunedHistory(aService, aNow);
  const double bound =
    m_options.m_safetyFactor *
    (m_options.m_ratio * static_cast<double>(history.m_requests.size()) +
     m_options.m_allowance / static_cast<double>(m_routerCount));
  return static_cast<double>(history.m_retries.size()) + 1 <= bound;
}

bool
RetryBudget::Consume(const ServiceId& aService, Instant aNow)
{
  if (!HasRetry(aService, aNow)) {
    return false;
  }
  m_histories[aService].m_retries.push_back(aNow);
  return true;
}

void
RetryBudget::Release(const ServiceId& aService, Instant aConsumedAt)
{
  std::deque<Instant>& retries = m_histories[aService].m_retries;
  const auto found = std::find(retries.begin(), retries.end(), aConsumedAt);
  if (found != retries.end()) {
    retries.erase(found);
  }
}

} // namespace bergamotpaddle
