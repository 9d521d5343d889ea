#include "bergamotpaddle/Feed/StoreAvailability.h"

#include <algorithm>

namespace bergamotpaddle {

StoreAvailability::StoreAvailability(StoreAvailabilityOptions aOptions)
  : m_options(aOptions)
{
}

void
StoreAvailability::NoteResponse(Instant aNow)
{
  m_lastResponseAt = aNow;
}

void
StoreAvailability::NoteFailure(Instant aNow)
{
  const bool isServingPeers =
    m_lastPeerResponseAt &&
    aNow - *m_lastPeerResponseAt < m_options.m_peerReportValidity;
  if (!isServingPeers) {
    m_unavailableAt = aNow;
  }
}

void
StoreAvailability::NotePeerResponse(Instant aNow, Duration aAge)
{
  const Instant respondedAt = aNow - aAge;
  m_lastPeerResponseAt =
    std::max(m_lastPeerResponseAt.value_or(respondedAt), respondedAt);
}

bool
StoreAvailability::IsUnavailable(Instant aNow) const
{
  const std::optional<Instant> lastResponse =
    std::max(m_lastResponseAt, m_lastPeerResponseAt);
  return WasRecentlyUnavailable(aNow) && lastResponse <= m_unavailableAt;
}

bool
StoreAvailability::WasRecentlyUnavailable(Instant aNow) const
{
  return m_unavailableAt &&
         aNow - *m_unavailableAt < m_options.m_unavailableHoldTime;
}

} // namespace bergamotpaddle
