/// \file
/// Recovers the ledger of a failed router: seals it, collects the unsettled
/// charges from the agents, and returns unspent credit to the budgets.
///
/// Accounts are released one by one, each as soon as every agent has sealed
/// the holder, has no work of that account in progress and has delivered its
/// charges; an account that a caller waits for is released first. (Recovery on
/// demand and the vector of settled sequence numbers follow "On-Demand Recovery
/// in Middleware Storage Systems", section III-D.)
#pragma once

#include "bergamotpaddle/Budget/Values.h"
#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <memory>

namespace bergamotpaddle {

/// Callbacks of recoveries, implemented by the router.
struct RecoveryHooks
{
  /// All upstreams whose agents may have work or charges of the holder.
  std::function<std::set<UpstreamId>()> m_upstreams;
  /// Sends to the agent of an upstream; returns false if its link is down.
  std::function<bool(const UpstreamId&, const Message&)> m_send;
  /// As LedgerHooks::m_initialBudget.
  std::function<std::optional<std::uint64_t>(const AccountId&)> m_initialBudget;
  /// The recovery of the holder has finished, here or by another process.
  std::function<void(const HolderId&)> m_recovered;
  /// The unspent credit of one account of the holder has been returned.
  std::function<void(const HolderId&, const AccountId&)> m_released;
};

/// All recoveries run by one router. Several routers may recover the same
/// holder concurrently: each step is a compare-and-swap and is skipped if
/// another router has already done it.
class Recovery
{
public:
  Recovery(KeyValueHooks aKeyValue, TimerHooks aTimers, RecoveryHooks aHooks);

  /// Starts the recovery of \p aHolder unless it is in progress already.
  void Recover(const HolderId& aHolder);

  /// Releases \p aAccount before other accounts in all recoveries until none is
  /// in progress. Without a recovery in progress it has no effect.
  void Prioritize(const AccountId& aAccount);

  /// Handles an agent's reply to a SealRequest.
  void OnSealReply(const SealReply& aReply);

  /// Number of recoveries in progress.
  std::size_t InProgress() const { return m_recoveries.size(); }

private:
  /// State of the holder at one agent, from its last SealReply.
  struct AgentState
  {
    AgentId m_agent;
    std::uint64_t m_lastSequence = 0;
    std::set<AccountId> m_running; ///< Accounts with work in progress.
  };

  /// State of one holder's recovery.
  struct HolderRecovery
  {
    bool m_isSealed = false; ///< Confirmed by a read or write of the ledger.
    bool m_isWriting = false;
    LedgerValue m_ledger; ///< As last read or written.
    std::map<UpstreamId, AgentState> m_agents;
    std::map<UpstreamId, SealReply>
      m_collected;                  ///< Charges to merge into the ledger.
    std::set<AccountId> m_closing;  ///< Budget update started.
    std::set<AccountId> m_released; ///< Budget update done.
  };

  void Seal(const HolderId& aHolder);
  void SendSealRequests(const HolderId& aHolder);
  /// Writes collected charges and released accounts to the ledger, then closes
  /// the accounts that are ready.
  void PersistProgress(const HolderId& aHolder);
  void CloseReadyAccounts(const HolderId& aHolder);
  /// Whether every agent has replied, has no work of the account in progress
  /// and has all its charges merged into the ledger.
  bool IsReady(const HolderRecovery& aRecovery,
               const AccountId& aAccount) const;
  void Close(const HolderId& aHolder, const AccountId& aAccount);
  void Finish(const HolderId& aHolder);
  void UpdateLedger(const HolderId& aHolder,
                    std::function<TransformResult(LedgerValue)> aTransform,
                    std::function<void(HolderRecovery&)> aOnWritten);

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  RecoveryHooks m_hooks;
  std::map<HolderId, HolderRecovery> m_recoveries;
  std::set<AccountId> m_prioritized;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
