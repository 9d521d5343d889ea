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

AdaptiveConnectTimeout::AdaptiveConnectTimeout(ConnectPatienceOptions aOptions)
  : m_options(aOptions)
{
}

void
AdaptiveConnectTimeout::NoteConnected(Duration aTook)
{
  m_timeouts = 0;
  m_backoff = Duration(0);
  // A queue grows within moments, so longer times count at once.
  m_mean = aTook > m_mean
             ? aTook
             : m_mean - Scale(m_mean - aTook, m_options.m_smoothing);
}

void
AdaptiveConnectTimeout::NoteTimedOut(Duration aWaited)
{
  ++m_timeouts;
  if (m_timeouts >= m_options.m_timeoutsInRow) {
    m_backoff = std::max(m_backoff, std::min(aWaited * 2, m_options.m_longest));
  }
}

Duration
AdaptiveConnectTimeout::TimeoutFor(Duration aUsual) const
{
  const Duration byMean = Scale(m_mean, m_options.m_factor);
  return std::max(aUsual,
                  std::min(std::max(byMean, m_backoff), m_options.m_longest));
}

} // namespace bergamotpaddle
