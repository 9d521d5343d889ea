#include "bergamotpaddle/StandIn/KeyValueStore.h"

#include <algorithm>

namespace bergamotpaddle {

KeyValueStore::KeyValueStore(StoreRates aRates)
  : m_rates(aRates)
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
  std::erase_if(m_leases, [&](const auto& aItem) {
    if (aItem.second > aNow) {
      return false;
    }
    m_entries.erase(aItem.first);
    return true;
  });
}

bool
KeyValueStore::Allow(Allowance& aAllowance, double aRate, Instant aNow)
{
  if (aAllowance.m_isNew) {
    aAllowance = { aRate, aNow, false };
  }
  const double seconds =
    std::chrono::duration<double>(aNow - aAllowance.m_filledAt).count();
  aAllowance.m_calls = std::min(aRate, aAllowance.m_calls + seconds * aRate);
  aAllowance.m_filledAt = aNow;
  if (aAllowance.m_calls < 1) {
    return false;
  }
  aAllowance.m_calls -= 1;
  return true;
}

} // namespace bergamotpaddle
