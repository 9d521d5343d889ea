/// \file
/// Selects the upstream for a request, or rejects the request if none can serve
/// it in time.
///
/// Load patterns handled here:
/// - Many requests share a prompt prefix: the longest shared prefix selects the
///   same few engines at every router, unless these are overloaded.
/// - Long prompts arrive concurrently with running streams: a partition of the
///   pool, sized by demand, is preferred for light requests, and the rest of
///   the pool for long prompts.
/// - Co-located workloads slow an upstream down for short periods: the slowness
///   in its latest report scales its estimated wait.
/// - Overload: a request that the pool can't serve in time is rejected at once.
#pragma once

#include "bergamotpaddle/Scheduling/AdmissionQueue.h"
#include "bergamotpaddle/Scheduling/ColdRate.h"
#include "bergamotpaddle/Scheduling/UpstreamView.h"
#include "bergamotpaddle/Scheduling/ZoneOverflow.h"

#include <set>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// The request to place.
struct PlacementRequest
{
  ServiceId m_service;
  std::vector<PromptPart> m_parts; ///< Empty for plain services.
  Duration m_timeLeft{ 0 };        ///< Until the request's deadline.
  /// Time after which a caller that has received no first event abandons the
  /// request; 0: no limit.
  Duration m_firstEventTimeout{ 0 };
  std::set<UpstreamId> m_excluded; ///< Not to be chosen.
  ColdUpstreams m_cold;            ///< Those of the service.
  std::uint64_t m_bytes = 0;       ///< Size of its body.
};

/// The chosen upstream and the figures behind the choice, for the log.
struct PlacementChoice
{
  UpstreamId m_upstream;
  std::uint32_t m_uncachedTokens = 0;
  Duration m_prefill{ 0 };        ///< Estimated prefill time of this prompt.
  Duration m_nominalPrefill{ 0 }; ///< The same at an engine of nominal speed.
  Duration m_backlog{ 0 };        ///< Estimated prefill time ahead of it.
  Duration m_expected{ 0 };       ///< Estimated wait for the first byte.
  bool m_isLight = false;
  bool m_isOtherZone = false; ///< Than the router's.
  int m_requests = 0;         ///< In flight there.
};

/// The result: an upstream, or the reason why there is none.
struct PlacementResult
{
  enum class Verdict
  {
    kPlaced,
    kNoUpstream, ///< No upstream that accepts work is known.
    kOverloaded, ///< Every upstream would respond too late.
    kCold,       ///< Those that would not are cold, and have their rate.
  };
  Verdict m_verdict = Verdict::kNoUpstream;
  PlacementChoice m_choice;
  /// If overloaded: an upstream would respond in time if it had room.
  bool m_isFull = false;
  Duration m_retryAfter{ 0 }; ///< Until an upstream may respond in time again.
};

/// Parameters of the placement policy. Engine speeds are nominal ones, which
/// apply to a pool until its own are measured.
struct PlacementOptions
{
  std::string m_zone; ///< The router's availability zone.
  double m_prefillTokensPerMs = 110;
  /// Time per token of a lightly loaded engine; each chunk of a prompt is
  /// prefilled within one such decoding step.
  Duration m_tokenTime = std::chrono::microseconds(6500);
  std::uint32_t m_chunkTokens = 2048;
  /// Attention time of a prefill per million pairs of tokens.
  Duration m_timePerMillionPairs = std::chrono::microseconds(325);
  /// A prefill longer than this delays concurrent streams noticeably.
  Duration m_heavyPrefillThreshold = std::chrono::milliseconds(32);
  /// Slot utilization for which a pool's light partition is sized: the engines
  /// that are preferred for light requests.
  double m_lightTargetUtilization = 0.75;
  /// Minimum time before the light partition shrinks by one upstream: an
  /// upstream that changes partitions loses the benefit of its cached prompts.
  Duration m_lightPartitionHoldTime = std::chrono::seconds(8);
  /// Number of engines of the preferred partition that are compared for a heavy
  /// request, by descending rendezvous weight.
  std::size_t m_preferredCandidates = 3;
  /// Cost of placing a request outside its partition of the pool, as time.
  Duration m_crossPartitionPenalty = std::chrono::milliseconds(400);
  /// Cost of each request in flight, as time.
  Duration m_requestPenalty = std::chrono::milliseconds(5);
  /// Weights of the prefill backlog and of this prompt's prefill in the cost of
  /// an upstream. They exceed 1 because a repeated prefill delays other
  /// requests too.
  double m_backlogWeight = 4;
  int m_prefillWeight = 3;
  /// Cost of an upstream that is being avoided after failures, as time.
  Duration m_avoidedPenalty = std::chrono::seconds(5);
  /// Cost of a cold upstream, which is slow, as time: as much as callers
  /// notice, below the smallest objective of streams.
  Duration m_coldPenalty = std::chrono::milliseconds(100);
  ZoneOverflowOptions m_overflow;
  /// Cost of an upstream in another availability zone, as time, if
  /// `m_overflow` sets no price.
  Duration m_crossZonePenalty = std::chrono::milliseconds(2);
  /// Maximum number of requests queued at an upstream beyond its slots, as a
  /// fraction of the slots.
  double m_maxQueueRatio = 1.0;
};

/// Chooses upstreams. Deterministic, performs no I/O; keeps the partition of
/// each pool as its only state.
class Placement
{
public:
  explicit Placement(PlacementOptions aOptions);

  /// Returns the usable upstream with the lowest cost among those expected to
  /// respond in time, or why there is none.
  PlacementResult Choose(const UpstreamView& aView,
                         const PlacementRequest& aRequest,
                         Instant aNow);

  /// Returns the load of the pool of \p aService: what its usable upstreams may
  /// hold by the bound that `Choose` applies, and what they hold.
  PoolLoad Load(const UpstreamView& aView,
                const ServiceId& aService,
                Instant aNow) const;

  /// Returns how many of \p aUpstreams, the pool of \p aService, now form its
  /// light partition, and updates the partition.
  std::size_t LightPartitionSize(
    const UpstreamView& aView,
    const ServiceId& aService,
    const std::vector<const UpstreamState*>& aUpstreams,
    Instant aNow);

  /// Estimates the prefill time of a prompt of \p aTotal tokens of which
  /// \p aUncached aren't cached.
  Duration PrefillTime(std::uint32_t aUncached, std::uint32_t aTotal) const;

  const PlacementOptions& Options() const { return m_options; }
  ZoneOverflow& Overflow() { return m_overflow; }

  /// Whether the request's prefill would delay running streams noticeably.
  bool IsHeavy(const PlacementRequest& aRequest) const;

private:
  struct Candidate
  {
    const UpstreamState* m_state = nullptr;
    bool m_isCrossPartition = false; ///< Outside the request's partition.
    bool m_isCold = false;
    bool m_isOverflow = false; ///< In another zone, for want of better ones.
  };

  std::vector<Candidate> EngineCandidates(
    const UpstreamView& aView,
    const PlacementRequest& aRequest,
    const std::vector<const UpstreamState*>& aUsable,
    Instant aNow);
  /// The upstreams of \p aUsable that aren't among \p aCandidates.
  static std::vector<Candidate> OtherCandidates(
    const PlacementRequest& aRequest,
    const std::vector<const UpstreamState*>& aUsable,
    const std::vector<Candidate>& aCandidates);
  /// Sets \p aResult to \p aCandidate if that costs less than \p aMinCost, the
  /// cost of the one chosen so far; notes why not if none is chosen.
  void Consider(const Candidate& aCandidate,
                const UpstreamView& aView,
                const PlacementRequest& aRequest,
                Instant aNow,
                Duration& aMinCost,
                PlacementResult& aResult) const;
  /// Number of requests that an upstream may hold.
  double Capacity(const UpstreamEntry& aEntry) const;
  PlacementChoice Estimate(const UpstreamView& aView,
                           const PlacementRequest& aRequest,
                           const UpstreamState& aState,
                           Instant aNow) const;
  Duration Cost(const UpstreamView& aView,
                const PlacementChoice& aChoice,
                const PlacementRequest& aRequest,
                const Candidate& aCandidate,
                Instant aNow) const;
  bool IsOtherZone(const UpstreamState& aState) const;
  /// Whether the shared parts of the prompt take longer to prefill than the
  /// prompt takes to another zone: they are then prefilled once for all zones.
  bool IsSharedByZones(const PlacementRequest& aRequest) const;
  void UpdateOverflow(const UpstreamView& aView,
                      const PlacementRequest& aRequest,
                      const std::vector<const UpstreamState*>& aUsable,
                      Instant aNow);
  /// Marks candidates in other zones that are to be used only if there is none
  /// in this zone.
  void MarkOverflow(const PlacementRequest& aRequest,
                    std::vector<Candidate>& aCandidates);

  /// The partition of a pool into light and heavy upstreams.
  struct Partition
  {
    std::size_t m_lightSize = 0;
    Instant m_neededAt{}; ///< When demand last required this size.
  };

  PlacementOptions m_options;
  std::map<ServiceId, Partition> m_partitions;
  ZoneOverflow m_overflow;
};

} // namespace bergamotpaddle
