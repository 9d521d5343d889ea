#include "bergamotpaddle/Feed/WatchRateLimiter.h"

#include <algorithm>

namespace bergamotpaddle {

WatchRateLimiter::WatchRateLimiter(WatchRateLimiterOptions aOptions)
  : m_options(aOptions)
{
}

void
WatchRateLimiter::NoteChanges(std::size_t aBytes, Instant aNow)
{
  const auto transferTime =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(aBytes) / m_options.m_bytesPerSecond));
  m_lastDelay =
    std::clamp(transferTime, m_options.m_minDelay, m_options.m_maxDelay);
  m_withinRateAt = std::max(m_withinRateAt, aNow) + m_lastDelay;
  m_isLarge = transferTime > m_options.m_minDelay;
}

} // namespace bergamotpaddle
