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
  if (MoveToFallback(aNow)) {
    return;
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
  RunStandby(MakeAttempt(result.m_choice, aNow));
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
  const UpstreamAttempt& standby = *m_standbys.front();
  // Delivered events show that the first upstream works on the request. Of two
  // that responded, the one heard last is more likely to go on.
  const bool isPausing = m_attempt->HasBegun() && !standby.HasResponded();
  if (isPausing || m_attempt->HeardAt() > standby.HeardAt()) {
    if (isPausing) {
      m_fallback = standby.Choice();
    }
    DropStandbys();
    ArmIdleTimeout(m_attempt->HeardAt());
    return;
  }
  m_idleDeadline.reset();
  m_attempt->Abort(AbortReason::kIdleTimeout);
}

bool
RequestRun::HasFallback() const
{
  return m_fallback && m_progress->MayReturnTo(m_fallback->m_upstream) &&
         m_state->m_upstreams.IsUsable(m_fallback->m_upstream, m_state->Now());
}

bool
RequestRun::MoveToFallback(Instant aNow)
{
  const Duration pause = aNow - m_attempt->HeardAt();
  if (pause < m_state->m_options.m_maxStreamPause || !HasFallback() ||
      !m_state->m_retries.Consume(m_service, aNow)) {
    return false;
  }
  const std::shared_ptr<UpstreamAttempt> attempt =
    MakeAttempt(*std::exchange(m_fallback, std::nullopt), aNow);
  RunStandby(attempt);
  m_attempt->Abort(AbortReason::kIdleTimeout);
  return true;
}

void
RequestRun::RunStandby(const std::shared_ptr<UpstreamAttempt>& aStandby)
{
  m_standbys.push_back(aStandby);
  LogFailover(*aStandby, "started");
  aStandby->AdvanceInBackground(
    [this, attempt = aStandby.get()](AttemptStep aStep) {
      NoteStandbyStep(*attempt, aStep);
    });
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
