#include "bergamotpaddle/Scheduling/Placement.h"

#include <algorithm>
#include <array>
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

/// Number of engines outside a request's partition that are compared for it.
constexpr std::size_t kFallbackCandidates = 2;

/// Reorders \p aPool so that each of its beginnings has about equally many
/// upstreams of each zone; within a zone the order stays.
void
InterleaveZones(std::vector<const UpstreamState*>& aPool)
{
  std::map<std::string, std::size_t> counts;
  std::vector<std::pair<std::size_t, const UpstreamState*>> ranked;
  ranked.reserve(aPool.size());
  for (const UpstreamState* state : aPool) {
    ranked.emplace_back(counts[state->m_entry.m_zone]++, state);
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::transform(ranked.begin(),
                 ranked.end(),
                 aPool.begin(),
                 [](const auto& aRanked) { return aRanked.second; });
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
  , m_overflow(m_options.m_zone, m_options.m_overflow)
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
  // partition. The cold ones, which get little, belong to neither partition.
  std::vector<const UpstreamState*> pool;
  std::vector<Candidate> candidates;
  for (const UpstreamState* state : aUsable) {
    const UpstreamId& id = state->m_entry.m_id;
    if (!aRequest.m_cold.m_open.contains(id)) {
      if (!aRequest.m_cold.m_withheld.contains(id)) {
        pool.push_back(state);
      }
    } else if (!aRequest.m_excluded.contains(id)) {
      candidates.push_back({ state, false, true });
    }
  }
  std::sort(
    pool.begin(), pool.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->m_hash < aRight->m_hash;
    });
  if (m_overflow.IsEnabled()) {
    InterleaveZones(pool);
  }
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
      .push_back({ { pool[i], isCrossPartition, false }, weight });
  }
  const auto byWeight = [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.m_weight > aRight.m_weight;
  };
  std::sort(preferred.begin(), preferred.end(), byWeight);
  std::sort(fallback.begin(), fallback.end(), byWeight);
  // A prompt that stays in its zone is ranked among the zone's engines.
  const bool isByZone = m_overflow.IsEnabled() && !IsSharedByZones(aRequest);
  std::array<std::size_t, 2> preferredCounts{};
  for (const Ranked& ranked : preferred) {
    const UpstreamState& state = *ranked.m_candidate.m_state;
    // A light request may use any engine of its partition: its prefill is cheap
    // even if nothing is cached there.
    if (preferredCounts.at(isByZone && IsOtherZone(state) ? 1 : 0)++ <
          m_options.m_preferredCandidates ||
        !isHeavy || state.m_avoidUntil > aNow) {
      candidates.push_back(ranked.m_candidate);
    }
  }
  std::array<std::size_t, 2> fallbackCounts{};
  for (const Ranked& ranked : fallback) {
    const bool isOther = isByZone && IsOtherZone(*ranked.m_candidate.m_state);
    if (fallbackCounts.at(isOther ? 1 : 0)++ < kFallbackCandidates) {
      candidates.push_back(ranked.m_candidate);
    }
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
  choice.m_nominalPrefill =
    PrefillTime(choice.m_uncachedTokens, TotalTokens(aRequest.m_parts));
  choice.m_prefill = Scale(choice.m_nominalPrefill, aState.m_speed.m_prefill);
  choice.m_backlog = aView.PrefillBacklog(aState, aNow);
  choice.m_requests = aView.Requests(aState, aNow);
  choice.m_isLight = !IsHeavy(aRequest);
  choice.m_isOtherZone = IsOtherZone(aState);
  choice.m_expected =
    Scale(choice.m_backlog + choice.m_prefill, aView.Slowness(aState, aNow));
  return choice;
}

Duration
Placement::Cost(const UpstreamView& aView,
                const PlacementChoice& aChoice,
                const PlacementRequest& aRequest,
                const Candidate& aCandidate,
                Instant aNow) const
{
  const UpstreamState& state = *aCandidate.m_state;
  // Relative to the pool: the penalties, which are the price of cached prompts
  // and of partitions, are fixed.
  const Duration prefill =
    Scale(Scale(aChoice.m_backlog, m_options.m_backlogWeight) +
            aChoice.m_prefill * m_options.m_prefillWeight,
          state.m_speed.m_relative / state.m_speed.m_prefill);
  Duration cost =
    prefill + Scale(m_options.m_requestPenalty * aChoice.m_requests +
                      std::chrono::milliseconds(10),
                    state.m_speed.m_relative);
  cost = Scale(cost, aView.Slowness(state, aNow));
  if (aCandidate.m_isCrossPartition) {
    cost += m_options.m_crossPartitionPenalty;
  }
  if (aCandidate.m_isCold) {
    cost += m_options.m_coldPenalty;
  }
  if (state.m_avoidUntil > aNow) {
    cost += m_options.m_avoidedPenalty;
  }
  if (IsOtherZone(state)) {
    cost += m_overflow.IsEnabled()
              ? m_overflow.CrossingCost(
                  aRequest.m_service, state.m_entry.m_zone, aRequest.m_bytes)
              : m_options.m_crossZonePenalty;
  }
  return cost;
}

bool
Placement::IsOtherZone(const UpstreamState& aState) const
{
  return aState.m_entry.m_zone != m_options.m_zone;
}

bool
Placement::IsSharedByZones(const PlacementRequest& aRequest) const
{
  if (aRequest.m_parts.size() < 2) {
    return false;
  }
  const std::uint32_t shared =
    TotalTokens(aRequest.m_parts) - aRequest.m_parts.back().m_tokens;
  // By the nominal speed and the initial round trip, so that all routers agree.
  const Duration crossing(
    static_cast<Duration::rep>(static_cast<double>(aRequest.m_bytes) *
                               m_options.m_overflow.m_msPerKilobyte));
  return PrefillTime(shared, shared) >
         crossing + m_options.m_overflow.m_initialRoundTrip;
}

void
Placement::UpdateOverflow(const UpstreamView& aView,
                          const PlacementRequest& aRequest,
                          const std::vector<const UpstreamState*>& aUsable,
                          Instant aNow)
{
  std::map<std::string, ZoneLoad> loads;
  std::map<std::string, std::pair<double, double>> requestsAndSlots;
  for (const UpstreamState* state : aUsable) {
    if (state->m_avoidUntil > aNow) {
      continue;
    }
    ZoneLoad& load = loads[state->m_entry.m_zone];
    const int requests = aView.Requests(*state, aNow);
    ++load.m_upstreams;
    load.m_wait += Scale(
      aView.PrefillBacklog(*state, aNow) +
        Scale(m_options.m_requestPenalty * requests, state->m_speed.m_relative),
      aView.Slowness(*state, aNow));
    auto& [zoneRequests, zoneSlots] = requestsAndSlots[state->m_entry.m_zone];
    zoneRequests += requests;
    zoneSlots += state->m_entry.m_slots;
  }
  for (auto& [zone, load] : loads) {
    load.m_wait /= static_cast<Duration::rep>(load.m_upstreams);
    const auto& [requests, slots] = requestsAndSlots[zone];
    load.m_utilization = slots > 0 ? requests / slots : 1;
  }
  m_overflow.Update(aRequest.m_service, loads, aRequest.m_bytes, aNow);
}

void
Placement::MarkOverflow(const PlacementRequest& aRequest,
                        std::vector<Candidate>& aCandidates)
{
  const bool mayLeave = IsSharedByZones(aRequest);
  const std::optional<std::string> target =
    mayLeave ? std::nullopt : m_overflow.DrawTarget(aRequest.m_service);
  for (Candidate& candidate : aCandidates) {
    candidate.m_isOverflow = IsOtherZone(*candidate.m_state) && !mayLeave &&
                             candidate.m_state->m_entry.m_zone != target;
  }
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
    const UpstreamId& id = state->m_entry.m_id;
    if (!isKnown && !aRequest.m_excluded.contains(id) &&
        !aRequest.m_cold.m_withheld.contains(id)) {
      others.push_back({ state, true, aRequest.m_cold.m_open.contains(id) });
    }
  }
  return others;
}

void
Placement::Consider(const Candidate& aCandidate,
                    const UpstreamView& aView,
                    const PlacementRequest& aRequest,
                    Instant aNow,
                    Duration& aMinCost,
                    PlacementResult& aResult) const
{
  const Duration maxWait =
    aRequest.m_firstEventTimeout.count() > 0
      ? std::min(aRequest.m_firstEventTimeout, aRequest.m_timeLeft)
      : aRequest.m_timeLeft;
  const PlacementChoice choice =
    Estimate(aView, aRequest, *aCandidate.m_state, aNow);
  const bool isFull =
    choice.m_requests >= Capacity(aCandidate.m_state->m_entry);
  const Duration lateBy = choice.m_expected - maxWait;
  if (isFull || lateBy > Duration(0)) {
    if (aResult.m_verdict == PlacementResult::Verdict::kPlaced) {
      return;
    }
    const bool isFirst =
      aResult.m_verdict == PlacementResult::Verdict::kNoUpstream;
    const Duration until = std::max(lateBy, Duration(0));
    aResult.m_verdict = PlacementResult::Verdict::kOverloaded;
    aResult.m_isFull = aResult.m_isFull || lateBy <= Duration(0);
    aResult.m_retryAfter =
      isFirst ? until : std::min(aResult.m_retryAfter, until);
    return;
  }
  const Duration cost = Cost(aView, choice, aRequest, aCandidate, aNow);
  if (cost < aMinCost) {
    aMinCost = cost;
    aResult = { PlacementResult::Verdict::kPlaced, choice, false, {} };
  }
}

PlacementResult
Placement::Choose(const UpstreamView& aView,
                  const PlacementRequest& aRequest,
                  Instant aNow)
{
  PlacementResult result;
  std::vector<const UpstreamState*> usable = aView.Usable(aRequest.m_service);
  std::optional<Instant> reopening; // Of the first upstream that is closed.
  std::erase_if(usable, [&](const UpstreamState* aState) {
    const Instant until = aView.ClosedUntil(*aState);
    if (until > aNow) {
      reopening = std::min(reopening.value_or(until), until);
    }
    return until > aNow;
  });
  std::vector<Candidate> candidates;
  if (aRequest.m_parts.empty()) {
    for (const UpstreamState* state : usable) {
      const UpstreamId& id = state->m_entry.m_id;
      if (!aRequest.m_excluded.contains(id) &&
          !aRequest.m_cold.m_withheld.contains(id)) {
        candidates.push_back(
          { state, false, aRequest.m_cold.m_open.contains(id) });
      }
    }
  } else {
    candidates = EngineCandidates(aView, aRequest, usable, aNow);
  }
  if (m_overflow.IsEnabled()) {
    if (m_overflow.IsDue(aRequest.m_service, aNow)) {
      UpdateOverflow(aView, aRequest, usable, aNow);
    }
    MarkOverflow(aRequest, candidates);
  }
  Duration minCost = Duration::max();
  const auto consider = [&](const Candidate& aCandidate) {
    Consider(aCandidate, aView, aRequest, aNow, minCost, result);
  };
  bool isAvoided = true; // The upstreams that are not for overflow.
  bool hasHomeCandidate = false;
  for (const Candidate& candidate : candidates) {
    if (!candidate.m_isOverflow) {
      consider(candidate);
      hasHomeCandidate = true;
      isAvoided = isAvoided && candidate.m_state->m_avoidUntil > aNow;
    }
  }
  const bool isRefused = result.m_verdict != PlacementResult::Verdict::kPlaced;
  if (m_overflow.IsEnabled() && (isAvoided || isRefused)) {
    const std::optional<std::string> refuge =
      m_overflow.DrawRefuge(aRequest.m_service);
    for (const Candidate& candidate : candidates) {
      if (candidate.m_isOverflow &&
          (!hasHomeCandidate || candidate.m_state->m_entry.m_zone == refuge)) {
        consider(candidate);
      }
    }
  } else if (result.m_verdict == PlacementResult::Verdict::kOverloaded) {
    // Requests with a popular prefix may overload the few engines that hold it
    // while others have room.
    for (const Candidate& other :
         OtherCandidates(aRequest, usable, candidates)) {
      consider(other);
    }
  }
  if (result.m_verdict == PlacementResult::Verdict::kNoUpstream && reopening) {
    result.m_verdict = PlacementResult::Verdict::kOverloaded;
    result.m_retryAfter = *reopening - aNow;
  }
  if (result.m_verdict == PlacementResult::Verdict::kNoUpstream &&
      !aRequest.m_cold.m_withheld.empty()) {
    result.m_verdict = PlacementResult::Verdict::kCold;
  }
  return result;
}

} // namespace bergamotpaddle
