#include "bergamotpaddle/Config/ConfigWatcher.h"

namespace bergamotpaddle {

namespace {

/// Delay before the next watch after a failed one.
constexpr Duration kRetryInterval = std::chrono::seconds(1);
/// Delay before the next watch while the key does not exist.
constexpr Duration kMissingKeyInterval = std::chrono::milliseconds(200);

} // namespace

ConfigWatcher::ConfigWatcher(
  KeyValueHooks aKeyValue,
  TimerHooks aTimers,
  ConfigStore& aStore,
  std::function<void(const absl::Status&)> aOnRejected)
  : m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
  , m_store(&aStore)
  , m_onRejected(std::move(aOnRejected))
{
}

void
ConfigWatcher::Watch(std::uint64_t aSeenRevision)
{
  m_keyValue.m_watch(
    kConfigKey,
    aSeenRevision,
    [this, aSeenRevision](const absl::StatusOr<KeyValueEntry>& aEntry) {
      HandleWatchResult(aSeenRevision, aEntry);
    });
}

void
ConfigWatcher::HandleWatchResult(std::uint64_t aSeenRevision,
                                 const absl::StatusOr<KeyValueEntry>& aEntry)
{
  if (!aEntry.ok()) {
    m_timers.m_after(kRetryInterval,
                     [this, aSeenRevision] { Watch(aSeenRevision); });
    return;
  }
  if (aEntry->m_revision == 0) {
    m_timers.m_after(kMissingKeyInterval, [this] { Watch(0); });
    return;
  }
  if (aEntry->m_revision != aSeenRevision) {
    const absl::Status status = m_store->Offer(aEntry->m_value);
    if (!status.ok()) {
      m_onRejected(status);
    }
  }
  Watch(aEntry->m_revision);
}

} // namespace bergamotpaddle
