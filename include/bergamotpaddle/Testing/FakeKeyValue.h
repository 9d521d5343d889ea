/// \file
/// The key-value service in virtual time, with the faults that the field has.
#pragma once

#include "bergamotpaddle/StandIn/KeyValueStore.h"
#include "bergamotpaddle/Testing/FakeProcess.h"

#include <random>

namespace bergamotpaddle {

/// What the service does wrong at the moment.
struct KeyValueFaults
{
  bool m_isDown = false;
  double m_lostResponseProbability =
    0; ///< Chance that a write takes effect and its answer is lost.
  double m_lateWrite =
    0; ///< Chance that a write takes effect after its caller gave up.
  Duration m_delay{ 0 }; ///< Added to every call.
};

/// One service; every process gets hooks of its own.
class FakeKeyValue
{
public:
  FakeKeyValue(VirtualTime& aTime, std::uint64_t aSeed);

  KeyValueStore& Store() { return m_store; }
  KeyValueFaults& Faults() { return m_faults; }

  /// Hooks for \p aProcess; \p aIsReachable tells whether it reaches the
  /// service now.
  KeyValueHooks MakeHooks(FakeProcess& aProcess,
                          const std::function<bool()>& aIsReachable);

  std::uint64_t Reads() const { return m_reads; }
  std::uint64_t Writes() const { return m_writes; }

private:
  /// Runs \p aServe at the service and \p aAnswer back at the caller, or
  /// \p aUnavailable at the caller.
  void Call(FakeProcess& aProcess,
            const std::function<bool()>& aIsReachable,
            bool aIsWrite,
            std::function<std::function<void()>()> aServe,
            std::function<void()> aUnavailable);
  void Poll(FakeProcess& aProcess,
            const std::function<bool()>& aIsReachable,
            const std::string& aKey,
            std::uint64_t aRevision,
            const KeyValueHooks::EntryHook& aDone,
            Instant aUntil);
  bool Chance(double aProbability);

  VirtualTime* m_time;
  KeyValueStore m_store;
  KeyValueFaults m_faults;
  std::mt19937_64 m_random;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

} // namespace bergamotpaddle
