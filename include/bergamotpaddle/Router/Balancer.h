/// \file
/// Selects the upstream of an attempt: the one with the least load.
///
/// An upstream's load is the load that its agent reported last (every chunk of
/// a response carries it) plus the attempts that this router has placed there
/// since. Upstreams that are much slower than the median of their pool get only
/// an occasional probe; this applies to at most a third of the pool.
#pragma once

#include "bergamotpaddle/Router/AgentDirectory.h"

#include <random>
#include <set>

namespace bergamotpaddle {

/// Weights and limits of the balancer.
struct BalancerOptions
{
  std::string m_zone;                ///< The router's zone.
  double m_foreignZonePenalty = 0.5; ///< Added to the load, in attempts.
  /// Added to the load of a long attempt for each outstanding long attempt of
  /// this router, to spread these over the upstreams.
  double m_longPenalty = 3.0;
  /// An upstream slower than this multiple of the pool's median is slow.
  double m_slowFactor = 3.0;
  /// Probability that a selection includes slow upstreams.
  double m_probeProbability = 0.002;
  /// Weight of a new sample in the moving averages.
  double m_smoothing = 0.2;
  /// Consecutive failures that eject an upstream.
  int m_failuresBeforeEject = 3;
  /// Doubled at each consecutive ejection, up to m_maxEjection.
  Duration m_firstEjection = std::chrono::seconds(4);
  Duration m_maxEjection = std::chrono::seconds(60);
  /// Replaces the load if set; the lowest score is selected.
  std::function<double(const AgentView&, Instant)> m_score;
  /// Ramp to full load after a connection, drain or ejection.
  Duration m_slowStart = std::chrono::seconds(5);
};

/// Selects upstreams; ties and probes are decided by a seeded generator.
class Balancer
{
public:
  Balancer(BalancerOptions aOptions, std::uint64_t aSeed);

  /// Returns the upstream for the next attempt in \p aPool, or nullopt if none
  /// can accept work. Ignores the upstreams in \p aExcluded; uses ejected ones
  /// only if there are no others.
  std::optional<UpstreamId> Pick(const AgentDirectory& aDirectory,
                                 const PoolConfig& aPool,
                                 const std::set<UpstreamId>& aExcluded,
                                 Instant aNow,
                                 bool aIsLong = false);

  /// Adds a time to first byte to the moving average of \p aAgent.
  void RecordFirstByte(AgentView& aAgent, Duration aTime) const;
  /// Adds a time between chunks to the moving average of \p aAgent.
  void RecordChunkInterval(AgentView& aAgent, Duration aTime) const;

  /// Records the outcome of an attempt at \p aAgent. Consecutive failures eject
  /// the upstream, each time for longer.
  void RecordOutcome(AgentView& aAgent, bool aIsSuccess, Instant aNow) const;

  /// Whether \p aAgent is slow relative to the others in \p aPool.
  bool IsSlow(const AgentDirectory& aDirectory,
              const PoolConfig& aPool,
              const AgentView& aAgent) const;

private:
  double EffectiveLoad(const AgentView& aAgent,
                       Instant aNow,
                       bool aIsLong) const;
  std::set<UpstreamId> SlowUpstreams(
    const AgentDirectory& aDirectory,
    const std::vector<UpstreamId>& aCandidates) const;

  BalancerOptions m_options;
  std::mt19937_64 m_random;
};

} // namespace bergamotpaddle
