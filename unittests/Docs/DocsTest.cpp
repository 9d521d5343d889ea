/// \file
/// The pages that state what the code states say the same.
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
Read(const std::string& aName)
{
  std::ifstream file(std::string(BERGAMOTPADDLE_DOCS) + "/" + aName);
  REQUIRE(file.good());
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The rows of all tables, first cell stripped of its marks.
std::map<std::string, std::string>
RowsOf(const std::string& aText)
{
  std::map<std::string, std::string> rows;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("| ")) {
      continue;
    }
    std::string first = line.substr(2, line.find(" |", 2) - 2);
    std::erase(first, '`');
    rows[first] = line;
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

TEST_CASE("pages agree with the code", "[docs]")
{
  SECTION("every result code has its row, and no other row is there")
  {
    const auto rows = RowsOf(Read("RESULT-CODES.md"));
    std::set<std::string> known;
    for (const ResultCodeInfo& info : ResultCodeTable()) {
      const std::string code = std::to_string(static_cast<int>(info.m_code));
      known.insert(code);
      REQUIRE(rows.contains(code));
      std::ostringstream row;
      row << "| " << code << " | " << info.m_name << " | " << info.m_httpStatus
          << " | " << info.m_retryAfterSeconds << " | " << info.m_meaning
          << " |";
      CHECK(rows.at(code) == row.str());
    }
    for (const auto& [first, row] : rows) {
      const bool isNumber =
        first.find_first_not_of("0123456789") == std::string::npos;
      CHECK((!isNumber || known.contains(first)));
    }
  }

  SECTION("every setting of the schemas has its row with meaning and default")
  {
    const auto rows = RowsOf(Read("CONFIGURATION.md"));
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
    for (const auto& [first, row] : rows) {
      if (first.starts_with("/")) {
        INFO(first);
        CHECK(settings.contains(first));
      }
    }
  }
}
