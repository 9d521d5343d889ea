#include "bergamotpaddle/Config/Checks.h"

#include "CrossChecks.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;
using JsonAdapter = valijson::adapters::NlohmannJsonAdapter;

/// Converts valijson's context ("<root>", "[pools]", "[a]") to a JSON pointer.
std::string
ToJsonPointer(const std::vector<std::string>& aContext)
{
  json::json_pointer pointer;
  for (std::size_t i = 1; i < aContext.size(); ++i) {
    const std::string& step = aContext[i];
    pointer /= step.substr(1, step.size() - 2);
  }
  return pointer.to_string();
}

bool
HasPointer(const json& aValue, const std::string& aPointer)
{
  return aValue.is_object() && aValue.contains(json::json_pointer(aPointer));
}

} // namespace

std::string
Finding::Str() const
{
  return absl::StrCat(
    m_file, ": ", m_pointer.empty() ? "/" : m_pointer, ": ", m_text);
}

absl::StatusOr<json>
ReadJsonFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return absl::NotFoundError(absl::StrCat(
      aPath, ": cannot be opened; check the path and its permissions"));
  }
  try {
    return json::parse(file);
  } catch (const json::parse_error& error) {
    return absl::InvalidArgumentError(
      absl::StrCat(aPath, ": is not valid JSON: ", error.what()));
  }
}

std::vector<Finding>
CheckSchema(const json& aValue, const char* aSchema, const std::string& aFile)
{
  const json schemaDocument = json::parse(aSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(JsonAdapter(schemaDocument), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  std::vector<Finding> findings;
  if (validator.validate(schema, JsonAdapter(aValue), &results)) {
    return findings;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    findings.push_back(
      { aFile, ToJsonPointer(error.context), error.description });
  }
  return findings;
}

std::vector<Finding>
CheckContent(const std::string& aContent, const std::string& aName)
{
  const json content = json::parse(aContent, nullptr, false);
  if (content.is_discarded()) {
    return { { aName, "", "is not valid JSON" } };
  }
  std::vector<Finding> findings =
    CheckSchema(content, ConfigurationSchema(), aName);
  if (!findings.empty()) {
    // The cross-value checks require content that matches the schema.
    return findings;
  }
  return CrossCheck(content, aName);
}

MergedConfiguration
LoadConfiguration(const std::string& aBasePath, const std::string& aOverlayPath)
{
  MergedConfiguration merged;
  absl::StatusOr<json> base = ReadJsonFile(aBasePath);
  if (!base.ok()) {
    merged.m_findings.push_back(
      { aBasePath, "", std::string(base.status().message()) });
    return merged;
  }
  json overlay = json::object();
  if (!aOverlayPath.empty()) {
    absl::StatusOr<json> loaded = ReadJsonFile(aOverlayPath);
    if (!loaded.ok()) {
      merged.m_findings.push_back(
        { aOverlayPath, "", std::string(loaded.status().message()) });
      return merged;
    }
    overlay = *loaded;
  }
  merged.m_findings = CheckOverlayNames(*base, overlay, aOverlayPath);
  json content = *base;
  content.merge_patch(overlay);
  for (Finding finding : CheckContent(content.dump(), aBasePath)) {
    if (HasPointer(overlay, finding.m_pointer)) {
      // The overlay sets this value.
      finding.m_file = aOverlayPath;
    }
    merged.m_findings.push_back(std::move(finding));
  }
  if (merged.m_findings.empty()) {
    merged.m_content = content.dump();
  }
  return merged;
}

} // namespace bergamotpaddle
