#include "bergamotpaddle/Router/Balancer.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr std::size_t kMinMeasuredUpstreams = 3;

void
UpdateAverage(double& aAverage, Duration aSample, double aSmoothing)
{
  const auto sample = static_cast<double>(aSample.count());
  aAverage =
    aAverage == 0 ? sample : aAverage + aSmoothing * (sample - aAverage);
}

double
Slowness(const AgentView& aAgent)
{
  // The chunk interval shows a slow upstream whatever the length of the prompt.
  // Until it has been measured, the time to first byte is used.
  return aAgent.m_chunkIntervalMicros > 0 ? aAgent.m_chunkIntervalMicros
                                          : aAgent.m_firstByteMicros;
}

} // namespace

Balancer::Balancer(BalancerOptions aOptions, std::uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_random(aSeed)
{
}

void
Balancer::RecordFirstByte(AgentView& aAgent, Duration aTime) const
{
  UpdateAverage(aAgent.m_firstByteMicros, aTime, m_options.m_smoothing);
}

void
Balancer::RecordChunkInterval(AgentView& aAgent, Duration aTime) const
{
  UpdateAverage(aAgent.m_chunkIntervalMicros, aTime, m_options.m_smoothing);
}

void
Balancer::RecordOutcome(AgentView& aAgent, bool aIsSuccess, Instant aNow) const
{
  if (aIsSuccess) {
    aAgent.m_consecutiveFailures = 0;
    aAgent.m_consecutiveEjections = 0;
    return;
  }
  // After an ejection a single failure ejects again, so that an upstream that
  // still fails gets no further attempts.
  const int allowed =
    aAgent.m_consecutiveEjections > 0 ? 1 : m_options.m_failuresBeforeEject;
  if (++aAgent.m_consecutiveFailures < allowed) {
    return;
  }
  aAgent.m_consecutiveFailures = 0;
  const Duration duration =
    m_options.m_firstEjection *
    (std::int64_t{ 1 } << std::min(aAgent.m_consecutiveEjections, 10));
  aAgent.m_ejectedUntil = aNow + std::min(duration, m_options.m_maxEjection);
  ++aAgent.m_consecutiveEjections;
}

std::set<UpstreamId>
Balancer::SlowUpstreams(const AgentDirectory& aDirectory,
                        const std::vector<UpstreamId>& aCandidates) const
{
  std::vector<std::pair<double, UpstreamId>> measured;
  for (const UpstreamId& id : aCandidates) {
    const double slowness = Slowness(aDirectory.Agents().at(id));
    if (slowness > 0) {
      measured.emplace_back(slowness, id);
    }
  }
  std::set<UpstreamId> slow;
  if (measured.size() < kMinMeasuredUpstreams) {
    return slow;
  }
  std::sort(measured.begin(), measured.end());
  const double median = measured[measured.size() / 2].first;
  const std::size_t maxSlow = aCandidates.size() / 3;
  for (auto it = measured.rbegin();
       it != measured.rend() && slow.size() < maxSlow;
       ++it) {
    if (it->first > m_options.m_slowFactor * median) {
      slow.insert(it->second);
    }
  }
  return slow;
}

bool
Balancer::IsSlow(const AgentDirectory& aDirectory,
                 const PoolConfig& aPool,
                 const AgentView& aAgent) const
{
  std::vector<UpstreamId> candidates;
  UpstreamId self;
  for (const UpstreamId& id : aPool.m_upstreams) {
    auto found = aDirectory.Agents().find(id);
    if (found == aDirectory.Agents().end() || !found->second.m_isUp) {
      continue;
    }
    candidates.push_back(id);
    if (&found->second == &aAgent) {
      self = id;
    }
  }
  return SlowUpstreams(aDirectory, candidates).contains(self);
}

double
Balancer::EffectiveLoad(const AgentView& aAgent,
                        Instant aNow,
                        bool aIsLong) const
{
  if (m_options.m_score) {
    return m_options.m_score(aAgent, aNow);
  }
  double load = aAgent.m_load + aAgent.m_unreported;
  if (aIsLong) {
    load += m_options.m_longPenalty * aAgent.m_outstandingLong;
  }
  if (aAgent.m_config.m_zone != m_options.m_zone) {
    load += m_options.m_foreignZonePenalty;
  }
  const Duration age = aNow - std::max(aAgent.m_upSince, aAgent.m_ejectedUntil);
  if (age < m_options.m_slowStart) {
    const double fraction =
      std::max(0.1, std::chrono::duration<double>(age) / m_options.m_slowStart);
    load = (load + 1) / fraction;
  }
  return load;
}

std::optional<UpstreamId>
Balancer::Pick(const AgentDirectory& aDirectory,
               const PoolConfig& aPool,
               const std::set<UpstreamId>& aExcluded,
               Instant aNow,
               bool aIsLong)
{
  std::vector<UpstreamId> candidates;
  std::vector<UpstreamId> ejected;
  for (const UpstreamId& id : aPool.m_upstreams) {
    auto found = aDirectory.Agents().find(id);
    const bool isEligible = found != aDirectory.Agents().end() &&
                            found->second.CanAcceptWork() &&
                            !aExcluded.contains(id);
    if (isEligible) {
      (found->second.m_ejectedUntil > aNow ? ejected : candidates)
        .push_back(id);
    }
  }
  if (candidates.empty()) {
    // Without other candidates, an ejected upstream is better than none.
    candidates.swap(ejected);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::set<UpstreamId> slow = SlowUpstreams(aDirectory, candidates);
  const bool isProbe = std::uniform_real_distribution<double>(0, 1)(m_random) <
                       m_options.m_probeProbability;
  if (!isProbe && slow.size() < candidates.size()) {
    std::erase_if(candidates,
                  [&](const UpstreamId& aId) { return slow.contains(aId); });
  }
  // Breaks ties at random; otherwise all routers would select the first one.
  std::shuffle(candidates.begin(), candidates.end(), m_random);
  return *std::min_element(
    candidates.begin(),
    candidates.end(),
    [&](const UpstreamId& aLeft, const UpstreamId& aRight) {
      return EffectiveLoad(aDirectory.Agents().at(aLeft), aNow, aIsLong) <
             EffectiveLoad(aDirectory.Agents().at(aRight), aNow, aIsLong);
    });
}

} // namespace bergamotpaddle
