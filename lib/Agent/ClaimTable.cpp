#include "bergamotpaddle/Agent/ClaimTable.h"

namespace bergamotpaddle {

ClaimTable::ClaimTable(Duration aRetention, std::size_t aMaxClaims)
  : m_retention(aRetention)
  , m_maxClaims(aMaxClaims)
{
}

ClaimReply
ClaimTable::Answer(const ClaimRequest& aRequest, Instant aNow)
{
  Forget(aNow);
  const Name name{ aRequest.m_account, aRequest.m_key };
  auto [entry, isNew] = m_claims.try_emplace(
    name, Claim{ aRequest.m_fingerprint, aRequest.m_place, 1 });
  Claim& claim = entry->second;
  if (isNew) {
    m_byAge.emplace_back(aNow, name);
    return { aRequest.m_attempt,
             ClaimVerdict::kGranted,
             claim.m_place,
             claim.m_generation };
  }
  if (claim.m_fingerprint != aRequest.m_fingerprint) {
    return { aRequest.m_attempt,
             ClaimVerdict::kMismatch,
             claim.m_place,
             claim.m_generation };
  }
  const bool isReplaced = !aRequest.m_replaces.Empty() &&
                          claim.m_place == aRequest.m_replaces &&
                          claim.m_generation == aRequest.m_replacesGeneration;
  if (isReplaced) {
    claim.m_place = aRequest.m_place;
    ++claim.m_generation;
    return { aRequest.m_attempt,
             ClaimVerdict::kGranted,
             claim.m_place,
             claim.m_generation };
  }
  return {
    aRequest.m_attempt, ClaimVerdict::kPlaced, claim.m_place, claim.m_generation
  };
}

void
ClaimTable::Forget(Instant aNow)
{
  while (!m_byAge.empty() && (m_byAge.front().first + m_retention < aNow ||
                              m_claims.size() > m_maxClaims)) {
    m_claims.erase(m_byAge.front().second);
    m_byAge.pop_front();
  }
}

} // namespace bergamotpaddle
