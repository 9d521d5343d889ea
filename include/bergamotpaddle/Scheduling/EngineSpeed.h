/// \file
/// Learns how fast each upstream is from the durations of its responses.
///
/// Load pattern: the upstreams of a pool differ in speed, by more than a factor
/// of two. A placement that assumes equal speeds queues prompts at the slow
/// ones while the fast ones are idle.
///
/// A sample is the ratio of an observed duration to the nominal one. A pool is
/// the median of its upstreams; an upstream is estimated relative to its pool,
/// so what slows all of them alike doesn't change their order. Deviations of
/// single samples are clamped, and an upstream with few samples is close to its
/// pool.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// What a sample measures.
enum class SpeedKind
{
  kPrefill, ///< Time to the first event of an engine's response.
  kStep,    ///< Time per token of a stream, or of a call without a stream.
};
constexpr std::size_t kSpeedKindCount = 2;

/// Estimated durations on an upstream relative to nominal ones; 1 is nominal.
struct SpeedFactors
{
  double m_prefill = 1;  ///< Prefill time, for the pool and the upstream.
  double m_relative = 1; ///< All durations, relative to the upstream's pool.
  auto operator<=>(const SpeedFactors&) const = default;
};

/// What a router has measured itself of one upstream.
struct SpeedReport
{
  std::uint32_t m_upstream = 0; ///< `UpstreamView::ShortHash` of its id.
  std::uint16_t m_epoch = 0;    ///< Of the upstream's start.
  /// Logarithms of the ratios in percent, and their numbers of samples, by
  /// `SpeedKind`.
  std::array<int, kSpeedKindCount> m_logPercent{};
  std::array<int, kSpeedKindCount> m_samples{};
  MSGPACK_DEFINE(m_upstream, m_epoch, m_logPercent, m_samples)
  auto operator<=>(const SpeedReport&) const = default;
};

/// Bounds of the estimates.
struct EngineSpeedOptions
{
  /// Largest logarithmic deviation of a sample from the estimate before: a
  /// factor of two.
  double m_maxDeviation = 0.7;
  /// Range of all estimates, as a logarithm: a factor of ten. Larger ratios are
  /// failures rather than speeds.
  double m_maxLog = 2.3;
  /// Number of samples whose weight the pool has in the estimate of each of its
  /// upstreams.
  double m_poolWeight = 4;
  /// Number of samples over which an estimate averages, so that it follows an
  /// upstream that changes.
  int m_maxSamples = 32;
  /// Upstreams, and samples of each, from which a pool differs from nominal.
  std::size_t m_minPoolUpstreams = 3;
  int m_minPoolSamples = 3;
  /// Reports of peers that are kept for each upstream.
  std::size_t m_maxPeers = 32;
  /// Upstreams in one datagram, about 12 bytes each.
  std::size_t m_maxReports = 4;
  /// Samples between updates of a pool.
  int m_poolInterval = 32;
};

/// Estimates of all upstreams. Performs no I/O; its state is lost with the
/// process, and that of an upstream with the upstream's restart.
class EngineSpeed
{
public:
  explicit EngineSpeed(EngineSpeedOptions aOptions = {});

  /// Adds an upstream. A different \p aStartedAtMs forgets what was measured.
  void Upsert(std::uint32_t aUpstream,
              const ServiceId& aService,
              std::int64_t aStartedAtMs);
  void Remove(std::uint32_t aUpstream);

  /// Records that a response of \p aUpstream took \p aRatio times the nominal
  /// duration. Ignores ratios that are no positive finite numbers, and
  /// upstreams that are not known.
  void Note(std::uint32_t aUpstream, SpeedKind aKind, double aRatio);

  /// Returns the estimate for \p aUpstream; nominal if it is not known.
  SpeedFactors Factors(std::uint32_t aUpstream) const;

  /// Upstreams whose estimates have changed since the last call.
  std::vector<std::uint32_t> TakeChanged();

  /// Returns own measurements for the next datagram: those of upstreams that
  /// have been sampled since they were last returned, in turn.
  std::vector<SpeedReport> NextReports();
  /// Takes measurements of \p aPeer; counts those that are out of range.
  void Apply(const std::string& aPeer,
             const std::vector<SpeedReport>& aReports);

  std::uint64_t Samples() const { return m_samples; }
  std::uint64_t InvalidReports() const { return m_invalidReports; }
  /// Prefill time of each pool relative to nominal.
  std::map<ServiceId, double> PoolPrefillFactors() const;

private:
  struct Estimate
  {
    double m_log = 0;
    int m_samples = 0;
  };
  using Estimates = std::array<Estimate, kSpeedKindCount>;
  struct Upstream
  {
    ServiceId m_service;
    std::uint16_t m_epoch = 0;
    Estimates m_own;
    Estimates m_merged; ///< Own and peers' measurements.
    absl::flat_hash_map<std::uint64_t, Estimates> m_byPeer;
    bool m_isUnreported = false;
    SpeedFactors m_factors;
  };
  struct Pool
  {
    std::array<double, kSpeedKindCount> m_log{};
    int m_sinceUpdate = 0;
  };

  static Estimate Merge(const Upstream& aUpstream, std::size_t aKind);
  void UpdateFactors(std::uint32_t aId, Upstream& aUpstream);
  void NoteChange(std::uint32_t aId, Upstream& aUpstream);
  void UpdatePool(const ServiceId& aService);

  EngineSpeedOptions m_options;
  std::map<std::uint32_t, Upstream> m_upstreams;
  std::map<ServiceId, Pool> m_pools;
  std::vector<std::uint32_t> m_changed;
  std::uint32_t m_lastReported = 0;
  std::uint64_t m_samples = 0;
  std::uint64_t m_invalidReports = 0;
};

} // namespace bergamotpaddle
