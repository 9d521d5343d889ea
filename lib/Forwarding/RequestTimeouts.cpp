/// \file
/// Deadlines and timeouts of a request in flight, and what follows them.
#include "bergamotpaddle/Forwarding/RequestRun.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

/// Longest time for which an overdue exchange continues because bytes wait to
/// be read: less than half of the 500 ms within which callers expect the final
/// response after a deadline.
constexpr Duration kMaxOverdue = std::chrono::milliseconds(200);

} // namespace

std::optional<Duration>
RequestRun::ResponseTimeout() const
{
  if (!m_route->MayRunAgain()) {
    return std::nullopt; // The request must not be sent to another upstream.
  }
  const ForwardingOptions& options = m_state->m_options;
  if (m_route->m_kind == CallKind::kStream) {
    return options.m_streamIdleTimeout;
  }
  const auto scaledObjective = Duration(static_cast<Duration::rep>(
    static_cast<double>(m_route->m_objective.count()) *
    options.m_responseTimeoutFactor));
  return std::max(options.m_minResponseTimeout, scaledObjective);
}

void
RequestRun::ArmIdleTimeout(Duration aTimeout)
{
  m_idleDeadline = m_state->Now() + aTimeout;
}

void
RequestRun::NoteUpstreamHeard()
{
  m_upstreamHeardAt = m_state->Now();
  m_isSilenceNoted = false;
}

bool
RequestRun::ReserveFailover(Instant aNow)
{
  if (m_state->m_quarantine.RefusedFor(m_request.m_parts, aNow)) {
    return false; // No upstream may get the request any more.
  }
  Failover failover(
    m_state->m_upstreams, m_state->m_placement, m_state->m_retries);
  const FailoverResult result =
    failover.Reserve(*m_progress,
                     MakePlacementRequest(aNow),
                     m_state->m_options.m_minTimeLeft,
                     aNow);
  if (result.m_verdict == FailoverResult::Verdict::kReserved) {
    m_reservedChoice = result.m_choice;
    return true;
  }
  if (!std::exchange(m_isSilenceNoted, true)) {
    // The request stays, but later ones should avoid the silent upstream.
    m_state->m_upstreams.NoteOutcome(
      m_choice.m_upstream, ExchangeOutcome::kUnreachable, aNow);
    m_state->Log(LogLine("exchange.silent")
                   .Text("request", m_request.m_attemptId)
                   .Text("upstream", m_choice.m_upstream.Str())
                   .Text("lacks", Describe(result.m_verdict))
                   .Milliseconds("silent_ms", aNow - m_upstreamHeardAt));
  }
  return false;
}

void
RequestRun::LimitDeadline(Instant aLatest)
{
  m_deadline = std::min(m_deadline, aLatest);
}

void
RequestRun::Tick(Instant aNow, Duration aStall)
{
  if (!m_exchange) {
    return;
  }
  if (m_idleDeadline) {
    *m_idleDeadline += aStall;
  }
  const bool isDeadlinePassed = aNow >= m_deadline;
  if (!isDeadlinePassed && !(m_idleDeadline && aNow >= *m_idleDeadline)) {
    m_overdueSince.reset();
    return;
  }
  if (!m_overdueSince) {
    m_overdueSince = aNow;
  }
  if (m_exchange->HasUnreadBytes() && aNow - *m_overdueSince < kMaxOverdue) {
    return;
  }
  if (!isDeadlinePassed && m_isRequestSent && !ReserveFailover(aNow)) {
    ArmIdleTimeout(m_state->m_options.m_failoverCheckInterval);
    return;
  }
  m_idleDeadline.reset();
  m_exchange->Abort(isDeadlinePassed ? AbortReason::kDeadline
                                     : AbortReason::kIdleTimeout);
}

} // namespace bergamotpaddle
