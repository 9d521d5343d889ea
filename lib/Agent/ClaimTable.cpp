#include "bergamotpaddle/Agent/ClaimTable.h"

namespace bergamotpaddle {

ClaimTable::ClaimTable(Duration aRetention, std::size_t aMaxClaims)
  : m_retention(aRetention)
  , m_maxClaims(aMaxClaims)
{
}

ClaimReply
ClaimTable::Reply(const ClaimRequest& aRequest,
                  ClaimVerdict aVerdict,
                  const Claim& aClaim)
{
  return { aRequest.m_attempt,
           aVerdict,
           aClaim.m_place,
           aClaim.m_generation,
           aClaim.m_mayHaveRun };
}

ClaimReply
ClaimTable::Resolve(const ClaimRequest& aRequest, Instant aNow)
{
  EvictClaims(aNow);
  const RequestIdentity identity{ aRequest.m_account, aRequest.m_key };
  auto [entry, isNew] = m_claims.try_emplace(
    identity,
    Claim{
      aRequest.m_fingerprint, aRequest.m_place, 1, aRequest.m_mayHaveRun });
  Claim& claim = entry->second;
  if (isNew) {
    m_claimTimes.emplace_back(aNow, identity);
    return Reply(aRequest, ClaimVerdict::kGranted, claim);
  }
  if (claim.m_fingerprint != aRequest.m_fingerprint) {
    return Reply(aRequest, ClaimVerdict::kMismatch, claim);
  }
  const bool isValidMove = !aRequest.m_replaces.Empty() &&
                           claim.m_place == aRequest.m_replaces &&
                           claim.m_generation == aRequest.m_replacesGeneration;
  if (isValidMove) {
    claim.m_place = aRequest.m_place;
    ++claim.m_generation;
    claim.m_mayHaveRun = claim.m_mayHaveRun || aRequest.m_mayHaveRun;
    return Reply(aRequest, ClaimVerdict::kGranted, claim);
  }
  return Reply(aRequest, ClaimVerdict::kPlaced, claim);
}

void
ClaimTable::EvictClaims(Instant aNow)
{
  while (!m_claimTimes.empty() &&
         (m_claimTimes.front().first + m_retention < aNow ||
          m_claims.size() > m_maxClaims)) {
    m_claims.erase(m_claimTimes.front().second);
    m_claimTimes.pop_front();
  }
}

} // namespace bergamotpaddle
