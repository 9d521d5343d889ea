/// \file
/// An in-memory key-value store that replaces the platform's in tests, with
/// revisions, compare-and-swap, leases and rate limits. It does no I/O and
/// reads no clock.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// Limits on the calls per second that the store serves; it refuses the rest.
struct StoreRateLimits
{
  double m_writesPerSecond = 1e9;
  double m_readsPerSecond = 1e9; ///< Watches count as reads.
};

/// An in-memory key-value store. Revisions are unique across all keys.
class KeyValueStore
{
public:
  explicit KeyValueStore(StoreRateLimits aLimits = {});

  void SetRateLimits(StoreRateLimits aLimits) { m_rateLimits = aLimits; }

  /// Returns the entry of \p aKey; its revision is 0 if the key does not exist.
  KeyValueEntry Get(const std::string& aKey) const;
  /// Returns the entries whose key starts with \p aPrefix.
  std::map<std::string, KeyValueEntry> List(const std::string& aPrefix) const;

  /// Writes \p aValue, or removes the key if there is none, if the key is at
  /// \p aRevision, 0 for a key that does not exist. Returns the new revision,
  /// or `Aborted` if it is at another. A write ends the lease of the key.
  absl::StatusOr<std::uint64_t> CompareAndSwap(
    const std::string& aKey,
    std::uint64_t aRevision,
    const std::optional<std::string>& aValue);

  /// Writes a key with a lease that expires at \p aNow + \p aTimeToLive unless
  /// renewed. Returns its revision, which a renewal of the same value retains.
  std::uint64_t KeepAlive(const std::string& aKey,
                          const std::string& aValue,
                          Duration aTimeToLive,
                          Instant aNow);

  /// Removes the keys whose lease has expired.
  void Expire(Instant aNow);

  /// Consumes one call of the rate limit. Returns false if it is exceeded.
  bool AllowWrite(Instant aNow)
  {
    return Allow(m_writeBucket, m_rateLimits.m_writesPerSecond, aNow);
  }
  /// Likewise for reads.
  bool AllowRead(Instant aNow)
  {
    return Allow(m_readBucket, m_rateLimits.m_readsPerSecond, aNow);
  }

private:
  /// A token bucket with a capacity of one second's calls.
  struct TokenBucket
  {
    double m_tokens = 0;
    Instant m_refilledAt{};
    bool m_isNew = true;
  };

  static bool Allow(TokenBucket& aBucket, double aCallsPerSecond, Instant aNow);

  StoreRateLimits m_rateLimits;
  TokenBucket m_writeBucket;
  TokenBucket m_readBucket;
  std::uint64_t m_lastRevision = 0;
  std::map<std::string, KeyValueEntry> m_entries;
  std::map<std::string, Instant> m_leases; ///< Expiry times by key.
};

} // namespace bergamotpaddle
