/// \file
/// Decision logic of a router: combines directory, balancer, requests, ledger,
/// credit exchange, recovery and configuration. Does no I/O itself.
#pragma once

#include "bergamotpaddle/Budget/Recovery.h"
#include "bergamotpaddle/Config/ConfigWatcher.h"
#include "bergamotpaddle/Router/CreditExchange.h"
#include "bergamotpaddle/Router/HolderWatch.h"
#include "bergamotpaddle/Router/KeyValueRelay.h"
#include "bergamotpaddle/Router/RequestTable.h"

namespace bergamotpaddle {

/// Limits and intervals of a router.
struct RouterOptions
{
  std::string m_process;
  std::string m_zone;
  std::uint64_t m_seed = 1;
  std::vector<std::string> m_peerAddresses; ///< Of the other routers.
  Duration m_heartbeatInterval = std::chrono::milliseconds(400);
  Duration m_peerRedialDelay = std::chrono::seconds(1);
  DirectoryOptions m_directory;
  RequestOptions m_requests;
  ClaimRegisterOptions m_claims;
  LedgerOptions m_ledger;
  HolderWatchOptions m_holderWatch;
  BalancerOptions m_balancer;
};

/// Callbacks of a router, implemented by the process that contains it.
struct RouterHooks
{
  std::function<bool(PeerId, Message)> m_send;
  std::function<PeerId(const std::string& aAddress)> m_dial;
  std::function<void(PeerId)> m_close;
  /// Returns a holder id that no router has ever used.
  std::function<HolderId()> m_newHolder;
  EventHook m_event;
};

/// Time limits of a planned stop.
struct RetireLimits
{
  Duration m_requests{ 0 }; ///< Until all requests in flight are failed.
  Duration m_total{ 0 };    ///< Until the router gives up what is unsettled.

  /// Returns the limits of a stop whose grace \p aGrace, the time from the
  /// stop request until the host kills the process, began \p aElapsed ago.
  static RetireLimits Within(Duration aGrace, Duration aElapsed);
  auto operator<=>(const RetireLimits&) const = default;
};

/// The configuration version in force at a process.
struct ProcessVersion
{
  std::string m_process;
  std::uint64_t m_version = 0;
  auto operator<=>(const ProcessVersion&) const = default;
};

/// The router as a state machine without I/O: its inputs are messages, requests
/// and time, its outputs are messages and responses.
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
  void OnCallerDisconnect(RequestNumber aNumber)
  {
    m_requests.OnCallerDisconnect(aNumber);
  }

  void SetLeaving(const std::set<UpstreamId>& aLeaving)
  {
    m_directory.SetLeaving(aLeaving);
  }

  /// Shuts the router down: waits until all requests have ended and all
  /// attempts are settled, then returns all credit and removes the ledger. \p
  /// aDone receives whether that is done; false at the end of \p aLimits, after
  /// which another router recovers the ledger.
  void Retire(RetireLimits aLimits, std::function<void(bool)> aDone);

  const ConfigStore& Config() const { return m_config; }
  const Configuration& Current() const { return *m_config.Current(); }
  const AgentDirectory& Directory() const { return m_directory; }
  const RequestTable& Requests() const { return m_requests; }
  const Ledger& CurrentLedger() const { return *m_ledger; }
  const Balancer& CurrentBalancer() const { return m_balancer; }
  std::uint64_t RelayedOperations() const
  {
    return m_relay.RelayedOperations();
  }
  std::size_t RecoveriesInProgress() const { return m_recovery.InProgress(); }
  bool IsStopping() const { return m_isStopping; }
  void SetStopping() { m_isStopping = true; }
  /// The configuration versions at this router and at its connected agents.
  std::vector<ProcessVersion> Versions() const;

private:
  /// A link to another router.
  struct PeerRouter
  {
    std::string m_address;
    PeerId m_peer = 0;
    Instant m_lastReceived{};
    Instant m_nextDial{};
  };

  void On(PeerId aPeer, const Introduce& aMessage);
  void On(PeerId aPeer, const Heartbeat& aMessage);
  void On(PeerId aPeer, const ClaimReply& aMessage);
  void On(PeerId aPeer, const Accepted& aMessage);
  void On(PeerId aPeer, const Refused& aMessage);
  void On(PeerId aPeer, const ResponseData& aMessage);
  void On(PeerId aPeer, const ResponseEnd& aMessage);
  void On(PeerId aPeer, const Charge& aMessage);
  void On(PeerId aPeer, const SealReply& aMessage);
  void On(PeerId aPeer, const ConfigOffer& aMessage);
  void On(PeerId aPeer, const CreditRequest& aMessage);
  void On(PeerId aPeer, const CreditReply& aMessage);
  void On(PeerId aPeer, const KeyValueRequest& aMessage);
  void On(PeerId aPeer, const KeyValueReply& aMessage);
  /// Ignores messages that are not addressed to routers.
  template<typename Other>
  void On(PeerId, const Other&)
  {
  }

  std::unique_ptr<Ledger> MakeLedger();
  void ReplaceLedger();
  void IntroduceTo(PeerId aPeer);
  void Tick();
  void TickPeers();
  void RetireWhenIdle();
  void EndRetirement(bool aIsComplete);
  Heartbeat MakeHeartbeat() const;

  RouterOptions m_options;
  TimerHooks m_timers;
  RouterHooks m_hooks;
  KeyValueRelay m_relay;
  KeyValueHooks m_keyValue; ///< Through the relay.
  ConfigStore m_config;
  ConfigWatcher m_configWatcher;
  AgentDirectory m_directory;
  Balancer m_balancer;
  std::unique_ptr<Ledger> m_ledger;
  std::vector<std::unique_ptr<Ledger>>
    m_sealedLedgers; ///< Retained because callbacks may still refer to them.
  CreditExchange m_creditExchange;
  Recovery m_recovery;
  HolderWatch m_holderWatch;
  ClaimRegister m_claims;
  RequestTable m_requests;
  std::vector<PeerRouter> m_peerRouters;
  std::set<PeerId> m_openPeers;
  Instant m_startedAt;
  bool m_isStopping = false;
  std::function<void(bool)> m_onRetired; ///< Unset before and after.
};

} // namespace bergamotpaddle
