/// \file
/// The decisions of an agent: one process beside one upstream. It admits work,
/// keeps answers until they are read, charges what ran, and refuses in so many
/// words what will not run.
#pragma once

#include "bergamotpaddle/Agent/Admission.h"
#include "bergamotpaddle/Agent/ClaimTable.h"
#include "bergamotpaddle/Agent/Journal.h"
#include "bergamotpaddle/Agent/WorkTable.h"
#include "bergamotpaddle/Budget/ChargeLog.h"
#include "bergamotpaddle/Events/EventRing.h"

namespace bergamotpaddle {

/// Bounds of an agent.
struct AgentOptions
{
  UpstreamId m_upstream;
  AgentId m_agent;
  std::string m_zone;
  AdmissionOptions m_admission;
  Duration m_maxWait =
    std::chrono::seconds(20); ///< In the queue, before the work is given back.
  Duration m_answerRetention = std::chrono::seconds(300);
  Duration m_sweepInterval = std::chrono::seconds(1);
  std::size_t m_answerBytes = 48U << 20U;
  std::size_t m_maxClaims = 200'000;
  Duration m_earlyWait = std::chrono::milliseconds(
    800); ///< For the dispatch that an attach came ahead of.
  std::size_t m_maxUnsettled =
    20'000; ///< Charges of one holder; beyond, its work is refused.
};

/// How work ended at the upstream.
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

/// What an agent asks of its shell.
struct AgentHooks
{
  std::function<void(PeerId, Message)> m_send;
  /// Starts work at the upstream; data and end come back by run id.
  std::function<void(RunId, const Dispatch&)> m_start;
  /// Stops work at the upstream; its end still comes back.
  std::function<void(RunId)> m_cancel;
  /// Adds to the time line.
  EventHook m_event;
};

/// The agent as a state machine: messages, upstream events and time go in,
/// messages and orders to the upstream come out. No I/O of its own.
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

  /// The health check's view of the upstream; an unhealthy one gets no new
  /// work.
  void SetUpstreamHealthy(bool aHealthy) { m_upstreamHealthy = aHealthy; }
  /// Configuration or the host list says that the upstream is leaving.
  void SetUpstreamDraining(bool aDraining) { m_upstreamDraining = aDraining; }
  /// This process is stopping.
  void SetStopping() { m_stopping = true; }
  void SetAdmission(AdmissionOptions aOptions);

  bool IsDraining() const { return m_stopping || m_upstreamDraining; }
  /// Nothing runs, waits, or is owed to a router that is still linked.
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
  /// Messages that are not for an agent's decisions.
  template<typename Other>
  void On(PeerId, const Other&)
  {
  }

  std::optional<ResultCode> ReasonToRefuse(const Dispatch& aDispatch) const;
  void Refuse(PeerId aPeer, const Dispatch& aDispatch, ResultCode aCode);
  void Join(PeerId aPeer, const Dispatch& aDispatch, WorkRecord& aRecord);
  void JournalStart(PeerId aPeer, WorkRecord& aRecord);
  void Journaled(RunId aRun,
                 JournalVerdict aVerdict,
                 const JournalEntry& aEntry);
  void AnswerFromJournal(RunId aRun, const JournalEntry& aEntry);
  void GiveBack(RunId aRun, ResultCode aCode);
  void Enqueue(PeerId aPeer, WorkRecord& aRecord);
  void StartReady();
  void AttachKnown(PeerId aPeer, const Attach& aMessage, WorkRecord& aRecord);
  void Revoke(PeerId aPeer, const Attach& aMessage);
  void EarlyOver(const WorkTable::Name& aName);
  void AttachEarly(const WorkTable::Name& aName);
  void AddReader(WorkRecord& aRecord, Reader aReader, std::uint64_t aOffset);
  void SendEnd(const WorkRecord& aRecord, const Reader& aReader);
  void RemoveReader(WorkRecord& aRecord, const Reader& aReader);
  void CancelIfUnread(WorkRecord& aRecord);
  void EndRun(WorkRecord& aRecord, const UpstreamOutcome& aOutcome);
  void BookCharge(const WorkRecord& aRecord, std::uint64_t aTokens);
  std::uint64_t ChargeOf(const WorkRecord& aRecord,
                         const UpstreamOutcome& aOutcome) const;
  std::uint32_t Load() const;
  void ExpireWaiting();
  void Sweep();
  void Note(const std::string& aName,
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
    m_holders; ///< The present holder of each linked router.
  std::set<RunId> m_waitingRuns;
  std::map<WorkTable::Name, std::vector<std::pair<PeerId, Attach>>>
    m_early; ///< Attaches ahead of their dispatch.
  Instant m_startedAt;
  bool m_upstreamHealthy = true;
  bool m_upstreamDraining = false;
  bool m_stopping = false;
};

} // namespace bergamotpaddle
