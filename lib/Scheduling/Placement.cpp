#include "bergamotpaddle/Scheduling/Placement.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

constexpr std::uint64_t kHashMultiplier = 0x9E3779B97F4A7C15ULL;

/// Combines two hashes, both of which are well distributed.
std::uint64_t
CombineHashes(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t mixed = (aLeft ^ (aRight * kHashMultiplier)) * kHashMultiplier;
  mixed ^= mixed >> 29U;
  return mixed * kHashMultiplier;
}

Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

std::uint32_t
TotalTokens(const std::vector<PromptPart>& aParts)
{
  std::uint32_t tokens = 0;
  for (const PromptPart& part : aParts) {
    tokens += part.m_tokens;
  }
  return tokens;
}

/// Returns the id of the last prompt part that other requests may share. The
/// final part belongs to this request alone; it is used if there is no other.
std::uint64_t
LocalityKey(const std::vector<PromptPart>& aParts)
{
  if (aParts.empty()) {
    return 0;
  }
  return aParts[aParts.size() > 1 ? aParts.size() - 2 : 0].m_id;
}

} // namespace

Placement::Placement(PlacementOptions aOptions)
  : m_options(std::move(aOptions))
{
}

bool
Placement::IsHeavy(const PlacementRequest& aRequest) const
{
  const std::uint32_t tokens = TotalTokens(aRequest.m_parts);
  return PrefillTime(tokens, tokens) > m_options.m_heavyPrefillThreshold;
}

Duration
Placement::PrefillTime(std::uint32_t aUncached, std::uint32_t aTotal) const
{
  constexpr double kMicrosecondsPerMs = 1000;
  constexpr double kMillion = 1e6;
  const double linear =
    aUncached / m_options.m_prefillTokensPerMs * kMicrosecondsPerMs;
  const double steps =
    std::ceil(static_cast<double>(aUncached) / m_options.m_chunkTokens) *
    static_cast<double>(m_options.m_tokenTime.count());
  const double cached = static_cast<double>(aTotal) - aUncached;
  const double pairs =
    aUncached * (cached + aUncached / 2.0) / kMillion *
    static_cast<double>(m_options.m_timePerMillionPairs.count());
  return Duration(static_cast<Duration::rep>(linear + steps + pairs));
}

std::size_t
Placement::LightPartitionSize(
  const UpstreamView& aView,
  const ServiceId& aService,
  const std::vector<const UpstreamState*>& aUpstreams,
  Instant aNow)
{
  double streams = 0;
  double slots = 0;
  for (const UpstreamState* state : aUpstreams) {
    streams += aView.Streams(*state, aNow);
    slots += state->m_entry.m_slots;
  }
  const auto count = static_cast<double>(aUpstreams.size());
  const double needed =
    slots == 0 ? 1
               : streams / (slots / count * m_options.m_lightTargetUtilization);
  const std::size_t maxSize = std::max<std::size_t>(aUpstreams.size() / 2, 1);
  const std::size_t minSize = std::max<std::size_t>(aUpstreams.size() / 6, 1);
  const std::size_t size =
    std::clamp(static_cast<std::size_t>(std::ceil(needed)), minSize, maxSize);
  Partition& partition = m_partitions[aService];
  if (size >= partition.m_lightSize) {
    partition = { size, aNow };
  } else if (aNow - partition.m_neededAt > m_options.m_lightPartitionHoldTime) {
    partition = { partition.m_lightSize - 1, aNow };
  }
  return std::min(partition.m_lightSize, maxSize);
}

std::vector<Placement::Candidate>
Placement::EngineCandidates(const UpstreamView& aView,
                            const PlacementRequest& aRequest,
                            const std::vector<const UpstreamState*>& aUsable,
                            Instant aNow)
{
  // All routers order the pool identically; its first upstreams form the light
  // partition.
  std::vector<const UpstreamState*> pool = aUsable;
  std::sort(
    pool.begin(), pool.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->m_hash < aRight->m_hash;
    });
  const std::size_t lightSize =
    LightPartitionSize(aView, aRequest.m_service, pool, aNow);
  const bool isHeavy = IsHeavy(aRequest);
  const std::uint64_t key = LocalityKey(aRequest.m_parts);
  struct Ranked
  {
    Candidate m_candidate;
    std::uint64_t m_weight;
  };
  std::vector<Ranked> preferred;
  std::vector<Ranked> fallback;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    if (aRequest.m_excluded.contains(pool[i]->m_entry.m_id)) {
      continue;
    }
    const bool isCrossPartition = (i < lightSize) == isHeavy;
    const std::uint64_t weight = CombineHashes(pool[i]->m_hash, key);
    (isCrossPartition ? fallback : preferred)
      .push_back({ { pool[i], isCrossPartition }, weight });
  }
  const auto byWeight = [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.m_weight > aRight.m_weight;
  };
  std::sort(preferred.begin(), preferred.end(), byWeight);
  std::sort(fallback.begin(), fallback.end(), byWeight);
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < preferred.size(); ++i) {
    // A light request may use any engine of its partition: its prefill is cheap
    // even if nothing is cached there.
    if (i < m_options.m_preferredCandidates || !isHeavy ||
        preferred[i].m_candidate.m_state->m_avoidUntil > aNow) {
      candidates.push_back(preferred[i].m_candidate);
    }
  }
  for (std::size_t i = 0; i < std::min<std::size_t>(fallback.size(), 2); ++i) {
    candidates.push_back(fallback[i].m_candidate);
  }
  return candidates;
}

PlacementChoice
Placement::Estimate(const UpstreamView& aView,
                    const PlacementRequest& aRequest,
                    const UpstreamState& aState,
                    Instant aNow) const
{
  PlacementChoice choice;
  choice.m_upstream = aState.m_entry.m_id;
  choice.m_uncachedTokens =
    aView.UncachedTokens(aState, aRequest.m_parts, aNow);
  choice.m_prefill =
    PrefillTime(choice.m_uncachedTokens, TotalTokens(aRequest.m_parts));
  choice.m_requests = aView.Requests(aState, aNow);
  choice.m_isLight = !IsHeavy(aRequest);
  choice.m_expected =
    Scale(aView.PrefillBacklog(aState, aNow) + choice.m_prefill,
          aView.Slowness(aState, aNow));
  return choice;
}

Duration
Placement::Cost(const UpstreamView& aView,
                const PlacementChoice& aChoice,
                const Candidate& aCandidate,
                Instant aNow) const
{
  const UpstreamState& state = *aCandidate.m_state;
  Duration cost =
    Scale(aView.PrefillBacklog(state, aNow), m_options.m_backlogWeight) +
    aChoice.m_prefill * m_options.m_prefillWeight +
    m_options.m_requestPenalty * aChoice.m_requests;
  cost =
    Scale(cost + std::chrono::milliseconds(10), aView.Slowness(state, aNow));
  if (aCandidate.m_isCrossPartition) {
    cost += m_options.m_crossPartitionPenalty;
  }
  if (state.m_avoidUntil > aNow) {
    cost += m_options.m_avoidedPenalty;
  }
  if (state.m_entry.m_zone != m_options.m_zone) {
    cost += m_options.m_crossZonePenalty;
  }
  return cost;
}

double
Placement::Capacity(const UpstreamEntry& aEntry) const
{
  return aEntry.m_slots * (1 + m_options.m_maxQueueRatio);
}

PoolLoad
Placement::Load(const UpstreamView& aView,
                const ServiceId& aService,
                Instant aNow) const
{
  PoolLoad load;
  for (const UpstreamState* state : aView.Usable(aService)) {
    const auto capacity = static_cast<int>(std::ceil(Capacity(state->m_entry)));
    const int requests = aView.Requests(*state, aNow);
    load.m_capacity += capacity;
    load.m_requests += requests;
    load.m_free += std::max(capacity - requests, 0);
  }
  return load;
}

std::vector<Placement::Candidate>
Placement::OtherCandidates(const PlacementRequest& aRequest,
                           const std::vector<const UpstreamState*>& aUsable,
                           const std::vector<Candidate>& aCandidates)
{
  std::vector<Candidate> others;
  for (const UpstreamState* state : aUsable) {
    const bool isKnown = std::any_of(
      aCandidates.begin(), aCandidates.end(), [state](const Candidate& aOther) {
        return aOther.m_state == state;
      });
    if (!isKnown && !aRequest.m_excluded.contains(state->m_entry.m_id)) {
      others.push_back({ state, true });
    }
  }
  return others;
}

void
Placement::ChooseAmong(const std::vector<Candidate>& aCandidates,
                       const UpstreamView& aView,
                       const PlacementRequest& aRequest,
                       Instant aNow,
                       PlacementResult& aResult) const
{
  const Duration maxWait =
    aRequest.m_firstEventTimeout.count() > 0
      ? std::min(aRequest.m_firstEventTimeout, aRequest.m_timeLeft)
      : aRequest.m_timeLeft;
  Duration minCost = Duration::max();
  for (const Candidate& candidate : aCandidates) {
    const PlacementChoice choice =
      Estimate(aView, aRequest, *candidate.m_state, aNow);
    const bool isFull =
      choice.m_requests >= Capacity(candidate.m_state->m_entry);
    const Duration lateBy = choice.m_expected - maxWait;
    if (aResult.m_verdict != PlacementResult::Verdict::kPlaced &&
        (isFull || lateBy > Duration(0))) {
      const bool isFirst =
        aResult.m_verdict == PlacementResult::Verdict::kNoUpstream;
      aResult.m_verdict = PlacementResult::Verdict::kOverloaded;
      aResult.m_isFull = aResult.m_isFull || lateBy <= Duration(0);
      const Duration until = std::max(lateBy, Duration(0));
      aResult.m_retryAfter =
        isFirst ? until : std::min(aResult.m_retryAfter, until);
    }
    if (isFull || lateBy > Duration(0)) {
      continue;
    }
    const Duration cost = Cost(aView, choice, candidate, aNow);
    if (cost < minCost) {
      minCost = cost;
      aResult = { PlacementResult::Verdict::kPlaced, choice, false, {} };
    }
  }
}

PlacementResult
Placement::Choose(const UpstreamView& aView,
                  const PlacementRequest& aRequest,
                  Instant aNow)
{
  PlacementResult result;
  const std::vector<const UpstreamState*> usable =
    aView.Usable(aRequest.m_service);
  std::vector<Candidate> candidates;
  if (aRequest.m_parts.empty()) {
    for (const UpstreamState* state : usable) {
      if (!aRequest.m_excluded.contains(state->m_entry.m_id)) {
        candidates.push_back({ state, false });
      }
    }
  } else {
    candidates = EngineCandidates(aView, aRequest, usable, aNow);
  }
  ChooseAmong(candidates, aView, aRequest, aNow, result);
  if (result.m_verdict == PlacementResult::Verdict::kOverloaded) {
    // Requests with a popular prefix may overload the few engines that hold it
    // while others have room.
    ChooseAmong(OtherCandidates(aRequest, usable, candidates),
                aView,
                aRequest,
                aNow,
                result);
  }
  return result;
}

} // namespace bergamotpaddle
