#include "bergamotpaddle/Router/Balancer.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr std::size_t kLeastPoolToJudge = 3;

void
Smooth(double& aAverage, Duration aSample, double aSmoothing)
{
  const auto sample = static_cast<double>(aSample.count());
  aAverage =
    aAverage == 0 ? sample : aAverage + aSmoothing * (sample - aAverage);
}

double
Slowness(const AgentView& aAgent)
{
  // Time between pieces shows a slowed upstream whatever the prompt; without
  // it the first byte has to do.
  return aAgent.m_gapMicros > 0 ? aAgent.m_gapMicros : aAgent.m_firstByteMicros;
}

} // namespace

Balancer::Balancer(BalancerOptions aOptions, std::uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_random(aSeed)
{
}

void
Balancer::NoteFirstByte(AgentView& aAgent, Duration aTime) const
{
  Smooth(aAgent.m_firstByteMicros, aTime, m_options.m_smoothing);
}

void
Balancer::NoteGap(AgentView& aAgent, Duration aTime) const
{
  Smooth(aAgent.m_gapMicros, aTime, m_options.m_smoothing);
}

void
Balancer::NoteOutcome(AgentView& aAgent, bool aIsGood, Instant aNow) const
{
  if (aIsGood) {
    aAgent.m_failuresInARow = 0;
    aAgent.m_ejections = 0;
    return;
  }
  // After an ejection one failure is enough: what comes back bad goes at once.
  const int allowed =
    aAgent.m_ejections > 0 ? 1 : m_options.m_failuresBeforeEject;
  if (++aAgent.m_failuresInARow < allowed) {
    return;
  }
  aAgent.m_failuresInARow = 0;
  const Duration wait = m_options.m_firstEject *
                        (std::int64_t{ 1 } << std::min(aAgent.m_ejections, 10));
  aAgent.m_ejectedUntil = aNow + std::min(wait, m_options.m_longestEject);
  ++aAgent.m_ejections;
}

std::set<UpstreamId>
Balancer::SlowOnes(const AgentDirectory& aDirectory,
                   const std::vector<UpstreamId>& aLive) const
{
  std::vector<std::pair<double, UpstreamId>> measured;
  for (const UpstreamId& id : aLive) {
    const double slowness = Slowness(aDirectory.Agents().at(id));
    if (slowness > 0) {
      measured.emplace_back(slowness, id);
    }
  }
  std::set<UpstreamId> slow;
  if (measured.size() < kLeastPoolToJudge) {
    return slow;
  }
  std::sort(measured.begin(), measured.end());
  const double middle = measured[measured.size() / 2].first;
  const std::size_t most = aLive.size() / 3;
  for (auto it = measured.rbegin(); it != measured.rend() && slow.size() < most;
       ++it) {
    if (it->first > m_options.m_slowFactor * middle) {
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
  std::vector<UpstreamId> live;
  UpstreamId self;
  for (const UpstreamId& id : aPool.m_upstreams) {
    auto found = aDirectory.Agents().find(id);
    if (found == aDirectory.Agents().end() || !found->second.m_isUp) {
      continue;
    }
    live.push_back(id);
    if (&found->second == &aAgent) {
      self = id;
    }
  }
  return SlowOnes(aDirectory, live).contains(self);
}

double
Balancer::Load(const AgentView& aAgent, Instant aNow, bool aIsLong) const
{
  if (m_options.m_score) {
    return m_options.m_score(aAgent, aNow);
  }
  double load = aAgent.m_load + aAgent.m_unaccepted;
  if (aIsLong) {
    load += m_options.m_longPenalty * aAgent.m_outstandingLong;
  }
  if (aAgent.m_config.m_zone != m_options.m_zone) {
    load += m_options.m_foreignZonePenalty;
  }
  const Duration age = aNow - std::max(aAgent.m_upSince, aAgent.m_ejectedUntil);
  if (age < m_options.m_slowStart) {
    const double share =
      std::max(0.1, std::chrono::duration<double>(age) / m_options.m_slowStart);
    load = (load + 1) / share;
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
  std::vector<UpstreamId> live;
  std::vector<UpstreamId> ejected;
  for (const UpstreamId& id : aPool.m_upstreams) {
    auto found = aDirectory.Agents().find(id);
    const bool isUsable = found != aDirectory.Agents().end() &&
                          found->second.CanAcceptWork() &&
                          !aExcluded.contains(id);
    if (isUsable) {
      (found->second.m_ejectedUntil > aNow ? ejected : live).push_back(id);
    }
  }
  if (live.empty()) {
    // Better a doubtful upstream than none.
    live.swap(ejected);
  }
  if (live.empty()) {
    return std::nullopt;
  }
  const std::set<UpstreamId> slow = SlowOnes(aDirectory, live);
  const bool isProbe = std::uniform_real_distribution<double>(0, 1)(m_random) <
                       m_options.m_probeChance;
  if (!isProbe && slow.size() < live.size()) {
    std::erase_if(live,
                  [&](const UpstreamId& aId) { return slow.contains(aId); });
  }
  // Ties go to a random one, or every router would send to the first.
  std::shuffle(live.begin(), live.end(), m_random);
  return *std::min_element(
    live.begin(),
    live.end(),
    [&](const UpstreamId& aLeft, const UpstreamId& aRight) {
      return Load(aDirectory.Agents().at(aLeft), aNow, aIsLong) <
             Load(aDirectory.Agents().at(aRight), aNow, aIsLong);
    });
}

} // namespace bergamotpaddle
