/// \file
/// Interface to the platform's key-value service, and the read-modify-write
/// operation through which the fleet writes to it.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// Value and revision of a key. Revision 0 means that the key does not exist.
struct KeyValueEntry
{
  std::uint64_t m_revision = 0;
  std::string m_value;
  auto operator<=>(const KeyValueEntry&) const = default;
};

/// Operations of the service. Errors: `Aborted` if the key was not at the
/// expected revision, in which case nothing was written; `Unavailable` if no
/// valid response was received, in which case a write may or may not take
/// effect, now or later.
struct KeyValueHooks
{
  using EntryHook = std::function<void(absl::StatusOr<KeyValueEntry>)>;
  using RevisionHook = std::function<void(absl::StatusOr<std::uint64_t>)>;
  using ListHook =
    std::function<void(absl::StatusOr<std::map<std::string, KeyValueEntry>>)>;

  std::function<void(std::string aKey, EntryHook)> m_get;
  /// Writes \p aValue if the key is at \p aRevision (0: the key does not
  /// exist); without a value, removes the key.
  std::function<void(std::string aKey,
                     std::uint64_t aRevision,
                     std::optional<std::string> aValue,
                     RevisionHook)>
    m_compareAndSwap;
  /// Returns the entry as soon as its revision is greater than \p aRevision, or
  /// the current entry after a timeout.
  std::function<void(std::string aKey, std::uint64_t aRevision, EntryHook)>
    m_watch;
  /// Returns all entries whose keys begin with \p aPrefix.
  std::function<void(std::string aPrefix, ListHook)> m_list;
  /// Writes \p aKey with a lease of \p aTimeToLive from now on; the service
  /// removes the key when the lease expires without renewal.
  std::function<void(std::string aKey,
                     std::string aValue,
                     Duration aTimeToLive,
                     RevisionHook)>
    m_keepAlive;
};

/// Decision of a transform about the value that was read.
struct TransformResult
{
  enum class Action
  {
    kWrite,  ///< Write m_value.
    kRemove, ///< Remove the key.
    kStop,   ///< Write nothing and end the update with m_status.
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

/// Retry policy of an update. The backoff doubles after each `Unavailable`
/// result.
struct UpdateOptions
{
  Duration m_initialBackoff = std::chrono::milliseconds(50);
  Duration m_maxBackoff = std::chrono::seconds(2);
  /// `Unavailable` results without a definite write result in between before
  /// the update gives up; 0: no limit.
  int m_maxUnavailableResults = 3;
};

/// Reads, transforms and writes \p aKey until a compare-and-swap is confirmed
/// to have succeeded.
///
/// \p aTransform receives the current value, or nullopt if the key does not
/// exist. It may run any number of times, so the value it writes must be
/// absolute ("my draw is 300"), never relative ("100 more"). After a write
/// whose response was lost, the update reads and writes again: only a later
/// compare-and-swap that succeeds guarantees that no earlier write can still
/// take effect.
///
/// \p aDone receives the entry written; or, if the transform stopped, its
/// status (with Ok: the entry read); or `Unavailable` if the update gave up, in
/// which case an earlier write may still take effect.
void
Update(
  const KeyValueHooks& aKeyValue,
  const TimerHooks& aTimers,
  const std::string& aKey,
  std::function<TransformResult(const std::optional<std::string>&)> aTransform,
  std::function<void(absl::StatusOr<KeyValueEntry>)> aDone,
  UpdateOptions aOptions = {});

} // namespace bergamotpaddle
