#include "bergamotpaddle/Router/RequestTable.h"

#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(10);

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
  , m_retryBudget(aOptions.m_maxRetryBudget)
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
RequestTable::RecordEvent(const std::string& aName,
                          const Request& aRequest,
                          const UpstreamId& aUpstream,
                          const std::string& aDetail) const
{
  const Dispatch& dispatch = aRequest.m_params.m_dispatch;
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
  request.m_params = std::move(aRequest);
  request.m_startedAt = m_timers.m_now();
  ++m_counters.m_started;
  m_retryBudget = std::min(m_options.m_maxRetryBudget,
                           m_retryBudget + m_options.m_retriesPerRequest);
  RecordEvent("request_begun", request, {});
  const Duration timeout = std::chrono::milliseconds(
    m_hooks.m_configuration().m_limits.m_requestTimeoutMilliseconds);
  m_timers.m_after(timeout, [this, number] {
    if (Request* pending = Find(number)) {
      Fail(number,
           ResultCode::kDeadlineExceeded,
           pending->m_current == 0 ? Ran::kNo : Ran::kUnknown);
    }
  });
  StartAttempt(number);
  return number;
}

void
RequestTable::On(const UpstreamId& aFrom, const ClaimReply& aMessage)
{
  Attempt* attempt = FindAttempt(aMessage.m_attempt);
  const bool isExpected = CurrentOf(aMessage.m_attempt) != nullptr &&
                          attempt->m_state == AttemptState::kClaiming &&
                          attempt->m_claimedHomes.contains(aFrom);
  if (!isExpected) {
    return;
  }
  attempt->m_claimReplies[aFrom] = aMessage;
  if (attempt->m_claimReplies.size() == attempt->m_claimedHomes.size()) {
    ResolveClaim(aMessage.m_attempt);
  }
}

void
RequestTable::AllotCredit(AttemptId aAttempt)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  const Request& request = *Find(attempt.m_request);
  const Dispatch& dispatch = request.m_params.m_dispatch;
  attempt.m_state = AttemptState::kAwaitingCredit;
  attempt.m_hasAllotment = true;
  m_hooks.m_ledger().Allot(aAttempt,
                           dispatch.m_account,
                           dispatch.m_key,
                           dispatch.m_allotment,
                           [this, aAttempt](ResultCode aCode) {
                             Attempt* waiting = FindAttempt(aAttempt);
                             if (waiting == nullptr ||
                                 Find(waiting->m_request) == nullptr) {
                               m_hooks.m_ledger().Release(aAttempt);
                               DropAttempt(aAttempt);
                               return;
                             }
                             if (aCode == ResultCode::kOk) {
                               Send(aAttempt);
                               return;
                             }
                             const RequestNumber number = waiting->m_request;
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
    // The link was lost while the attempt waited for credit; it was never sent.
    const RequestNumber number = attempt.m_request;
    ReleaseAndDrop(aAttempt);
    Retry(number, ResultCode::kNoUpstream);
    return;
  }
  Dispatch dispatch = request.m_params.m_dispatch;
  dispatch.m_attempt = aAttempt;
  if (!dispatch.m_hasCallerKey) {
    // Only this router places the key, and its attempt numbers increase.
    attempt.m_generation = aAttempt;
  }
  dispatch.m_generation = attempt.m_generation;
  dispatch.m_holder = m_hooks.m_ledger().Holder();
  dispatch.m_resumeText = request.m_delivered;
  dispatch.m_resumeTokens = request.m_deliveredTokens;
  attempt.m_state = AttemptState::kSent;
  attempt.m_sentAt = m_timers.m_now();
  attempt.m_lastChunkAt = attempt.m_sentAt;
  RecordEvent(
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
  UpdateLoad(*attempt, aMessage.m_load);
  if (aMessage.m_isJoined && attempt->m_hasAllotment) {
    // The run was started by another attempt and is charged to that one.
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
  const Attempt refusedAttempt = *attempt;
  ReleaseAndDrop(aMessage.m_attempt);
  if (!isCurrent) {
    return;
  }
  Request& request = *Find(number);
  request.m_current = 0;
  request.m_isPlaced = false;
  RecordEvent("attempt_refused",
              request,
              aFrom,
              std::string(Describe(aMessage.m_code).m_name));
  if (aMessage.m_code == ResultCode::kKeyReused) {
    Fail(number, aMessage.m_code, Ran::kNo);
    return;
  }
  // The key is still placed at this upstream; the next claim moves it.
  AllowMove(request, refusedAttempt);
  if (aMessage.m_code == ResultCode::kHolderSealed) {
    // Makes this router's ledger detect the seal, which starts a new holder.
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
  UpdateLoad(*attempt, aMessage.m_load);
  Deliver(*request, *attempt, aMessage);
}

void
RequestTable::Deliver(Request& aRequest,
                      Attempt& aAttempt,
                      const ResponseData& aData)
{
  const std::uint64_t delivered = aRequest.m_delivered.size();
  const std::uint64_t end = aData.m_offset + aData.m_bytes.size();
  if (aData.m_offset > delivered) {
    // There is a gap; requests the response again from the end of what was
    // delivered.
    ++m_counters.m_staleFrames;
    SendAttach(aData.m_attempt, delivered, false);
    return;
  }
  if (end <= delivered) {
    ++m_counters.m_staleFrames;
    return;
  }
  const Instant now = m_timers.m_now();
  AgentView* agent = m_directory->Find(aAttempt.m_place);
  if (agent != nullptr && !aAttempt.m_isAttach) {
    if (aAttempt.m_lastChunkAt == aAttempt.m_sentAt) {
      m_balancer->RecordFirstByte(*agent, now - aAttempt.m_sentAt);
    } else {
      m_balancer->RecordChunkInterval(*agent, now - aAttempt.m_lastChunkAt);
    }
  }
  aAttempt.m_lastChunkAt = now;
  const std::string newBytes = aData.m_bytes.substr(delivered - aData.m_offset);
  aRequest.m_delivered += newBytes;
  aRequest.m_deliveredTokens = aData.m_tokens;
  aRequest.m_params.m_caller.m_data(newBytes);
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
  UpdateLoad(*attempt, aMessage.m_load);
  RemoveFromLoad(*attempt);
  if (AgentView* agent = m_directory->Find(aFrom);
      agent != nullptr && !attempt->m_isAttach) {
    const bool isFailure = aMessage.m_code == ResultCode::kUpstreamFailed;
    const bool isSuccess = aMessage.m_code == ResultCode::kOk;
    if (isFailure || isSuccess) {
      m_balancer->RecordOutcome(*agent, isSuccess, m_timers.m_now());
    }
  }
  if (request == nullptr) {
    return;
  }
  const RequestNumber number = attempt->m_request;
  const bool isRepeatable = request->m_params.m_dispatch.m_repeatable;
  const bool isRetryable =
    aMessage.m_ran == Ran::kNo ||
    (aMessage.m_code == ResultCode::kUpstreamFailed && isRepeatable);
  if (aMessage.m_code == ResultCode::kOk) {
    if (aMessage.m_length > request->m_delivered.size()) {
      SendAttach(aMessage.m_attempt, request->m_delivered.size(), false);
      return;
    }
    Complete(number, aMessage);
    return;
  }
  request->m_current = 0;
  const Attempt endedAttempt = *attempt;
  if (attempt->m_isAttach) {
    DropAttempt(aMessage.m_attempt);
  }
  const bool isFinal = aMessage.m_code == ResultCode::kKeyReused ||
                       aMessage.m_code == ResultCode::kJournalUnavailable ||
                       aMessage.m_code == ResultCode::kJournalFull;
  if (!isRetryable || isFinal) {
    Fail(number, aMessage.m_code, aMessage.m_ran);
    return;
  }
  if (aMessage.m_ran != Ran::kNo) {
    request->m_hasFailedRun = true;
  }
  AllowMove(*request, endedAttempt);
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
RequestTable::TryConsumeRetry()
{
  if (m_retryBudget < 1) {
    return false;
  }
  m_retryBudget -= 1;
  ++m_counters.m_retries;
  return true;
}

void
RequestTable::Retry(RequestNumber aNumber, ResultCode aCode)
{
  Request& request = *Find(aNumber);
  request.m_current = 0;
  request.m_lastRefusal = aCode;
  if (++request.m_tries >= m_options.m_maxTries || !TryConsumeRetry()) {
    Fail(aNumber,
         aCode,
         aCode == ResultCode::kUpstreamFailed ? Ran::kUnknown : Ran::kNo);
    return;
  }
  // The delay ends the recursion and spreads the retries after a burst of
  // refusals.
  m_timers.m_after(kRetryDelay, [this, aNumber] {
    Request* waiting = Find(aNumber);
    if (waiting != nullptr && waiting->m_current == 0) {
      StartAttempt(aNumber);
    }
  });
}

void
RequestTable::OnCallerDisconnect(RequestNumber aNumber)
{
  Request* request = Find(aNumber);
  if (request == nullptr) {
    return;
  }
  RecordEvent("caller_left", *request, {});
  const AttemptId current = request->m_current;
  if (const Attempt* attempt = FindAttempt(current)) {
    m_hooks.m_send(attempt->m_place, Cancel{ current });
  }
  EndRequest(aNumber);
}

bool
RequestTable::MayHaveRun(const Request& aRequest)
{
  const Attempt* attempt = FindAttempt(aRequest.m_current);
  const bool isSent =
    attempt != nullptr && (attempt->m_state == AttemptState::kSent ||
                           attempt->m_state == AttemptState::kAccepted ||
                           attempt->m_state == AttemptState::kLost);
  return isSent || aRequest.m_mayHaveRun || aRequest.m_isPlaced ||
         aRequest.m_hasFailedRun;
}

void
RequestTable::EndAll()
{
  std::vector<RequestNumber> numbers;
  for (const auto& [number, request] : m_requests) {
    numbers.push_back(number);
  }
  for (RequestNumber number : numbers) {
    const Request* request = Find(number);
    if (request == nullptr) {
      continue; // The end of another one has ended it.
    }
    const bool mayHaveRun = MayHaveRun(*request);
    Fail(number,
         mayHaveRun ? ResultCode::kOutcomeUnknown : ResultCode::kDraining,
         mayHaveRun ? Ran::kUnknown : Ran::kNo);
  }
}

void
RequestTable::Complete(RequestNumber aNumber, const ResponseEnd& aEnd)
{
  const CallerHooks caller = Find(aNumber)->m_params.m_caller;
  ++m_counters.m_completed;
  RecordEvent("request_completed", *Find(aNumber), {});
  EndRequest(aNumber);
  caller.m_end(aEnd);
}

void
RequestTable::Fail(RequestNumber aNumber, ResultCode aCode, Ran aRan)
{
  const CallerHooks caller = Find(aNumber)->m_params.m_caller;
  // aRan describes the last attempt; an earlier or lost one may still run.
  const Request& request = *Find(aNumber);
  const bool mayHaveRun =
    request.m_mayHaveRun || request.m_hasFailedRun || request.m_isPlaced;
  const Ran ran = aRan == Ran::kNo && mayHaveRun ? Ran::kUnknown : aRan;
  ++m_counters.m_failed;
  RecordEvent("request_failed",
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
  const Request& request = *Find(aNumber);
  const AttemptId current = request.m_current;
  if (request.m_isDuplicate) {
    m_hooks.m_ledger().EndDuplicate(request.m_params.m_dispatch.m_account,
                                    request.m_params.m_dispatch.m_key);
  }
  m_requests.erase(aNumber);
  Attempt* attempt = FindAttempt(current);
  if (attempt == nullptr) {
    return;
  }
  RemoveFromLoad(*attempt);
  attempt->m_request = 0;
  const bool hasAllotment = attempt->m_hasAllotment;
  if (!hasAllotment) {
    m_attempts.erase(current);
  }
}

void
RequestTable::UpdateLoad(Attempt& aAttempt, std::uint32_t aLoad)
{
  AgentView* agent = m_directory->Find(aAttempt.m_place);
  if (agent == nullptr) {
    return;
  }
  agent->m_load = aLoad;
  MarkReported(aAttempt);
}

void
RequestTable::MarkReported(Attempt& aAttempt)
{
  AgentView* agent = m_directory->Find(aAttempt.m_place);
  if (aAttempt.m_isUnreported && agent != nullptr && agent->m_unreported > 0) {
    --agent->m_unreported;
  }
  aAttempt.m_isUnreported = false;
}

void
RequestTable::RemoveFromLoad(Attempt& aAttempt)
{
  MarkReported(aAttempt);
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
  RemoveFromLoad(*attempt);
  m_attempts.erase(aAttempt);
}

void
RequestTable::ReleaseAndDrop(AttemptId aAttempt)
{
  m_hooks.m_ledger().Release(aAttempt);
  DropAttempt(aAttempt);
}

} // namespace bergamotpaddle
