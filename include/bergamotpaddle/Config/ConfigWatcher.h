/// \file
/// Watches `config/current` in the key-value service and retries after outages.
#pragma once

#include "bergamotpaddle/Config/ConfigStore.h"
#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// Has one watch pending at a time and passes each new value to a ConfigStore.
class ConfigWatcher
{
public:
  /// \p aOnRejected is called with the error of each document that cannot be
  /// parsed.
  ConfigWatcher(KeyValueHooks aKeyValue,
                TimerHooks aTimers,
                ConfigStore& aStore,
                std::function<void(const absl::Status&)> aOnRejected);

  void Start() { Watch(0); }

private:
  /// Waits for a revision newer than \p aSeenRevision; 0: none was seen.
  void Watch(std::uint64_t aSeenRevision);
  void HandleWatchResult(std::uint64_t aSeenRevision,
                         const absl::StatusOr<KeyValueEntry>& aEntry);

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  ConfigStore* m_store;
  std::function<void(const absl::Status&)> m_onRejected;
};

} // namespace bergamotpaddle
