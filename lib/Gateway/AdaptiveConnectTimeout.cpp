#include "bergamotpaddle/Gateway/AdaptiveConnectTimeout.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

AdaptiveConnectTimeout::AdaptiveConnectTimeout(
  AdaptiveConnectTimeoutOptions aOptions)
  : m_options(aOptions)
{
}

void
AdaptiveConnectTimeout::NoteConnected(Duration aTook)
{
  m_timeouts = 0;
  m_backoff = Duration(0);
  // Queues build up quickly, so a longer connect time takes effect at once.
  m_mean = aTook > m_mean
             ? aTook
             : m_mean - Scale(m_mean - aTook, m_options.m_smoothingFactor);
}

void
AdaptiveConnectTimeout::NoteTimedOut(Duration aWaited)
{
  ++m_timeouts;
  if (m_timeouts >= m_options.m_timeoutThreshold) {
    m_backoff =
      std::max(m_backoff, std::min(aWaited * 2, m_options.m_maxTimeout));
  }
}

Duration
AdaptiveConnectTimeout::TimeoutFor(Duration aBaseTimeout) const
{
  const Duration scaledMean = Scale(m_mean, m_options.m_meanFactor);
  return std::max(
    aBaseTimeout,
    std::min(std::max(scaledMean, m_backoff), m_options.m_maxTimeout));
}

} // namespace bergamotpaddle
