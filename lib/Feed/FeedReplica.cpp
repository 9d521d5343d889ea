#include "bergamotpaddle/Feed/FeedReplica.h"

#include "bergamotpaddle/Feed/DocumentDelta.h"
#include "bergamotpaddle/Support/Compression.h"
#include "bergamotpaddle/Support/Text.h"

#include <algorithm>
#include <set>

namespace bergamotpaddle {

FeedReplica::FeedReplica(FeedReplicaOptions aOptions)
  : m_options(aOptions)
{
}

std::vector<StoreItem>
FeedReplica::ApplyList(std::vector<StoreItem> aItems, std::uint64_t aRevision)
{
  if (aRevision < m_revision) {
    // A newer revision was applied after the list was requested.
    return ApplyStoreChanges(std::move(aItems), aRevision);
  }
  if (aRevision > m_revision) {
    // Keys that were added and removed since the known revision aren't listed,
    // so the history is complete only after the list.
    m_compactedRevision = aRevision;
  }
  AddRemovals(aItems, aRevision);
  return UpdateItems(std::move(aItems), aRevision);
}

std::vector<StoreItem>
FeedReplica::ApplyStoreChanges(std::vector<StoreItem> aItems,
                               std::uint64_t aRevision)
{
  // An item that isn't newer than this replica is either known or has been
  // removed since.
  std::erase_if(aItems, [this](const StoreItem& aItem) {
    return aItem.m_revision <= m_revision;
  });
  return UpdateItems(std::move(aItems), aRevision);
}

absl::StatusOr<std::vector<StoreItem>>
FeedReplica::ApplyFeedChanges(const FeedChanges& aChanges)
{
  std::vector<StoreItem> items;
  for (const FeedChange& change : aChanges.m_changes) {
    absl::StatusOr<StoreItem> item = MakeItem(change);
    if (!item.ok()) {
      return item.status();
    }
    items.push_back(std::move(*item));
  }
  m_changedRevision = std::max(m_changedRevision, aChanges.m_changedRevision);
  return aChanges.m_isComplete
           ? ApplyList(std::move(items), aChanges.m_revision)
           : ApplyStoreChanges(std::move(items), aChanges.m_revision);
}

absl::StatusOr<std::string>
FeedReplica::UncompressedBytes(const FeedChange& aChange) const
{
  if (aChange.m_uncompressedSize == 0) {
    return aChange.m_bytes;
  }
  if (aChange.m_uncompressedSize > m_options.m_maxItemBytes) {
    return absl::InvalidArgumentError(
      Cat("feed: ", aChange.m_key, " exceeds the maximum item size"));
  }
  return Decompress(aChange.m_bytes, aChange.m_uncompressedSize);
}

absl::StatusOr<StoreItem>
FeedReplica::MakeItem(const FeedChange& aChange) const
{
  StoreItem item{ aChange.m_key, {}, aChange.m_revision, false };
  absl::StatusOr<std::string> bytes = UncompressedBytes(aChange);
  if (!bytes.ok()) {
    return bytes.status();
  }
  switch (aChange.m_kind) {
    case FeedChange::Kind::kValue:
      item.m_value = std::move(*bytes);
      return item;
    case FeedChange::Kind::kRemoved:
      item.m_isRemoved = true;
      return item;
    case FeedChange::Kind::kUnchanged:
    case FeedChange::Kind::kDelta:
      break;
  }
  const auto known = m_items.find(aChange.m_key);
  if (known == m_items.end()) {
    return absl::FailedPreconditionError(
      Cat("feed: no known version of ", aChange.m_key, " to update"));
  }
  if (aChange.m_kind == FeedChange::Kind::kUnchanged) {
    return known->second.back();
  }
  for (const StoreItem& version : known->second) {
    if (version.m_revision == aChange.m_baseRevision) {
      auto value =
        ApplyDelta(version.m_value, *bytes, m_options.m_maxItemBytes);
      if (!value.ok()) {
        return value.status();
      }
      item.m_value = std::move(*value);
      return item;
    }
  }
  return absl::FailedPreconditionError(Cat("feed: ",
                                           aChange.m_key,
                                           ": base revision ",
                                           aChange.m_baseRevision,
                                           " is not available"));
}

void
FeedReplica::AddRemovals(std::vector<StoreItem>& aItems,
                         std::uint64_t aRevision) const
{
  std::set<std::string> listed;
  for (const StoreItem& item : aItems) {
    listed.insert(item.m_key);
  }
  for (const auto& [key, versions] : m_items) {
    if (!listed.contains(key) && versions.back().m_revision <= aRevision) {
      aItems.push_back({ key, {}, aRevision, true });
    }
  }
}

std::vector<StoreItem>
FeedReplica::UpdateItems(std::vector<StoreItem> aItems, std::uint64_t aRevision)
{
  std::erase_if(aItems,
                [this](const StoreItem& aItem) { return !UpdateItem(aItem); });
  m_revision = std::max(m_revision, aRevision);
  return aItems;
}

bool
FeedReplica::UpdateItem(const StoreItem& aItem)
{
  const auto known = m_items.find(aItem.m_key);
  if (known == m_items.end()
        ? aItem.m_isRemoved
        : known->second.back().m_revision >=
            aItem.m_revision + (aItem.m_isRemoved ? 1 : 0)) {
    return false;
  }
  m_changedRevision = std::max(m_changedRevision, aItem.m_revision);
  if (aItem.m_isRemoved) {
    m_items.erase(known);
    m_removals.push_back(aItem);
    if (m_removals.size() > m_options.m_maxRemovals) {
      m_compactedRevision =
        std::max(m_compactedRevision, m_removals.front().m_revision);
      m_removals.pop_front();
    }
    return true;
  }
  Versions& versions = m_items[aItem.m_key];
  versions.push_back(aItem);
  while (versions.size() > 1 &&
         (versions.size() > m_options.m_maxEarlierVersions + 1 ||
          versions.front().m_value.size() < m_options.m_largeItemBytes)) {
    versions.pop_front();
  }
  return true;
}

std::vector<std::uint64_t>
FeedReplica::BaseRevisions() const
{
  std::vector<std::uint64_t> bases;
  for (const auto& [key, versions] : m_items) {
    for (const StoreItem& version : versions) {
      if (version.m_value.size() >= m_options.m_largeItemBytes) {
        bases.push_back(version.m_revision);
      }
    }
  }
  return bases;
}

FeedChanges
FeedReplica::ChangesSince(std::uint64_t aKnown,
                          const std::vector<std::uint64_t>& aBases) const
{
  FeedChanges changes;
  changes.m_revision = m_revision;
  changes.m_changedRevision = m_changedRevision;
  changes.m_isComplete = aKnown < m_compactedRevision || aKnown == 0;
  for (const auto& [key, versions] : m_items) {
    if (changes.m_isComplete || versions.back().m_revision > aKnown) {
      changes.m_changes.push_back(MakeChange(versions, aKnown, aBases));
    }
  }
  if (changes.m_isComplete) {
    return changes;
  }
  for (const StoreItem& removal : m_removals) {
    if (removal.m_revision > aKnown && !m_items.contains(removal.m_key)) {
      changes.m_changes.push_back({ removal.m_key,
                                    FeedChange::Kind::kRemoved,
                                    removal.m_revision,
                                    0,
                                    {},
                                    0 });
    }
  }
  return changes;
}

FeedChange
FeedReplica::MakeChange(const Versions& aVersions,
                        std::uint64_t aKnown,
                        const std::vector<std::uint64_t>& aBases) const
{
  const StoreItem& newest = aVersions.back();
  FeedChange change{
    newest.m_key, FeedChange::Kind::kValue, newest.m_revision, 0, {}, 0
  };
  if (newest.m_revision <= aKnown) {
    change.m_kind = FeedChange::Kind::kUnchanged;
    return change;
  }
  const auto base = std::find_if(
    std::next(aVersions.rbegin()),
    aVersions.rend(),
    [&aBases](const StoreItem& aVersion) {
      return std::find(aBases.begin(), aBases.end(), aVersion.m_revision) !=
             aBases.end();
    });
  if (newest.m_value.size() >= m_options.m_largeItemBytes &&
      base != aVersions.rend()) {
    change.m_kind = FeedChange::Kind::kDelta;
    change.m_baseRevision = base->m_revision;
    change.m_bytes = MakeDelta(base->m_value, newest.m_value);
  } else {
    change.m_bytes = newest.m_value;
  }
  if (change.m_bytes.size() >= m_options.m_largeItemBytes) {
    change.m_uncompressedSize = change.m_bytes.size();
    change.m_bytes = Compress(change.m_bytes);
  }
  return change;
}

} // namespace bergamotpaddle
