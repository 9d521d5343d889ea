/// \file
/// A router's view of its agents: the state of their links, their health and
/// an estimate of their load.
#pragma once

#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <algorithm>
#include <functional>
#include <set>

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// Timeouts and delays of the links.
struct DirectoryOptions
{
  /// A link without messages for this time is closed.
  Duration m_linkTimeout = std::chrono::milliseconds(1500);
  /// After a link was lost or could not be opened.
  Duration m_redialDelay = std::chrono::milliseconds(300);
};

/// A router's state of one upstream and its agent.
struct AgentView
{
  UpstreamConfig m_config;
  PeerId m_peer = 0;   ///< 0: no link.
  bool m_isUp = false; ///< The agent has introduced itself on the current link.
  AgentId m_agent;     ///< From the last introduction.
  Heartbeat m_heartbeat; ///< The last one received.
  Instant m_lastReceived{};
  Instant m_nextDial{};
  bool m_leaving = false; ///< The platform's host list marks it as leaving.
  /// This router's attempts that have not ended.
  std::uint32_t m_outstanding = 0;
  /// Outstanding attempts that m_load does not include yet.
  std::uint32_t m_unreported = 0;
  /// Outstanding attempts with long output.
  std::uint32_t m_outstandingLong = 0;
  /// Load that short work competes with, from the agent's last message.
  std::uint32_t m_load = 0;
  /// Moving average of the time to first byte, in microseconds.
  double m_firstByteMicros = 0;
  /// Moving average of the time between chunks of a response, in
  /// microseconds.
  double m_chunkIntervalMicros = 0;
  Instant m_upSince{};
  /// Total of new attempts placed here.
  std::uint64_t m_totalAttempts = 0;
  int m_consecutiveFailures = 0;
  /// Ejections since the last success; at least 1 on probation.
  int m_consecutiveEjections = 0;
  Instant m_ejectedUntil{};

  /// Restarts the slow start, and lets a single failure eject the upstream.
  void BeginProbation(Instant aNow)
  {
    m_upSince = aNow;
    m_consecutiveEjections = std::max(m_consecutiveEjections, 1);
  }

  /// Whether the upstream may be chosen for new work.
  bool CanAcceptWork() const
  {
    return m_isUp && !m_leaving && !m_config.m_isDrained &&
           !m_heartbeat.m_draining && m_heartbeat.m_upstreamHealthy;
  }
};

/// Callbacks of an agent directory, implemented by its router.
struct DirectoryHooks
{
  std::function<PeerId(const std::string& aAddress)> m_dial;
  std::function<void(PeerId)> m_close;
  /// An agent is connected. \p aIsSameIncarnation is false if its process has
  /// been restarted since its last introduction.
  std::function<void(const UpstreamId&, bool aIsSameIncarnation)> m_onUp;
  /// The configuration has removed an upstream or changed its agent's address.
  std::function<void(const UpstreamId&)> m_onRemoved;
  /// An agent's link was closed or is unresponsive.
  std::function<void(const UpstreamId&)> m_onDown;
};

/// Maintains a link to every configured agent.
class AgentDirectory
{
public:
  AgentDirectory(DirectoryOptions aOptions,
                 TimerHooks aTimers,
                 DirectoryHooks aHooks);

  /// Connects to new upstreams and disconnects from removed ones.
  void Configure(const Configuration& aConfiguration);
  /// Sets the upstreams that the platform's host list marks as leaving.
  void SetLeaving(const std::set<UpstreamId>& aLeaving);

  void OnClosed(PeerId aPeer);
  void OnIntroduce(PeerId aPeer, const Introduce& aMessage);
  void OnHeartbeat(PeerId aPeer, const Heartbeat& aMessage);
  /// Restarts the link's timeout; to be called for every message received.
  void OnActivity(PeerId aPeer);

  /// Closes unresponsive links and dials again; to be called periodically.
  void Tick();

  AgentView* Find(const UpstreamId& aUpstream);
  const std::map<UpstreamId, AgentView>& Agents() const { return m_agents; }
  /// Returns the upstream of a link, or an empty id if there is none.
  UpstreamId UpstreamOf(PeerId aPeer) const;

private:
  void Disconnect(const UpstreamId& aUpstream, AgentView& aAgent);

  DirectoryOptions m_options;
  TimerHooks m_timers;
  DirectoryHooks m_hooks;
  std::map<UpstreamId, AgentView> m_agents;
  std::map<PeerId, UpstreamId> m_byPeer;
  std::set<UpstreamId> m_leaving;
};

} // namespace bergamotpaddle
