#include "bergamotpaddle/Testing/FakeKeyValue.h"

namespace bergamotpaddle {

namespace {

constexpr Duration kOneWayLatency = std::chrono::milliseconds(1);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
constexpr Duration kLateWriteDelay = std::chrono::milliseconds(4000);
constexpr Duration kWatchPollInterval = std::chrono::milliseconds(50);
constexpr Duration kWatchTimeout = std::chrono::seconds(20);

absl::Status
NoResponseError()
{
  return absl::UnavailableError("no response from the key-value service");
}

} // namespace

FakeKeyValue::FakeKeyValue(VirtualTime& aTime, std::uint64_t aSeed)
  : m_time(&aTime)
  , m_random(aSeed)
{
}

bool
FakeKeyValue::SampleBernoulli(double aProbability)
{
  return aProbability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(m_random) < aProbability;
}

void
FakeKeyValue::Call(FakeProcess& aProcess,
                   const std::function<bool()>& aIsReachable,
                   bool aIsWrite,
                   std::function<std::function<void()>()> aExecute,
                   std::function<void()> aFail)
{
  if (m_faults.m_isDown || !aIsReachable()) {
    m_time->After(kCallTimeout, aProcess.Guard(std::move(aFail)));
    return;
  }
  ++(aIsWrite ? m_writes : m_reads);
  if (aIsWrite && SampleBernoulli(m_faults.m_lateWriteProbability)) {
    m_time->After(kCallTimeout, aProcess.Guard(std::move(aFail)));
    m_time->After(kLateWriteDelay,
                  [execute = std::move(aExecute)] { execute(); });
    return;
  }
  const bool isResponseLost =
    aIsWrite && SampleBernoulli(m_faults.m_lostResponseProbability);
  m_time->After(kOneWayLatency + m_faults.m_addedLatency,
                [this,
                 isResponseLost,
                 guard =
                   [&aProcess](std::function<void()> aTask) {
                     return aProcess.Guard(std::move(aTask));
                   },
                 execute = std::move(aExecute),
                 fail = std::move(aFail)] {
                  std::function<void()> respond = execute();
                  if (isResponseLost) {
                    m_time->After(kCallTimeout, guard(fail));
                    return;
                  }
                  m_time->After(kOneWayLatency, guard(std::move(respond)));
                });
}

void
FakeKeyValue::Poll(FakeProcess& aProcess,
                   const std::function<bool()>& aIsReachable,
                   const std::string& aKey,
                   std::uint64_t aRevision,
                   const KeyValueHooks::EntryHook& aDone,
                   Instant aDeadline)
{
  if (m_faults.m_isDown || !aIsReachable()) {
    m_time->After(kCallTimeout,
                  aProcess.Guard([aDone] { aDone(NoResponseError()); }));
    return;
  }
  m_store.Expire(m_time->Now());
  const KeyValueEntry entry = m_store.Get(aKey);
  if (entry.m_revision > aRevision || m_time->Now() >= aDeadline) {
    m_time->After(kOneWayLatency,
                  aProcess.Guard([aDone, entry] { aDone(entry); }));
    return;
  }
  m_time->After(
    kWatchPollInterval,
    aProcess.Guard(
      [this, &aProcess, aIsReachable, aKey, aRevision, aDone, aDeadline] {
        Poll(aProcess, aIsReachable, aKey, aRevision, aDone, aDeadline);
      }));
}

KeyValueHooks
FakeKeyValue::MakeHooks(FakeProcess& aProcess,
                        const std::function<bool()>& aIsReachable)
{
  KeyValueHooks hooks;
  FakeProcess* process = &aProcess;
  hooks.m_get =
    [this, process, aIsReachable](const std::string& aKey,
                                  const KeyValueHooks::EntryHook& aDone) {
      Call(
        *process,
        aIsReachable,
        false,
        [this, aKey, aDone] {
          return [aDone, entry = m_store.Get(aKey)] { aDone(entry); };
        },
        [aDone] { aDone(NoResponseError()); });
    };
  hooks.m_compareAndSwap = [this, process, aIsReachable](
                             const std::string& aKey,
                             std::uint64_t aRevision,
                             const std::optional<std::string>& aValue,
                             const KeyValueHooks::RevisionHook& aDone) {
    Call(
      *process,
      aIsReachable,
      true,
      [this, aKey, aRevision, aValue, aDone] {
        return
          [aDone, revision = m_store.CompareAndSwap(aKey, aRevision, aValue)] {
            aDone(revision);
          };
      },
      [aDone] { aDone(NoResponseError()); });
  };
  hooks.m_watch =
    [this, process, aIsReachable](const std::string& aKey,
                                  std::uint64_t aRevision,
                                  const KeyValueHooks::EntryHook& aDone) {
      Poll(*process,
           aIsReachable,
           aKey,
           aRevision,
           aDone,
           m_time->Now() + kWatchTimeout);
    };
  hooks.m_list =
    [this, process, aIsReachable](const std::string& aPrefix,
                                  const KeyValueHooks::ListHook& aDone) {
      Call(
        *process,
        aIsReachable,
        false,
        [this, aPrefix, aDone] {
          m_store.Expire(m_time->Now());
          return [aDone, entries = m_store.List(aPrefix)] { aDone(entries); };
        },
        [aDone] { aDone(NoResponseError()); });
    };
  hooks.m_keepAlive = [this, process, aIsReachable](
                        const std::string& aKey,
                        const std::string& aValue,
                        Duration aTimeToLive,
                        const KeyValueHooks::RevisionHook& aDone) {
    Call(
      *process,
      aIsReachable,
      true,
      [this, aKey, aValue, aTimeToLive, aDone] {
        return [aDone,
                revision =
                  m_store.KeepAlive(aKey, aValue, aTimeToLive, m_time->Now())] {
          aDone(revision);
        };
      },
      [aDone] { aDone(NoResponseError()); });
  };
  return hooks;
}

} // namespace bergamotpaddle
