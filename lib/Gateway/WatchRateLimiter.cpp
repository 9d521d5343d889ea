#include "bergamotpaddle/Gateway/WatchRateLimiter.h"

#include <algorithm>

namespace bergamotpaddle {

WatchRateLimiter::WatchRateLimiter(WatchPaceOptions aOptions)
  : m_options(aOptions)
{
}

void
WatchRateLimiter::NoteChanges(std::size_t aBytes, Instant aNow)
{
  const auto byBytes =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(aBytes) / m_options.m_bytesPerSecond));
  m_lastRest =
    std::clamp(byBytes, m_options.m_leastRest, m_options.m_longestRest);
  m_paidUntil = std::max(m_paidUntil, aNow) + m_lastRest;
  m_isLarge = byBytes > m_options.m_leastRest;
}

} // namespace bergamotpaddle
