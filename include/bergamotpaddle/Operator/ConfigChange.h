/// \file
/// Operators' changes of the configuration: one compare-and-swap each, named by
/// a change id, so that racing operators see each other and a lost answer is
/// settled without applying anything twice.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

/// The value of `config/current` with its revision's origin.
struct ConfigDocument
{
  std::uint64_t m_version = 0; ///< 0: there is none yet.
  std::string m_changeId;
  std::string m_author;
  std::uint64_t m_timeMs =
    0; ///< Wall clock of the operator's machine, for display.
  std::string m_comment;
  nlohmann::json m_content;

  std::string ToJson() const;
  static absl::StatusOr<ConfigDocument> FromJson(const std::string& aText);
};

/// Who makes a change and how it is named.
struct ChangeOrigin
{
  std::string m_changeId;
  std::string m_author;
  std::string m_comment;
  std::uint64_t m_timeMs = 0;
};

using ChangeDone = std::function<void(absl::StatusOr<ConfigDocument>)>;

/// Puts \p aContent in place of version \p aExpectedVersion. `Aborted`: another
/// change came first; the message names it.
void
ReplaceContent(const KeyValueHooks& aKeyValue,
               const TimerHooks& aTimers,
               std::uint64_t aExpectedVersion,
               nlohmann::json aContent,
               ChangeOrigin aOrigin,
               ChangeDone aDone);

/// Applies an edit to whatever content is current. \p aEdit changes the content
/// or says why it cannot.
void
EditContent(const KeyValueHooks& aKeyValue,
            const TimerHooks& aTimers,
            std::function<absl::Status(nlohmann::json&)> aEdit,
            ChangeOrigin aOrigin,
            ChangeDone aDone);

/// `config/version/<n>`, where a version stands after another replaced it.
std::string
VersionKey(std::uint64_t aVersion);

} // namespace bergamotpaddle
