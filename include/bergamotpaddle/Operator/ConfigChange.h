/// \file
/// Operators' changes to the configuration. Each is one compare-and-swap with a
/// change id, so that concurrent changes are detected and a change whose
/// response was lost can be retried without being applied twice.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

/// The value of `config/current`: the content and the origin of its version.
struct ConfigDocument
{
  std::uint64_t m_version = 0; ///< 0: no configuration exists yet.
  std::string m_changeId;
  std::string m_author;
  /// Wall clock of the operator's machine, milliseconds since the Unix epoch;
  /// for display only.
  std::uint64_t m_timeMs = 0;
  std::string m_comment;
  nlohmann::json m_content;

  std::string ToJson() const;
  /// `DataLoss`: \p aText is not a configuration document.
  static absl::StatusOr<ConfigDocument> FromJson(const std::string& aText);
};

/// The author of a change and the id that identifies it.
struct ChangeOrigin
{
  std::string m_changeId;
  std::string m_author;
  std::string m_comment;
  std::uint64_t m_timeMs = 0;
};

/// Called once with the document that the change wrote, or with an error.
/// `Unavailable`: the outcome is unknown; a retry with the same change id is
/// safe.
using ChangeResultHook = std::function<void(absl::StatusOr<ConfigDocument>)>;

/// Replaces version \p aExpectedVersion by \p aContent. `Aborted`: another
/// change was accepted first; the message names its author and change id.
void
ReplaceContent(const KeyValueHooks& aKeyValue,
               const TimerHooks& aTimers,
               std::uint64_t aExpectedVersion,
               nlohmann::json aContent,
               ChangeOrigin aOrigin,
               ChangeResultHook aDone);

/// Applies \p aEdit to the current content, whatever its version, and again if
/// another change is accepted first. \p aEdit modifies the content or returns
/// an error, which ends the change. `FailedPrecondition`: no configuration
/// exists yet.
void
EditContent(const KeyValueHooks& aKeyValue,
            const TimerHooks& aTimers,
            std::function<absl::Status(nlohmann::json&)> aEdit,
            ChangeOrigin aOrigin,
            ChangeResultHook aDone);

/// `config/version/<n>`: the key under which a version is archived when a newer
/// one replaces it.
std::string
VersionKey(std::uint64_t aVersion);

} // namespace bergamotpaddle
