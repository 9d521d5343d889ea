#include "bergamotpaddle/Testing/FakeKeyValue.h"

namespace bergamotpaddle {

namespace {

constexpr Duration kOneWay = std::chrono::milliseconds(1);
constexpr Duration kTimeout = std::chrono::milliseconds(1500);
constexpr Duration kLateBy = std::chrono::milliseconds(4000);
constexpr Duration kWatchStep = std::chrono::milliseconds(50);
constexpr Duration kWatchWait = std::chrono::seconds(20);

absl::Status
NoAnswer()
{
  return absl::UnavailableError("no answer");
}

} // namespace

FakeKeyValue::FakeKeyValue(VirtualTime& aTime, std::uint64_t aSeed)
  : m_time(&aTime)
  , m_random(aSeed)
{
}

bool
FakeKeyValue::Chance(double aProbability)
{
  return aProbability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(m_random) < aProbability;
}

void
FakeKeyValue::Call(FakeProcess& aProcess,
                   const std::function<bool()>& aIsReachable,
                   bool aIsWrite,
                   std::function<std::function<void()>()> aServe,
                   std::function<void()> aUnavailable)
{
  if (m_faults.m_isDown || !aIsReachable()) {
    m_time->After(kTimeout, aProcess.Guard(std::move(aUnavailable)));
    return;
  }
  ++(aIsWrite ? m_writes : m_reads);
  if (aIsWrite && Chance(m_faults.m_lateWrite)) {
    m_time->After(kTimeout, aProcess.Guard(std::move(aUnavailable)));
    m_time->After(kLateBy, [serve = std::move(aServe)] { serve(); });
    return;
  }
  const bool isLost = aIsWrite && Chance(m_faults.m_lostResponseProbability);
  m_time->After(kOneWay + m_faults.m_delay,
                [this,
                 isLost,
                 guard =
                   [&aProcess](std::function<void()> aTask) {
                     return aProcess.Guard(std::move(aTask));
                   },
                 serve = std::move(aServe),
                 unavailable = std::move(aUnavailable)] {
                  std::function<void()> answer = serve();
                  if (isLost) {
                    m_time->After(kTimeout, guard(unavailable));
                    return;
                  }
                  m_time->After(kOneWay, guard(std::move(answer)));
                });
}

void
FakeKeyValue::Poll(FakeProcess& aProcess,
                   const std::function<bool()>& aIsReachable,
                   const std::string& aKey,
                   std::uint64_t aRevision,
                   const KeyValueHooks::EntryHook& aDone,
                   Instant aUntil)
{
  if (m_faults.m_isDown || !aIsReachable()) {
    m_time->After(kTimeout, aProcess.Guard([aDone] { aDone(NoAnswer()); }));
    return;
  }
  m_store.Expire(m_time->Now());
  const KeyValueEntry entry = m_store.Get(aKey);
  if (entry.m_revision > aRevision || m_time->Now() >= aUntil) {
    m_time->After(kOneWay, aProcess.Guard([aDone, entry] { aDone(entry); }));
    return;
  }
  m_time->After(
    kWatchStep,
    aProcess.Guard(
      [this, &aProcess, aIsReachable, aKey, aRevision, aDone, aUntil] {
        Poll(aProcess, aIsReachable, aKey, aRevision, aDone, aUntil);
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
        [aDone] { aDone(NoAnswer()); });
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
      [aDone] { aDone(NoAnswer()); });
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
           m_time->Now() + kWatchWait);
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
        [aDone] { aDone(NoAnswer()); });
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
      [aDone] { aDone(NoAnswer()); });
  };
  return hooks;
}

} // namespace bergamotpaddle
