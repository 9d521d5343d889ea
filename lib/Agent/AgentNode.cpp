#include "bergamotpaddle/Agent/AgentNode.h"

namespace bergamotpaddle {

AgentNode::AgentNode(AgentNodeOptions aOptions,
                     TimerHooks aTimers,
                     AgentNodeHooks aHooks,
                     Journal& aJournal)
  : m_options(std::move(aOptions))
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
  , m_core(m_options.m_agent, m_timers, m_hooks.m_agent, aJournal)
{
  m_config.OnChange([this](const ConfigurationPtr& aConfiguration) {
    Configure(*aConfiguration);
  });
}

void
AgentNode::OnOpened(PeerId aPeer)
{
  m_lastReceivedAt[aPeer] = m_timers.m_now();
  Introduce introduce;
  introduce.m_process = m_options.m_process;
  introduce.m_role = ProcessRole::kAgent;
  introduce.m_zone = m_options.m_agent.m_zone;
  introduce.m_upstream = m_options.m_agent.m_upstream;
  introduce.m_agent = m_options.m_agent.m_agent;
  m_hooks.m_agent.m_send(aPeer, introduce);
  m_hooks.m_agent.m_send(aPeer, MakeHeartbeat());
}

void
AgentNode::OnClosed(PeerId aPeer)
{
  m_lastReceivedAt.erase(aPeer);
  m_core.OnPeerClosed(aPeer);
}

void
AgentNode::OnMessage(PeerId aPeer, const Message& aMessage)
{
  auto lastReceivedAt = m_lastReceivedAt.find(aPeer);
  if (lastReceivedAt == m_lastReceivedAt.end()) {
    return;
  }
  lastReceivedAt->second = m_timers.m_now();
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage)) {
    if (heartbeat->m_configVersion < Current().m_version) {
      m_hooks.m_agent.m_send(
        aPeer, ConfigOffer{ Current().m_version, m_config.Document() });
    }
    return;
  }
  if (const auto* offer = std::get_if<ConfigOffer>(&aMessage)) {
    const absl::Status status = m_config.Offer(offer->m_document);
    if (!status.ok()) {
      m_hooks.m_agent.m_event(
        { "config_rejected", "", "", "", std::string(status.message()) });
    }
    return;
  }
  m_core.OnMessage(aPeer, aMessage);
}

void
AgentNode::Configure(const Configuration& aConfiguration)
{
  const UpstreamId& self = m_options.m_agent.m_upstream;
  m_hooks.m_agent.m_event(
    { "config_in_force",
      "",
      "",
      self.Str(),
      "version " + std::to_string(aConfiguration.m_version) });
  auto upstream = aConfiguration.m_upstreams.find(self);
  const bool isConfigured = upstream != aConfiguration.m_upstreams.end();
  m_core.SetUpstreamDraining(!isConfigured || upstream->second.m_isDrained);
  if (isConfigured) {
    m_core.SetAdmission(
      aConfiguration.m_pools.at(upstream->second.m_pool).m_admission);
  }
  BroadcastHeartbeat();
}

void
AgentNode::SetUpstreamHealthy(bool aHealthy)
{
  m_core.SetUpstreamHealthy(aHealthy);
  BroadcastHeartbeat();
}

void
AgentNode::SetStopping()
{
  m_core.SetStopping();
  BroadcastHeartbeat();
}

void
AgentNode::BroadcastHeartbeat()
{
  const Heartbeat heartbeat = MakeHeartbeat();
  for (const auto& [peer, lastReceivedAt] : m_lastReceivedAt) {
    m_hooks.m_agent.m_send(peer, heartbeat);
  }
}

void
AgentNode::RunHeartbeatCycle()
{
  CloseUnresponsiveLinks();
  BroadcastHeartbeat();
  m_timers.m_after(m_options.m_heartbeatInterval,
                   [this] { RunHeartbeatCycle(); });
}

void
AgentNode::CloseUnresponsiveLinks()
{
  const Instant now = m_timers.m_now();
  std::vector<PeerId> unresponsive;
  for (const auto& [peer, lastReceivedAt] : m_lastReceivedAt) {
    if (now - lastReceivedAt > m_options.m_deadAfter) {
      unresponsive.push_back(peer);
    }
  }
  for (PeerId peer : unresponsive) {
    OnClosed(peer);
    m_hooks.m_close(peer);
  }
}

} // namespace bergamotpaddle
