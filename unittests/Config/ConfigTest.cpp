/// \file
/// Tests that validation reports all errors of configuration files with their
/// locations, and that an old document never replaces a newer configuration.
#include "bergamotpaddle/Config/Checks.h"
#include "bergamotpaddle/Config/ConfigStore.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace bergamotpaddle;
using nlohmann::json;

namespace {

const char* const kValidContent = R"({
  "accounts": { "cafe": { "api_key_sha256": ["%1"], "budget_tokens": 10 } },
  "pools": { "chat": { "slots": 4, "upstreams": { "u1": { "agent": "127.0.0.1:1", "zone": "a" } } } },
  "models": { "m": { "pool": "chat", "max_output_tokens": 8 } },
  "services": {} })";

json
ValidContent()
{
  std::string text = kValidContent;
  text.replace(text.find("%1"), 2, std::string(64, 'a'));
  return json::parse(text);
}

/// Files in a temporary directory that is removed with the object.
class TemporaryFiles
{
public:
  TemporaryFiles()
    : m_directory(std::filesystem::temp_directory_path() /
                  ("bergamotpaddle-config-" + std::to_string(getpid())))
  {
    std::filesystem::create_directories(m_directory);
  }
  ~TemporaryFiles() { std::filesystem::remove_all(m_directory); }

  std::string Write(const std::string& aName, const json& aValue)
  {
    const std::string path = m_directory / aName;
    std::ofstream(path) << aValue.dump();
    return path;
  }

private:
  std::filesystem::path m_directory;
};

bool
HasFinding(const std::vector<Finding>& aFindings,
           const std::string& aFile,
           const std::string& aPointer)
{
  return std::any_of(
    aFindings.begin(), aFindings.end(), [&](const Finding& aFinding) {
      return aFinding.m_file == aFile && aFinding.m_pointer == aPointer;
    });
}

std::string
MakeDocument(std::uint64_t aVersion)
{
  return json{
    { "version", aVersion },
    { "change_id", "c" },
    { "author", "a" },
    { "content", ValidContent() }
  }.dump();
}

} // namespace

TEST_CASE("a configuration is merged from files and validated", "[config]")
{
  TemporaryFiles files;
  json base = ValidContent();

  SECTION("a valid base and a valid overlay are merged")
  {
    const std::string overlay =
      files.Write("o.json", json::parse(R"({"pools":{"chat":{"slots":6}}})"));
    const auto merged = LoadConfiguration(files.Write("b.json", base), overlay);
    REQUIRE(merged.m_findings.empty());
    CHECK(json::parse(merged.m_content)["pools"]["chat"]["slots"] == 6);
  }

  SECTION("all violations of the schema are reported")
  {
    base["accounts"]["cafe"]["budget_tokens"] = -1;
    base["pools"]["chat"]["slots"] = "many";
    const std::string path = files.Write("b.json", base);
    const auto merged = LoadConfiguration(path, "");
    CHECK(HasFinding(merged.m_findings, path, "/accounts/cafe/budget_tokens"));
    CHECK(HasFinding(merged.m_findings, path, "/pools/chat/slots"));
    CHECK(merged.m_content.empty());
  }

  SECTION("all inconsistencies between values are reported")
  {
    base["models"]["m"]["pool"] = "none";
    base["accounts"]["bar"] = base["accounts"]["cafe"];
    base["pools"]["chat"]["slots_kept_for_short"] = 4;
    const std::string path = files.Write("b.json", base);
    const auto merged = LoadConfiguration(path, "");
    CHECK(HasFinding(merged.m_findings, path, "/models/m/pool"));
    CHECK(
      HasFinding(merged.m_findings, path, "/accounts/cafe/api_key_sha256/0"));
    CHECK(
      HasFinding(merged.m_findings, path, "/pools/chat/slots_kept_for_short"));
  }

  SECTION("errors that come from the overlay name the overlay's file")
  {
    const std::string overlay = files.Write(
      "o.json",
      json::parse(
        R"({"pools":{"chat":{"slots":0}},"accounts":{"nobody":{}}})"));
    const auto merged = LoadConfiguration(files.Write("b.json", base), overlay);
    CHECK(HasFinding(merged.m_findings, overlay, "/accounts/nobody"));
    CHECK(HasFinding(merged.m_findings, overlay, "/pools/chat/slots"));
  }
}

TEST_CASE("the version in force never decreases", "[config]")
{
  ConfigStore store;
  int changes = 0;
  store.OnChange([&](const ConfigurationPtr&) { ++changes; });
  REQUIRE(store.Offer(MakeDocument(3)).ok());

  SECTION(
    "an older document, from a stale read or a peer that is behind, is ignored")
  {
    CHECK(store.Offer(MakeDocument(2)).ok());
    CHECK(store.Current()->m_version == 3);
    CHECK(changes == 1);
  }

  SECTION("the same version is not applied twice")
  {
    CHECK(store.Offer(MakeDocument(3)).ok());
    CHECK(changes == 1);
  }

  SECTION("a newer document is put in force")
  {
    CHECK(store.Offer(MakeDocument(4)).ok());
    CHECK(store.Current()->m_version == 4);
  }

  SECTION("an invalid document is rejected and the current one stays in force")
  {
    CHECK_FALSE(store.Offer("{").ok());
    CHECK(store.Current()->m_version == 3);
  }
}
