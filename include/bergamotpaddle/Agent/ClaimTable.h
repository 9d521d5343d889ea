/// \file
/// A home's memory of where requests with a caller's key were placed.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <deque>
#include <map>

namespace bergamotpaddle {

/// Answers claims. The first claim of a key decides its place; a later one may
/// move it only from a place that was proved not to run it.
class ClaimTable
{
public:
  /// Claims older than \p aRetention are forgotten, and the oldest ones when
  /// there are more than \p aMaxClaims.
  ClaimTable(Duration aRetention, std::size_t aMaxClaims);

  ClaimReply Answer(const ClaimRequest& aRequest, Instant aNow);

  std::size_t Size() const { return m_claims.size(); }

private:
  using Name = std::pair<AccountId, RequestKey>;

  /// A key that was placed.
  struct Claim
  {
    std::string m_fingerprint;
    UpstreamId m_place;
    std::uint64_t m_generation = 1;
    bool m_mayHaveRun = false; ///< An earlier place was given up without proof.
  };

  static ClaimReply Reply(const ClaimRequest& aRequest,
                          ClaimVerdict aVerdict,
                          const Claim& aClaim);
  void Forget(Instant aNow);

  Duration m_retention;
  std::size_t m_maxClaims;
  std::map<Name, Claim> m_claims;
  std::deque<std::pair<Instant, Name>> m_byAge;
};

} // namespace bergamotpaddle
