/// \file
/// The agents that a router knows: their links, whether they live, and how
/// loaded each is as far as the router can tell.
#pragma once

#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <algorithm>
#include <functional>
#include <set>

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// Paces of the links.
struct DirectoryOptions
{
  Duration m_deadAfter = std::chrono::milliseconds(1500); ///< Of silence.
  Duration m_redialAfter =
    std::chrono::milliseconds(300); ///< A failed or lost link.
};

/// What a router sees of one upstream. Times in microseconds.
struct AgentView
{
  UpstreamConfig m_config;
  PeerId m_peer = 0;     ///< 0: no link.
  bool m_isUp = false;   ///< Introduced on a link that is not silent.
  AgentId m_agent;       ///< Of the last introduction.
  Heartbeat m_heartbeat; ///< The last one.
  Instant m_lastReceivedAt{};
  Instant m_nextDial{};
  bool m_leaving = false;          ///< The host list says so.
  std::uint32_t m_outstanding = 0; ///< Own attempts that have not ended.
  std::uint32_t m_unaccepted =
    0; ///< Of these, not yet in what the agent reports.
  std::uint32_t m_outstandingLong = 0; ///< Of the outstanding, long ones.
  std::uint32_t m_load =
    0; ///< What short work competes with there, by the last message.
  double m_firstByteMicros =
    0;                    ///< Moving average of the time to the first byte.
  double m_gapMicros = 0; ///< Moving average of the time between pieces.
  Instant m_upSince{};
  std::uint64_t m_chosen = 0; ///< Attempts sent there in all.
  int m_failuresInARow = 0;
  int m_ejections = 0; ///< Since it last proved good.
  Instant m_ejectedUntil{};

  /// It comes back from a retreat: slow start, and one failure takes it out.
  void BeginProbation(Instant aNow)
  {
    m_upSince = aNow;
    m_ejections = std::max(m_ejections, 1);
  }

  /// Whether new work may go there.
  bool MayTakeWork() const
  {
    return m_isUp && !m_leaving && !m_config.m_drained &&
           !m_heartbeat.m_draining && m_heartbeat.m_upstreamHealthy;
  }
};

/// What the directory asks of its router.
struct DirectoryHooks
{
  std::function<PeerId(const std::string& aAddress)> m_dial;
  std::function<void(PeerId)> m_close;
  /// An agent is there; \p aIsSameLife tells whether it is the one known
  /// before.
  std::function<void(const UpstreamId&, bool aIsSameLife)> m_up;
  /// The configuration has given an upstream up.
  std::function<void(const UpstreamId&)> m_gone;
  /// An agent's link is gone or silent.
  std::function<void(const UpstreamId&)> m_down;
};

/// Keeps a link to every configured agent.
class AgentDirectory
{
public:
  AgentDirectory(DirectoryOptions aOptions,
                 TimerHooks aTimers,
                 DirectoryHooks aHooks);

  /// Follows the configured upstreams.
  void Configure(const Configuration& aConfiguration);
  /// Hosts that the platform's list calls leaving.
  void SetLeaving(const std::set<UpstreamId>& aLeaving);

  void OnClosed(PeerId aPeer);
  void OnIntroduce(PeerId aPeer, const Introduce& aMessage);
  void OnHeartbeat(PeerId aPeer, const Heartbeat& aMessage);
  /// Any message shows that the link lives.
  void OnHeard(PeerId aPeer);

  /// Notices silence and dials again; to be called at a steady pace.
  void Tick();

  AgentView* Find(const UpstreamId& aUpstream);
  const std::map<UpstreamId, AgentView>& Agents() const { return m_agents; }
  /// The upstream on a link, or an empty id.
  UpstreamId UpstreamOf(PeerId aPeer) const;

private:
  void Drop(const UpstreamId& aUpstream, AgentView& aAgent);

  DirectoryOptions m_options;
  TimerHooks m_timers;
  DirectoryHooks m_hooks;
  std::map<UpstreamId, AgentView> m_agents;
  std::map<PeerId, UpstreamId> m_byPeer;
  std::set<UpstreamId> m_leaving;
};

} // namespace bergamotpaddle
