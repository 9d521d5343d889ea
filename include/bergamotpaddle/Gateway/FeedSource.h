/// \file
/// Which routers read the store's changes themselves, and whom the others
/// follow.
///
/// Load pattern: changes of a large document in a fleet of many routers, some
/// with links that callers fill. The store sends whole values, so a few routers
/// with the widest links read them and tell the others what changed. The store
/// stays the source: a router that hears of no reader that is up to date reads
/// it itself.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// What a router tells of its copies of the store's items.
struct FeedStatus
{
  double m_linkMbps = 0;
  std::string m_zone; ///< Availability zone.
  /// Since the store confirmed the older of its copies to it; none: it does
  /// not read from the store.
  std::optional<Duration> m_age;
  /// Revisions of the last changes known, one for each feed.
  std::vector<std::uint64_t> m_changedRevisions;
  auto operator<=>(const FeedStatus&) const = default;
};

/// Bounds of the choice.
struct FeedSourceOptions
{
  /// Routers that read the store. Three suffice for two lost at once; more keep
  /// some of them in each availability zone.
  std::size_t m_readers = 8;
  /// A router that was not heard for so long is not reckoned with: three signs
  /// of life (`DigestScheduleOptions::m_heartbeat`).
  Duration m_silence = std::chrono::milliseconds(1600);
  /// Oldest copy that is followed: a watch waits two seconds, and is given up
  /// after 0.7 s more.
  Duration m_maxCopyAge = std::chrono::milliseconds(2800);
  /// A router that did not answer is passed over for so long.
  Duration m_failureMemory = std::chrono::seconds(2);
  /// A reader has so long to tell of a change that another router knows.
  Duration m_patience = std::chrono::milliseconds(150);
};

/// The choice of one router. Free of I/O.
class FeedSource
{
public:
  FeedSource(std::string aSelf,
             double aLinkMbps,
             std::string aZone,
             FeedSourceOptions aOptions = {});

  /// The router at \p aAddress, as IP:PORT, told of its copies.
  void NoteStatus(const std::string& aAddress, FeedStatus aSign, Instant aNow);
  /// It did not answer, or with copies that are too old.
  void NoteFailure(const std::string& aAddress, Instant aNow);

  /// Whether this router reads the store itself.
  bool ReadsStore(Instant aNow) const;

  /// The reader to follow: in the same availability zone if there is one, the
  /// followers spread over all. None if no reader is up to date.
  std::optional<std::string> ReaderToFollow(Instant aNow) const;

  /// A router that has told for some time of a change beyond \p aChanged, the
  /// revisions of the last changes known here.
  std::optional<std::string> PeerAhead(
    const std::vector<std::uint64_t>& aChanged,
    Instant aNow) const;

  /// Whether any router has told of a change of \p aFeed beyond \p aChanged.
  bool IsBehind(std::size_t aFeed, std::uint64_t aChanged, Instant aNow) const;

private:
  struct Peer
  {
    FeedStatus m_sign;
    Instant m_heardAt{};
    /// When it first told of its last changes.
    Instant m_changedAt{};
    Instant m_failedAt = Instant::min();
  };

  bool IsHeard(const Peer& aPeer, Instant aNow) const;
  bool IsTrusted(const Peer& aPeer, Instant aNow) const;
  /// Whether the router at \p aAddress goes before this one as a reader.
  bool IsBefore(const std::string& aAddress, const Peer& aPeer) const;

  std::string m_self;
  double m_linkMbps;
  std::string m_zone;
  FeedSourceOptions m_options;
  std::map<std::string, Peer> m_peers;
};

} // namespace bergamotpaddle
