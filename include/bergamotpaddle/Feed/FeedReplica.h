/// \file
/// A router's replica of the store's items under one key prefix, and the
/// changes that other routers need to catch up with it.
///
/// Many routers need every change. Each of them is sent only what changed
/// between its revision and the newest one: for a large item, a delta if both
/// routers hold an earlier version, and compressed if that is still large.
#pragma once

#include "bergamotpaddle/Feed/StoreItem.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <vector>

namespace bergamotpaddle {

/// The change of one item.
struct FeedChange
{
  enum class Kind : int
  {
    kValue,     ///< m_bytes holds the new value.
    kDelta,     ///< m_bytes holds a delta from the version at m_baseRevision.
    kUnchanged, ///< Unchanged since the receiver's revision.
    kRemoved,   ///< The key was removed.
  };
  std::string m_key;
  Kind m_kind = Kind::kValue;
  std::uint64_t m_revision = 0;
  std::uint64_t m_baseRevision = 0; ///< Base of a delta.
  std::string m_bytes;
  /// Size of the bytes before compression; 0: not compressed.
  std::uint64_t m_uncompressedSize = 0;
  MSGPACK_DEFINE(m_key,
                 m_kind,
                 m_revision,
                 m_baseRevision,
                 m_bytes,
                 m_uncompressedSize)
  auto operator<=>(const FeedChange&) const = default;
};

/// The changes that bring a replica to a revision.
struct FeedChanges
{
  std::uint64_t m_revision = 0;        ///< Includes all changes up to here.
  std::uint64_t m_changedRevision = 0; ///< Revision of the last change.
  bool m_isComplete = false;           ///< Keys that aren't listed don't exist.
  std::vector<FeedChange> m_changes;
  MSGPACK_DEFINE(m_revision, m_changedRevision, m_isComplete, m_changes)
  auto operator<=>(const FeedChanges&) const = default;
};

/// Limits on the items and the history that a replica holds.
struct FeedReplicaOptions
{
  /// Items of at least this size are sent as deltas, and values and deltas of
  /// at least this size are compressed; it corresponds to a few packets.
  std::size_t m_largeItemBytes = 4096;
  /// Largest item accepted; the store itself limits values to 1 MB.
  std::size_t m_maxItemBytes = 16UL * 1024 * 1024;
  /// Number of earlier versions retained of each large item. With a new version
  /// every half second, a router that is more than two seconds behind is sent
  /// the full value.
  std::size_t m_maxEarlierVersions = 4;
  /// Number of removals retained; a router that missed more of them is sent the
  /// complete list.
  std::size_t m_maxRemovals = 512;
};

/// The replica. Performs no I/O.
class FeedReplica
{
public:
  explicit FeedReplica(FeedReplicaOptions aOptions = {});

  /// Revision up to which all changes are known; 0: none.
  std::uint64_t Revision() const { return m_revision; }
  /// Revision of the last change.
  std::uint64_t ChangedRevision() const { return m_changedRevision; }

  /// Applies \p aItems, the complete list read from the store at \p aRevision.
  /// Returns the items that changed, including removals.
  std::vector<StoreItem> ApplyList(std::vector<StoreItem> aItems,
                                   std::uint64_t aRevision);
  /// Applies the changes \p aItems, read from the store up to \p aRevision.
  /// Returns those that weren't known yet.
  std::vector<StoreItem> ApplyStoreChanges(std::vector<StoreItem> aItems,
                                           std::uint64_t aRevision);
  /// Applies the changes sent by another router. Returns those that weren't
  /// known yet. Fails without modifying the replica if a change can't be
  /// decoded or refers to a version that isn't held here.
  absl::StatusOr<std::vector<StoreItem>> ApplyFeedChanges(
    const FeedChanges& aChanges);

  /// Revisions of the large items' versions that can serve as delta bases.
  std::vector<std::uint64_t> BaseRevisions() const;

  /// Returns the changes to send to a replica that knows all revisions up to
  /// \p aKnown and holds the versions \p aBases. If \p aKnown is 0,
  /// they are complete.
  FeedChanges ChangesSince(std::uint64_t aKnown,
                           const std::vector<std::uint64_t>& aBases) const;

private:
  /// Versions of one item, the newest last.
  using Versions = std::deque<StoreItem>;

  /// Stores or removes \p aItem; returns false if it isn't newer than the known
  /// version.
  bool UpdateItem(const StoreItem& aItem);
  /// Appends to \p aItems, the complete list at \p aRevision, a removal for
  /// each known key that it lacks.
  void AddRemovals(std::vector<StoreItem>& aItems,
                   std::uint64_t aRevision) const;
  /// Applies \p aItems, known to include all changes up to \p aRevision.
  /// Returns those that changed the replica.
  std::vector<StoreItem> UpdateItems(std::vector<StoreItem> aItems,
                                     std::uint64_t aRevision);
  FeedChange MakeChange(const Versions& aVersions,
                        std::uint64_t aKnown,
                        const std::vector<std::uint64_t>& aBases) const;
  absl::StatusOr<std::string> UncompressedBytes(
    const FeedChange& aChange) const;
  absl::StatusOr<StoreItem> MakeItem(const FeedChange& aChange) const;

  FeedReplicaOptions m_options;
  std::uint64_t m_revision = 0;
  std::uint64_t m_changedRevision = 0;
  /// The history is complete after this revision.
  std::uint64_t m_compactedRevision = 0;
  std::map<std::string, Versions> m_items;
  std::deque<StoreItem> m_removals; ///< Ordered by revision.
};

} // namespace bergamotpaddle
MSGPACK_ADD_ENUM(bergamotpaddle::FeedChange::Kind);
