/// \file
/// An agent as a member of the fleet: links, heartbeats and configuration
/// around AgentCore.
#pragma once

#include "bergamotpaddle/Agent/AgentCore.h"
#include "bergamotpaddle/Config/ConfigStore.h"

namespace bergamotpaddle {

/// Identity of an agent and the timing of its links.
struct AgentNodeOptions
{
  std::string m_process;
  AgentOptions m_agent;
  Duration m_heartbeatInterval = std::chrono::milliseconds(400);
  Duration m_deadAfter =
    std::chrono::seconds(4); ///< A link without a message for longer is closed.
};

/// Callbacks of a node, implemented by the process that contains it.
struct AgentNodeHooks
{
  AgentHooks m_agent;
  std::function<void(PeerId)> m_close;
};

/// State machine of links, heartbeats and configuration; forwards other
/// messages to AgentCore. No I/O of its own.
class AgentNode
{
public:
  AgentNode(AgentNodeOptions aOptions,
            TimerHooks aTimers,
            AgentNodeHooks aHooks,
            Journal& aJournal);

  void Start() { RunHeartbeatCycle(); }

  void OnOpened(PeerId aPeer);
  void OnClosed(PeerId aPeer);
  void OnMessage(PeerId aPeer, const Message& aMessage);

  void SetUpstreamHealthy(bool aHealthy);
  /// The process is stopping: new work is refused.
  void SetStopping();

  AgentCore& Core() { return m_core; }
  const AgentCore& Core() const { return m_core; }
  const Configuration& Current() const { return *m_config.Current(); }
  Heartbeat MakeHeartbeat() const
  {
    return m_core.MakeHeartbeat(Current().m_version);
  }

private:
  void Configure(const Configuration& aConfiguration);
  void BroadcastHeartbeat();
  /// Closes unresponsive links, sends heartbeats and schedules the next cycle.
  void RunHeartbeatCycle();
  void CloseUnresponsiveLinks();

  AgentNodeOptions m_options;
  TimerHooks m_timers;
  AgentNodeHooks m_hooks;
  ConfigStore m_config;
  AgentCore m_core;
  std::map<PeerId, Instant>
    m_lastReceivedAt; ///< Last message on each open link, or its opening.
};

} // namespace bergamotpaddle
