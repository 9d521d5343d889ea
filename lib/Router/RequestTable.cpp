#include "bergamotpaddle/Router/RequestTable.h"

#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(10);

} // namespace

RequestTable::RequestTable(RequestOptions aOptions,
                           TimerHooks aTimers,
                           RequestHooks aHooks,
                           AgentDirectory& aDirectory,
                           Balancer& aBalancer)
  : m_options(aOptions)
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
  , m_directory(&aDirectory)
  , m_balancer(&aBalancer)
  , m_retryCredit(aOptions.m_retryBurst)
{
}

RequestTable::Request*
RequestTable::Find(RequestNumber aNumber)
{
  auto found = m_requests.find(aNumber);
  return found == m_requests.end() ? nullptr : &found->second;
}

RequestTable::Attempt*
RequestTable::FindAttempt(AttemptId aAttempt)
{
  auto found = m_attempts.find(aAttempt);
  return found == m_attempts.end() ? nullptr : &found->second;
}

RequestTable::Request*
RequestTable::CurrentOf(AttemptId aAttempt)
{
  Attempt* attempt = FindAttempt(aAttempt);
  Request* request = attempt == nullptr ? nullptr : Find(attempt->m_request);
  return request != nullptr && request->m_current == aAttempt ? request
                                                              : nullptr;
}

void
RequestTable::Note(const std::string& aName,
                   const Request& aRequest,
                   const UpstreamId& aUpstream,
                   const std::string& aDetail) const
{
  const Dispatch& dispatch = aRequest.m_new.m_dispatch;
  m_hooks.m_event({ aName,
                    dispatch.m_key.Str(),
                    dispatch.m_account.Str(),
                    aUpstream.Str(),
                    aDetail });
}

RequestNumber
RequestTable::Begin(NewRequest aRequest)
{
  const RequestNumber number = ++m_lastRequest;
  Request& request = m_requests[number];
  request.m_new = std::move(aRequest);
  request.m_begunAt = m_timers.m_now();
  ++m_counters.m_begun;
  m_retryCredit =
    std::min(m_options.m_retryBurst, m_retryCredit + m_options.m_retryShare);
  Note("request_begun", request, {});
  const Duration timeout = std::chrono::milliseconds(
    m_hooks.m_configuration().m_limits.m_requestTimeoutMilliseconds);
  m_timers.m_after(timeout, [this, number] {
    if (Request* late = Find(number)) {
      Fail(number,
           ResultCode::kDeadlineExceeded,
           late->m_current == 0 ? Ran::kNo : Ran::kUnknown);
    }
  });
  TryNext(number);
  return number;
}

void
RequestTable::On(const UpstreamId& aFrom, const ClaimReply& aMessage)
{
  Attempt* attempt = FindAttempt(aMessage.m_attempt);
  const bool isWanted = CurrentOf(aMessage.m_attempt) != nullptr &&
                        attempt->m_state == AttemptState::kClaiming &&
                        attempt->m_asked.contains(aFrom);
  if (!isWanted) {
    return;
  }
  attempt->m_verdicts[aFrom] = aMessage;
  if (attempt->m_verdicts.size() == attempt->m_asked.size()) {
    ClaimsHeard(aMessage.m_attempt);
  }
}

void
RequestTable::AskCredit(AttemptId aAttempt)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  const Request& request = *Find(attempt.m_request);
  const Dispatch& dispatch = request.m_new.m_dispatch;
  attempt.m_state = AttemptState::kCredit;
  attempt.m_hasAllotment = true;
  m_hooks.m_ledger().Allot(aAttempt,
                           dispatch.m_account,
                           dispatch.m_key,
                           dispatch.m_allotment,
                           [this, aAttempt](ResultCode aCode) {
                             Attempt* funded = FindAttempt(aAttempt);
                             if (funded == nullptr ||
                                 Find(funded->m_request) == nullptr) {
                               m_hooks.m_ledger().Release(aAttempt);
                               DropAttempt(aAttempt);
                               return;
                             }
                             if (aCode == ResultCode::kOk) {
                               Send(aAttempt);
                               return;
                             }
                             const RequestNumber number = funded->m_request;
                             DropAttempt(aAttempt);
                             Fail(number, aCode, Ran::kNo);
                           });
}

void
RequestTable::Send(AttemptId aAttempt)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  Request& request = *Find(attempt.m_request);
  const AgentView* agent = m_directory->Find(attempt.m_place);
  if (agent == nullptr || !agent->m_isUp || agent->m_agent != attempt.m_agent) {
    // Its link went while we waited for credit: it never left.
    const RequestNumber number = attempt.m_request;
    ReleaseAndDrop(aAttempt);
    Retry(number, ResultCode::kNoUpstream);
    return;
  }
  Dispatch dispatch = request.m_new.m_dispatch;
  dispatch.m_attempt = aAttempt;
  if (!dispatch.m_hasCallerKey) {
    // Only this router places it, and its attempts rise.
    attempt.m_generation = aAttempt;
  }
  dispatch.m_generation = attempt.m_generation;
  dispatch.m_holder = m_hooks.m_ledger().Holder();
  dispatch.m_resumeText = request.m_delivered;
  dispatch.m_resumeTokens = request.m_deliveredTokens;
  attempt.m_state = AttemptState::kSent;
  attempt.m_sentAt = m_timers.m_now();
  attempt.m_lastPiece = attempt.m_sentAt;
  Note(
    "dispatched", request, attempt.m_place, absl::StrCat("attempt ", aAttempt));
  m_hooks.m_send(attempt.m_place, std::move(dispatch));
}

void
RequestTable::On(const UpstreamId& aFrom, const Accepted& aMessage)
{
  Attempt* attempt = FindAttempt(aMessage.m_attempt);
  if (attempt == nullptr || attempt->m_place != aFrom) {
    ++m_counters.m_staleFrames;
    return;
  }
  NoteLoad(*attempt, aMessage.m_load);
  if (aMessage.m_isJoined && attempt->m_hasAllotment) {
    // Somebody else's run, charged there.
    m_hooks.m_ledger().Release(aMessage.m_attempt);
    attempt->m_hasAllotment = false;
    attempt->m_isAttach = true;
  }
  if (attempt->m_state == AttemptState::kSent) {
    attempt->m_state = AttemptState::kAccepted;
  }
}

void
RequestTable::On(const UpstreamId& aFrom, const Refused& aMessage)
{
  Attempt* attempt = FindAttempt(aMessage.m_attempt);
  if (attempt == nullptr || attempt->m_place != aFrom) {
    ++m_counters.m_staleFrames;
    return;
  }
  const RequestNumber number = attempt->m_request;
  const bool isCurrent = CurrentOf(aMessage.m_attempt) != nullptr;
  const Attempt refused = *attempt;
  ReleaseAndDrop(aMessage.m_attempt);
  if (!isCurrent) {
    return;
  }
  Request& request = *Find(number);
  request.m_current = 0;
  request.m_isPlaced = false;
  Note("attempt_refused",
       request,
       aFrom,
       std::string(Describe(aMessage.m_code).m_name));
  if (aMessage.m_code == ResultCode::kKeyReused) {
    Fail(number, aMessage.m_code, Ran::kNo);
    return;
  }
  // The key is placed there; the next claim moves it.
  Unplace(request, refused);
  if (aMessage.m_code == ResultCode::kHolderSealed) {
    // Makes our ledger find out as well, and start a new holder.
    m_hooks.m_ledger().Flush([](const absl::Status&) {});
  }
  if (aMessage.m_code != ResultCode::kRevoked &&
      aMessage.m_code != ResultCode::kHolderSealed) {
    request.m_excluded.insert(aFrom);
  }
  Retry(number, aMessage.m_code);
}

void
RequestTable::On(const UpstreamId& aFrom, const ResponseData& aMessage)
{
  Request* request = CurrentOf(aMessage.m_attempt);
  Attempt* attempt = FindAttempt(aMessage.m_attempt);
  if (request == nullptr || attempt->m_place != aFrom) {
    ++m_counters.m_staleFrames;
    return;
  }
  NoteLoad(*attempt, aMessage.m_load);
  Deliver(*request, *attempt, aMessage);
}

void
RequestTable::Deliver(Request& aRequest,
                      Attempt& aAttempt,
                      const ResponseData& aData)
{
  const std::uint64_t have = aRequest.m_delivered.size();
  const std::uint64_t end = aData.m_offset + aData.m_bytes.size();
  if (aData.m_offset > have) {
    // Something is missing between: ask for all of it again.
    ++m_counters.m_staleFrames;
    Reattach(aData.m_attempt, have, false);
    return;
  }
  if (end <= have) {
    ++m_counters.m_staleFrames;
    return;
  }
  const Instant now = m_timers.m_now();
  AgentView* agent = m_directory->Find(aAttempt.m_place);
  if (agent != nullptr && !aAttempt.m_isAttach) {
    if (aAttempt.m_lastPiece == aAttempt.m_sentAt) {
      m_balancer->NoteFirstByte(*agent, now - aAttempt.m_sentAt);
    } else {
      m_balancer->NoteGap(*agent, now - aAttempt.m_lastPiece);
    }
  }
  aAttempt.m_lastPiece = now;
  const std::string fresh = aData.m_bytes.substr(have - aData.m_offset);
  aRequest.m_delivered += fresh;
  aRequest.m_deliveredTokens = aData.m_tokens;
  aRequest.m_new.m_caller.m_data(fresh);
}

void
RequestTable::On(const UpstreamId& aFrom, const ResponseEnd& aMessage)
{
  Request* request = CurrentOf(aMessage.m_attempt);
  Attempt* attempt = FindAttempt(aMessage.m_attempt);
  if (attempt == nullptr || attempt->m_place != aFrom) {
    ++m_counters.m_staleFrames;
    return;
  }
  NoteLoad(*attempt, aMessage.m_load);
  CountOut(*attempt);
  if (AgentView* agent = m_directory->Find(aFrom);
      agent != nullptr && !attempt->m_isAttach) {
    const bool isFailure = aMessage.m_code == ResultCode::kUpstreamFailed;
    const bool isSuccess = aMessage.m_code == ResultCode::kOk;
    if (isFailure || isSuccess) {
      m_balancer->NoteOutcome(*agent, isSuccess, m_timers.m_now());
    }
  }
  if (request == nullptr) {
    return;
  }
  const RequestNumber number = attempt->m_request;
  const bool isRepeatable = request->m_new.m_dispatch.m_repeatable;
  const bool mayTryAgain =
    aMessage.m_ran == Ran::kNo ||
    (aMessage.m_code == ResultCode::kUpstreamFailed && isRepeatable);
  if (aMessage.m_code == ResultCode::kOk) {
    if (aMessage.m_length > request->m_delivered.size()) {
      Reattach(aMessage.m_attempt, request->m_delivered.size(), false);
      return;
    }
    Complete(number, aMessage);
    return;
  }
  request->m_current = 0;
  const Attempt ended = *attempt;
  if (attempt->m_isAttach) {
    DropAttempt(aMessage.m_attempt);
  }
  const bool isFinal = aMessage.m_code == ResultCode::kKeyReused ||
                       aMessage.m_code == ResultCode::kJournalUnavailable ||
                       aMessage.m_code == ResultCode::kJournalFull;
  if (!mayTryAgain || isFinal) {
    Fail(number, aMessage.m_code, aMessage.m_ran);
    return;
  }
  Unplace(*request, ended);
  request->m_excluded.insert(aFrom);
  Retry(number, aMessage.m_code);
}

void
RequestTable::OnCharged(AttemptId aAttempt)
{
  Attempt* attempt = FindAttempt(aAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->m_hasAllotment = false;
  if (CurrentOf(aAttempt) == nullptr) {
    DropAttempt(aAttempt);
  }
}

bool
RequestTable::TakeRetry()
{
  if (m_retryCredit < 1) {
    return false;
  }
  m_retryCredit -= 1;
  ++m_counters.m_retries;
  return true;
}

void
RequestTable::Retry(RequestNumber aNumber, ResultCode aWhy)
{
  Request& request = *Find(aNumber);
  request.m_current = 0;
  request.m_lastRefusal = aWhy;
  if (++request.m_tries >= m_options.m_maxTries || !TakeRetry()) {
    Fail(aNumber,
         aWhy,
         aWhy == ResultCode::kUpstreamFailed ? Ran::kUnknown : Ran::kNo);
    return;
  }
  // A pause breaks the recursion and lets a burst of refusals spread out.
  m_timers.m_after(kRetryPause, [this, aNumber] {
    Request* again = Find(aNumber);
    if (again != nullptr && again->m_current == 0) {
      TryNext(aNumber);
    }
  });
}

void
RequestTable::CallerGone(RequestNumber aNumber)
{
  Request* request = Find(aNumber);
  if (request == nullptr) {
    return;
  }
  Note("caller_left", *request, {});
  const AttemptId current = request->m_current;
  if (const Attempt* attempt = FindAttempt(current)) {
    m_hooks.m_send(attempt->m_place, Cancel{ current });
  }
  EndRequest(aNumber);
}

void
RequestTable::Complete(RequestNumber aNumber, const ResponseEnd& aEnd)
{
  const CallerHooks caller = Find(aNumber)->m_new.m_caller;
  ++m_counters.m_completed;
  Note("request_completed", *Find(aNumber), {});
  EndRequest(aNumber);
  caller.m_end(aEnd);
}

void
RequestTable::Fail(RequestNumber aNumber, ResultCode aCode, Ran aRan)
{
  const CallerHooks caller = Find(aNumber)->m_new.m_caller;
  // Whatever the last attempt proves, a lost or an earlier one may still run.
  const Request& failing = *Find(aNumber);
  const bool mayRun = failing.m_mayHaveRun || failing.m_isPlaced;
  const Ran ran = aRan == Ran::kNo && mayRun ? Ran::kUnknown : aRan;
  ++m_counters.m_failed;
  Note("request_failed",
       *Find(aNumber),
       {},
       std::string(Describe(aCode).m_name) +
         ", ran: " + std::string(RanName(ran)));
  const AttemptId current = Find(aNumber)->m_current;
  if (const Attempt* attempt = FindAttempt(current)) {
    m_hooks.m_send(attempt->m_place, Cancel{ current });
  }
  EndRequest(aNumber);
  caller.m_fail({ aCode, ran });
}

void
RequestTable::EndRequest(RequestNumber aNumber)
{
  const Request& ending = *Find(aNumber);
  const AttemptId current = ending.m_current;
  if (ending.m_isDoubled) {
    m_hooks.m_ledger().EndDuplicate(ending.m_new.m_dispatch.m_account,
                                    ending.m_new.m_dispatch.m_key);
  }
  m_requests.erase(aNumber);
  Attempt* attempt = FindAttempt(current);
  if (attempt == nullptr) {
    return;
  }
  CountOut(*attempt);
  attempt->m_request = 0;
  const bool isOwed = attempt->m_hasAllotment;
  if (!isOwed) {
    m_attempts.erase(current);
  }
}

void
RequestTable::NoteLoad(Attempt& aAttempt, std::uint32_t aLoad)
{
  AgentView* agent = m_directory->Find(aAttempt.m_place);
  if (agent == nullptr) {
    return;
  }
  agent->m_load = aLoad;
  CountAccepted(aAttempt);
}

void
RequestTable::CountAccepted(Attempt& aAttempt)
{
  AgentView* agent = m_directory->Find(aAttempt.m_place);
  if (aAttempt.m_isUnaccepted && agent != nullptr && agent->m_unaccepted > 0) {
    --agent->m_unaccepted;
  }
  aAttempt.m_isUnaccepted = false;
}

void
RequestTable::CountOut(Attempt& aAttempt)
{
  CountAccepted(aAttempt);
  AgentView* agent = m_directory->Find(aAttempt.m_place);
  if (aAttempt.m_isCounted && agent != nullptr && agent->m_outstanding > 0) {
    --agent->m_outstanding;
    agent->m_outstandingLong -= aAttempt.m_isLong ? 1 : 0;
  }
  aAttempt.m_isCounted = false;
}

void
RequestTable::DropAttempt(AttemptId aAttempt)
{
  Attempt* attempt = FindAttempt(aAttempt);
  if (attempt == nullptr) {
    return;
  }
  CountOut(*attempt);
  m_attempts.erase(aAttempt);
}

void
RequestTable::ReleaseAndDrop(AttemptId aAttempt)
{
  m_hooks.m_ledger().Release(aAttempt);
  DropAttempt(aAttempt);
}

} // namespace bergamotpaddle
