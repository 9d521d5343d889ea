#include "bergamotpaddle/Gateway/Placement.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

constexpr std::uint64_t kMixer = 0x9E3779B97F4A7C15ULL;

/// Mixes two hashes; both are well mixed already.
std::uint64_t
Combine(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t mixed = (aLeft ^ (aRight * kMixer)) * kMixer;
  mixed ^= mixed >> 29U;
  return mixed * kMixer;
}

Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

std::uint32_t
AllTokens(const std::vector<PromptPart>& aParts)
{
  std::uint32_t tokens = 0;
  for (const PromptPart& part : aParts) {
    tokens += part.m_tokens;
  }
  return tokens;
}

/// The deepest part that other requests share: the last belongs to the
/// request alone.
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
  const std::uint32_t tokens = AllTokens(aRequest.m_parts);
  return PrefillTime(tokens, tokens) > m_options.m_heavyPrefill;
}

Duration
Placement::PrefillTime(std::uint32_t aUnread, std::uint32_t aAll) const
{
  constexpr double kMicrosecondsPerMs = 1000;
  constexpr double kMillion = 1e6;
  const double reading =
    aUnread / m_options.m_prefillTokensPerMs * kMicrosecondsPerMs;
  const double steps =
    std::ceil(static_cast<double>(aUnread) / m_options.m_chunkTokens) *
    static_cast<double>(m_options.m_tokenTime.count());
  const double read = static_cast<double>(aAll) - aUnread;
  const double pairs =
    aUnread * (read + aUnread / 2.0) / kMillion *
    static_cast<double>(m_options.m_timePerMillionPairs.count());
  return Duration(static_cast<Duration::rep>(reading + steps + pairs));
}

std::size_t
Placement::LightPart(const UpstreamView& aView,
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
    slots == 0 ? 1 : streams / (slots / count * m_options.m_lightFill);
  const std::size_t most = std::max<std::size_t>(aUpstreams.size() / 2, 1);
  const std::size_t least = std::max<std::size_t>(aUpstreams.size() / 6, 1);
  const std::size_t part =
    std::clamp(static_cast<std::size_t>(std::ceil(needed)), least, most);
  Split& split = m_splits[aService];
  if (part >= split.m_part) {
    split = { part, aNow };
  } else if (aNow - split.m_neededAt > m_options.m_lightPartHold) {
    split = { split.m_part - 1, aNow };
  }
  return std::min(split.m_part, most);
}

std::vector<Placement::Candidate>
Placement::EngineCandidates(const UpstreamView& aView,
                            const PlacementRequest& aRequest,
                            const std::vector<const UpstreamState*>& aUsable,
                            Instant aNow)
{
  // One order of the pool that all routers agree on: the first take the light
  // requests.
  std::vector<const UpstreamState*> pool = aUsable;
  std::sort(
    pool.begin(), pool.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->m_hash < aRight->m_hash;
    });
  const std::size_t lightPart =
    LightPart(aView, aRequest.m_service, pool, aNow);
  const bool isHeavy = IsHeavy(aRequest);
  const std::uint64_t key = LocalityKey(aRequest.m_parts);
  struct Ranked
  {
    Candidate m_candidate;
    std::uint64_t m_weight;
  };
  std::vector<Ranked> own;
  std::vector<Ranked> other;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    if (aRequest.m_excluded.contains(pool[i]->m_entry.m_id)) {
      continue;
    }
    const bool isStranger = (i < lightPart) == isHeavy;
    const std::uint64_t weight = Combine(pool[i]->m_hash, key);
    (isStranger ? other : own).push_back({ { pool[i], isStranger }, weight });
  }
  const auto byWeight = [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.m_weight > aRight.m_weight;
  };
  std::sort(own.begin(), own.end(), byWeight);
  std::sort(other.begin(), other.end(), byWeight);
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < own.size(); ++i) {
    // Light requests are small enough to be read anywhere in their part.
    if (i < m_options.m_candidates || !isHeavy ||
        own[i].m_candidate.m_state->m_avoidUntil > aNow) {
      candidates.push_back(own[i].m_candidate);
    }
  }
  for (std::size_t i = 0; i < std::min<std::size_t>(other.size(), 2); ++i) {
    candidates.push_back(other[i].m_candidate);
  }
  return candidates;
}

PlacementChoice
Placement::Expect(const UpstreamView& aView,
                  const PlacementRequest& aRequest,
                  const UpstreamState& aState,
                  Instant aNow) const
{
  PlacementChoice choice;
  choice.m_upstream = aState.m_entry.m_id;
  choice.m_uncachedTokens = aView.UnreadTokens(aState, aRequest.m_parts, aNow);
  choice.m_prefill =
    PrefillTime(choice.m_uncachedTokens, AllTokens(aRequest.m_parts));
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
    aChoice.m_prefill * m_options.m_readingWeight +
    m_options.m_requestPenalty * aChoice.m_requests;
  cost =
    Scale(cost + std::chrono::milliseconds(10), aView.Slowness(state, aNow));
  if (aCandidate.m_isStranger) {
    cost += m_options.m_strangerPenalty;
  }
  if (state.m_avoidUntil > aNow) {
    cost += m_options.m_suspectPenalty;
  }
  if (state.m_entry.m_zone != m_options.m_zone) {
    cost += m_options.m_foreignZonePenalty;
  }
  return cost;
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
  const Duration usefulWait =
    aRequest.m_firstEventTimeout.count() > 0
      ? std::min(aRequest.m_firstEventTimeout, aRequest.m_timeLeft)
      : aRequest.m_timeLeft;
  Duration least = Duration::max();
  bool isFull = false;
  for (const Candidate& candidate : candidates) {
    const UpstreamEntry& entry = candidate.m_state->m_entry;
    const PlacementChoice choice =
      Expect(aView, aRequest, *candidate.m_state, aNow);
    const double room = entry.m_slots * (1 + m_options.m_queueFill);
    if (choice.m_requests >= room || choice.m_expected > usefulWait) {
      isFull = true;
      continue;
    }
    const Duration cost = Cost(aView, choice, candidate, aNow);
    if (cost < least) {
      least = cost;
      result.m_choice = choice;
      result.m_verdict = PlacementResult::Verdict::kPlaced;
    }
  }
  if (result.m_verdict != PlacementResult::Verdict::kPlaced && isFull) {
    result.m_verdict = PlacementResult::Verdict::kOverloaded;
    result.m_retryAfter = std::chrono::milliseconds(300);
  }
  return result;
}

} // namespace bergamotpaddle
