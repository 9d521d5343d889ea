#include "bergamotpaddle/Router/AgentDirectory.h"

namespace bergamotpaddle {

AgentDirectory::AgentDirectory(DirectoryOptions aOptions,
                               TimerHooks aTimers,
                               DirectoryHooks aHooks)
  : m_options(aOptions)
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
{
}

void
AgentDirectory::Configure(const Configuration& aConfiguration)
{
  std::vector<UpstreamId> gone;
  for (auto& [id, agent] : m_agents) {
    auto configured = aConfiguration.m_upstreams.find(id);
    const bool isSame =
      configured != aConfiguration.m_upstreams.end() &&
      configured->second.m_agentAddress == agent.m_config.m_agentAddress;
    if (!isSame) {
      gone.push_back(id);
    }
  }
  for (const UpstreamId& id : gone) {
    Drop(id, m_agents.at(id));
    m_agents.erase(id);
    m_hooks.m_gone(id);
  }
  for (const auto& [id, config] : aConfiguration.m_upstreams) {
    AgentView& agent = m_agents[id];
    const bool isReturning = agent.m_config.m_drained && !config.m_drained;
    agent.m_config = config;
    if (isReturning) {
      agent.BeginProbation(m_timers.m_now());
    }
    agent.m_leaving = m_leaving.contains(id);
  }
  Tick();
}

void
AgentDirectory::SetLeaving(const std::set<UpstreamId>& aLeaving)
{
  m_leaving = aLeaving;
  for (auto& [id, agent] : m_agents) {
    agent.m_leaving = aLeaving.contains(id);
  }
}

void
AgentDirectory::Drop(const UpstreamId& aUpstream, AgentView& aAgent)
{
  if (aAgent.m_peer == 0) {
    return;
  }
  const PeerId peer = aAgent.m_peer;
  const bool wasUp = aAgent.m_isUp;
  m_byPeer.erase(peer);
  aAgent.m_peer = 0;
  aAgent.m_isUp = false;
  aAgent.m_nextDial = m_timers.m_now() + m_options.m_redialAfter;
  m_hooks.m_close(peer);
  if (wasUp) {
    m_hooks.m_down(aUpstream);
  }
}

void
AgentDirectory::OnClosed(PeerId aPeer)
{
  const UpstreamId id = UpstreamOf(aPeer);
  if (AgentView* agent = Find(id)) {
    Drop(id, *agent);
  }
}

void
AgentDirectory::OnIntroduce(PeerId aPeer, const Introduce& aMessage)
{
  const UpstreamId id = UpstreamOf(aPeer);
  AgentView* agent = Find(id);
  if (agent == nullptr) {
    return;
  }
  if (aMessage.m_upstream != id) {
    // Another agent listens at the configured address.
    Drop(id, *agent);
    return;
  }
  const bool isSameLife =
    agent->m_agent.Empty() || agent->m_agent == aMessage.m_agent;
  agent->m_agent = aMessage.m_agent;
  agent->m_isUp = true;
  agent->m_lastReceivedAt = m_timers.m_now();
  if (!isSameLife) {
    agent->BeginProbation(agent->m_lastReceivedAt);
  }
  agent->m_upSince = agent->m_lastReceivedAt;
  agent->m_heartbeat = Heartbeat{};
  m_hooks.m_up(id, isSameLife);
}

void
AgentDirectory::OnHeartbeat(PeerId aPeer, const Heartbeat& aMessage)
{
  if (AgentView* agent = Find(UpstreamOf(aPeer))) {
    agent->m_heartbeat = aMessage;
    agent->m_load = aMessage.m_load;
  }
}

void
AgentDirectory::OnHeard(PeerId aPeer)
{
  if (AgentView* agent = Find(UpstreamOf(aPeer))) {
    agent->m_lastReceivedAt = m_timers.m_now();
  }
}

void
AgentDirectory::Tick()
{
  const Instant now = m_timers.m_now();
  for (auto& [id, agent] : m_agents) {
    if (agent.m_peer != 0 &&
        now - agent.m_lastReceivedAt > m_options.m_deadAfter) {
      Drop(id, agent);
    }
    if (agent.m_peer == 0 && now >= agent.m_nextDial) {
      agent.m_peer = m_hooks.m_dial(agent.m_config.m_agentAddress);
      agent.m_lastReceivedAt = now;
      m_byPeer[agent.m_peer] = id;
    }
  }
}

AgentView*
AgentDirectory::Find(const UpstreamId& aUpstream)
{
  auto found = m_agents.find(aUpstream);
  return found == m_agents.end() ? nullptr : &found->second;
}

UpstreamId
AgentDirectory::UpstreamOf(PeerId aPeer) const
{
  auto found = m_byPeer.find(aPeer);
  return found == m_byPeer.end() ? UpstreamId() : found->second;
}

} // namespace bergamotpaddle
