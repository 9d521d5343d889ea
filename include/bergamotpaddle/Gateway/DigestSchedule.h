/// \file
/// Decides when a router sends digests of its upstream loads to its peers, and
/// which upstreams they include.
///
/// Each request changes the load on an upstream three times, and every peer
/// needs each change, so the digest traffic of a busy router grows with
/// requests times routers and can crowd out the requests on a small link. All
/// datagrams together are therefore limited to a byte rate. Updates that exceed
/// it are postponed: the upstream announced longest ago is sent first, with its
/// load at the time of sending.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bergamotpaddle {

/// Intervals and rate limit of a router's digests.
struct DigestScheduleOptions
{
  /// Changes within this interval are sent together.
  Duration m_coalesceInterval = std::chrono::milliseconds(100);
  /// Longest interval between datagrams; they also serve as heartbeats.
  Duration m_heartbeat = std::chrono::milliseconds(500);
  /// Interval at which an unchanged load is sent again: well below the time
  /// after which peers discard it (`UpstreamViewOptions::m_peerLoadValidity`).
  Duration m_refreshInterval = std::chrono::milliseconds(600);
  /// Bytes per second to all peers together, headers included: 5% of the
  /// smallest specified link, 10 Mbit/s.
  double m_bytesPerSecond = 62'500;
  /// Shortest interval between two announcements of the same prompt part: a
  /// third of the time for which peers assume that it is cached
  /// (`UpstreamViewOptions::m_partValidity`).
  Duration m_partRepeatInterval = std::chrono::seconds(10);
};

/// Schedules the digests of one router. Performs no I/O.
class DigestSchedule
{
public:
  explicit DigestSchedule(DigestScheduleOptions aOptions = {});

  /// Sets the number of routers that each datagram is sent to.
  void SetPeers(std::size_t aCount) { m_peerCount = aCount; }

  /// Records that the load on \p aUpstream changed; \p aParts are the prompt
  /// parts sent there.
  void NoteChanged(const UpstreamId& aUpstream,
                   const std::vector<std::uint64_t>& aParts,
                   Instant aNow);

  /// Records a change, other than of an upstream's load, to announce.
  void NoteOtherChange(Instant aNow);

  /// Returns when the next datagrams are to be sent.
  Instant DueAt() const;

  /// Returns the largest datagram payload that the rate limit allows, in bytes.
  std::size_t MaxPayloadBytes() const;

  /// An upstream to include in a digest.
  struct Entry
  {
    UpstreamId m_upstream;
    std::vector<std::uint64_t> m_newParts;
  };
  /// Returns the upstreams to announce now, the least recently announced first.
  std::vector<Entry> Candidates(Instant aNow) const;

  /// Records that the datagrams sent now include \p aUpstream; \p aIsLoaded if
  /// requests are in flight there.
  void NoteAnnounced(const UpstreamId& aUpstream, bool aIsLoaded, Instant aNow);

  /// Records that a datagram with \p aBytes of payload was sent to each peer.
  void NoteSent(std::size_t aBytes, Instant aNow);

private:
  struct Announcement
  {
    bool m_isChanged = false;
    bool m_isLoaded = false;
    Instant m_announcedAt{};
    std::set<std::uint64_t> m_newParts;
  };

  using PartTimes = std::map<std::uint64_t, Instant>;

  DigestScheduleOptions m_options;
  std::size_t m_peerCount = 0;
  std::map<UpstreamId, PartTimes> m_announcedParts;
  std::map<UpstreamId, Announcement> m_upstreams;
  bool m_isChanged = false;
  Instant m_changedAt{}; ///< Time of the first change not yet sent.
  Instant m_sentAt{};
  Instant m_nextAllowedAt{}; ///< When the rate limit permits sending.
};

} // namespace bergamotpaddle
