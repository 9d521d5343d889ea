#include "bergamotpaddle/StandIn/KeyValueStore.h"

#include <algorithm>

namespace bergamotpaddle {

KeyValueStore::KeyValueStore(StoreRateLimits aLimits)
  : m_rateLimits(aLimits)
{
}

KeyValueEntry
KeyValueStore::Get(const std::string& aKey) const
{
  auto found = m_entries.find(aKey);
  return found == m_entries.end() ? KeyValueEntry{} : found->second;
}

std::map<std::string, KeyValueEntry>
KeyValueStore::List(const std::string& aPrefix) const
{
  std::map<std::string, KeyValueEntry> entries;
  for (auto it = m_entries.lower_bound(aPrefix);
       it != m_entries.end() && it->first.starts_with(aPrefix);
       ++it) {
    entries.insert(*it);
  }
  return entries;
}

absl::StatusOr<std::uint64_t>
KeyValueStore::CompareAndSwap(const std::string& aKey,
                              std::uint64_t aRevision,
                              const std::optional<std::string>& aValue)
{
  if (Get(aKey).m_revision != aRevision) {
    return absl::AbortedError("the key is at another revision");
  }
  const std::uint64_t revision = ++m_lastRevision;
  m_leases.erase(aKey);
  if (!aValue.has_value()) {
    m_entries.erase(aKey);
    return revision;
  }
  m_entries[aKey] = { revision, *aValue };
  return revision;
}

std::uint64_t
KeyValueStore::KeepAlive(const std::string& aKey,
                         const std::string& aValue,
                         Duration aTimeToLive,
                         Instant aNow)
{
  KeyValueEntry& entry = m_entries[aKey];
  if (entry.m_revision == 0 || entry.m_value != aValue) {
    entry = { ++m_lastRevision, aValue };
  }
  m_leases[aKey] = aNow + aTimeToLive;
  return entry.m_revision;
}

void
KeyValueStore::Expire(Instant aNow)
{
  std::erase_if(m_leases, [&](const auto& aLease) {
    if (aLease.second > aNow) {
      return false;
    }
    m_entries.erase(aLease.first);
    return true;
  });
}

bool
KeyValueStore::Allow(TokenBucket& aBucket, double aCallsPerSecond, Instant aNow)
{
  if (aBucket.m_isNew) {
    aBucket = { aCallsPerSecond, aNow, false };
  }
  const double elapsedSeconds =
    std::chrono::duration<double>(aNow - aBucket.m_refilledAt).count();
  aBucket.m_tokens = std::min(
    aCallsPerSecond, aBucket.m_tokens + elapsedSeconds * aCallsPerSecond);
  aBucket.m_refilledAt = aNow;
  if (aBucket.m_tokens < 1) {
    return false;
  }
  aBucket.m_tokens -= 1;
  return true;
}

} // namespace bergamotpaddle
