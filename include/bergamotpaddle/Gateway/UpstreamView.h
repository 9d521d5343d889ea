/// \file
/// What one router believes of every upstream: what the platform's list says,
/// what its own requests met there, and what other routers say they sent.
#pragma once

#include "bergamotpaddle/Gateway/RouteTable.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A shared part of a prompt, which engines keep once they have read it.
struct PromptPart
{
  std::uint64_t m_id = 0;
  std::uint32_t m_tokens = 0;
  auto operator<=>(const PromptPart&) const = default;
};

/// An upstream as the platform's list has it.
struct UpstreamEntry
{
  UpstreamId m_id;
  ServiceId m_service;
  std::string m_address; ///< IP:PORT.
  std::string m_zone;
  int m_slots = 1;
  bool m_isDraining = false;
  std::int64_t m_startedAtMs = 0; ///< Unix time of its start; 0: not told.
  Duration m_warmupTime{ 0 };     ///< It stays slow for so long.
  auto operator<=>(const UpstreamEntry&) const = default;
};

/// What an upstream said of its load in its latest answer.
struct ReportedLoad
{
  int m_running = 0;
  int m_waiting = 0;
  int m_slots = 1;
  double m_slowness = 1; ///< How long work takes there now; 1 is usual.
  Instant m_at{};
};

/// Load that one router put on one upstream and that has not ended.
struct SentLoad
{
  int m_requests = 0;
  int m_streams = 0;           ///< Of the requests, those that decode long.
  Duration m_prefillLeft{ 0 }; ///< Prompt reading that is still to be done.
  auto operator<=>(const SentLoad&) const = default;
};

/// How an exchange with an upstream ended, as far as its health goes.
enum class ExchangeOutcome
{
  kGood,
  kFailed,     ///< It answered with a failure of its own.
  kUnreachable ///< No connection, a reset, or silence.
};

/// One upstream.
struct UpstreamState
{
  UpstreamEntry m_entry;
  std::uint64_t m_hash = 0; ///< Of its id, for placement.
  std::optional<ReportedLoad> m_reported;
  int m_requests = 0;        ///< Ours under way.
  int m_streams = 0;         ///< Of these, decoding long.
  Instant m_prefillDoneAt{}; ///< When our prompts there are read.
  int m_failuresInRow = 0;
  Instant m_avoidUntil{}; ///< After failures.
  std::map<std::string, std::pair<SentLoad, Instant>> m_ofPeers;
  /// When each prompt part was last sent there by anyone we know of.
  absl::flat_hash_map<std::uint64_t, Instant> m_partsSeen;
};

/// Bounds on what is believed.
struct UpstreamViewOptions
{
  /// A peer's word on its load counts for so long.
  Duration m_peerLoadValid = std::chrono::milliseconds(1500);
  /// A reported load counts for so long; neighbours change several times a
  /// second.
  Duration m_reportValid = std::chrono::milliseconds(500);
  /// An upstream that could not be reached is avoided for so long, doubled
  /// with each further failure up to the longest.
  Duration m_firstAvoid = std::chrono::milliseconds(400);
  Duration m_longestAvoid = std::chrono::seconds(4);
  int m_failuresBeforeAvoid = 3; ///< Answered failures in a row.
  /// Parts that were not used for so long have probably been evicted.
  Duration m_partValid = std::chrono::seconds(30);
};

/// All upstreams.
class UpstreamView
{
public:
  explicit UpstreamView(UpstreamViewOptions aOptions = {});

  /// The platform's list names \p aEntry. A new start under the same id begins
  /// afresh.
  void Upsert(const UpstreamEntry& aEntry);
  void Remove(const UpstreamId& aId);

  /// Names an upstream in few bytes.
  static std::uint32_t ShortHash(const UpstreamId& aId);
  std::optional<UpstreamId> FindByShortHash(std::uint32_t aHash) const;

  UpstreamState* Find(const UpstreamId& aId);
  const UpstreamState* Find(const UpstreamId& aId) const;

  /// Upstreams of \p aService that take new work, in the order of their ids.
  std::vector<const UpstreamState*> Usable(const ServiceId& aService) const;
  std::size_t Size() const { return m_upstreams.size(); }
  const std::map<UpstreamId, UpstreamState>& All() const { return m_upstreams; }

  void NoteSent(const UpstreamId& aId,
                bool aIsStream,
                Duration aPrefill,
                const std::vector<PromptPart>& aParts,
                Instant aNow);
  /// The request at \p aId ended, however it did.
  void NoteEnded(const UpstreamId& aId, bool aIsStream);
  /// The prompts sent before are read: the first event has come.
  void NoteFirstEvent(const UpstreamId& aId, Instant aNow);
  void NoteReport(const UpstreamId& aId, const ReportedLoad& aLoad);
  /// A peer saw how long work takes there, at \p aAt.
  void NoteSlowness(const UpstreamId& aId, double aSlowness, Instant aAt);
  void NoteOutcome(const UpstreamId& aId,
                   ExchangeOutcome aOutcome,
                   Instant aNow);
  void NotePeerLoad(const std::string& aPeer,
                    const UpstreamId& aId,
                    const SentLoad& aLoad,
                    Instant aNow);
  void NotePeerParts(const UpstreamId& aId,
                     const std::vector<std::uint64_t>& aParts,
                     Instant aNow);

  /// Requests under way there, ours and those that peers told of.
  int Requests(const UpstreamState& aState, Instant aNow) const;
  int Streams(const UpstreamState& aState, Instant aNow) const;
  /// Prompt reading ahead of a request that comes now.
  Duration PrefillBacklog(const UpstreamState& aState, Instant aNow) const;
  /// Whether what it reported is recent enough to be believed.
  bool HasFreshReport(const UpstreamState& aState, Instant aNow) const;
  /// How much longer than usual work takes there, as last told; 1 if unknown.
  double Slowness(const UpstreamState& aState, Instant aNow) const;
  /// Tokens of \p aParts that have to be read there.
  std::uint32_t UnreadTokens(const UpstreamState& aState,
                             const std::vector<PromptPart>& aParts,
                             Instant aNow) const;

  /// Our own load on \p aState, for peers.
  SentLoad OwnLoad(const UpstreamState& aState, Instant aNow) const;

private:
  UpstreamViewOptions m_options;
  std::map<UpstreamId, UpstreamState> m_upstreams;
  absl::flat_hash_map<std::uint32_t, UpstreamId> m_byShortHash;
};

} // namespace bergamotpaddle
