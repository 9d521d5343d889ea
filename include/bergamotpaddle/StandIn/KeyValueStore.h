/// \file
/// A small key-value store that takes the platform's place in tests: revisions,
/// compare-and-swap, leases, and faults on request. No I/O and no clock.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// Calls a second that the store answers; beyond, it refuses.
struct StoreRates
{
  double m_writes = 1e9;
  double m_reads = 1e9; ///< Watches count as reads.
};

/// The store.
class KeyValueStore
{
public:
  explicit KeyValueStore(StoreRates aRates = {});

  void SetRates(StoreRates aRates) { m_rates = aRates; }

  KeyValueEntry Get(const std::string& aKey) const;
  std::map<std::string, KeyValueEntry> List(const std::string& aPrefix) const;

  /// The new revision, or `Aborted`. No value removes the key.
  absl::StatusOr<std::uint64_t> CompareAndSwap(
    const std::string& aKey,
    std::uint64_t aRevision,
    const std::optional<std::string>& aValue);

  /// Writes a key that goes at \p aNow + \p aTimeToLive unless renewed.
  std::uint64_t KeepAlive(const std::string& aKey,
                          const std::string& aValue,
                          Duration aTimeToLive,
                          Instant aNow);

  /// Removes keys whose lease has run out.
  void Expire(Instant aNow);

  /// Takes a call from the rate's allowance; false if there is none left.
  bool AllowWrite(Instant aNow)
  {
    return Allow(m_writeAllowance, m_rates.m_writes, aNow);
  }
  bool AllowRead(Instant aNow)
  {
    return Allow(m_readAllowance, m_rates.m_reads, aNow);
  }

private:
  /// A token bucket that holds one second's calls.
  struct Allowance
  {
    double m_calls = 0;
    Instant m_filledAt{};
    bool m_isNew = true;
  };

  static bool Allow(Allowance& aAllowance, double aRate, Instant aNow);

  StoreRates m_rates;
  Allowance m_writeAllowance;
  Allowance m_readAllowance;
  std::uint64_t m_lastRevision = 0;
  std::map<std::string, KeyValueEntry> m_entries;
  std::map<std::string, Instant> m_leases;
};

} // namespace bergamotpaddle
