#include "CrossChecks.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <map>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// A JSON pointer to the member \p aName, with special characters escaped.
std::string
PointerToken(const std::string& aName)
{
  return json::json_pointer().operator/=(aName).to_string();
}

std::string
JoinMemberNames(const json& aObject)
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
          absl::StrCat("/", aSection, PointerToken(name), "/pool"),
          absl::StrCat("unknown pool \"",
                       pool,
                       "\"; allowed: ",
                       JoinMemberNames(pools)) });
    }
  }
}

/// Reports values that occur more than once.
class UniquenessCheck
{
public:
  UniquenessCheck(std::string aProblem,
                  std::string aFile,
                  std::vector<Finding>& aFindings)
    : m_problem(std::move(aProblem))
    , m_file(std::move(aFile))
    , m_findings(&aFindings)
  {
  }

  void Add(const std::string& aValue, const std::string& aPointer)
  {
    auto [entry, isNew] = m_seen.emplace(aValue, aPointer);
    if (!isNew) {
      m_findings->push_back({ m_file,
                              aPointer,
                              absl::StrCat(m_problem,
                                           ": already used at ",
                                           entry->second,
                                           "; each must be unique") });
    }
  }

private:
  std::string m_problem;
  std::string m_file;
  std::vector<Finding>* m_findings;
  std::map<std::string, std::string> m_seen;
};

void
CheckApiKeysUnique(const json& aContent,
                   const std::string& aFile,
                   std::vector<Finding>& aFindings)
{
  UniquenessCheck keys("duplicate API key hash", aFile, aFindings);
  for (const auto& [name, account] : aContent.at("accounts").items()) {
    std::size_t index = 0;
    for (const json& hash : account.at("api_key_sha256")) {
      keys.Add(hash.get<std::string>(),
               absl::StrCat(
                 "/accounts", PointerToken(name), "/api_key_sha256/", index++));
    }
  }
}

void
CheckUpstreamsUnique(const json& aContent,
                     const std::string& aFile,
                     std::vector<Finding>& aFindings)
{
  UniquenessCheck names("duplicate upstream name", aFile, aFindings);
  UniquenessCheck addresses("duplicate agent address", aFile, aFindings);
  for (const auto& [poolName, pool] : aContent.at("pools").items()) {
    for (const auto& [name, upstream] : pool.at("upstreams").items()) {
      const std::string pointer = absl::StrCat(
        "/pools", PointerToken(poolName), "/upstreams", PointerToken(name));
      names.Add(name, pointer);
      addresses.Add(upstream.at("agent").get<std::string>(),
                    pointer + "/agent");
    }
  }
}

void
CheckReservedSlots(const json& aContent,
                   const std::string& aFile,
                   std::vector<Finding>& aFindings)
{
  for (const auto& [name, pool] : aContent.at("pools").items()) {
    const int slots = pool.value("slots", 8);
    const int keptForShort = pool.value("slots_kept_for_short", 2);
    if (keptForShort >= slots) {
      aFindings.push_back(
        { aFile,
          absl::StrCat("/pools", PointerToken(name), "/slots_kept_for_short"),
          absl::StrCat(keptForShort,
                       " leaves no slot for long work; allowed: 0 to ",
                       slots - 1) });
    }
  }
}

void
CheckOverlayMembers(const json& aBase,
                    const json& aOverlay,
                    const std::string& aPointer,
                    const std::string& aFile,
                    std::vector<Finding>& aFindings)
{
  for (const auto& [name, value] : aOverlay.items()) {
    const std::string pointer = aPointer + PointerToken(name);
    if (!aBase.contains(name)) {
      aFindings.push_back(
        { aFile,
          pointer,
          absl::StrCat("the base file has no such member; allowed: ",
                       JoinMemberNames(aBase)) });
      continue;
    }
    if (value.is_object() && aBase.at(name).is_object()) {
      CheckOverlayMembers(aBase.at(name), value, pointer, aFile, aFindings);
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
  CheckApiKeysUnique(aContent, aFile, findings);
  CheckUpstreamsUnique(aContent, aFile, findings);
  CheckReservedSlots(aContent, aFile, findings);
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
  CheckOverlayMembers(aBase, aOverlay, "", aFile, findings);
  return findings;
}

} // namespace bergamotpaddle
