/// \file
/// Which upstream gets a request, or that none can serve it in time.
///
/// Load patterns answered here:
/// - many requests share the first parts of a prompt: the deepest shared part
///   picks the same few engines at every router, bounded by their load;
/// - long prompts beside running streams: a part of the engines that moves with
///   demand takes the light requests, the rest the long prompts, softly;
/// - neighbours that slow an upstream for moments: its latest word on that
///   lengthens what is expected there;
/// - more work than the pool serves in time: the request is refused at once.
#pragma once

#include "bergamotpaddle/Gateway/UpstreamView.h"

#include <set>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// The request to place.
struct PlacementRequest
{
  ServiceId m_service;
  std::vector<PromptPart> m_parts; ///< Empty for plain services.
  Duration m_timeLeft{ 0 };
  Duration m_firstEventTimeout{
    0
  }; ///< Callers leave without a first event by then.
  std::set<UpstreamId> m_excluded;
};

/// Why an upstream was chosen, for the log.
struct PlacementChoice
{
  UpstreamId m_upstream;
  std::uint32_t m_uncachedTokens = 0;
  Duration m_prefill{ 0 };  ///< Expected reading of this prompt.
  Duration m_expected{ 0 }; ///< Expected wait for the first byte.
  bool m_isLight = false;
  int m_requests = 0; ///< Under way there.
};

/// The outcome: an upstream, or why there is none.
struct PlacementResult
{
  enum class Verdict
  {
    kPlaced,
    kNoUpstream, ///< None is known that takes work.
    kOverloaded, ///< Every one would answer too late.
  };
  Verdict m_verdict = Verdict::kNoUpstream;
  PlacementChoice m_choice;
  Duration m_retryAfter{ 0 }; ///< When there may be room.
};

/// Figures of the policy. Engine speeds are those of the users' sheets.
struct PlacementOptions
{
  std::string m_zone; ///< The router's own.
  double m_prefillTokensPerMs = 110;
  /// Time of one token of a lightly loaded engine; each chunk of a prompt is
  /// read within one such step.
  Duration m_tokenTime = std::chrono::microseconds(6500);
  std::uint32_t m_chunkTokens = 2048;
  /// Reading a million pairs of tokens that attend to each other.
  Duration m_timePerMillionPairs = std::chrono::microseconds(325);
  /// Reading longer than this disturbs the streams beside it.
  Duration m_heavyPrefill = std::chrono::milliseconds(32);
  /// Part of its slots that the light part of a pool is sized for.
  double m_lightFill = 0.75;
  /// The light part gives an upstream back only after this time: each change
  /// costs the prompts that were cached for the other part.
  Duration m_lightPartHold = std::chrono::seconds(8);
  /// Engines compared for a prompt, in the order of its rendezvous weights.
  std::size_t m_candidates = 3;
  /// What a request on the wrong part of the pool is charged, in time.
  Duration m_strangerPenalty = std::chrono::milliseconds(400);
  /// What each request under way is charged, in time.
  Duration m_requestPenalty = std::chrono::milliseconds(5);
  /// Weights of the reading ahead and of this prompt's own: what is read again
  /// delays others too.
  double m_backlogWeight = 4;
  int m_readingWeight = 3;
  /// What an upstream under suspicion is charged, in time.
  Duration m_suspectPenalty = std::chrono::seconds(5);
  /// What an upstream in another zone is charged, in time.
  Duration m_foreignZonePenalty = std::chrono::milliseconds(2);
  /// Requests that a full upstream may have waiting, as part of its slots.
  double m_queueFill = 1.0;
};

/// Chooses upstreams. Free of I/O and of randomness; remembers how each pool
/// was split.
class Placement
{
public:
  explicit Placement(PlacementOptions aOptions);

  PlacementResult Choose(const UpstreamView& aView,
                         const PlacementRequest& aRequest,
                         Instant aNow);

  /// How many of \p aUpstreams the light requests of a pool need now.
  std::size_t LightPart(const UpstreamView& aView,
                        const ServiceId& aService,
                        const std::vector<const UpstreamState*>& aUpstreams,
                        Instant aNow);

  /// How long an engine reads \p aUnread of a prompt of \p aAll tokens.
  Duration PrefillTime(std::uint32_t aUnread, std::uint32_t aAll) const;

  /// Whether a request keeps running streams waiting for long.
  bool IsHeavy(const PlacementRequest& aRequest) const;

private:
  struct Candidate
  {
    const UpstreamState* m_state = nullptr;
    bool m_isStranger = false; ///< Of the other part of the pool.
  };

  std::vector<Candidate> EngineCandidates(
    const UpstreamView& aView,
    const PlacementRequest& aRequest,
    const std::vector<const UpstreamState*>& aUsable,
    Instant aNow);
  PlacementChoice Expect(const UpstreamView& aView,
                         const PlacementRequest& aRequest,
                         const UpstreamState& aState,
                         Instant aNow) const;
  Duration Cost(const UpstreamView& aView,
                const PlacementChoice& aChoice,
                const Candidate& aCandidate,
                Instant aNow) const;

  /// How a pool is split.
  struct Split
  {
    std::size_t m_part = 0;
    Instant m_neededAt{}; ///< When demand last asked for as many.
  };

  PlacementOptions m_options;
  std::map<ServiceId, Split> m_splits;
};

} // namespace bergamotpaddle
