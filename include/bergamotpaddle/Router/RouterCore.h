/// \file
/// The decisions of a router put together: directory, balancer, requests,
/// ledger, credit exchange, recovery and configuration. No I/O of its own.
#pragma once

#include "bergamotpaddle/Budget/Recovery.h"
#include "bergamotpaddle/Config/ConfigWatcher.h"
#include "bergamotpaddle/Router/CreditExchange.h"
#include "bergamotpaddle/Router/HolderWatch.h"
#include "bergamotpaddle/Router/KeyValueRelay.h"
#include "bergamotpaddle/Router/RequestTable.h"

namespace bergamotpaddle {

/// Bounds and paces of a router.
struct RouterOptions
{
  std::string m_process;
  std::string m_zone;
  std::uint64_t m_seed = 1;
  std::vector<std::string> m_peerAddresses; ///< Other routers.
  Duration m_heartbeatInterval = std::chrono::milliseconds(400);
  Duration m_peerRedialAfter = std::chrono::seconds(1);
  DirectoryOptions m_directory;
  RequestOptions m_requests;
  ClaimRegisterOptions m_claims;
  LedgerOptions m_ledger;
  HolderWatchOptions m_holderWatch;
  BalancerOptions m_balancer;
};

/// What a router asks of its shell.
struct RouterHooks
{
  std::function<bool(PeerId, Message)> m_send;
  std::function<PeerId(const std::string& aAddress)> m_dial;
  std::function<void(PeerId)> m_close;
  /// A holder id that no other router life has or had.
  std::function<HolderId()> m_newHolder;
  EventHook m_event;
};

/// The version of the configuration that a process has in force.
struct ProcessVersion
{
  std::string m_process;
  std::uint64_t m_version = 0;
  auto operator<=>(const ProcessVersion&) const = default;
};

/// The router as a state machine.
class RouterCore
{
public:
  RouterCore(RouterOptions aOptions,
             KeyValueHooks aKeyValue,
             TimerHooks aTimers,
             RouterHooks aHooks);

  void Start();

  void OnOpened(PeerId aPeer);
  void OnClosed(PeerId aPeer);
  void OnMessage(PeerId aPeer, const Message& aMessage);

  RequestNumber Begin(NewRequest aRequest)
  {
    return m_requests.Begin(std::move(aRequest));
  }
  void CallerGone(RequestNumber aNumber) { m_requests.CallerGone(aNumber); }

  void SetLeaving(const std::set<UpstreamId>& aLeaving)
  {
    m_directory.SetLeaving(aLeaving);
  }

  /// Ends the router: settles, returns all credit and removes its ledger. The
  /// hook runs when nothing is left of it. Callers must be done by then.
  void Retire(std::function<void()> aDone);

  const ConfigStore& Config() const { return m_config; }
  const Configuration& Current() const { return *m_config.Current(); }
  const AgentDirectory& Directory() const { return m_directory; }
  const RequestTable& Requests() const { return m_requests; }
  const Ledger& CurrentLedger() const { return *m_ledger; }
  const Balancer& CurrentBalancer() const { return m_balancer; }
  std::uint64_t RelayedOperations() const { return m_relay.Relayed(); }
  std::size_t RecoveriesUnderWay() const { return m_recovery.InProgress(); }
  bool IsStopping() const { return m_stopping; }
  void SetStopping() { m_stopping = true; }
  /// Configuration in force at this router and at the agents linked to it.
  std::vector<ProcessVersion> Versions() const;

private:
  /// A link to another router.
  struct PeerRouter
  {
    std::string m_address;
    PeerId m_peer = 0;
    Instant m_lastReceivedAt{};
    Instant m_nextDial{};
  };

  void On(PeerId aPeer, const Introduce& aMessage);
  void On(PeerId aPeer, const Heartbeat& aMessage);
  void On(PeerId aPeer, const ClaimReply& aMessage);
  void On(PeerId aPeer, const Accepted& aMessage);
  void On(PeerId aPeer, const Refused& aMessage);
  void On(PeerId aPeer, const AnswerData& aMessage);
  void On(PeerId aPeer, const AnswerEnd& aMessage);
  void On(PeerId aPeer, const Charge& aMessage);
  void On(PeerId aPeer, const SealReply& aMessage);
  void On(PeerId aPeer, const ConfigOffer& aMessage);
  void On(PeerId aPeer, const CreditRequest& aMessage);
  void On(PeerId aPeer, const CreditReply& aMessage);
  void On(PeerId aPeer, const KeyValueAsk& aMessage);
  void On(PeerId aPeer, const KeyValueTell& aMessage);
  /// Messages that are not for a router.
  template<typename Other>
  void On(PeerId, const Other&)
  {
  }

  std::unique_ptr<Ledger> MakeLedger();
  void ReplaceLedger();
  void IntroduceTo(PeerId aPeer);
  void Tick();
  void TickPeers();
  void FinishRetirement(std::function<void()> aDone);
  Heartbeat MakeHeartbeat() const;

  RouterOptions m_options;
  TimerHooks m_timers;
  RouterHooks m_hooks;
  KeyValueRelay m_relay;
  KeyValueHooks m_keyValue; ///< By the relay.
  ConfigStore m_config;
  ConfigWatcher m_configWatcher;
  AgentDirectory m_directory;
  Balancer m_balancer;
  std::unique_ptr<Ledger> m_ledger;
  std::vector<std::unique_ptr<Ledger>>
    m_sealedLedgers; ///< Their last callbacks may be under way.
  CreditExchange m_credit;
  Recovery m_recovery;
  HolderWatch m_holderWatch;
  ClaimRegister m_claims;
  RequestTable m_requests;
  std::vector<PeerRouter> m_peerRouters;
  std::set<PeerId> m_open;
  Instant m_startedAt;
  bool m_stopping = false;
};

} // namespace bergamotpaddle
