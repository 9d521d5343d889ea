#include "bergamotpaddle/Gateway/StoreContact.h"

#include <algorithm>

namespace bergamotpaddle {

StoreContact::StoreContact(StoreContactOptions aOptions)
  : m_options(aOptions)
{
}

void
StoreContact::NoteAnswer(Instant aNow)
{
  m_answeredAt = aNow;
}

void
StoreContact::NoteFailure(Instant aNow)
{
  const bool isServingPeers =
    m_peersAnsweredAt && aNow - *m_peersAnsweredAt < m_options.m_peerValid;
  if (!isServingPeers) {
    m_awayAt = aNow;
  }
}

void
StoreContact::NotePeer(Instant aNow, Duration aAge)
{
  const Instant answeredAt = aNow - aAge;
  m_peersAnsweredAt =
    std::max(m_peersAnsweredAt.value_or(answeredAt), answeredAt);
}

bool
StoreContact::WasAwayLately(Instant aNow) const
{
  return m_awayAt && aNow - *m_awayAt < m_options.m_awayMemory;
}

} // namespace bergamotpaddle
