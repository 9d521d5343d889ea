/// \file
/// The key-value service in virtual time, with the faults that real services
/// have.
#pragma once

#include "bergamotpaddle/StandIn/KeyValueStore.h"
#include "bergamotpaddle/Testing/FakeProcess.h"

#include <random>

namespace bergamotpaddle {

/// Faults that are injected into the service at present.
struct KeyValueFaults
{
  bool m_isDown = false;
  double m_lostResponseProbability =
    0; ///< That a write takes effect but its response is lost.
  double m_lateWriteProbability =
    0; ///< That a write takes effect after its caller has timed out.
  Duration m_addedLatency{ 0 }; ///< Of every call other than a watch.
};

/// The service, which each process calls through its own hooks.
class FakeKeyValue
{
public:
  FakeKeyValue(VirtualTime& aTime, std::uint64_t aSeed);

  KeyValueStore& Store() { return m_store; }
  KeyValueFaults& Faults() { return m_faults; }

  /// Returns hooks for \p aProcess. \p aIsReachable returns whether the process
  /// can reach the service at present.
  KeyValueHooks MakeHooks(FakeProcess& aProcess,
                          const std::function<bool()>& aIsReachable);

  std::uint64_t Reads() const { return m_reads; }
  std::uint64_t Writes() const { return m_writes; }

private:
  /// Runs \p aExecute at the service and the response that it returns at the
  /// caller, or \p aFail at the caller if no response arrives.
  void Call(FakeProcess& aProcess,
            const std::function<bool()>& aIsReachable,
            bool aIsWrite,
            std::function<std::function<void()>()> aExecute,
            std::function<void()> aFail);
  /// Polls until \p aKey is past \p aRevision or \p aDeadline has passed.
  void Poll(FakeProcess& aProcess,
            const std::function<bool()>& aIsReachable,
            const std::string& aKey,
            std::uint64_t aRevision,
            const KeyValueHooks::EntryHook& aDone,
            Instant aDeadline);
  /// Returns true with a probability of \p aProbability.
  bool SampleBernoulli(double aProbability);

  VirtualTime* m_time;
  KeyValueStore m_store;
  KeyValueFaults m_faults;
  std::mt19937_64 m_random;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

} // namespace bergamotpaddle
