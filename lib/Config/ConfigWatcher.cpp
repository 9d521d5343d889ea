#include "bergamotpaddle/Config/ConfigWatcher.h"

namespace bergamotpaddle {

namespace {

constexpr Duration kRetryInterval = std::chrono::seconds(1);
constexpr Duration kMissingInterval = std::chrono::milliseconds(200);

} // namespace

ConfigWatcher::ConfigWatcher(KeyValueHooks aKeyValue,
                             TimerHooks aTimers,
                             ConfigStore& aStore,
                             std::function<void(const absl::Status&)> aRejected)
  : m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
  , m_store(&aStore)
  , m_rejected(std::move(aRejected))
{
}

void
ConfigWatcher::Wait(std::uint64_t aRevision)
{
  m_keyValue.m_watch(
    kConfigKey,
    aRevision,
    [this, aRevision](const absl::StatusOr<KeyValueEntry>& aEntry) {
      Answered(aRevision, aEntry);
    });
}

void
ConfigWatcher::Answered(std::uint64_t aAsked,
                        const absl::StatusOr<KeyValueEntry>& aEntry)
{
  if (!aEntry.ok()) {
    m_timers.m_after(kRetryInterval, [this, aAsked] { Wait(aAsked); });
    return;
  }
  if (aEntry->m_revision == 0) {
    m_timers.m_after(kMissingInterval, [this] { Wait(0); });
    return;
  }
  if (aEntry->m_revision != aAsked) {
    const absl::Status offered = m_store->Offer(aEntry->m_value);
    if (!offered.ok()) {
      m_rejected(offered);
    }
  }
  Wait(aEntry->m_revision);
}

} // namespace bergamotpaddle
