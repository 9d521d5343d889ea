#include "Output.h"

#include "bergamotpaddle/Config/Checks.h"
#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Operator/ConfigChange.h"

#include <absl/strings/str_cat.h>
#include <iostream>

namespace bergamotpaddle {

namespace {

using nlohmann::json;
using DocumentResult = absl::StatusOr<ConfigDocument>;

DocumentResult
ReadCurrent(Session& aSession)
{
  absl::Status status;
  const KeyValueEntry entry = aSession.Get(kConfigKey, status);
  if (!status.ok()) {
    return status;
  }
  if (entry.m_revision == 0) {
    return ConfigDocument{};
  }
  return ConfigDocument::FromJson(entry.m_value);
}

/// Prints the differences from \p aOld to \p aNew, one per line, and returns
/// their number.
std::size_t
PrintDiff(const json& aOld, const json& aNew)
{
  const json before = aOld.is_null() ? json::object() : aOld;
  const json patch = json::diff(before, aNew);
  for (const json& step : patch) {
    const auto operation = step.at("op").get<std::string>();
    const auto path = step.at("path").get<std::string>();
    if (operation == "add") {
      std::cout << "+ " << path << " " << step.at("value").dump() << "\n";
    }
    if (operation == "remove") {
      std::cout << "- " << path << " "
                << before.at(json::json_pointer(path)).dump() << "\n";
    }
    if (operation == "replace") {
      std::cout << "~ " << path << " "
                << before.at(json::json_pointer(path)).dump() << " -> "
                << step.at("value").dump() << "\n";
    }
  }
  return patch.size();
}

std::optional<json>
LoadOrPrintFindings(const CommandOptions& aOptions)
{
  const MergedConfiguration merged =
    LoadConfiguration(aOptions.m_base, aOptions.m_overlay);
  for (const Finding& finding : merged.m_findings) {
    std::cerr << finding.Str() << "\n";
  }
  if (!merged.m_findings.empty()) {
    return std::nullopt;
  }
  return json::parse(merged.m_content);
}

ExitCode
ReportChange(Session& aSession,
             const DocumentResult& aResult,
             const CommandOptions& aOptions)
{
  if (absl::IsAborted(aResult.status())) {
    return FailWith(ExitCode::kConflict,
                    absl::StrCat("conflict: ", aResult.status().message()));
  }
  if (!aResult.ok()) {
    return FailWith(ExitCode::kFailed, std::string(aResult.status().message()));
  }
  std::cout << "accepted as version " << aResult->m_version << " (change "
            << aResult->m_changeId << ")\n";
  return aOptions.m_wait ? WaitUntilInForce(aSession,
                                            aResult->m_version,
                                            aOptions.m_waitSeconds)
                         : ExitCode::kDone;
}

ExitCode
Replace(Session& aSession,
        const json& aContent,
        std::uint64_t aExpectedVersion,
        const CommandOptions& aOptions)
{
  const DocumentResult result = aSession.Await<DocumentResult>(
    [&](const std::function<void(DocumentResult)>& aDone) {
      ReplaceContent(aSession.KeyValue(),
                     aSession.Timers(),
                     aExpectedVersion,
                     aContent,
                     MakeOrigin(aOptions),
                     aDone);
    });
  return ReportChange(aSession, result, aOptions);
}

ExitCode
Apply(Session& aSession, const CommandOptions& aOptions, bool aIsDryRun)
{
  const std::optional<json> content = LoadOrPrintFindings(aOptions);
  if (!content.has_value()) {
    return ExitCode::kUsage;
  }
  const DocumentResult current = ReadCurrent(aSession);
  if (!current.ok()) {
    return FailWith(ExitCode::kFailed, std::string(current.status().message()));
  }
  const std::size_t differences = PrintDiff(current->m_content, *content);
  if (aIsDryRun) {
    return ExitCode::kDone;
  }
  const bool isRepeat =
    !aOptions.m_changeId.empty() && current->m_changeId == aOptions.m_changeId;
  if (differences == 0 && !isRepeat) {
    std::cout << "no changes\n";
    return ExitCode::kDone;
  }
  return Replace(aSession, *content, current->m_version, aOptions);
}

ExitCode
ShowStatus(Session& aSession, const CommandOptions& aOptions)
{
  const DocumentResult current = ReadCurrent(aSession);
  if (!current.ok()) {
    return FailWith(ExitCode::kFailed, std::string(current.status().message()));
  }
  json processes = json::array();
  std::vector<std::vector<std::string>> rows;
  for (const json& response : aSession.QueryAll("/admin/status")) {
    if (!response.is_object()) {
      continue;
    }
    const auto version = response.value("config_version", std::uint64_t{ 0 });
    processes.push_back(
      { { "process", response.value("process", "") }, { "version", version } });
    rows.push_back({ response.value("process", ""), std::to_string(version) });
  }
  if (aOptions.m_json) {
    std::cout << json{
      { "version", current->m_version },
      { "change_id", current->m_changeId },
      { "author", current->m_author },
      { "processes", processes }
    }.dump(2) << "\n";
    return ExitCode::kDone;
  }
  std::cout << "accepted: version " << current->m_version << " by "
            << current->m_author << " (change " << current->m_changeId << ")\n";
  PrintTable({ "PROCESS", "IN FORCE" }, rows);
  return ExitCode::kDone;
}

ExitCode
ShowHistory(Session& aSession, const CommandOptions& aOptions)
{
  absl::Status status;
  const auto entries = aSession.List("config/version/", status);
  const DocumentResult current = ReadCurrent(aSession);
  if (!status.ok() || !current.ok()) {
    return FailWith(ExitCode::kFailed, "the key-value service did not respond");
  }
  std::vector<ConfigDocument> documents;
  for (const auto& [key, entry] : entries) {
    const DocumentResult document = ConfigDocument::FromJson(entry.m_value);
    if (document.ok()) {
      documents.push_back(*document);
    }
  }
  if (current->m_version > 0) {
    documents.push_back(*current);
  }
  json versions = json::array();
  std::vector<std::vector<std::string>> rows;
  for (const ConfigDocument& document : documents) {
    versions.push_back({ { "version", document.m_version },
                         { "change_id", document.m_changeId },
                         { "author", document.m_author },
                         { "time_ms", document.m_timeMs },
                         { "comment", document.m_comment } });
    rows.push_back({ std::to_string(document.m_version),
                     document.m_author,
                     document.m_changeId,
                     document.m_comment });
  }
  if (aOptions.m_json) {
    std::cout << versions.dump(2) << "\n";
    return ExitCode::kDone;
  }
  PrintTable({ "VERSION", "AUTHOR", "CHANGE", "COMMENT" }, rows);
  return ExitCode::kDone;
}

ExitCode
Rollback(Session& aSession,
         const std::string& aVersion,
         const CommandOptions& aOptions)
{
  char* end = nullptr;
  const std::uint64_t version = std::strtoull(aVersion.c_str(), &end, 10);
  if (end == aVersion.c_str() || *end != '\0') {
    return FailWith(ExitCode::kUsage,
                    "rollback: VERSION must be a number; use config history to "
                    "list versions");
  }
  absl::Status status;
  const KeyValueEntry entry = aSession.Get(VersionKey(version), status);
  const DocumentResult current = ReadCurrent(aSession);
  if (!status.ok() || !current.ok()) {
    return FailWith(ExitCode::kFailed, "the key-value service did not respond");
  }
  const DocumentResult archived = ConfigDocument::FromJson(entry.m_value);
  if (entry.m_revision == 0 || !archived.ok()) {
    return FailWith(ExitCode::kUsage,
                    absl::StrCat("no archived version ", version));
  }
  // Creates a new version with the old content, since versions never decrease.
  PrintDiff(current->m_content, archived->m_content);
  CommandOptions options = aOptions;
  if (options.m_comment.empty()) {
    options.m_comment = absl::StrCat("rollback to version ", version);
  }
  return Replace(aSession, archived->m_content, current->m_version, options);
}

} // namespace

ExitCode
RunConfigCommand(Session& aSession,
                 const std::vector<std::string>& aArguments,
                 const CommandOptions& aOptions)
{
  const std::string subcommand = aArguments.size() > 1 ? aArguments[1] : "";
  if (subcommand == "validate") {
    const bool isValid = LoadOrPrintFindings(aOptions).has_value();
    std::cout << (isValid ? "configuration is valid\n" : "");
    return isValid ? ExitCode::kDone : ExitCode::kUsage;
  }
  if (subcommand == "diff" || subcommand == "apply") {
    return Apply(aSession, aOptions, subcommand == "diff");
  }
  if (subcommand == "status") {
    return ShowStatus(aSession, aOptions);
  }
  if (subcommand == "history") {
    return ShowHistory(aSession, aOptions);
  }
  if (subcommand == "rollback" && aArguments.size() == 3) {
    return Rollback(aSession, aArguments[2], aOptions);
  }
  return FailWith(
    ExitCode::kUsage,
    "config: use validate, diff, apply, status, history or rollback VERSION");
}

ExitCode
RunDrainCommand(Session& aSession,
                const std::vector<std::string>& aArguments,
                const CommandOptions& aOptions)
{
  const bool isValidUsage =
    aArguments.size() == 3 &&
    (aArguments[1] == "drain" || aArguments[1] == "restore");
  if (!isValidUsage) {
    return FailWith(
      ExitCode::kUsage,
      absl::StrCat(aArguments[0], ": use drain NAME or restore NAME"));
  }
  const std::string state = aArguments[1] == "drain" ? "drained" : "active";
  const bool isPool = aArguments[0] == "pool";
  auto edit = [&aArguments, state, isPool](json& aContent) -> absl::Status {
    for (auto& [poolName, pool] : aContent.at("pools").items()) {
      if (isPool && poolName == aArguments[2]) {
        pool["state"] = state;
        return absl::OkStatus();
      }
      if (!isPool && pool.at("upstreams").contains(aArguments[2])) {
        pool["upstreams"][aArguments[2]]["state"] = state;
        return absl::OkStatus();
      }
    }
    return absl::NotFoundError(
      absl::StrCat("unknown ", aArguments[0], " ", aArguments[2]));
  };
  CommandOptions options = aOptions;
  if (options.m_comment.empty()) {
    options.m_comment =
      absl::StrCat(aArguments[1], " ", aArguments[0], " ", aArguments[2]);
  }
  const DocumentResult result = aSession.Await<DocumentResult>(
    [&](const std::function<void(DocumentResult)>& aDone) {
      EditContent(aSession.KeyValue(),
                  aSession.Timers(),
                  edit,
                  MakeOrigin(options),
                  aDone);
    });
  return ReportChange(aSession, result, options);
}

} // namespace bergamotpaddle
