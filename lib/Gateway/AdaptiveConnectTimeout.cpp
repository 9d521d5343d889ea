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
AdaptiveConnectTimeout::NoteConnected(Duration aConnectTime)
{
  m_consecutiveTimeouts = 0;
  m_backoff = Duration(0);
  // Queues build up quickly, so a longer connect time takes effect at once.
  m_meanConnectTime =
    aConnectTime > m_meanConnectTime
      ? aConnectTime
      : m_meanConnectTime -
          Scale(m_meanConnectTime - aConnectTime, m_options.m_smoothingFactor);
}

void
AdaptiveConnectTimeout::NoteTimedOut(Duration aTimeout)
{
  ++m_consecutiveTimeouts;
  if (m_consecutiveTimeouts >= m_options.m_timeoutThreshold) {
    m_backoff =
      std::max(m_backoff, std::min(aTimeout * 2, m_options.m_maxTimeout));
  }
}

Duration
AdaptiveConnectTimeout::TimeoutFor(Duration aBaseTimeout) const
{
  const Duration scaledMean = Scale(m_meanConnectTime, m_options.m_meanFactor);
  return std::max(
    aBaseTimeout,
    std::min(std::max(scaledMean, m_backoff), m_options.m_maxTimeout));
}

} // namespace bergamotpaddle
