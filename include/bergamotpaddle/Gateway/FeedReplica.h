/// \file
/// A router's copy of the store's items below one prefix, and what changed in
/// it, for other routers.
///
/// Load pattern: many routers that need every change. Each is brought from the
/// revision that it knows to the newest with what changed alone: a difference
/// for a large item whose earlier version is still at hand, compressed where
/// that is large as well.
#pragma once

#include "bergamotpaddle/Gateway/StoreItem.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <vector>

namespace bergamotpaddle {

/// What became of one item.
struct FeedChange
{
  enum class Kind : int
  {
    kValue,   ///< The value is sent.
    kDelta,   ///< A difference from the version at the base revision is sent.
    kSame,    ///< As the receiver knows it.
    kRemoved, ///< The key does not exist any more.
  };
  std::string m_key;
  Kind m_kind = Kind::kValue;
  std::uint64_t m_revision = 0;
  std::uint64_t m_baseRevision = 0; ///< Of a difference.
  std::string m_bytes;
  /// Length of the bytes before they were compressed; 0: they are not.
  std::uint64_t m_plainSize = 0;
  MSGPACK_DEFINE(m_key,
                 m_kind,
                 m_revision,
                 m_baseRevision,
                 m_bytes,
                 m_plainSize)
  auto operator<=>(const FeedChange&) const = default;
};

/// What brings a copy to a revision.
struct FeedChanges
{
  std::uint64_t m_revision = 0;        ///< All changes up to it are included.
  std::uint64_t m_changedRevision = 0; ///< Of the last of them.
  bool m_isWhole = false; ///< Keys that are not named do not exist.
  std::vector<FeedChange> m_changes;
  MSGPACK_DEFINE(m_revision, m_changedRevision, m_isWhole, m_changes)
  auto operator<=>(const FeedChanges&) const = default;
};

/// Bounds on what a copy remembers.
struct FeedReplicaOptions
{
  /// Items from this length on are sent as differences, and what is sent of
  /// them is compressed from this length on: a few packets.
  std::size_t m_largeBytes = 4096;
  /// Longest item: the store's own bound on a value is 1 MB.
  std::size_t m_longestBytes = 16UL * 1024 * 1024;
  /// Earlier versions kept of each large item. A router behind by more, after
  /// two seconds of a storm of versions every half second, gets it whole.
  std::size_t m_versionsKept = 4;
  /// Removals remembered; a router that misses more gets the whole list.
  std::size_t m_removalsKept = 512;
};

/// The copy. Free of I/O.
class FeedReplica
{
public:
  explicit FeedReplica(FeedReplicaOptions aOptions = {});

  /// All changes up to this revision are known; 0: nothing is.
  std::uint64_t Revision() const { return m_revision; }
  /// Of the last change.
  std::uint64_t ChangedRevision() const { return m_changedRevision; }

  /// Takes all items, as they stood at \p aRevision. Returns those that are
  /// news, removals among them.
  std::vector<StoreItem> TakeList(std::vector<StoreItem> aItems,
                                  std::uint64_t aRevision);
  /// Takes changes up to \p aRevision. Returns those that are news.
  std::vector<StoreItem> TakeChanges(std::vector<StoreItem> aItems,
                                     std::uint64_t aRevision);
  /// Takes what another router's copy said. Fails, unchanged, if it needs a
  /// version that is not here.
  absl::StatusOr<std::vector<StoreItem>> Take(const FeedChanges& aChanges);

  /// Revisions of the versions of large items that are at hand, as bases of
  /// differences.
  std::vector<std::uint64_t> BaseRevisions() const;

  /// What a copy lacks that knows all up to \p aKnown and has \p aBases.
  FeedChanges Since(std::uint64_t aKnown,
                    const std::vector<std::uint64_t>& aBases) const;

private:
  /// The newest version at the back.
  using Versions = std::deque<StoreItem>;

  /// Keeps \p aItem, or forgets a removed one; false if it is no news.
  bool Keep(const StoreItem& aItem);
  /// Adds removals to \p aItems, all that exists at \p aRevision.
  void AddMissing(std::vector<StoreItem>& aItems,
                  std::uint64_t aRevision) const;
  std::vector<StoreItem> KeepNews(std::vector<StoreItem> aItems,
                                  std::uint64_t aRevision);
  FeedChange ChangeOf(const Versions& aVersions,
                      std::uint64_t aKnown,
                      const std::vector<std::uint64_t>& aBases) const;
  absl::StatusOr<std::string> PlainBytes(const FeedChange& aChange) const;
  absl::StatusOr<StoreItem> ItemOf(const FeedChange& aChange) const;

  FeedReplicaOptions m_options;
  std::uint64_t m_revision = 0;
  std::uint64_t m_changedRevision = 0;
  /// Changes after this revision are all remembered.
  std::uint64_t m_completeSince = 0;
  std::map<std::string, Versions> m_items;
  std::deque<StoreItem> m_removals; ///< In the order of their revisions.
};

} // namespace bergamotpaddle
MSGPACK_ADD_ENUM(bergamotpaddle::FeedChange::Kind);
