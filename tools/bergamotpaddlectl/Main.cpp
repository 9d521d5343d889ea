/// \file
/// Entry point of the operators' command-line tool.
#include "bergamotpaddle/Config/Checks.h"
#include "bergamotpaddle/Operator/Commands.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(
  settings,
  "",
  "path of a JSON file with kv, secret and processes (base URLs); see "
  "docs/CONFIGURATION.md");
DEFINE_string(output, "table", "table or json");
DEFINE_string(base, "", "config: path of the base file");
DEFINE_string(overlay, "", "config: path of the site's overlay");
DEFINE_string(author, "", "who makes the change; empty: the value of USER");
DEFINE_string(
  change_id,
  "",
  "identifies the change; repeat it to retry after a lost response");
DEFINE_string(comment, "", "why the change is made");
DEFINE_string(
  id,
  "",
  "budget top-up: identifies the top-up, which is booked only once");
DEFINE_bool(wait, false, "wait until the change is in force everywhere");
DEFINE_int32(wait_seconds, 14, "timeout of --wait in seconds");
DEFINE_string(request, "", "timeline: events of this request key");
DEFINE_string(account, "", "timeline: events of this client account");
DEFINE_string(upstream, "", "timeline: events of this upstream");
DEFINE_string(since, "", "timeline: events at or after this logical time");
DEFINE_bool(check, false, "check the settings and exit: 0 if valid, 2 if not");

namespace {

using namespace bergamotpaddle;

constexpr const char* kUsage =
  "operates a bergamotpaddle fleet\n"
  "  config validate|diff|apply|status|history|rollback VERSION\n"
  "  account list|show NAME\n"
  "  budget show ACCOUNT|top-up ACCOUNT TOKENS --id ID\n"
  "  pool drain|restore NAME\n"
  "  upstream drain|restore NAME\n"
  "  status\n"
  "  timeline [--request KEY] [--account NAME] [--upstream NAME] [--since "
  "TIME]";

CommandOptions
OptionsFromFlags()
{
  CommandOptions options;
  options.m_json = FLAGS_output == "json";
  options.m_base = FLAGS_base;
  options.m_overlay = FLAGS_overlay;
  options.m_author = FLAGS_author;
  if (options.m_author.empty()) {
    const char* user = std::getenv("USER");
    options.m_author = user == nullptr ? "unknown" : user;
  }
  options.m_changeId = FLAGS_change_id;
  options.m_comment = FLAGS_comment;
  options.m_topUpId = FLAGS_id;
  options.m_wait = FLAGS_wait;
  options.m_waitSeconds = FLAGS_wait_seconds;
  options.m_request = FLAGS_request;
  options.m_account = FLAGS_account;
  options.m_upstream = FLAGS_upstream;
  options.m_since = FLAGS_since;
  return options;
}

absl::StatusOr<OperatorSettings>
LoadSettings()
{
  const absl::StatusOr<nlohmann::json> file = ReadJsonFile(FLAGS_settings);
  if (!file.ok()) {
    return file.status();
  }
  try {
    OperatorSettings settings;
    settings.m_kv = file->at("kv").get<std::string>();
    settings.m_secret = file->at("secret").get<std::string>();
    settings.m_processes =
      file->at("processes").get<std::vector<std::string>>();
    return settings;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
      FLAGS_settings +
      ": kv, secret and processes are required: " + error.what());
  }
}

ExitCode
Dispatch(Session& aSession,
         const std::vector<std::string>& aWords,
         const CommandOptions& aOptions)
{
  const std::string& subject = aWords.front();
  if (subject == "config") {
    return RunConfigCommand(aSession, aWords, aOptions);
  }
  if (subject == "account") {
    return RunAccountCommand(aSession, aWords, aOptions);
  }
  if (subject == "budget") {
    return RunBudgetCommand(aSession, aWords, aOptions);
  }
  if (subject == "pool" || subject == "upstream") {
    return RunDrainCommand(aSession, aWords, aOptions);
  }
  if (subject == "status") {
    return RunStatusCommand(aSession, aOptions);
  }
  if (subject == "timeline") {
    return RunTimelineCommand(aSession, aOptions);
  }
  std::cerr << "bergamotpaddlectl: unknown command " << subject << "\n"
            << kUsage << "\n";
  return ExitCode::kUsage;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage(kUsage);
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const std::vector<std::string> words(aArguments + 1,
                                       aArguments + aArgumentCount);
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    std::cerr << "--output: \"" << FLAGS_output
              << "\" is unknown; allowed: table, json\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  // `config validate` reads files only, so it runs without settings of a fleet.
  const bool needsFleet =
    !(words.size() > 1 && words[0] == "config" && words[1] == "validate");
  absl::StatusOr<OperatorSettings> settings = OperatorSettings{};
  if (needsFleet || FLAGS_check) {
    settings = LoadSettings();
  }
  if (!settings.ok()) {
    std::cerr << "--settings: " << settings.status().message() << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  if (words.empty()) {
    std::cerr << kUsage << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  Session session(*settings);
  return static_cast<int>(Dispatch(session, words, OptionsFromFlags()));
}
