/// \file
/// Placements of requests with a caller's key, as recorded by one of the key's
/// homes.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <deque>
#include <map>

namespace bergamotpaddle {

/// Resolves claims. The first claim of a key decides its placement; a later
/// claim may move the key only by naming the current placement as replaced:
/// because it was proved not to run the request, or was abandoned without such
/// proof (m_mayHaveRun).
class ClaimTable
{
public:
  /// Evicts claims \p aRetention after the first claim of their key, and the
  /// oldest ones while there are more than \p aMaxClaims.
  ClaimTable(Duration aRetention, std::size_t aMaxClaims);

  /// kGranted if the claim decides or moves the placement, kPlaced with the
  /// current placement if not, kMismatch if the key was used for another
  /// request.
  ClaimReply Resolve(const ClaimRequest& aRequest, Instant aNow);

  std::size_t Size() const { return m_claims.size(); }

private:
  using RequestIdentity = std::pair<AccountId, RequestKey>;

  /// Current placement of a key.
  struct Claim
  {
    std::string m_fingerprint;
    UpstreamId m_place;
    std::uint64_t m_generation = 1;
    /// An earlier placement was abandoned without proof that it did not run.
    bool m_mayHaveRun = false;
  };

  static ClaimReply Reply(const ClaimRequest& aRequest,
                          ClaimVerdict aVerdict,
                          const Claim& aClaim);
  void EvictClaims(Instant aNow);

  Duration m_retention;
  std::size_t m_maxClaims;
  std::map<RequestIdentity, Claim> m_claims;
  std::deque<std::pair<Instant, RequestIdentity>>
    m_claimTimes; ///< First claim of each key, oldest first.
};

} // namespace bergamotpaddle
