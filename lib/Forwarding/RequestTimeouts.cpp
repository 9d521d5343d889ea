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
RequestRun::ArmIdleTimeout(Instant aSince)
{
  if (const std::optional<Duration> timeout = ResponseTimeout()) {
    m_idleDeadline = aSince + *timeout;
  }
}

void
RequestRun::StartStandby(Instant aNow)
{
  const bool isNewSilence = m_attempt->NoteSilence();
  if (isNewSilence) {
    // The request stays, but later ones should avoid the silent upstream.
    m_state->m_upstreams.NoteOutcome(
      m_attempt->Upstream(), ExchangeOutcome::kUnreachable, aNow);
  }
  for (const auto& standby : m_standbys) {
    if (standby->SentAt() && standby->NoteSilence()) {
      m_state->m_upstreams.NoteOutcome(
        standby->Upstream(), ExchangeOutcome::kUnreachable, aNow);
    }
  }
  m_idleDeadline = aNow + m_state->m_options.m_failoverCheckInterval;
  if (m_state->m_quarantine.RefusedFor(m_request.m_parts, aNow)) {
    return; // No upstream may get the request any more.
  }
  Failover failover(
    m_state->m_upstreams, m_state->m_placement, m_state->m_retries);
  const FailoverResult result =
    failover.Reserve(*m_progress,
                     MakePlacementRequest(aNow),
                     m_state->m_options.m_minTimeLeft,
                     aNow);
  if (result.m_verdict != FailoverResult::Verdict::kReserved) {
    if (isNewSilence) {
      m_state->Log(LogLine("exchange.silent")
                     .Text("request", m_request.m_attemptId)
                     .Text("upstream", m_attempt->Upstream().Str())
                     .Text("lacks", Describe(result.m_verdict))
                     .Milliseconds("silent_ms", aNow - m_attempt->HeardAt()));
    }
    return;
  }
  ArmIdleTimeout(aNow);
  const std::shared_ptr<UpstreamAttempt> standby =
    MakeAttempt(result.m_choice, aNow);
  m_standbys.push_back(standby);
  LogFailover(*standby, "started");
  standby->AdvanceInBackground(
    [this, attempt = standby.get()](AttemptStep aStep) {
      NoteStandbyStep(*attempt, aStep);
    });
}

bool
RequestRun::MustNotOverlap() const
{
  return m_route->m_kind == CallKind::kStream || m_request.m_hasTokenUsage;
}

bool
RequestRun::IsOverlapOver(Instant aNow) const
{
  if (!MustNotOverlap() || m_standbys.empty()) {
    return false;
  }
  const std::optional<Instant> sentAt = m_standbys.front()->SentAt();
  return sentAt && aNow - *sentAt >= m_state->m_options.m_maxOverlap;
}

void
RequestRun::EndOverlap()
{
  // The upstream that was heard last is the one more likely to go on.
  if (m_attempt->HeardAt() > m_standbys.front()->HeardAt()) {
    DropStandbys();
    ArmIdleTimeout(m_attempt->HeardAt());
    return;
  }
  m_idleDeadline.reset();
  m_attempt->Abort(AbortReason::kIdleTimeout);
}

void
RequestRun::LimitDeadline(Instant aLatest)
{
  m_deadline = std::min(m_deadline, aLatest);
}

void
RequestRun::Tick(Instant aNow, Duration aStall)
{
  // An attempt that was aborted ends when its coroutine resumes.
  if (!m_attempt || m_isCallerDisconnected ||
      m_attempt->Exchange().GetAbortReason() != AbortReason::kNone) {
    return;
  }
  ForEachAttempt(
    [&](UpstreamAttempt& aAttempt) { aAttempt.Tick(aNow, aStall); });
  if (m_idleDeadline) {
    *m_idleDeadline += aStall;
  }
  // Bytes that have arrived are read before the next tick.
  if (IsOverlapOver(aNow) && !m_attempt->Exchange().HasUnreadBytes()) {
    EndOverlap();
    return;
  }
  const bool isDeadlinePassed = aNow >= m_deadline;
  if (!isDeadlinePassed && !(m_idleDeadline && aNow >= *m_idleDeadline)) {
    m_overdueSince.reset();
    return;
  }
  if (!m_overdueSince) {
    m_overdueSince = aNow;
  }
  if (m_attempt->Exchange().HasUnreadBytes() &&
      aNow - *m_overdueSince < kMaxOverdue) {
    return;
  }
  if (isDeadlinePassed) {
    m_idleDeadline.reset();
    ForEachAttempt([](UpstreamAttempt& aAttempt) {
      if (!aAttempt.HasAnswer()) {
        aAttempt.Abort(AbortReason::kDeadline);
      }
    });
  } else if (!MustNotOverlap() || m_standbys.empty()) {
    StartStandby(aNow);
  }
}

} // namespace bergamotpaddle
