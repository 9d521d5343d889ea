/// \file
/// Follows `config/current` in the key-value service, through outages.
#pragma once

#include "bergamotpaddle/Config/ConfigStore.h"
#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// One waiting watch at a time; what it brings goes to a ConfigStore.
class ConfigWatcher
{
public:
  /// \p aRejected is told of documents that do not parse.
  ConfigWatcher(KeyValueHooks aKeyValue,
                TimerHooks aTimers,
                ConfigStore& aStore,
                std::function<void(const absl::Status&)> aRejected);

  void Start() { Wait(0); }

private:
  void Wait(std::uint64_t aRevision);
  void Answered(std::uint64_t aAsked,
                const absl::StatusOr<KeyValueEntry>& aEntry);

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  ConfigStore* m_store;
  std::function<void(const absl::Status&)> m_rejected;
};

} // namespace bergamotpaddle
