#include "bergamotpaddle/Gateway/StoreAvailability.h"

#include <algorithm>

namespace bergamotpaddle {

StoreAvailability::StoreAvailability(StoreContactOptions aOptions)
  : m_options(aOptions)
{
}

void
StoreAvailability::NoteAnswer(Instant aNow)
{
  m_answeredAt = aNow;
}

void
StoreAvailability::NoteFailure(Instant aNow)
{
  const bool isServingPeers =
    m_peersAnsweredAt && aNow - *m_peersAnsweredAt < m_options.m_peerValid;
  if (!isServingPeers) {
    m_awayAt = aNow;
  }
}

void
StoreAvailability::NotePeerResponse(Instant aNow, Duration aAge)
{
  const Instant answeredAt = aNow - aAge;
  m_peersAnsweredAt =
    std::max(m_peersAnsweredAt.value_or(answeredAt), answeredAt);
}

bool
StoreAvailability::WasRecentlyUnavailable(Instant aNow) const
{
  return m_awayAt && aNow - *m_awayAt < m_options.m_awayMemory;
}

} // namespace bergamotpaddle
