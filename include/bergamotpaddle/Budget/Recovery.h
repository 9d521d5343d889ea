/// \file
/// Takes over the ledger of a router that is gone: seals it, collects what the
/// agents still hold of it, and gives back what was not spent.
///
/// Accounts are released one by one, each as soon as every agent has sealed
/// the holder, has no work of that account under way and has handed over its
/// charges; an account that a caller waits for goes first. (Recovery on demand
/// and the vector of settled sequence numbers follow "On-Demand Recovery in
/// Middleware Storage Systems", section III-D.)
#pragma once

#include "bergamotpaddle/Budget/Values.h"
#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <memory>

namespace bergamotpaddle {

/// What a recovery asks of its router.
struct RecoveryHooks
{
  /// Every upstream whose agent may know the holder.
  std::function<std::set<UpstreamId>()> m_upstreams;
  /// Sends to the agent of an upstream; false if its link is down.
  std::function<bool(const UpstreamId&, const Message&)> m_send;
  std::function<std::optional<std::uint64_t>(const AccountId&)> m_initialBudget;
  /// The holder's last account is closed.
  std::function<void(const HolderId&)> m_recovered;
  /// An account of the holder has been given back.
  std::function<void(const HolderId&, const AccountId&)> m_released;
};

/// All recoveries of one router. Several routers may recover the same holder
/// at once: every step is a compare-and-swap that the next one finds done.
class Recovery
{
public:
  Recovery(KeyValueHooks aKeyValue, TimerHooks aTimers, RecoveryHooks aHooks);

  /// Starts, or goes on with, the recovery of \p aHolder.
  void Recover(const HolderId& aHolder);

  /// Lets \p aAccount go first in all recoveries under way.
  void Prioritize(const AccountId& aAccount);

  /// An agent answered a SealRequest.
  void OnSealReply(const SealReply& aReply);

  /// Recoveries under way.
  std::size_t InProgress() const { return m_cases.size(); }

private:
  /// What one agent has told of the holder.
  struct AgentState
  {
    AgentId m_agent;
    std::uint64_t m_lastSequence = 0;
    std::set<AccountId> m_running;
  };

  /// One holder under recovery.
  struct Case
  {
    bool m_sealed = false; ///< Our read or write of the ledger shows it sealed.
    bool m_writing = false;
    LedgerValue m_ledger; ///< As last read or written.
    std::map<UpstreamId, AgentState> m_agents;
    std::map<UpstreamId, SealReply> m_collected; ///< Charges to merge.
    std::set<AccountId> m_closing;               ///< Budget update started.
    std::set<AccountId> m_released;              ///< Budget update done.
  };

  void Seal(const HolderId& aHolder);
  void AskAgents(const HolderId& aHolder);
  /// Writes what was collected and released, then looks for the next account.
  void Step(const HolderId& aHolder);
  void CloseReady(const HolderId& aHolder);
  bool IsReady(const Case& aCase, const AccountId& aAccount) const;
  void Close(const HolderId& aHolder, const AccountId& aAccount);
  void Finish(const HolderId& aHolder);
  void UpdateLedger(const HolderId& aHolder,
                    std::function<TransformResult(LedgerValue)> aTransform,
                    std::function<void(Case&)> aThen);

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  RecoveryHooks m_hooks;
  std::map<HolderId, Case> m_cases;
  std::set<AccountId> m_hurried;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
