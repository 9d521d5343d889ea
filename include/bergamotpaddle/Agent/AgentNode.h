/// \file
/// An agent as one of the fleet's processes: its links, heartbeats and
/// configuration around the decisions on work.
#pragma once

#include "bergamotpaddle/Agent/AgentCore.h"
#include "bergamotpaddle/Config/ConfigStore.h"

namespace bergamotpaddle {

/// Paces of an agent's links.
struct AgentNodeOptions
{
  std::string m_process;
  AgentOptions m_agent;
  Duration m_heartbeatInterval = std::chrono::milliseconds(400);
  Duration m_deadAfter = std::chrono::seconds(4); ///< Of silence on a link.
};

/// What a node asks of its shell.
struct AgentNodeHooks
{
  AgentHooks m_agent;
  std::function<void(PeerId)> m_close;
};

/// The agent as a state machine.
class AgentNode
{
public:
  AgentNode(AgentNodeOptions aOptions,
            TimerHooks aTimers,
            AgentNodeHooks aHooks,
            Journal& aJournal);

  void Start() { Beat(); }

  void OnOpened(PeerId aPeer);
  void OnClosed(PeerId aPeer);
  void OnMessage(PeerId aPeer, const Message& aMessage);

  void SetUpstreamHealthy(bool aHealthy);
  /// The process is to stop: takes no new work from now on.
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
  void Tell();
  void Beat();
  void DropSilent();

  AgentNodeOptions m_options;
  TimerHooks m_timers;
  AgentNodeHooks m_hooks;
  ConfigStore m_config;
  AgentCore m_core;
  std::map<PeerId, Instant> m_lastHeard;
};

} // namespace bergamotpaddle
