/// \file
/// Which upstreams a router tells its peers about next, and when.
///
/// Load pattern: a hot router of a large fleet. Each request changes the load
/// on an upstream three times, and each change matters to every peer, so the
/// bytes grow with requests times routers; on a small link they push out the
/// requests themselves. All datagrams together keep to a rate in bytes: what
/// does not fit waits, the longest untold first, and is told as it is by then.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bergamotpaddle {

/// Pace of a router's datagrams.
struct DigestScheduleOptions
{
  /// Changes within this time leave together.
  Duration m_coalesce = std::chrono::milliseconds(100);
  /// Datagrams leave at least this often, as a sign of life.
  Duration m_heartbeat = std::chrono::milliseconds(500);
  /// A load that lasts is told again so often: well within the time for which
  /// peers believe it (`UpstreamViewOptions::m_peerLoadValid`).
  Duration m_refresh = std::chrono::milliseconds(600);
  /// Bytes a second to all peers together, headers included: 5% of the
  /// smallest link on the users' sheets, 10 Mbit/s.
  double m_bytesPerSecond = 62'500;
  /// A prompt part that was told is not told again for so long: a third of the
  /// time for which peers believe it (`UpstreamViewOptions::m_partValid`).
  Duration m_partRepeat = std::chrono::seconds(10);
};

/// The schedule. Free of I/O.
class DigestSchedule
{
public:
  explicit DigestSchedule(DigestScheduleOptions aOptions = {});

  /// A datagram goes to \p aCount routers.
  void SetPeers(std::size_t aCount) { m_peers = aCount; }

  /// The load on \p aUpstream changed; \p aParts are prompt parts sent there.
  void NoteChanged(const UpstreamId& aUpstream,
                   const std::vector<std::uint64_t>& aParts,
                   Instant aNow);

  /// There is something to tell besides the load on upstreams.
  void NoteOtherChange(Instant aNow);

  /// When the next datagrams leave.
  Instant DueAt() const;

  /// The longest datagram that the rate allows.
  std::size_t MaxPayloadBytes() const;

  /// An upstream to tell about.
  struct Entry
  {
    UpstreamId m_upstream;
    std::vector<std::uint64_t> m_newParts;
  };
  /// What to tell now, the longest untold first.
  std::vector<Entry> Candidates(Instant aNow) const;

  /// \p aUpstream is in the datagrams that leave now; \p aIsLoaded if requests
  /// are under way there.
  void NoteAnnounced(const UpstreamId& aUpstream, bool aIsLoaded, Instant aNow);

  /// A datagram of \p aBytes left for each peer.
  void NoteSent(std::size_t aBytes, Instant aNow);

private:
  struct Told
  {
    bool m_isChanged = false;
    bool m_isLoaded = false;
    Instant m_toldAt{};
    std::set<std::uint64_t> m_newParts;
  };

  using PartTimes = std::map<std::uint64_t, Instant>;

  DigestScheduleOptions m_options;
  std::size_t m_peers = 0;
  std::map<UpstreamId, PartTimes> m_partsTold;
  std::map<UpstreamId, Told> m_upstreams;
  bool m_isChanged = false;
  Instant m_changedAt{}; ///< The first change that was not told.
  Instant m_sentAt{};
  Instant m_freeAt{}; ///< When the rate allows the next datagrams.
};

} // namespace bergamotpaddle
