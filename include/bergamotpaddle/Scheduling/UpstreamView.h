/// \file
/// One router's estimate of the state of every upstream, from the platform's
/// list, the outcomes of its own requests and the load that other routers
/// report.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"
#include "bergamotpaddle/Scheduling/EngineSpeed.h"
#include "bergamotpaddle/Scheduling/UpstreamNotices.h"
#include "bergamotpaddle/Scheduling/ZoneEvacuation.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A segment of a prompt that requests may share; engines cache it after
/// prefill.
struct PromptPart
{
  std::uint64_t m_id = 0;
  std::uint32_t m_tokens = 0;
  auto operator<=>(const PromptPart&) const = default;
};

/// An upstream as listed by the platform.
struct UpstreamEntry
{
  UpstreamId m_id;
  ServiceId m_service;
  std::string m_address; ///< IP:PORT.
  std::string m_zone;
  int m_slots = 1;
  bool m_isDraining = false;
  std::int64_t m_startedAtMs = 0; ///< Start as Unix time; 0: unknown.
  Duration m_warmupTime{ 0 };     ///< Slow for this time after its start.
  auto operator<=>(const UpstreamEntry&) const = default;
};

/// The load that an upstream reported in its latest response.
struct ReportedLoad
{
  int m_running = 0;
  int m_waiting = 0;
  int m_slots = 1;
  double m_slowness = 1; ///< Current service time relative to normal (1).
  Instant m_reportedAt{};
};

/// Outstanding load of one router on one upstream.
struct SentLoad
{
  int m_requests = 0;
  int m_streams = 0;           ///< Of the requests, those with long decoding.
  Duration m_prefillLeft{ 0 }; ///< Outstanding prefill time.
  auto operator<=>(const SentLoad&) const = default;
};

/// What the outcome of an exchange implies for the upstream's health.
enum class ExchangeOutcome
{
  kSucceeded,
  kFailed,     ///< The upstream itself responded with an error.
  kUnreachable ///< No connection, a reset or a timeout.
};

/// The state of one upstream.
struct UpstreamState
{
  UpstreamEntry m_entry;
  std::uint64_t m_hash = 0; ///< Hash of its id, for placement.
  std::optional<ReportedLoad> m_reported;
  int m_requests = 0;        ///< Own requests in flight.
  int m_streams = 0;         ///< Of these, those with long decoding.
  Instant m_prefillDoneAt{}; ///< Estimated end of own prefills.
  int m_consecutiveFailures = 0;
  Instant m_avoidUntil{}; ///< Set after failures.
  SpeedFactors m_speed;
  /// Load of each peer and when it was reported, by the peer's incarnation.
  std::map<std::string, std::pair<SentLoad, Instant>> m_peerLoads;
  /// When each prompt part was last sent there, by this router or a peer.
  absl::flat_hash_map<std::uint64_t, Instant> m_partSentAt;
};

/// Validity times and failure handling.
struct UpstreamViewOptions
{
  /// Validity of a peer's load report.
  Duration m_peerLoadValidity = std::chrono::milliseconds(1500);
  /// Validity of an upstream's load report; interference from co-located
  /// workloads changes several times a second.
  Duration m_reportValidity = std::chrono::milliseconds(500);
  /// Time for which an unreachable upstream is avoided, doubled with each
  /// further failure up to the maximum.
  Duration m_initialAvoidTime = std::chrono::milliseconds(400);
  Duration m_maxAvoidTime = std::chrono::seconds(4);
  /// Consecutive error responses after which an upstream is avoided.
  int m_failuresBeforeAvoid = 3;
  /// Time after its last use for which a prompt part is assumed to be cached.
  /// After that it has probably been evicted.
  Duration m_partValidity = std::chrono::seconds(30);
};

/// The states of all upstreams.
class UpstreamView
{
public:
  explicit UpstreamView(UpstreamViewOptions aOptions = {});

  /// Adds or updates an upstream listed by the platform. A restart under the
  /// same id resets its state except for the requests in flight.
  void Upsert(const UpstreamEntry& aEntry);
  void Remove(const UpstreamId& aId);

  /// Returns a compact identifier of an upstream for digests.
  static std::uint32_t ShortHash(const UpstreamId& aId);
  std::optional<UpstreamId> FindByShortHash(std::uint32_t aHash) const;

  UpstreamState* Find(const UpstreamId& aId);
  const UpstreamState* Find(const UpstreamId& aId) const;

  /// The zones whose upstreams accept no new work.
  ZoneEvacuation& Evacuation() { return m_evacuation; }
  const ZoneEvacuation& Evacuation() const { return m_evacuation; }

  /// Returns the upstreams of \p aService that accept new work, ordered by id.
  std::vector<const UpstreamState*> Usable(const ServiceId& aService) const;
  /// Whether \p aId is listed and may be sent a request now.
  bool IsUsable(const UpstreamId& aId, Instant aNow) const;
  std::size_t Size() const { return m_upstreams.size(); }
  const std::map<UpstreamId, UpstreamState>& All() const { return m_upstreams; }

  /// Records a request sent to \p aId: \p aPrefill is its estimated prefill
  /// time, \p aParts its prompt. Like the functions below, does nothing if the
  /// upstream isn't listed.
  void NoteSent(const UpstreamId& aId,
                bool aIsStream,
                Duration aPrefill,
                const std::vector<PromptPart>& aParts,
                Instant aNow);
  /// Records the end of a request at \p aId, regardless of its outcome.
  void NoteEnded(const UpstreamId& aId, bool aIsStream);
  /// Records the first event of a response: this router's prefills at the
  /// upstream are complete if it has no other request in flight there.
  void NoteFirstEvent(const UpstreamId& aId, Instant aNow);
  /// Records the load that the upstream reported to this router.
  void NoteReport(const UpstreamId& aId, const ReportedLoad& aLoad);
  /// Records the slowness that the upstream reported to a peer at \p aAt,
  /// unless a newer report is known.
  void NoteSlowness(const UpstreamId& aId, double aSlowness, Instant aAt);
  /// Records what a response of this incarnation said of its upstream; returns
  /// whether it is news that the upstream leaves.
  bool NoteNotice(const UpstreamIncarnation& aUpstream,
                  const UpstreamNotice& aNotice,
                  Instant aNow);
  /// Records that a peer found \p aUpstream leaving; returns whether that is
  /// new.
  bool NotePeerLeaving(const UpstreamIncarnation& aUpstream, Instant aNow);
  /// Whether this incarnation is closed to this router now.
  bool IsClosed(const UpstreamState& aState, Instant aNow) const;
  /// When this incarnation takes requests of this router again.
  Instant ClosedUntil(const UpstreamState& aState) const;
  const UpstreamNotices& Notices() const { return m_notices; }
  /// Records the outcome of an exchange; after failures the upstream is
  /// avoided.
  void NoteOutcome(const UpstreamId& aId,
                   ExchangeOutcome aOutcome,
                   Instant aNow);
  /// Replaces the load on the upstream that was last reported by \p aPeer.
  void NotePeerLoad(const std::string& aPeer,
                    const UpstreamId& aId,
                    const SentLoad& aLoad,
                    Instant aNow);
  /// Records prompt parts that a peer sent to the upstream.
  void NotePeerParts(const UpstreamId& aId,
                     const std::vector<std::uint64_t>& aParts,
                     Instant aNow);

  /// Records that a response of \p aId took \p aRatio times the nominal
  /// duration.
  void NoteSpeed(const UpstreamId& aId, SpeedKind aKind, double aRatio);
  /// Records what \p aPeer has measured.
  void NotePeerSpeeds(const std::string& aPeer,
                      const std::vector<SpeedReport>& aReports);
  /// Own measurements for the next datagram to peers.
  std::vector<SpeedReport> NextSpeedReports() { return m_speeds.NextReports(); }
  const EngineSpeed& Speeds() const { return m_speeds; }

  /// Number of requests in flight at an upstream, from this router and from
  /// peers as reported.
  int Requests(const UpstreamState& aState, Instant aNow) const;
  /// Like Requests, for those with long decoding.
  int Streams(const UpstreamState& aState, Instant aNow) const;
  /// Outstanding prefill time ahead of a request sent now.
  Duration PrefillBacklog(const UpstreamState& aState, Instant aNow) const;
  /// Whether the upstream's load report is still valid.
  bool HasFreshReport(const UpstreamState& aState, Instant aNow) const;
  /// Service time relative to normal, as last reported; 1 without a valid
  /// report.
  double Slowness(const UpstreamState& aState, Instant aNow) const;
  /// Number of tokens of \p aParts that are probably not cached at the
  /// upstream.
  std::uint32_t UncachedTokens(const UpstreamState& aState,
                               const std::vector<PromptPart>& aParts,
                               Instant aNow) const;

  /// This router's load on \p aState, for digests to peers.
  SentLoad OwnLoad(const UpstreamState& aState, Instant aNow) const;

private:
  /// Updates `UpstreamState::m_speed` where it has changed.
  void RefreshSpeeds();

  UpstreamViewOptions m_options;
  std::map<UpstreamId, UpstreamState> m_upstreams;
  UpstreamNotices m_notices;
  absl::flat_hash_map<std::uint32_t, UpstreamId> m_idByShortHash;
  ZoneEvacuation m_evacuation;
  EngineSpeed m_speeds;
};

} // namespace bergamotpaddle
