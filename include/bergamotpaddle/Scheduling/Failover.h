/// \file
/// Decides whether a request whose upstream is silent is sent to another one as
/// well.
///
/// Load pattern handled here: upstreams pause for a second while the retry
/// budget is used up and others refuse work, as when all routers adopt a
/// configuration at once. A request that is given up then is lost, although its
/// upstream would have gone on. A request therefore stays where it is until
/// another upstream answers it.
#pragma once

#include "bergamotpaddle/Scheduling/Placement.h"
#include "bergamotpaddle/Scheduling/RequestProgress.h"
#include "bergamotpaddle/Scheduling/RetryBudget.h"

namespace bergamotpaddle {

/// The result: the reserved upstream, or what the failover lacks.
struct FailoverResult
{
  enum class Verdict
  {
    kReserved,
    kNoAttempt,  ///< The request must not be sent again.
    kNoTime,     ///< The deadline is too close.
    kNoRetry,    ///< The retry budget is used up.
    kNoUpstream, ///< No other upstream takes the request.
  };
  Verdict m_verdict = Verdict::kNoAttempt;
  PlacementChoice m_choice;
};

/// Names \p aVerdict for the log.
std::string_view
Describe(FailoverResult::Verdict aVerdict);

/// Reserves second upstreams for requests in flight. Performs no I/O.
class Failover
{
public:
  Failover(const UpstreamView& aUpstreams,
           Placement& aPlacement,
           RetryBudget& aRetries);

  /// Consumes a retry and returns the upstream for it if the request, whose
  /// sends in flight may have reached their upstreams, can be sent to another
  /// one with at least \p aMinTimeLeft left. Changes nothing otherwise.
  FailoverResult Reserve(const RequestProgress& aProgress,
                         const PlacementRequest& aRequest,
                         Duration aMinTimeLeft,
                         Instant aNow);

private:
  const UpstreamView* m_upstreams;
  Placement* m_placement;
  RetryBudget* m_retries;
};

} // namespace bergamotpaddle
