/// \file
/// Chooses the upstream of an attempt.
///
/// An upstream's load is what its agent said last, which every piece of an
/// answer brings, and what this router has sent there since. Upstreams that
/// answer much slower than the middle of their pool are avoided softly, never
/// more than a third of the pool, and probed.
#pragma once

#include "bergamotpaddle/Router/AgentDirectory.h"

#include <random>
#include <set>

namespace bergamotpaddle {

/// How the balancer weighs what it knows.
struct BalancerOptions
{
  std::string m_zone;                ///< The router's own.
  double m_foreignZonePenalty = 0.5; ///< In outstanding attempts.
  double m_longPenalty =
    3.0; ///< Of each long run of ours there, for another: spreads them.
  double m_slowFactor = 3.0; ///< Times the pool's middle that counts as slow.
  double m_probeChance =
    0.002;                  ///< That a slow upstream is chosen all the same.
  double m_smoothing = 0.2; ///< Of the moving averages.
  int m_failuresBeforeEject = 3; ///< In a row.
  Duration m_firstEject =
    std::chrono::seconds(4); ///< Doubled each time, up to m_longestEject.
  Duration m_longestEject = std::chrono::seconds(60);
  /// Takes the place of the load if set; lower is better.
  std::function<double(const AgentView&, Instant)> m_score;
  Duration m_slowStart =
    std::chrono::seconds(5); ///< After a return, until full load.
};

/// Picks upstreams with a seeded generator.
class Balancer
{
public:
  Balancer(BalancerOptions aOptions, std::uint64_t aSeed);

  /// The upstream for the next attempt in \p aPool, or nullopt if none may take
  /// work. Upstreams in \p aExcluded are passed over.
  std::optional<UpstreamId> Pick(const AgentDirectory& aDirectory,
                                 const PoolConfig& aPool,
                                 const std::set<UpstreamId>& aExcluded,
                                 Instant aNow,
                                 bool aIsLong = false);

  /// Feeds the moving averages of \p aAgent.
  void NoteFirstByte(AgentView& aAgent, Duration aTime) const;
  void NoteGap(AgentView& aAgent, Duration aTime) const;

  /// An attempt at \p aAgent ended; failures in a row take it out for a while,
  /// longer each time.
  void NoteOutcome(AgentView& aAgent, bool aIsGood, Instant aNow) const;

  /// Whether \p aAgent is slow beside the others of \p aPool.
  bool IsSlow(const AgentDirectory& aDirectory,
              const PoolConfig& aPool,
              const AgentView& aAgent) const;

private:
  double Load(const AgentView& aAgent, Instant aNow, bool aIsLong) const;
  std::set<UpstreamId> SlowOnes(const AgentDirectory& aDirectory,
                                const std::vector<UpstreamId>& aLive) const;

  BalancerOptions m_options;
  std::mt19937_64 m_random;
};

} // namespace bergamotpaddle
