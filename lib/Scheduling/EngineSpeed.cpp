#include "bergamotpaddle/Scheduling/EngineSpeed.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

constexpr double kPercent = 100;

/// Distinguishes lives of an upstream in reports; starts are more than a tenth
/// of a second apart.
std::uint16_t
EpochOf(std::int64_t aStartedAtMs)
{
  constexpr std::int64_t kResolutionMs = 100;
  return static_cast<std::uint16_t>(aStartedAtMs / kResolutionMs);
}

} // namespace

EngineSpeed::EngineSpeed(EngineSpeedOptions aOptions)
  : m_options(aOptions)
{
}

void
EngineSpeed::Upsert(std::uint32_t aUpstream,
                    const ServiceId& aService,
                    std::int64_t aStartedAtMs)
{
  const std::uint16_t epoch = EpochOf(aStartedAtMs);
  const auto [position, isNew] = m_upstreams.try_emplace(aUpstream);
  Upstream& upstream = position->second;
  if (!isNew && upstream.m_epoch == epoch && upstream.m_service == aService) {
    return;
  }
  upstream = Upstream();
  upstream.m_service = aService;
  upstream.m_epoch = epoch;
  UpdateFactors(aUpstream, upstream);
}

void
EngineSpeed::Remove(std::uint32_t aUpstream)
{
  m_upstreams.erase(aUpstream);
}

void
EngineSpeed::Note(std::uint32_t aUpstream, SpeedKind aKind, double aRatio)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end() || !std::isfinite(aRatio) || aRatio <= 0) {
    return;
  }
  ++m_samples;
  Upstream& upstream = found->second;
  const auto kind = static_cast<std::size_t>(aKind);
  Estimate& estimate = upstream.m_own.at(kind);
  if (estimate.m_samples == 0) {
    // What is known already limits the first sample as it limits later ones.
    estimate.m_log = m_pools[upstream.m_service].m_log.at(kind) +
                     std::log(upstream.m_factors.m_relative);
  }
  const double sample =
    std::clamp(std::log(aRatio), -m_options.m_maxLog, m_options.m_maxLog);
  estimate.m_samples = std::min(estimate.m_samples + 1, m_options.m_maxSamples);
  estimate.m_log += std::clamp(sample - estimate.m_log,
                               -m_options.m_maxDeviation,
                               m_options.m_maxDeviation) /
                    estimate.m_samples;
  upstream.m_isUnreported = true;
  NoteChange(aUpstream, upstream);
}

SpeedFactors
EngineSpeed::Factors(std::uint32_t aUpstream) const
{
  const auto found = m_upstreams.find(aUpstream);
  return found == m_upstreams.end() ? SpeedFactors() : found->second.m_factors;
}

std::vector<std::uint32_t>
EngineSpeed::TakeChanged()
{
  return std::exchange(m_changed, {});
}

std::vector<SpeedReport>
EngineSpeed::NextReports()
{
  std::vector<SpeedReport> reports;
  auto next = m_upstreams.upper_bound(m_lastReported);
  for (std::size_t i = 0;
       i < m_upstreams.size() && reports.size() < m_options.m_maxReports;
       ++i, ++next) {
    if (next == m_upstreams.end()) {
      next = m_upstreams.begin();
    }
    auto& [id, upstream] = *next;
    if (!std::exchange(upstream.m_isUnreported, false)) {
      continue;
    }
    SpeedReport report;
    report.m_upstream = id;
    report.m_epoch = upstream.m_epoch;
    for (std::size_t kind = 0; kind < kSpeedKindCount; ++kind) {
      const Estimate& estimate = upstream.m_own.at(kind);
      report.m_logPercent.at(kind) =
        static_cast<int>(std::lround(estimate.m_log * kPercent));
      report.m_samples.at(kind) = estimate.m_samples;
    }
    reports.push_back(report);
    m_lastReported = id;
  }
  return reports;
}

void
EngineSpeed::Apply(const std::string& aPeer,
                   const std::vector<SpeedReport>& aReports)
{
  const std::uint64_t peer = PlacementHash(aPeer);
  for (const SpeedReport& report : aReports) {
    const auto found = m_upstreams.find(report.m_upstream);
    if (found == m_upstreams.end() || found->second.m_epoch != report.m_epoch) {
      continue; // Of another life of the upstream.
    }
    Estimates estimates;
    bool isValid = true;
    for (std::size_t kind = 0; kind < kSpeedKindCount; ++kind) {
      const double log = report.m_logPercent.at(kind) / kPercent;
      const int samples = report.m_samples.at(kind);
      isValid = isValid && samples >= 0 && std::abs(log) <= m_options.m_maxLog;
      estimates.at(kind) = { log, std::min(samples, m_options.m_maxSamples) };
    }
    Upstream& upstream = found->second;
    if (!isValid) {
      ++m_invalidReports;
      continue;
    }
    if (upstream.m_byPeer.size() >= m_options.m_maxPeers &&
        !upstream.m_byPeer.contains(peer)) {
      upstream.m_byPeer.erase(upstream.m_byPeer.begin());
    }
    upstream.m_byPeer[peer] = estimates;
    NoteChange(report.m_upstream, upstream);
  }
}

std::map<ServiceId, double>
EngineSpeed::PoolPrefillFactors() const
{
  std::map<ServiceId, double> factors;
  for (const auto& [service, pool] : m_pools) {
    factors[service] =
      std::exp(pool.m_log.at(static_cast<std::size_t>(SpeedKind::kPrefill)));
  }
  return factors;
}

EngineSpeed::Estimate
EngineSpeed::Merge(const Upstream& aUpstream, std::size_t aKind)
{
  double sum = 0;
  int samples = 0;
  const auto add = [&](const Estimate& aEstimate) {
    sum += aEstimate.m_log * aEstimate.m_samples;
    samples += aEstimate.m_samples;
  };
  add(aUpstream.m_own.at(aKind));
  for (const auto& [peer, estimates] : aUpstream.m_byPeer) {
    add(estimates.at(aKind));
  }
  return { samples == 0 ? 0 : sum / samples, samples };
}

void
EngineSpeed::UpdateFactors(std::uint32_t aId, Upstream& aUpstream)
{
  const Pool& pool = m_pools[aUpstream.m_service];
  double sum = 0;
  double weight = m_options.m_poolWeight;
  for (std::size_t kind = 0; kind < kSpeedKindCount; ++kind) {
    const Estimate& merged = aUpstream.m_merged.at(kind);
    sum += (merged.m_log - pool.m_log.at(kind)) * merged.m_samples;
    weight += merged.m_samples;
  }
  const double relative = sum / weight;
  const double poolPrefill =
    pool.m_log.at(static_cast<std::size_t>(SpeedKind::kPrefill));
  const SpeedFactors factors = { std::exp(poolPrefill + relative),
                                 std::exp(relative) };
  if (factors != aUpstream.m_factors) {
    aUpstream.m_factors = factors;
    m_changed.push_back(aId);
  }
}

void
EngineSpeed::NoteChange(std::uint32_t aId, Upstream& aUpstream)
{
  for (std::size_t kind = 0; kind < kSpeedKindCount; ++kind) {
    aUpstream.m_merged.at(kind) = Merge(aUpstream, kind);
  }
  Pool& pool = m_pools[aUpstream.m_service];
  if (++pool.m_sinceUpdate >= m_options.m_poolInterval) {
    pool.m_sinceUpdate = 0;
    UpdatePool(aUpstream.m_service);
  } else {
    UpdateFactors(aId, aUpstream);
  }
}

void
EngineSpeed::UpdatePool(const ServiceId& aService)
{
  Pool& pool = m_pools[aService];
  for (std::size_t kind = 0; kind < kSpeedKindCount; ++kind) {
    std::vector<double> logs;
    for (const auto& [id, upstream] : m_upstreams) {
      if (upstream.m_service != aService) {
        continue;
      }
      const Estimate& merged = upstream.m_merged.at(kind);
      if (merged.m_samples >= m_options.m_minPoolSamples) {
        logs.push_back(merged.m_log);
      }
    }
    if (logs.size() >= m_options.m_minPoolUpstreams) {
      const auto middle =
        logs.begin() + static_cast<std::ptrdiff_t>(logs.size() / 2);
      std::nth_element(logs.begin(), middle, logs.end());
      pool.m_log.at(kind) = *middle;
    }
  }
  for (auto& [id, upstream] : m_upstreams) {
    if (upstream.m_service == aService) {
      UpdateFactors(id, upstream);
    }
  }
}

} // namespace bergamotpaddle
