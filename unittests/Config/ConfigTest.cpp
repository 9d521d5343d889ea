/// \file
/// Configuration files: what is wrong is named, all of it, with its place.
#include "bergamotpaddle/Config/Checks.h"
#include "bergamotpaddle/Config/ConfigStore.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace bergamotpaddle;
using nlohmann::json;

namespace {

const char* const kGood = R"({
  "accounts": { "cafe": { "api_key_sha256": ["%1"], "budget_tokens": 10 } },
  "pools": { "chat": { "slots": 4, "upstreams": { "u1": { "agent": "127.0.0.1:1", "zone": "a" } } } },
  "models": { "m": { "pool": "chat", "max_output_tokens": 8 } },
  "services": {} })";

json
Good()
{
  std::string text = kGood;
  text.replace(text.find("%1"), 2, std::string(64, 'a'));
  return json::parse(text);
}

/// Files that go with the test.
class Files
{
public:
  Files()
    : m_folder(std::filesystem::temp_directory_path() /
               ("bergamotpaddle-config-" + std::to_string(getpid())))
  {
    std::filesystem::create_directories(m_folder);
  }
  ~Files() { std::filesystem::remove_all(m_folder); }

  std::string Write(const std::string& aName, const json& aValue)
  {
    const std::string path = m_folder / aName;
    std::ofstream(path) << aValue.dump();
    return path;
  }

private:
  std::filesystem::path m_folder;
};

bool
Has(const std::vector<Finding>& aFindings,
    const std::string& aFile,
    const std::string& aPointer)
{
  return std::any_of(
    aFindings.begin(), aFindings.end(), [&](const Finding& aFinding) {
      return aFinding.m_file == aFile && aFinding.m_pointer == aPointer;
    });
}

std::string
Document(std::uint64_t aVersion)
{
  return json{
    { "version", aVersion },
    { "change_id", "c" },
    { "author", "a" },
    { "content", Good() }
  }.dump();
}

} // namespace

TEST_CASE("configuration files are checked whole", "[config]")
{
  Files files;
  json base = Good();

  SECTION("a right base with a right overlay merges")
  {
    const std::string overlay =
      files.Write("o.json", json::parse(R"({"pools":{"chat":{"slots":6}}})"));
    const auto merged = LoadConfiguration(files.Write("b.json", base), overlay);
    REQUIRE(merged.m_findings.empty());
    CHECK(json::parse(merged.m_content)["pools"]["chat"]["slots"] == 6);
  }

  SECTION("several faults of shape are all named")
  {
    base["accounts"]["cafe"]["budget_tokens"] = -1;
    base["pools"]["chat"]["slots"] = "many";
    const std::string path = files.Write("b.json", base);
    const auto merged = LoadConfiguration(path, "");
    CHECK(Has(merged.m_findings, path, "/accounts/cafe/budget_tokens"));
    CHECK(Has(merged.m_findings, path, "/pools/chat/slots"));
    CHECK(merged.m_content.empty());
  }

  SECTION("faults across values are all named")
  {
    base["models"]["m"]["pool"] = "none";
    base["accounts"]["bar"] = base["accounts"]["cafe"];
    base["pools"]["chat"]["slots_kept_for_short"] = 4;
    const std::string path = files.Write("b.json", base);
    const auto merged = LoadConfiguration(path, "");
    CHECK(Has(merged.m_findings, path, "/models/m/pool"));
    CHECK(Has(merged.m_findings, path, "/accounts/cafe/api_key_sha256/0"));
    CHECK(Has(merged.m_findings, path, "/pools/chat/slots_kept_for_short"));
  }

  SECTION("an overlay's faults are laid at its door")
  {
    const std::string overlay = files.Write(
      "o.json",
      json::parse(
        R"({"pools":{"chat":{"slots":0}},"accounts":{"nobody":{}}})"));
    const auto merged = LoadConfiguration(files.Write("b.json", base), overlay);
    CHECK(Has(merged.m_findings, overlay, "/accounts/nobody"));
    CHECK(Has(merged.m_findings, overlay, "/pools/chat/slots"));
  }
}

TEST_CASE("versions in force only rise", "[config]")
{
  ConfigStore store;
  int changes = 0;
  store.OnChange([&](const ConfigurationPtr&) { ++changes; });
  REQUIRE(store.Offer(Document(3)).ok());

  SECTION(
    "an older document, from a stale reader or a late peer, changes nothing")
  {
    CHECK(store.Offer(Document(2)).ok());
    CHECK(store.Current()->m_version == 3);
    CHECK(changes == 1);
  }

  SECTION("the same one is not taken twice")
  {
    CHECK(store.Offer(Document(3)).ok());
    CHECK(changes == 1);
  }

  SECTION("a newer one comes in force")
  {
    CHECK(store.Offer(Document(4)).ok());
    CHECK(store.Current()->m_version == 4);
  }

  SECTION("what does not parse is refused and the old one stays")
  {
    CHECK_FALSE(store.Offer("{").ok());
    CHECK(store.Current()->m_version == 3);
  }
}
