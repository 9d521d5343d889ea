#include "CrossChecks.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <map>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// A member's name as a token of a JSON pointer.
std::string
Token(const std::string& aName)
{
  return json::json_pointer().operator/=(aName).to_string();
}

std::string
NamesOf(const json& aObject)
{
  std::vector<std::string> names;
  for (const auto& [name, value] : aObject.items()) {
    names.push_back(name);
  }
  return absl::StrJoin(names, ", ");
}

void
CheckPoolReferences(const json& aContent,
                    const std::string& aSection,
                    const std::string& aFile,
                    std::vector<Finding>& aFindings)
{
  const json& pools = aContent.at("pools");
  for (const auto& [name, object] : aContent.at(aSection).items()) {
    const auto pool = object.at("pool").get<std::string>();
    if (!pools.contains(pool)) {
      aFindings.push_back(
        { aFile,
          absl::StrCat("/", aSection, Token(name), "/pool"),
          absl::StrCat(
            "unknown pool \"", pool, "\"; allowed: ", NamesOf(pools)) });
    }
  }
}

/// Reports every value of \p aSeen that stands a second time.
class OnceOnly
{
public:
  OnceOnly(std::string aWhat,
           std::string aFile,
           std::vector<Finding>& aFindings)
    : m_what(std::move(aWhat))
    , m_file(std::move(aFile))
    , m_findings(&aFindings)
  {
  }

  void See(const std::string& aValue, const std::string& aPointer)
  {
    auto [entry, isNew] = m_seen.emplace(aValue, aPointer);
    if (!isNew) {
      m_findings->push_back({ m_file,
                              aPointer,
                              absl::StrCat(m_what,
                                           " stands already at ",
                                           entry->second,
                                           "; give each its own") });
    }
  }

private:
  std::string m_what;
  std::string m_file;
  std::vector<Finding>* m_findings;
  std::map<std::string, std::string> m_seen;
};

void
CheckKeysOnce(const json& aContent,
              const std::string& aFile,
              std::vector<Finding>& aFindings)
{
  OnceOnly keys("duplicate API key hash: it", aFile, aFindings);
  for (const auto& [name, account] : aContent.at("accounts").items()) {
    std::size_t index = 0;
    for (const json& hash : account.at("api_key_sha256")) {
      keys.See(
        hash.get<std::string>(),
        absl::StrCat("/accounts", Token(name), "/api_key_sha256/", index++));
    }
  }
}

void
CheckUpstreamsOnce(const json& aContent,
                   const std::string& aFile,
                   std::vector<Finding>& aFindings)
{
  OnceOnly names("duplicate upstream: its name", aFile, aFindings);
  OnceOnly addresses("duplicate agent address: it", aFile, aFindings);
  for (const auto& [poolName, pool] : aContent.at("pools").items()) {
    for (const auto& [name, upstream] : pool.at("upstreams").items()) {
      const std::string pointer =
        absl::StrCat("/pools", Token(poolName), "/upstreams", Token(name));
      names.See(name, pointer);
      addresses.See(upstream.at("agent").get<std::string>(),
                    pointer + "/agent");
    }
  }
}

void
CheckSlots(const json& aContent,
           const std::string& aFile,
           std::vector<Finding>& aFindings)
{
  for (const auto& [name, pool] : aContent.at("pools").items()) {
    const int slots = pool.value("slots", 8);
    const int kept = pool.value("slots_kept_for_short", 2);
    if (kept >= slots) {
      aFindings.push_back(
        { aFile,
          absl::StrCat("/pools", Token(name), "/slots_kept_for_short"),
          absl::StrCat(kept,
                       " leaves no slot for long work; allowed: 0 to ",
                       slots - 1) });
    }
  }
}

void
WalkOverlay(const json& aBase,
            const json& aOverlay,
            const std::string& aPointer,
            const std::string& aFile,
            std::vector<Finding>& aFindings)
{
  for (const auto& [name, value] : aOverlay.items()) {
    const std::string pointer = aPointer + Token(name);
    if (!aBase.contains(name)) {
      aFindings.push_back(
        { aFile,
          pointer,
          absl::StrCat("the base has no such member; allowed here: ",
                       NamesOf(aBase)) });
      continue;
    }
    if (value.is_object() && aBase.at(name).is_object()) {
      WalkOverlay(aBase.at(name), value, pointer, aFile, aFindings);
    }
  }
}

} // namespace

std::vector<Finding>
CrossCheck(const json& aContent, const std::string& aFile)
{
  std::vector<Finding> findings;
  CheckPoolReferences(aContent, "models", aFile, findings);
  CheckPoolReferences(aContent, "services", aFile, findings);
  CheckKeysOnce(aContent, aFile, findings);
  CheckUpstreamsOnce(aContent, aFile, findings);
  CheckSlots(aContent, aFile, findings);
  return findings;
}

std::vector<Finding>
CheckOverlayNames(const json& aBase,
                  const json& aOverlay,
                  const std::string& aFile)
{
  std::vector<Finding> findings;
  if (!aBase.is_object() || !aOverlay.is_object()) {
    return findings;
  }
  WalkOverlay(aBase, aOverlay, "", aFile, findings);
  return findings;
}

} // namespace bergamotpaddle
