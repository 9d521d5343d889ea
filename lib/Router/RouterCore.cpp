#include "bergamotpaddle/Router/RouterCore.h"

#include <algorithm>
#include <utility>

namespace bergamotpaddle {

namespace {

constexpr Duration kRetirePollInterval = std::chrono::milliseconds(50);
constexpr Duration kPeerLinkTimeout = std::chrono::seconds(3);
/// Requests are failed in the last sixth of the grace: the users' rules count
/// no request that a stop ends there.
constexpr int kGraceParts = 6;
/// Time that the process needs to exit before its host kills it, as in
/// GatewayServer::CheckStop.
constexpr Duration kExitMargin = std::chrono::milliseconds(600);

} // namespace

RetireLimits
RetireLimits::Within(Duration aGrace, Duration aElapsed)
{
  return { aGrace - aGrace / kGraceParts - aElapsed,
           aGrace - kExitMargin - aElapsed };
}

RouterCore::RouterCore(RouterOptions aOptions,
                       KeyValueHooks aKeyValue,
                       TimerHooks aTimers,
                       RouterHooks aHooks)
  : m_options(std::move(aOptions))
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
  , m_relay(std::move(aKeyValue), m_timers, m_hooks.m_send)
  , m_keyValue(m_relay.Hooks())
  , m_configWatcher(
      m_keyValue,
      m_timers,
      m_config,
      [this](const absl::Status& aStatus) {
        m_hooks.m_event(
          { "config_rejected", "", "", "", std::string(aStatus.message()) });
      })
  , m_directory(
      m_options.m_directory,
      m_timers,
      { m_hooks.m_dial,
        m_hooks.m_close,
        [this](const UpstreamId& aUpstream, bool aIsSameIncarnation) {
          m_hooks.m_event(
            { "agent_up",
              "",
              "",
              aUpstream.Str(),
              aIsSameIncarnation ? "same incarnation" : "new incarnation" });
          m_requests.OnAgentUp(aUpstream, aIsSameIncarnation);
        },
        [this](const UpstreamId& aUpstream) {
          m_requests.OnAgentRemoved(aUpstream);
        },
        [this](const UpstreamId& aUpstream) {
          m_hooks.m_event({ "agent_down", "", "", aUpstream.Str(), "" });
          m_requests.OnAgentDown(aUpstream);
        } })
  , m_balancer(m_options.m_balancer, m_options.m_seed)
  , m_ledger(MakeLedger())
  , m_creditExchange(
      m_timers,
      { m_hooks.m_send,
        [this]() -> Ledger& { return *m_ledger; },
        [this](const AccountId& aAccount, const std::vector<HolderId>&) {
          m_recovery.Prioritize(aAccount);
        } })
  , m_recovery(
      m_keyValue,
      m_timers,
      { [this] {
         std::set<UpstreamId> upstreams;
         for (const auto& [id, agent] : m_directory.Agents()) {
           upstreams.insert(id);
         }
         return upstreams;
       },
        [this](const UpstreamId& aUpstream, const Message& aMessage) {
          const AgentView* agent = m_directory.Find(aUpstream);
          return agent != nullptr && agent->m_isUp &&
                 m_hooks.m_send(agent->m_peer, aMessage);
        },
        [this](const AccountId& aAccount) -> std::optional<std::uint64_t> {
          auto account = Current().m_accounts.find(aAccount);
          if (account == Current().m_accounts.end()) {
            return std::nullopt;
          }
          return account->second.m_budgetTokens;
        },
        [this](const HolderId& aHolder) {
          m_hooks.m_event({ "holder_recovered", "", "", "", aHolder.Str() });
        },
        [this](const HolderId& aHolder, const AccountId& aAccount) {
          m_hooks.m_event(
            { "account_released", "", aAccount.Str(), "", aHolder.Str() });
        } })
  , m_holderWatch(
      m_options.m_holderWatch,
      m_keyValue,
      m_timers,
      { [this] { return m_ledger->Holder(); },
        [this] { return m_options.m_process; },
        [this](const HolderId& aHolder) {
          m_hooks.m_event({ "recovery_begun", "", "", "", aHolder.Str() });
          m_recovery.Recover(aHolder);
        } })
  , m_claims(m_options.m_claims, m_keyValue, m_timers)
  , m_requests(m_options.m_requests,
               m_timers,
               { [this](const UpstreamId& aUpstream, Message aMessage) {
                  const AgentView* agent = m_directory.Find(aUpstream);
                  return agent != nullptr && agent->m_isUp &&
                         m_hooks.m_send(agent->m_peer, std::move(aMessage));
                },
                 [this]() -> Ledger& { return *m_ledger; },
                 [this]() -> const Configuration& { return Current(); },
                 [this](const AccountId& aAccount,
                        const RequestKey& aKey,
                        KeyPlacement aProposal,
                        ClaimRegister::DecisionHook aDone) {
                   m_claims.Decide(
                     aAccount, aKey, std::move(aProposal), std::move(aDone));
                 },
                 m_hooks.m_event },
               m_directory,
               m_balancer)
  , m_startedAt(m_timers.m_now())
{
  for (const std::string& address : m_options.m_peerAddresses) {
    m_peerRouters.push_back({ address, 0, {}, {} });
  }
  m_config.OnChange([this](const ConfigurationPtr& aConfiguration) {
    m_hooks.m_event({ "config_in_force",
                      "",
                      "",
                      "",
                      "version " + std::to_string(aConfiguration->m_version) });
    m_directory.Configure(*aConfiguration);
  });
}

void
RouterCore::Start()
{
  m_configWatcher.Start();
  m_holderWatch.Start();
  Tick();
}

std::unique_ptr<Ledger>
RouterCore::MakeLedger()
{
  LedgerHooks hooks;
  hooks.m_initialBudget =
    [this](const AccountId& aAccount) -> std::optional<std::uint64_t> {
    auto account = Current().m_accounts.find(aAccount);
    if (account == Current().m_accounts.end()) {
      return std::nullopt;
    }
    return account->second.m_budgetTokens;
  };
  hooks.m_requestCredit = [this](const AccountId& aAccount,
                                 std::uint64_t aTokens,
                                 const std::vector<HolderId>& aHolders,
                                 LedgerHooks::CreditRepliesHook aDone) {
    m_creditExchange.RequestCredit(
      aAccount, aTokens, aHolders, std::move(aDone));
  };
  const HolderId holder = m_hooks.m_newHolder();
  hooks.m_settled = [this, holder](const AgentId& aAgent,
                                   std::uint64_t aThrough) {
    for (const auto& [id, agent] : m_directory.Agents()) {
      if (agent.m_isUp && agent.m_agent == aAgent) {
        m_hooks.m_send(agent.m_peer, Settled{ holder, aAgent, aThrough });
      }
    }
  };
  hooks.m_sealed = [this] { ReplaceLedger(); };
  return std::make_unique<Ledger>(
    m_options.m_ledger, holder, m_keyValue, m_timers, std::move(hooks));
}

void
RouterCore::ReplaceLedger()
{
  m_hooks.m_event({ "holder_sealed", "", "", "", m_ledger->Holder().Str() });
  m_sealedLedgers.push_back(std::move(m_ledger));
  m_ledger = MakeLedger();
  for (PeerId peer : m_openPeers) {
    IntroduceTo(peer);
  }
}

void
RouterCore::IntroduceTo(PeerId aPeer)
{
  Introduce introduce;
  introduce.m_process = m_options.m_process;
  introduce.m_role = ProcessRole::kRouter;
  introduce.m_zone = m_options.m_zone;
  introduce.m_holder = m_ledger->Holder();
  m_hooks.m_send(aPeer, introduce);
}

void
RouterCore::OnOpened(PeerId aPeer)
{
  m_openPeers.insert(aPeer);
  IntroduceTo(aPeer);
}

void
RouterCore::OnClosed(PeerId aPeer)
{
  m_openPeers.erase(aPeer);
  m_creditExchange.OnClosed(aPeer);
  m_relay.OnClosed(aPeer);
  m_directory.OnClosed(aPeer);
  for (PeerRouter& peer : m_peerRouters) {
    if (peer.m_peer == aPeer) {
      peer.m_peer = 0;
      peer.m_nextDial = m_timers.m_now() + m_options.m_peerRedialDelay;
    }
  }
}

void
RouterCore::OnMessage(PeerId aPeer, const Message& aMessage)
{
  m_directory.OnActivity(aPeer);
  for (PeerRouter& peer : m_peerRouters) {
    if (peer.m_peer == aPeer) {
      peer.m_lastReceived = m_timers.m_now();
    }
  }
  std::visit([&](const auto& aContent) { On(aPeer, aContent); }, aMessage);
}

void
RouterCore::On(PeerId aPeer, const Introduce& aMessage)
{
  if (aMessage.m_role == ProcessRole::kRouter) {
    m_creditExchange.OnIntroduce(aPeer, aMessage);
    m_relay.OnRouterConnected(aPeer);
    return;
  }
  m_directory.OnIntroduce(aPeer, aMessage);
}

void
RouterCore::On(PeerId aPeer, const Heartbeat& aMessage)
{
  m_directory.OnHeartbeat(aPeer, aMessage);
  if (aMessage.m_configVersion < Current().m_version) {
    m_hooks.m_send(aPeer,
                   ConfigOffer{ Current().m_version, m_config.Document() });
  }
}

void
RouterCore::On(PeerId aPeer, const ClaimReply& aMessage)
{
  m_requests.On(m_directory.UpstreamOf(aPeer), aMessage);
}

void
RouterCore::On(PeerId aPeer, const Accepted& aMessage)
{
  m_requests.On(m_directory.UpstreamOf(aPeer), aMessage);
}

void
RouterCore::On(PeerId aPeer, const Refused& aMessage)
{
  m_requests.On(m_directory.UpstreamOf(aPeer), aMessage);
}

void
RouterCore::On(PeerId aPeer, const ResponseData& aMessage)
{
  m_requests.On(m_directory.UpstreamOf(aPeer), aMessage);
}

void
RouterCore::On(PeerId aPeer, const ResponseEnd& aMessage)
{
  m_requests.On(m_directory.UpstreamOf(aPeer), aMessage);
}

void
RouterCore::On(PeerId, const Charge& aMessage)
{
  m_ledger->OnCharge(aMessage);
  if (aMessage.m_holder == m_ledger->Holder()) {
    m_requests.OnCharged(aMessage.m_attempt);
  }
}

void
RouterCore::On(PeerId, const SealReply& aMessage)
{
  m_recovery.OnSealReply(aMessage);
}

void
RouterCore::On(PeerId, const ConfigOffer& aMessage)
{
  const absl::Status offered = m_config.Offer(aMessage.m_document);
  if (!offered.ok()) {
    m_hooks.m_event(
      { "config_rejected", "", "", "", std::string(offered.message()) });
  }
}

void
RouterCore::On(PeerId aPeer, const CreditRequest& aMessage)
{
  m_creditExchange.On(aPeer, aMessage);
}

void
RouterCore::On(PeerId aPeer, const CreditReply& aMessage)
{
  m_creditExchange.On(aPeer, aMessage);
}

void
RouterCore::On(PeerId aPeer, const KeyValueRequest& aMessage)
{
  m_relay.On(aPeer, aMessage);
}

void
RouterCore::On(PeerId, const KeyValueReply& aMessage)
{
  m_relay.On(aMessage);
}

Heartbeat
RouterCore::MakeHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.m_configVersion = Current().m_version;
  heartbeat.m_draining = m_isStopping;
  heartbeat.m_running = static_cast<std::uint32_t>(m_requests.InFlight());
  heartbeat.m_uptimeMilliseconds = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.m_now() -
                                                          m_startedAt)
      .count());
  return heartbeat;
}

void
RouterCore::Tick()
{
  m_directory.Tick();
  TickPeers();
  const Heartbeat heartbeat = MakeHeartbeat();
  for (PeerId peer : m_openPeers) {
    m_hooks.m_send(peer, heartbeat);
  }
  m_timers.m_after(m_options.m_heartbeatInterval, [this] { Tick(); });
}

void
RouterCore::TickPeers()
{
  const Instant now = m_timers.m_now();
  for (PeerRouter& peer : m_peerRouters) {
    if (peer.m_peer != 0 && now - peer.m_lastReceived > kPeerLinkTimeout) {
      m_hooks.m_close(peer.m_peer);
      m_creditExchange.OnClosed(peer.m_peer);
      m_relay.OnClosed(peer.m_peer);
      peer.m_peer = 0;
      peer.m_nextDial = now + m_options.m_peerRedialDelay;
    }
    if (peer.m_peer == 0 && now >= peer.m_nextDial) {
      peer.m_peer = m_hooks.m_dial(peer.m_address);
      peer.m_lastReceived = now;
    }
  }
}

std::vector<ProcessVersion>
RouterCore::Versions() const
{
  std::vector<ProcessVersion> versions{ { m_options.m_process,
                                          Current().m_version } };
  for (const auto& [id, agent] : m_directory.Agents()) {
    if (agent.m_isUp) {
      versions.push_back(
        { "agent " + id.Str(), agent.m_heartbeat.m_configVersion });
    }
  }
  return versions;
}

void
RouterCore::Retire(RetireLimits aLimits, std::function<void(bool)> aDone)
{
  m_isStopping = true;
  m_onRetired = std::move(aDone);
  m_timers.m_after(aLimits.m_requests, [this] { m_requests.EndAll(); });
  m_timers.m_after(aLimits.m_total, [this] { EndRetirement(false); });
  RetireWhenIdle();
}

void
RouterCore::RetireWhenIdle()
{
  if (!m_onRetired) {
    return;
  }
  const bool isBusy =
    m_requests.InFlight() > 0 || m_ledger->OutstandingAttempts() > 0;
  if (isBusy) {
    m_timers.m_after(kRetirePollInterval, [this] { RetireWhenIdle(); });
    return;
  }
  m_holderWatch.Stop();
  m_ledger->Retire([this] { EndRetirement(true); });
}

void
RouterCore::EndRetirement(bool aIsComplete)
{
  if (!m_onRetired) {
    return;
  }
  if (!aIsComplete) {
    m_hooks.m_event({ "retirement_incomplete",
                      "",
                      "",
                      "",
                      m_ledger->Holder().Str() + ", unsettled attempts: " +
                        std::to_string(m_ledger->OutstandingAttempts()) });
  }
  std::exchange(m_onRetired, nullptr)(aIsComplete);
}

} // namespace bergamotpaddle
