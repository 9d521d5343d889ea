/// \file
/// The documentation's tables of result codes and settings match the code.
#include "bergamotpaddle/Config/Checks.h"
#include "bergamotpaddle/Support/ResultCode.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

using namespace bergamotpaddle;
using nlohmann::json;

namespace {

std::string
ReadPage(const std::string& aName)
{
  std::ifstream file(std::string(BERGAMOTPADDLE_DOCS) + "/" + aName);
  REQUIRE(file.good());
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the rows of all Markdown tables in \p aText by their first cell,
/// without backticks.
std::map<std::string, std::string>
TableRows(const std::string& aText)
{
  std::map<std::string, std::string> rows;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("| ")) {
      continue;
    }
    std::string key = line.substr(2, line.find(" |", 2) - 2);
    std::erase(key, '`');
    rows[key] = line;
  }
  return rows;
}

void
CollectSettings(const json& aSchema,
                const std::string& aPath,
                std::map<std::string, json>& aSettings)
{
  const json properties = aSchema.value("properties", json::object());
  for (const auto& [name, property] : properties.items()) {
    aSettings[aPath + "/" + name] = property;
    CollectSettings(property, aPath + "/" + name, aSettings);
  }
  if (aSchema.contains("additionalProperties") &&
      aSchema["additionalProperties"].is_object()) {
    CollectSettings(
      aSchema["additionalProperties"], aPath + "/NAME", aSettings);
  }
  if (aSchema.contains("items") &&
      aSchema["items"].value("type", "") == "object") {
    CollectSettings(aSchema["items"], aPath + "/N", aSettings);
  }
}

} // namespace

TEST_CASE("the documentation matches the code", "[docs]")
{
  SECTION("every result code has a row, and no row has an unknown code")
  {
    const auto rows = TableRows(ReadPage("RESULT-CODES.md"));
    std::set<std::string> resultCodes;
    for (const ResultCodeInfo& info : ResultCodeTable()) {
      const std::string code = std::to_string(static_cast<int>(info.m_code));
      resultCodes.insert(code);
      REQUIRE(rows.contains(code));
      std::ostringstream row;
      row << "| " << code << " | " << info.m_name << " | " << info.m_httpStatus
          << " | " << info.m_retryAfterSeconds << " | " << info.m_meaning
          << " |";
      CHECK(rows.at(code) == row.str());
    }
    for (const auto& [key, row] : rows) {
      const bool isNumber =
        key.find_first_not_of("0123456789") == std::string::npos;
      CHECK((!isNumber || resultCodes.contains(key)));
    }
  }

  SECTION("every setting has a row with its description and default")
  {
    const auto rows = TableRows(ReadPage("CONFIGURATION.md"));
    std::map<std::string, json> settings;
    CollectSettings(json::parse(ConfigurationSchema()), "", settings);
    CollectSettings(json::parse(ProcessSettingsSchema()), "", settings);
    for (const auto& [path, property] : settings) {
      INFO(path);
      REQUIRE(rows.contains(path));
      CHECK(rows.at(path).find(property.value("description", "")) !=
            std::string::npos);
      if (property.contains("default")) {
        CHECK(rows.at(path).find("| " + property["default"].dump() + " |") !=
              std::string::npos);
      }
    }
    for (const auto& [key, row] : rows) {
      if (key.starts_with("/")) {
        INFO(key);
        CHECK(settings.contains(key));
      }
    }
  }
}
