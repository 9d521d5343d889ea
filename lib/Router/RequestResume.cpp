/// \file
/// Handling of attempts whose agent is disconnected, reconnects, restarts or is
/// removed.
#include "bergamotpaddle/Router/RequestTable.h"

namespace bergamotpaddle {

void
RequestTable::OnAgentDown(const UpstreamId& aUpstream)
{
  std::vector<AttemptId> lost;
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.m_place == aUpstream) {
      lost.push_back(id);
    }
  }
  for (AttemptId id : lost) {
    MarkLost(id);
  }
}

void
RequestTable::MarkLost(AttemptId aAttempt)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  if (attempt.m_state == AttemptState::kClaiming ||
      attempt.m_state == AttemptState::kDeciding ||
      attempt.m_state == AttemptState::kAwaitingCredit) {
    // Not sent yet; Send() checks the link.
    return;
  }
  if (attempt.m_state == AttemptState::kLost) {
    return;
  }
  attempt.m_state = AttemptState::kLost;
  if (Request* request = CurrentOf(aAttempt)) {
    RecordEvent("attempt_lost", *request, attempt.m_place);
    m_timers.m_after(m_options.m_reconnectGrace,
                     [this, aAttempt] { OnGraceExpired(aAttempt); });
  }
}

void
RequestTable::OnGraceExpired(AttemptId aAttempt)
{
  Request* request = CurrentOf(aAttempt);
  Attempt* attempt = FindAttempt(aAttempt);
  if (request == nullptr || attempt->m_state != AttemptState::kLost) {
    return;
  }
  const RequestNumber number = attempt->m_request;
  request->m_mayHaveRun = true;
  if (attempt->m_isAttach) {
    // The run is charged to another attempt, possibly long ago, so a second run
    // would be charged twice. Waits for the agent to reconnect, or fails with
    // an unknown outcome.
    const ClaimReply placed{
      aAttempt, ClaimVerdict::kPlaced, attempt->m_place, attempt->m_generation
    };
    DropAttempt(aAttempt);
    request->m_current = 0;
    AttachWhenUp(number, placed, m_timers.m_now());
    return;
  }
  request->m_excluded.insert(attempt->m_place);
  AllowMove(*request, *attempt);
  // The lost attempt keeps its allotment until its outcome is known. Both
  // attempts may be charged; only the first charge counts.
  if (!request->m_isDuplicate) {
    m_hooks.m_ledger().MarkDuplicate(attempt->m_account, attempt->m_key);
    request->m_isDuplicate = true;
  }
  ++m_counters.m_resumed;
  Retry(number, ResultCode::kOutcomeUnknown);
}

std::vector<AttemptId>
RequestTable::LostAttemptsAt(const UpstreamId& aUpstream) const
{
  std::vector<AttemptId> lost;
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.m_place == aUpstream &&
        attempt.m_state == AttemptState::kLost) {
      lost.push_back(id);
    }
  }
  return lost;
}

void
RequestTable::OnAgentUp(const UpstreamId& aUpstream, bool aIsSameIncarnation)
{
  for (AttemptId id : LostAttemptsAt(aUpstream)) {
    if (!aIsSameIncarnation) {
      OnIncarnationEnded(id);
      continue;
    }
    // If the agent has a record of the attempt, it continues or has ended;
    // otherwise this message revokes it.
    const Request* request = CurrentOf(id);
    FindAttempt(id)->m_state = AttemptState::kAccepted;
    SendAttach(
      id, request == nullptr ? UINT64_MAX : request->m_delivered.size(), false);
  }
}

void
RequestTable::OnAgentRemoved(const UpstreamId& aUpstream)
{
  for (AttemptId id : LostAttemptsAt(aUpstream)) {
    OnIncarnationEnded(id);
  }
}

void
RequestTable::OnIncarnationEnded(AttemptId aAttempt)
{
  // The agent's incarnation that could have run or charged the attempt has
  // ended.
  const Attempt attempt = *FindAttempt(aAttempt);
  Request* request = CurrentOf(aAttempt);
  ReleaseAndDrop(aAttempt);
  if (request == nullptr) {
    return;
  }
  request->m_mayHaveRun = true;
  ++m_counters.m_resumed;
  AllowMove(*request, attempt);
  Retry(attempt.m_request, ResultCode::kOutcomeUnknown);
}

} // namespace bergamotpaddle
