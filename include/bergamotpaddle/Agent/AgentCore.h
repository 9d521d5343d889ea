/// \file
/// Decision logic of an agent, the process in front of one upstream. An agent
/// admits work, retains responses for readers, charges work that ran, and sends
/// an explicit refusal for work that will not run.
#pragma once

#include "bergamotpaddle/Agent/Admission.h"
#include "bergamotpaddle/Agent/ClaimTable.h"
#include "bergamotpaddle/Agent/Journal.h"
#include "bergamotpaddle/Agent/WorkTable.h"
#include "bergamotpaddle/Budget/ChargeLog.h"
#include "bergamotpaddle/Events/EventRing.h"

namespace bergamotpaddle {

/// Limits and intervals of an agent.
struct AgentOptions
{
  UpstreamId m_upstream;
  AgentId m_agent;
  std::string m_zone;
  AdmissionOptions m_admission;
  Duration m_maxQueueTime = std::chrono::seconds(
    20); ///< Work that waits longer for a slot is rejected.
  Duration m_responseRetention =
    std::chrono::seconds(300); ///< Of finished requests and of claims.
  Duration m_sweepInterval =
    std::chrono::seconds(1); ///< Between removals of expired work.
  std::size_t m_maxResponseBytes =
    48U << 20U; ///< Total size of the retained finished requests.
  std::size_t m_maxClaims = 200'000;
  Duration m_earlyAttachTimeout = std::chrono::milliseconds(
    800); ///< For a dispatch after its attach; then it is revoked.
  std::size_t m_maxUnsettledCharges =
    20'000; ///< For each holder; at the limit, its new work is refused.
};

/// Outcome of a run at the upstream.
struct UpstreamOutcome
{
  ResultCode m_code = ResultCode::kOk;
  Ran m_ran = Ran::kYes;
  int m_httpStatus = 200;
  std::string m_contentType;
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_completionTokens = 0; ///< Generated in this run.
  std::string m_finishReason;
};

/// Callbacks of an agent, implemented by the process that contains it.
struct AgentHooks
{
  std::function<void(PeerId, Message)> m_send;
  /// Starts work at the upstream; OnUpstreamData and OnUpstreamEnd report on
  /// it.
  std::function<void(RunId, const Dispatch&)> m_start;
  /// Cancels work at the upstream; OnUpstreamEnd is still called for it.
  std::function<void(RunId)> m_cancel;
  /// Records an event in the timeline.
  EventHook m_event;
};

/// The agent as a state machine without I/O: its inputs are messages, upstream
/// events and time, its outputs are messages and upstream commands.
class AgentCore
{
public:
  AgentCore(AgentOptions aOptions,
            TimerHooks aTimers,
            AgentHooks aHooks,
            Journal& aJournal);

  void OnPeerClosed(PeerId aPeer);
  void OnMessage(PeerId aPeer, const Message& aMessage);

  void OnUpstreamData(RunId aRun,
                      const std::string& aBytes,
                      std::uint64_t aTokens);
  void OnUpstreamEnd(RunId aRun, const UpstreamOutcome& aOutcome);

  /// Sets the result of the health check; an unhealthy upstream gets no new
  /// work.
  void SetUpstreamHealthy(bool aHealthy) { m_isUpstreamHealthy = aHealthy; }
  /// The upstream is drained or has been removed from the configuration.
  void SetUpstreamDraining(bool aDraining) { m_isUpstreamDraining = aDraining; }
  /// The process is stopping: new work is refused.
  void SetStopping() { m_isStopping = true; }
  void SetAdmission(AdmissionOptions aOptions);

  bool IsDraining() const { return m_isStopping || m_isUpstreamDraining; }
  /// Whether no work runs or waits, all outcomes are in the journal and no
  /// connected router has unsettled charges.
  bool IsIdle() const;
  Heartbeat MakeHeartbeat(std::uint64_t aConfigVersion) const;

private:
  void On(PeerId aPeer, const Introduce& aMessage);
  void On(PeerId aPeer, const ClaimRequest& aMessage);
  void On(PeerId aPeer, const Dispatch& aMessage);
  void On(PeerId aPeer, const Attach& aMessage);
  void On(PeerId aPeer, const Cancel& aMessage);
  void On(PeerId aPeer, const Settled& aMessage);
  void On(PeerId aPeer, const SealRequest& aMessage);
  /// Ignores messages that do not concern the agent's decisions.
  template<typename Other>
  void On(PeerId, const Other&)
  {
  }

  std::optional<ResultCode> RefusalReason(const Dispatch& aDispatch) const;
  void Refuse(PeerId aPeer, const Dispatch& aDispatch, ResultCode aCode);
  /// Adds the sender of a repeated dispatch as a reader of the existing record.
  void Join(PeerId aPeer, const Dispatch& aDispatch, WorkRecord& aRecord);
  /// Requests the journal to start a non-repeatable call.
  void JournalStart(PeerId aPeer, WorkRecord& aRecord);
  void OnJournalVerdict(RunId aRun,
                        JournalVerdict aVerdict,
                        const JournalEntry& aEntry);
  void RespondFromJournal(RunId aRun, const JournalEntry& aEntry);
  /// Ends accepted work that did not run, with a charge of 0 tokens.
  void EndUnstarted(RunId aRun, ResultCode aCode);
  void Enqueue(PeerId aPeer, WorkRecord& aRecord);
  void StartQueuedRuns();
  void AttachToRecord(PeerId aPeer,
                      const Attach& aMessage,
                      WorkRecord& aRecord);
  /// Refuses an attach to a request that has no work here and prevents later
  /// dispatches of its generation or an older one from starting.
  void Revoke(PeerId aPeer, const Attach& aMessage);
  void ExpireEarlyAttaches(const WorkTable::RequestIdentity& aIdentity);
  void ServeEarlyAttaches(const WorkTable::RequestIdentity& aIdentity);
  void AddReader(WorkRecord& aRecord, Reader aReader, std::uint64_t aOffset);
  void SendEnd(const WorkRecord& aRecord, const Reader& aReader);
  void RemoveReader(WorkRecord& aRecord, const Reader& aReader);
  void CancelIfUnread(WorkRecord& aRecord);
  void EndRun(WorkRecord& aRecord, const UpstreamOutcome& aOutcome);
  void RecordCharge(const WorkRecord& aRecord, std::uint64_t aTokens);
  std::uint64_t ComputeCharge(const WorkRecord& aRecord,
                              const UpstreamOutcome& aOutcome) const;
  std::uint32_t Load() const;
  void ExpireWaiting();
  void Sweep();
  void RecordEvent(const std::string& aName,
                   const Dispatch& aDispatch,
                   const std::string& aDetail = "") const;

  AgentOptions m_options;
  TimerHooks m_timers;
  AgentHooks m_hooks;
  Journal* m_journal;
  Admission m_admission;
  ClaimTable m_claims;
  ChargeLog m_charges;
  WorkTable m_work;
  std::map<PeerId, HolderId>
    m_holders;                   ///< Current holder of each connected router.
  std::set<RunId> m_waitingRuns; ///< Runs in the admission queue.
  std::map<WorkTable::RequestIdentity, std::vector<std::pair<PeerId, Attach>>>
    m_earlyAttaches; ///< Attaches received before their dispatch.
  Instant m_startedAt;
  bool m_isUpstreamHealthy = true;
  bool m_isUpstreamDraining = false;
  bool m_isStopping = false;
};

} // namespace bergamotpaddle
