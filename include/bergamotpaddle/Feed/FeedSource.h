/// \file
/// Decides which routers, the readers, read changes directly from the store,
/// and which reader each of the other routers follows.
///
/// The store sends full values, which is expensive for a large document in a
/// fleet of many routers, some of whose links are saturated by callers. A few
/// routers with the fastest links therefore read from the store and forward
/// changes to the others. A router reads from the store itself if none of the
/// readers known to it is up to date.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A router's report on its replicas of the store's items.
struct FeedStatus
{
  double m_linkMbps = 0;
  std::string m_zone; ///< Availability zone.
  /// Time since the store confirmed the older of its replicas; none if the
  /// router doesn't read from the store.
  std::optional<Duration> m_age;
  /// Revisions of the last known changes, one for each feed.
  std::vector<std::uint64_t> m_changedRevisions;
  auto operator<=>(const FeedStatus&) const = default;
};

/// Parameters of the selection.
struct FeedSourceOptions
{
  /// Number of readers. Three would survive the loss of two at once; more are
  /// spread over the availability zones.
  std::size_t m_readerCount = 8;
  /// A router that hasn't reported for this long is disregarded: three
  /// heartbeats (`DigestScheduleOptions::m_heartbeat`) and a margin.
  Duration m_peerTimeout = std::chrono::milliseconds(1600);
  /// Maximum age of a replica to follow: a watch waits for up to two seconds
  /// and is abandoned after 0.7 s more.
  Duration m_maxReplicaAge = std::chrono::milliseconds(2800);
  /// Time for which a router that failed to respond isn't selected.
  Duration m_failureBackoff = std::chrono::seconds(2);
  /// Time within which the reader should forward a change that another router
  /// already reports; after it, that router is queried instead.
  Duration m_readerGracePeriod = std::chrono::milliseconds(150);
};

/// The selection made by one router. Performs no I/O.
class FeedSource
{
public:
  FeedSource(std::string aSelf,
             double aLinkMbps,
             std::string aZone,
             FeedSourceOptions aOptions = {});

  /// Records the report of the router at \p aAddress, given as IP:PORT.
  void NoteStatus(const std::string& aAddress,
                  FeedStatus aStatus,
                  Instant aNow);
  /// Records that the router at \p aAddress didn't respond, or that its
  /// replicas are out of date.
  void NoteFailure(const std::string& aAddress, Instant aNow);

  /// Whether this router is among the readers: the routers with the fastest
  /// links, as far as it knows.
  bool IsReader(Instant aNow) const;
  /// Whether this router reads directly from the store: it is a reader, or
  /// knows none that is up to date.
  bool ReadsStore(Instant aNow) const;

  /// Returns the reader to follow, preferably in the same availability zone;
  /// followers are spread evenly over the readers. None if no reader is up to
  /// date.
  std::optional<std::string> ReaderToFollow(Instant aNow) const;

  /// Returns a router that has reported a change newer than \p aChanged, the
  /// revisions of the last changes known here, for at least
  /// `FeedSourceOptions::m_readerGracePeriod`.
  std::optional<std::string> PeerAhead(
    const std::vector<std::uint64_t>& aChanged,
    Instant aNow) const;

  /// Whether any router reports a change of \p aFeed newer than \p aChanged.
  bool IsBehind(std::size_t aFeed, std::uint64_t aChanged, Instant aNow) const;

private:
  struct Peer
  {
    FeedStatus m_status;
    Instant m_lastReportAt{};
    Instant m_changedAt{}; ///< When its reported revisions last changed.
    Instant m_failedAt = Instant::min();
  };

  bool IsPeerAlive(const Peer& aPeer, Instant aNow) const;
  bool IsPeerUsable(const Peer& aPeer, Instant aNow) const;
  /// Whether the router at \p aAddress is preferred to this one as a reader.
  bool IsRankedAbove(const std::string& aAddress, const Peer& aPeer) const;

  std::string m_self;
  double m_linkMbps;
  std::string m_zone;
  FeedSourceOptions m_options;
  std::map<std::string, Peer> m_peers;
};

} // namespace bergamotpaddle
