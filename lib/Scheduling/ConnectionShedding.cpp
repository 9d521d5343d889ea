#include "bergamotpaddle/Scheduling/ConnectionShedding.h"

#include <algorithm>

namespace bergamotpaddle {

ConnectionShedding::ConnectionShedding(ConnectionSheddingOptions aOptions)
  : m_options(aOptions)
{
}

void
ConnectionShedding::Enter(Phase aPhase, Instant aNow)
{
  m_phase = aPhase;
  m_enteredAt = aNow;
}

void
ConnectionShedding::NoteLoopDelay(Duration aDelay,
                                  std::size_t aConnections,
                                  Instant aNow)
{
  const double weight = m_options.m_sampleWeight;
  const Duration sample = std::min(aDelay, m_options.m_maxSample);
  m_averageDelay = Duration(static_cast<Duration::rep>(
    static_cast<double>(m_averageDelay.count()) * (1 - weight) +
    static_cast<double>(sample.count()) * weight));
  switch (m_phase) {
    case Phase::kIdle:
      if (m_averageDelay > m_options.m_maxLoopDelay && aNow >= m_notBefore) {
        ++m_count;
        Enter(Phase::kLeaving, aNow);
      }
      break;
    case Phase::kLeaving:
      if (aNow - m_enteredAt >= m_options.m_balancerDelay) {
        m_closesLeft = static_cast<std::size_t>(
          static_cast<double>(aConnections) * m_options.m_share);
        Enter(Phase::kClosing, aNow);
      }
      break;
    case Phase::kClosing:
      if (m_closesLeft == 0 ||
          aNow - m_enteredAt >= m_options.m_maxClosingTime) {
        m_closesLeft = 0;
        m_notBefore = aNow + m_options.m_minInterval;
        Enter(Phase::kIdle, aNow);
      }
      break;
  }
}

bool
ConnectionShedding::TakeClose()
{
  if (m_phase != Phase::kClosing || m_closesLeft == 0) {
    return false;
  }
  --m_closesLeft;
  return true;
}

} // namespace bergamotpaddle
