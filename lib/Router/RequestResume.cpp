// What becomes of attempts whose agent is out of reach, back, or gone for good.
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
    Lose(id);
  }
}

void
RequestTable::Lose(AttemptId aAttempt)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  if (attempt.m_state == AttemptState::kClaiming ||
      attempt.m_state == AttemptState::kDeciding ||
      attempt.m_state == AttemptState::kCredit) {
    // Send() notices that the link is gone.
    return;
  }
  if (attempt.m_state == AttemptState::kLost) {
    return;
  }
  attempt.m_state = AttemptState::kLost;
  if (Request* request = CurrentOf(aAttempt)) {
    Note("attempt_lost", *request, attempt.m_place);
    m_timers.m_after(m_options.m_reconnectGrace,
                     [this, aAttempt] { GraceOver(aAttempt); });
  }
}

void
RequestTable::GraceOver(AttemptId aAttempt)
{
  Request* request = CurrentOf(aAttempt);
  Attempt* attempt = FindAttempt(aAttempt);
  if (request == nullptr || attempt->m_state != AttemptState::kLost) {
    return;
  }
  const RequestNumber number = attempt->m_request;
  request->m_mayHaveRun = true;
  if (attempt->m_isAttach) {
    // Charged to another attempt, perhaps long ago: a second run would be
    // billed twice. Wait for the place, or say that we do not know.
    const ClaimReply placed{
      aAttempt, ClaimVerdict::kPlaced, attempt->m_place, attempt->m_generation
    };
    DropAttempt(aAttempt);
    request->m_current = 0;
    AttachWhenUp(number, placed, m_timers.m_now());
    return;
  }
  request->m_excluded.insert(attempt->m_place);
  Unplace(*request, *attempt);
  // The lost attempt keeps its allotment until its fate is known; of the two
  // charges that may come, only the first counts.
  if (!request->m_isDoubled) {
    m_hooks.m_ledger().MarkDuplicate(attempt->m_account, attempt->m_key);
    request->m_isDoubled = true;
  }
  ++m_counters.m_resumed;
  Retry(number, ResultCode::kOutcomeUnknown);
}

std::vector<AttemptId>
RequestTable::LostAt(const UpstreamId& aUpstream) const
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
RequestTable::OnAgentUp(const UpstreamId& aUpstream, bool aIsSameLife)
{
  for (AttemptId id : LostAt(aUpstream)) {
    if (!aIsSameLife) {
      LifeOver(id);
      continue;
    }
    // Known there: it goes on, or has ended. Unknown: revoked by this question.
    const Request* request = CurrentOf(id);
    FindAttempt(id)->m_state = AttemptState::kAccepted;
    Reattach(
      id, request == nullptr ? UINT64_MAX : request->m_delivered.size(), false);
  }
}

void
RequestTable::OnAgentGone(const UpstreamId& aUpstream)
{
  for (AttemptId id : LostAt(aUpstream)) {
    LifeOver(id);
  }
}

void
RequestTable::LifeOver(AttemptId aAttempt)
{
  // The agent's life that could have run or charged it is over.
  const Attempt attempt = *FindAttempt(aAttempt);
  Request* request = CurrentOf(aAttempt);
  ReleaseAndDrop(aAttempt);
  if (request == nullptr) {
    return;
  }
  request->m_mayHaveRun = true;
  ++m_counters.m_resumed;
  Unplace(*request, attempt);
  Retry(attempt.m_request, ResultCode::kOutcomeUnknown);
}

} // namespace bergamotpaddle
