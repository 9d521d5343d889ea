#include "bergamotpaddle/Feed/WatchBackoff.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

/// Doublings after which every delay has reached its upper bound.
constexpr int kMaxDoublings = 16;

} // namespace

Duration
WatchBackoff::NextDelay(bool aIsReader)
{
  const Duration initial = aIsReader ? m_options.m_initialReaderDelay
                                     : m_options.m_initialFollowerDelay;
  const Duration max =
    aIsReader ? m_options.m_maxReaderDelay : m_options.m_maxFollowerDelay;
  const Duration delay = std::min(initial * (1 << m_failures), max);
  m_failures = std::min(m_failures + 1, kMaxDoublings);
  return delay;
}

} // namespace bergamotpaddle
