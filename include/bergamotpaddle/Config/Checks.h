/// \file
/// Checks of JSON settings: against a JSON Schema, then across values. Every
/// finding at once, each with its file and JSON pointer.
#pragma once

#include <absl/status/statusor.h>
#include <compare>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// Something wrong in a file.
struct Finding
{
  std::string m_file;
  std::string m_pointer; ///< JSON pointer of the place.
  std::string m_text;    ///< What is wrong and what is allowed.
  auto operator<=>(const Finding&) const = default;

  /// "file: pointer: text".
  std::string Str() const;
};

/// A configuration merged from files, or what is wrong with them.
struct MergedConfiguration
{
  std::string m_content; ///< Merged JSON, if there are no findings.
  std::vector<Finding> m_findings;
};

/// Merges an overlay into a base by RFC 7396 and checks the result. An empty
/// \p aOverlayPath stands for no overlay.
MergedConfiguration
LoadConfiguration(const std::string& aBasePath,
                  const std::string& aOverlayPath);

/// Checks a configuration's content that is already merged.
std::vector<Finding>
CheckContent(const std::string& aContent, const std::string& aName);

/// The JSON Schema of a configuration.
const char*
ConfigurationSchema();

/// The JSON Schema of a process's settings.
const char*
ProcessSettingsSchema();

/// Findings of \p aValue against \p aSchema.
std::vector<Finding>
CheckSchema(const nlohmann::json& aValue,
            const char* aSchema,
            const std::string& aFile);

/// Reads and parses a JSON file.
absl::StatusOr<nlohmann::json>
ReadJsonFile(const std::string& aPath);

} // namespace bergamotpaddle
