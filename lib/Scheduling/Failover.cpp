#include "bergamotpaddle/Scheduling/Failover.h"

namespace bergamotpaddle {

std::string_view
Describe(FailoverResult::Verdict aVerdict)
{
  switch (aVerdict) {
    case FailoverResult::Verdict::kReserved:
      return "reserved";
    case FailoverResult::Verdict::kNoAttempt:
      return "attempt";
    case FailoverResult::Verdict::kNoTime:
      return "time";
    case FailoverResult::Verdict::kNoRetry:
      return "retry";
    case FailoverResult::Verdict::kNoUpstream:
      return "upstream";
  }
  return "";
}

Failover::Failover(const UpstreamView& aUpstreams,
                   Placement& aPlacement,
                   RetryBudget& aRetries)
  : m_upstreams(&aUpstreams)
  , m_placement(&aPlacement)
  , m_retries(&aRetries)
{
}

FailoverResult
Failover::Reserve(const RequestProgress& aProgress,
                  const PlacementRequest& aRequest,
                  Duration aMinTimeLeft,
                  Instant aNow)
{
  if (!aProgress.MaySendBeside()) {
    return { FailoverResult::Verdict::kNoAttempt, {} };
  }
  if (aRequest.m_timeLeft < aMinTimeLeft) {
    return { FailoverResult::Verdict::kNoTime, {} };
  }
  if (!m_retries->HasRetry(aRequest.m_service, aNow)) {
    return { FailoverResult::Verdict::kNoRetry, {} };
  }
  const PlacementResult placed =
    m_placement->Choose(*m_upstreams, aRequest, aNow);
  if (placed.m_verdict != PlacementResult::Verdict::kPlaced) {
    return { FailoverResult::Verdict::kNoUpstream, {} };
  }
  m_retries->Consume(aRequest.m_service, aNow);
  return { FailoverResult::Verdict::kReserved, placed.m_choice };
}

} // namespace bergamotpaddle
