/// \file
/// The platform's key-value service as the fleet sees it, and the one way in
/// which the fleet writes to it.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A key's value. Revision 0: the key does not exist.
struct KeyValueEntry
{
  std::uint64_t m_revision = 0;
  std::string m_value;
  auto operator<=>(const KeyValueEntry&) const = default;
};

/// What the service offers. Errors: `Aborted`, the revision was not the one
/// expected and nothing was written; `Unavailable`, no answer came, so a write
/// may or may not take effect, now or later.
struct KeyValueHooks
{
  using EntryHook = std::function<void(absl::StatusOr<KeyValueEntry>)>;
  using RevisionHook = std::function<void(absl::StatusOr<std::uint64_t>)>;
  using ListHook =
    std::function<void(absl::StatusOr<std::map<std::string, KeyValueEntry>>)>;

  std::function<void(std::string aKey, EntryHook)> m_get;
  /// Writes if the key is at \p aRevision (0: does not exist); no value
  /// removes.
  std::function<void(std::string aKey,
                     std::uint64_t aRevision,
                     std::optional<std::string> aValue,
                     RevisionHook)>
    m_compareAndSwap;
  /// Answers once the key is past \p aRevision, or with what there is after a
  /// while.
  std::function<void(std::string aKey, std::uint64_t aRevision, EntryHook)>
    m_watch;
  /// All keys that begin with a prefix.
  std::function<void(std::string aPrefix, ListHook)> m_list;
  /// Keeps \p aKey in existence for a time from now on; without renewal it
  /// goes.
  std::function<void(std::string aKey,
                     std::string aValue,
                     Duration aTimeToLive,
                     RevisionHook)>
    m_keepAlive;
};

/// What a transform wants done with the value it was shown.
struct TransformResult
{
  enum class Action
  {
    kWrite,  ///< Write m_value.
    kRemove, ///< Remove the key.
    kStop,   ///< Write nothing and end with m_status.
  };
  Action m_action = Action::kStop;
  std::string m_value;
  absl::Status m_status;

  static TransformResult Write(std::string aValue)
  {
    return { Action::kWrite, std::move(aValue), {} };
  }
  static TransformResult Remove() { return { Action::kRemove, {}, {} }; }
  static TransformResult Stop(absl::Status aStatus)
  {
    return { Action::kStop, {}, std::move(aStatus) };
  }
};

/// How long an update is tried.
struct UpdateOptions
{
  Duration m_firstBackoff = std::chrono::milliseconds(50);
  Duration m_greatestBackoff = std::chrono::seconds(2);
  int m_maxUnavailableResults =
    3; ///< Unclear outcomes in a row before giving up; 0: never.
};

/// Reads, transforms and writes \p aKey until one compare-and-swap succeeds
/// for certain.
///
/// \p aTransform is shown the present value, or nullopt, and may run any number
/// of times, so what it wants must be absolute ("my draw is 300"), never
/// relative ("100 more"). A write whose answer was lost is settled by the next
/// round: only a compare-and-swap that succeeded after it makes it certain that
/// no older one can still take effect.
///
/// \p aDone gets the entry written; the transform's status if it stopped (with
/// Ok: the entry read); `Unavailable` if the update gave up, in which case an
/// older write may still take effect.
void
Update(
  const KeyValueHooks& aKeyValue,
  const TimerHooks& aTimers,
  const std::string& aKey,
  std::function<TransformResult(const std::optional<std::string>&)> aTransform,
  std::function<void(absl::StatusOr<KeyValueEntry>)> aDone,
  UpdateOptions aOptions = {});

} // namespace bergamotpaddle
