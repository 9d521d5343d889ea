/// \file
/// Validation of JSON settings: against a JSON Schema, then for consistency
/// across values. All findings of a step are reported together, each with its
/// file and JSON pointer.
#pragma once

#include <absl/status/statusor.h>
#include <compare>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// An error in a settings file.
struct Finding
{
  std::string m_file;
  std::string m_pointer; ///< JSON pointer to the value; empty: the whole file.
  std::string m_text;    ///< What is wrong, and the allowed values.
  auto operator<=>(const Finding&) const = default;

  /// Formats the finding as "file: pointer: text"; an empty pointer as "/".
  std::string Str() const;
};

/// A configuration merged from a base and an overlay, or their errors.
struct MergedConfiguration
{
  std::string m_content; ///< Merged JSON; empty if there are findings.
  std::vector<Finding> m_findings;
};

/// Merges an overlay into a base as a JSON Merge Patch (RFC 7396) and checks
/// the result. An empty \p aOverlayPath means that there is no overlay.
MergedConfiguration
LoadConfiguration(const std::string& aBasePath,
                  const std::string& aOverlayPath);

/// Checks the merged JSON of a configuration. \p aName is the file name in the
/// findings.
std::vector<Finding>
CheckContent(const std::string& aContent, const std::string& aName);

/// The JSON Schema of a configuration.
const char*
ConfigurationSchema();

/// The JSON Schema of a process's settings.
const char*
ProcessSettingsSchema();

/// Validates \p aValue against the JSON Schema \p aSchema. \p aFile is the file
/// name in the findings.
std::vector<Finding>
CheckSchema(const nlohmann::json& aValue,
            const char* aSchema,
            const std::string& aFile);

/// Reads and parses a JSON file. `NotFound`: the file cannot be opened;
/// `InvalidArgument`: it is not valid JSON.
absl::StatusOr<nlohmann::json>
ReadJsonFile(const std::string& aPath);

} // namespace bergamotpaddle
