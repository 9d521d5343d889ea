#include "bergamotpaddle/Agent/AgentCore.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bergamotpaddle {

AgentCore::AgentCore(AgentOptions aOptions,
                     TimerHooks aTimers,
                     AgentHooks aHooks,
                     Journal& aJournal)
  : m_options(std::move(aOptions))
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
  , m_journal(&aJournal)
  , m_admission(m_options.m_admission)
  , m_claims(m_options.m_responseRetention, m_options.m_maxClaims)
  , m_charges(m_options.m_agent)
  , m_work(m_options.m_responseRetention, m_options.m_maxResponseBytes)
  , m_startedAt(m_timers.m_now())
{
  Sweep();
}

void
AgentCore::SetAdmission(AdmissionOptions aOptions)
{
  m_admission.SetOptions(aOptions);
  StartQueuedRuns();
}

bool
AgentCore::IsIdle() const
{
  const bool hasUnsettledCharges =
    std::any_of(m_holders.begin(), m_holders.end(), [this](const auto& aItem) {
      return m_charges.UnsettledCount(aItem.second) > 0;
    });
  return m_work.OpenCount() == 0 && m_journal->PendingOutcomes() == 0 &&
         !hasUnsettledCharges;
}

Heartbeat
AgentCore::MakeHeartbeat(std::uint64_t aConfigVersion) const
{
  Heartbeat heartbeat;
  heartbeat.m_configVersion = aConfigVersion;
  heartbeat.m_draining = IsDraining();
  heartbeat.m_upstreamHealthy = m_isUpstreamHealthy;
  heartbeat.m_running = static_cast<std::uint32_t>(m_admission.Running());
  heartbeat.m_waiting = static_cast<std::uint32_t>(m_admission.Waiting());
  heartbeat.m_load = Load();
  heartbeat.m_uptimeMilliseconds = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.m_now() -
                                                          m_startedAt)
      .count());
  return heartbeat;
}

std::uint32_t
AgentCore::Load() const
{
  return static_cast<std::uint32_t>(m_admission.LoadForShort());
}

void
AgentCore::RecordEvent(const std::string& aName,
                       const Dispatch& aDispatch,
                       const std::string& aDetail) const
{
  m_hooks.m_event({ aName,
                    aDispatch.m_key.Str(),
                    aDispatch.m_account.Str(),
                    m_options.m_upstream.Str(),
                    aDetail });
}

void
AgentCore::OnMessage(PeerId aPeer, const Message& aMessage)
{
  std::visit([&](const auto& aAlternative) { On(aPeer, aAlternative); },
             aMessage);
}

void
AgentCore::OnPeerClosed(PeerId aPeer)
{
  m_holders.erase(aPeer);
  // The work continues: the router, or the caller's retry through another
  // router, may still attach to read the response.
  for (RunId run : m_work.RunsReadBy(aPeer)) {
    auto& readers = m_work.Find(run)->m_readers;
    std::erase_if(
      readers, [&](const Reader& aReader) { return aReader.m_peer == aPeer; });
  }
}

void
AgentCore::On(PeerId aPeer, const Introduce& aMessage)
{
  if (aMessage.m_role != ProcessRole::kRouter) {
    return;
  }
  m_holders[aPeer] = aMessage.m_holder;
  for (const Charge& charge : m_charges.Unsettled(aMessage.m_holder)) {
    m_hooks.m_send(aPeer, charge);
  }
}

void
AgentCore::On(PeerId aPeer, const ClaimRequest& aMessage)
{
  m_hooks.m_send(aPeer, m_claims.Resolve(aMessage, m_timers.m_now()));
}

std::optional<ResultCode>
AgentCore::RefusalReason(const Dispatch& aDispatch) const
{
  if (IsDraining()) {
    return ResultCode::kDraining;
  }
  if (!m_isUpstreamHealthy) {
    return ResultCode::kNoUpstream;
  }
  if (m_charges.IsSealed(aDispatch.m_holder)) {
    return ResultCode::kHolderSealed;
  }
  if (m_charges.UnsettledCount(aDispatch.m_holder) >=
      m_options.m_maxUnsettledCharges) {
    return ResultCode::kOverloaded;
  }
  return std::nullopt;
}

void
AgentCore::Refuse(PeerId aPeer, const Dispatch& aDispatch, ResultCode aCode)
{
  RecordEvent("refused", aDispatch, std::string(Describe(aCode).m_name));
  m_hooks.m_send(aPeer, Refused{ aDispatch.m_attempt, aCode });
}

void
AgentCore::On(PeerId aPeer, const Dispatch& aMessage)
{
  WorkRecord* existing = m_work.Find(aMessage.m_account, aMessage.m_key);
  if (existing != nullptr && existing->m_state == WorkState::kRevoked &&
      existing->m_dispatch.m_generation < aMessage.m_generation) {
    // The request was placed here again after the revocation.
    m_work.Remove(existing->m_run);
    existing = nullptr;
  }
  if (existing != nullptr) {
    Join(aPeer, aMessage, *existing);
    return;
  }
  if (const std::optional<ResultCode> reason = RefusalReason(aMessage)) {
    Refuse(aPeer, aMessage, *reason);
    return;
  }
  if (aMessage.m_repeatable) {
    Enqueue(aPeer, m_work.Add(aMessage, WorkState::kWaiting, m_timers.m_now()));
  } else {
    JournalStart(
      aPeer, m_work.Add(aMessage, WorkState::kJournaling, m_timers.m_now()));
  }
  ServeEarlyAttaches({ aMessage.m_account, aMessage.m_key });
}

void
AgentCore::Enqueue(PeerId aPeer, WorkRecord& aRecord)
{
  const Dispatch& dispatch = aRecord.m_dispatch;
  AdmissionRequest request;
  request.m_run = aRecord.m_run;
  request.m_account = dispatch.m_account;
  request.m_weight = dispatch.m_weight;
  request.m_cost =
    dispatch.m_kind == WorkKind::kChat ? dispatch.m_maxOutput : 1;
  const std::optional<RunId> shed = m_admission.Offer(request);
  if (shed == aRecord.m_run) {
    Refuse(aPeer, dispatch, ResultCode::kOverloaded);
    m_work.Remove(aRecord.m_run);
    return;
  }
  if (shed.has_value()) {
    EndUnstarted(*shed, ResultCode::kOverloaded);
  }
  aRecord.m_state = WorkState::kWaiting;
  // Offsets count from the start of the complete response, also for readers
  // that join later.
  aRecord.m_response = dispatch.m_resumeText;
  m_waitingRuns.insert(aRecord.m_run);
  RecordEvent("accepted", dispatch);
  m_hooks.m_send(aPeer, Accepted{ dispatch.m_attempt, false, Load() });
  AddReader(aRecord, { aPeer, dispatch.m_attempt }, aRecord.m_response.size());
  StartQueuedRuns();
}

void
AgentCore::EndUnstarted(RunId aRun, ResultCode aCode)
{
  WorkRecord& record = *m_work.Find(aRun);
  RecordEvent(
    "given_back", record.m_dispatch, std::string(Describe(aCode).m_name));
  RecordCharge(record, 0);
  record.m_end.m_code = aCode;
  record.m_end.m_ran = Ran::kNo;
  for (const Reader& reader : record.m_readers) {
    SendEnd(record, reader);
  }
  m_waitingRuns.erase(aRun);
  m_admission.Remove(aRun);
  m_work.Remove(aRun);
}

void
AgentCore::StartQueuedRuns()
{
  while (const std::optional<RunId> run = m_admission.StartNext()) {
    WorkRecord& record = *m_work.Find(*run);
    m_waitingRuns.erase(*run);
    record.m_state = WorkState::kRunning;
    record.m_changedAt = m_timers.m_now();
    RecordEvent("started", record.m_dispatch);
    m_hooks.m_start(*run, record.m_dispatch);
  }
}

void
AgentCore::On(PeerId aPeer, const Attach& aMessage)
{
  const WorkTable::RequestIdentity identity{ aMessage.m_account,
                                             aMessage.m_key };
  WorkRecord* record = m_work.Find(aMessage.m_account, aMessage.m_key);
  if (record != nullptr && record->m_state != WorkState::kRevoked) {
    AttachToRecord(aPeer, aMessage, *record);
    return;
  }
  const bool isRevoked = record != nullptr && record->m_dispatch.m_generation >=
                                                aMessage.m_generation;
  if (isRevoked || !aMessage.m_mayWait) {
    Revoke(aPeer, aMessage);
    return;
  }
  std::vector<std::pair<PeerId, Attach>>& attaches = m_earlyAttaches[identity];
  attaches.emplace_back(aPeer, aMessage);
  if (attaches.size() == 1) {
    m_timers.m_after(m_options.m_earlyAttachTimeout,
                     [this, identity] { ExpireEarlyAttaches(identity); });
  }
}

void
AgentCore::On(PeerId aPeer, const Cancel& aMessage)
{
  for (RunId run : m_work.RunsReadBy(aPeer)) {
    WorkRecord& record = *m_work.Find(run);
    const Reader reader{ aPeer, aMessage.m_attempt };
    if (std::find(record.m_readers.begin(), record.m_readers.end(), reader) !=
        record.m_readers.end()) {
      std::erase(record.m_readers, reader);
      CancelIfUnread(record);
      return;
    }
  }
}

void
AgentCore::OnUpstreamData(RunId aRun,
                          const std::string& aBytes,
                          std::uint64_t aTokens)
{
  WorkRecord* record = m_work.Find(aRun);
  if (record == nullptr || record->m_state != WorkState::kRunning) {
    return;
  }
  const std::uint64_t offset = record->m_response.size();
  record->m_response += aBytes;
  record->m_generatedTokens += aTokens;
  for (const Reader& reader : record->m_readers) {
    m_hooks.m_send(
      reader.m_peer,
      ResponseData{
        reader.m_attempt, offset, aBytes, record->TotalTokens(), Load() });
  }
}

void
AgentCore::OnUpstreamEnd(RunId aRun, const UpstreamOutcome& aOutcome)
{
  WorkRecord* record = m_work.Find(aRun);
  if (record == nullptr || record->m_state != WorkState::kRunning) {
    return;
  }
  const Dispatch& dispatch = record->m_dispatch;
  if (!dispatch.m_repeatable && aOutcome.m_ran == Ran::kNo) {
    m_journal->Withdraw(dispatch.m_target, dispatch.m_account, dispatch.m_key);
  }
  if (!dispatch.m_repeatable && aOutcome.m_ran == Ran::kYes) {
    JournalEntry entry;
    entry.m_httpStatus = aOutcome.m_httpStatus;
    entry.m_contentType = aOutcome.m_contentType;
    entry.m_body = record->m_response;
    m_journal->Finish(
      dispatch.m_target, dispatch.m_account, dispatch.m_key, std::move(entry));
  }
  EndRun(*record, aOutcome);
  StartQueuedRuns();
}

void
AgentCore::EndRun(WorkRecord& aRecord, const UpstreamOutcome& aOutcome)
{
  const Dispatch& dispatch = aRecord.m_dispatch;
  RecordEvent("ended", dispatch, std::string(Describe(aOutcome.m_code).m_name));
  m_admission.Remove(aRecord.m_run);
  ResponseEnd& end = aRecord.m_end;
  end.m_code = aOutcome.m_code;
  end.m_ran = aOutcome.m_ran;
  end.m_httpStatus = aOutcome.m_httpStatus;
  end.m_contentType = aOutcome.m_contentType;
  end.m_length = aRecord.m_response.size();
  end.m_promptTokens = aOutcome.m_promptTokens;
  end.m_completionTokens =
    dispatch.m_resumeTokens + aOutcome.m_completionTokens;
  end.m_finishReason = aOutcome.m_finishReason;
  RecordCharge(aRecord, ComputeCharge(aRecord, aOutcome));
  for (const Reader& reader : aRecord.m_readers) {
    SendEnd(aRecord, reader);
  }
  aRecord.m_readers.clear();
  const bool mayRunAgain =
    aOutcome.m_code == ResultCode::kUpstreamFailed && dispatch.m_repeatable;
  const bool isOutcomeUnknown = aOutcome.m_code == ResultCode::kOutcomeUnknown;
  if (mayRunAgain || isOutcomeUnknown) {
    // The record is not retained: a router may dispatch the work here again,
    // and the journal decides whether a non-repeatable call may start.
    m_work.Remove(aRecord.m_run);
    return;
  }
  m_work.Finish(aRecord, m_timers.m_now());
}

std::uint64_t
AgentCore::ComputeCharge(const WorkRecord& aRecord,
                         const UpstreamOutcome& aOutcome) const
{
  const Dispatch& dispatch = aRecord.m_dispatch;
  if (dispatch.m_kind == WorkKind::kServiceCall) {
    return aOutcome.m_ran == Ran::kYes ? dispatch.m_fixedCost : 0;
  }
  const bool isDelivered = aOutcome.m_code == ResultCode::kOk ||
                           aOutcome.m_code == ResultCode::kCancelled;
  if (!isDelivered) {
    // The agent that continues the work charges all of it, including the tokens
    // of this run.
    return 0;
  }
  return aOutcome.m_promptTokens + dispatch.m_resumeTokens +
         aOutcome.m_completionTokens;
}

void
AgentCore::RecordCharge(const WorkRecord& aRecord, std::uint64_t aTokens)
{
  const Dispatch& dispatch = aRecord.m_dispatch;
  const std::uint64_t tokens = std::min(aTokens, dispatch.m_allotment);
  const Charge& charge = m_charges.Add(dispatch.m_holder,
                                       dispatch.m_account,
                                       dispatch.m_key,
                                       dispatch.m_attempt,
                                       tokens);
  RecordEvent("charged",
              dispatch,
              absl::StrCat(tokens, " tokens to ", dispatch.m_holder.Str()));
  for (const auto& [peer, holder] : m_holders) {
    if (holder == dispatch.m_holder) {
      m_hooks.m_send(peer, charge);
    }
  }
}

void
AgentCore::On(PeerId, const Settled& aMessage)
{
  if (aMessage.m_agent == m_options.m_agent) {
    m_charges.Settle(aMessage.m_holder, aMessage.m_throughSequence);
  }
}

void
AgentCore::On(PeerId aPeer, const SealRequest& aMessage)
{
  m_charges.Seal(aMessage.m_holder);
  SealReply reply;
  reply.m_holder = aMessage.m_holder;
  reply.m_agent = m_options.m_agent;
  reply.m_upstream = m_options.m_upstream;
  reply.m_lastSequence = m_charges.LastSequence(aMessage.m_holder);
  reply.m_unsettled = m_charges.Unsettled(aMessage.m_holder);
  reply.m_running = m_work.OpenAccounts(aMessage.m_holder);
  m_hooks.m_event(
    { "sealed", "", "", m_options.m_upstream.Str(), aMessage.m_holder.Str() });
  m_hooks.m_send(aPeer, reply);
}

void
AgentCore::ExpireWaiting()
{
  const Instant now = m_timers.m_now();
  std::vector<RunId> expired;
  for (RunId run : m_waitingRuns) {
    if (m_work.Find(run)->m_changedAt + m_options.m_maxQueueTime < now) {
      expired.push_back(run);
    }
  }
  for (RunId run : expired) {
    EndUnstarted(run, ResultCode::kDeadlineExceeded);
  }
}

void
AgentCore::Sweep()
{
  ExpireWaiting();
  m_work.EvictFinished(m_timers.m_now());
  m_timers.m_after(m_options.m_sweepInterval, [this] { Sweep(); });
}

} // namespace bergamotpaddle
