#include "Output.h"

#include "bergamotpaddle/Budget/Values.h"
#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Operator/ConfigChange.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iostream>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// A budget with the charges of the holders that are open.
json
BudgetJson(Session& aSession,
           const std::string& aAccount,
           absl::Status& aStatus)
{
  const KeyValueEntry entry =
    aSession.Get(BudgetKey(AccountId(aAccount)), aStatus);
  json result = { { "account", aAccount }, { "used", entry.m_revision != 0 } };
  if (!aStatus.ok() || entry.m_revision == 0) {
    return result;
  }
  const absl::StatusOr<BudgetValue> budget =
    BudgetValue::FromJson(entry.m_value);
  if (!budget.ok()) {
    aStatus = budget.status();
    return result;
  }
  std::uint64_t charged = budget->m_charged;
  json holders = json::array();
  for (const auto& [holder, drawn] : budget->m_draws) {
    const KeyValueEntry ledgerEntry = aSession.Get(LedgerKey(holder), aStatus);
    const absl::StatusOr<LedgerValue> ledger =
      LedgerValue::FromJson(ledgerEntry.m_value);
    std::uint64_t spent = 0;
    if (ledger.ok() && ledger->m_charged.contains(AccountId(aAccount))) {
      spent = ledger->m_charged.at(AccountId(aAccount));
    }
    charged += spent;
    holders.push_back(
      { { "holder", holder.Str() }, { "drawn", drawn }, { "charged", spent } });
  }
  result["prepaid"] = budget->Prepaid();
  result["charged"] = charged;
  result["available"] = budget->Available();
  result["top_ups"] = budget->m_topUps;
  result["holders"] = holders;
  return result;
}

ExitCode
ShowBudget(Session& aSession,
           const std::string& aAccount,
           const CommandOptions& aOptions)
{
  absl::Status status;
  const json budget = BudgetJson(aSession, aAccount, status);
  if (!status.ok()) {
    return FailWith(ExitCode::kFailed, std::string(status.message()));
  }
  if (aOptions.m_json) {
    std::cout << budget.dump(2) << "\n";
    return ExitCode::kDone;
  }
  if (!budget["used"].get<bool>()) {
    std::cout << "budget of " << aAccount << " has not been used yet\n";
    return ExitCode::kDone;
  }
  std::cout << "prepaid " << budget["prepaid"] << ", charged "
            << budget["charged"] << ", not drawn " << budget["available"]
            << " tokens\n";
  std::vector<std::vector<std::string>> rows;
  for (const json& holder : budget["holders"]) {
    rows.push_back({ holder["holder"].get<std::string>(),
                     holder["drawn"].dump(),
                     holder["charged"].dump() });
  }
  PrintTable({ "HOLDER", "DRAWN", "CHARGED" }, rows);
  return ExitCode::kDone;
}

ExitCode
TopUp(Session& aSession,
      const std::vector<std::string>& aWords,
      const CommandOptions& aOptions)
{
  char* end = nullptr;
  const std::uint64_t tokens = std::strtoull(aWords[3].c_str(), &end, 10);
  if (*end != '\0' || tokens == 0) {
    return FailWith(ExitCode::kUsage,
                    "top-up needs a number of tokens above 0");
  }
  if (aOptions.m_topUpId.empty()) {
    return FailWith(ExitCode::kUsage,
                    "top-up needs --id: the same id is never booked twice");
  }
  absl::Status status;
  const KeyValueEntry configEntry = aSession.Get(kConfigKey, status);
  const absl::StatusOr<Configuration> configuration =
    Configuration::FromDocument(configEntry.m_value);
  const AccountId account(aWords[2]);
  if (!configuration.ok() || !configuration->m_accounts.contains(account)) {
    return FailWith(
      ExitCode::kUsage,
      absl::StrCat("unknown account ", aWords[2], "; account list shows them"));
  }
  const std::uint64_t initial =
    configuration->m_accounts.at(account).m_budgetTokens;
  using Result = absl::StatusOr<KeyValueEntry>;
  const Result result =
    aSession.Await<Result>([&](const std::function<void(Result)>& aDone) {
      Update(
        aSession.KeyValue(),
        aSession.Timers(),
        BudgetKey(account),
        [&](const std::optional<std::string>& aPresent) {
          BudgetValue budget;
          budget.m_topUps["initial"] = initial;
          if (aPresent.has_value()) {
            const absl::StatusOr<BudgetValue> parsed =
              BudgetValue::FromJson(*aPresent);
            if (!parsed.ok()) {
              return TransformResult::Stop(parsed.status());
            }
            budget = *parsed;
          }
          auto [booked, isNew] =
            budget.m_topUps.emplace(aOptions.m_topUpId, tokens);
          if (!isNew && booked->second != tokens) {
            return TransformResult::Stop(
              absl::AlreadyExistsError(absl::StrCat("top-up ",
                                                    aOptions.m_topUpId,
                                                    " was booked with ",
                                                    booked->second,
                                                    " tokens")));
          }
          return isNew ? TransformResult::Write(budget.ToJson())
                       : TransformResult::Stop(absl::OkStatus());
        },
        aDone);
    });
  if (absl::IsAlreadyExists(result.status())) {
    return FailWith(ExitCode::kConflict,
                    std::string(result.status().message()));
  }
  if (!result.ok()) {
    return FailWith(
      ExitCode::kFailed,
      absl::StrCat(result.status().message(), "; ask again with the same id"));
  }
  std::cout << "top-up " << aOptions.m_topUpId << " of " << tokens
            << " tokens is booked for " << aWords[2] << "\n";
  return ExitCode::kDone;
}

std::string
TimeText(std::uint64_t aTime)
{
  return absl::StrCat(aTime >> 16U, ".", aTime & 0xFFFFU);
}

} // namespace

ExitCode
RunBudgetCommand(Session& aSession,
                 const std::vector<std::string>& aWords,
                 const CommandOptions& aOptions)
{
  if (aWords.size() == 3 && aWords[1] == "show") {
    return ShowBudget(aSession, aWords[2], aOptions);
  }
  if (aWords.size() == 4 && aWords[1] == "top-up") {
    return TopUp(aSession, aWords, aOptions);
  }
  return FailWith(ExitCode::kUsage,
                  "budget: use show ACCOUNT or top-up ACCOUNT TOKENS --id ID");
}

ExitCode
RunAccountCommand(Session& aSession,
                  const std::vector<std::string>& aWords,
                  const CommandOptions& aOptions)
{
  const std::string verb = aWords.size() > 1 ? aWords[1] : "";
  if (verb != "list" && !(verb == "show" && aWords.size() == 3)) {
    return FailWith(ExitCode::kUsage, "account: use list or show NAME");
  }
  absl::Status status;
  const KeyValueEntry entry = aSession.Get(kConfigKey, status);
  const absl::StatusOr<Configuration> configuration =
    Configuration::FromDocument(entry.m_value);
  if (!status.ok() || !configuration.ok()) {
    return FailWith(ExitCode::kFailed,
                    "there is no configuration to read; apply one first");
  }
  if (verb == "show") {
    if (!configuration->m_accounts.contains(AccountId(aWords[2]))) {
      return FailWith(ExitCode::kUsage,
                      absl::StrCat("unknown account ",
                                   aWords[2],
                                   "; account list shows them"));
    }
    return ShowBudget(aSession, aWords[2], aOptions);
  }
  json list = json::array();
  std::vector<std::vector<std::string>> rows;
  for (const auto& [id, account] : configuration->m_accounts) {
    list.push_back({ { "account", id.Str() },
                     { "weight", account.m_weight },
                     { "budget_tokens", account.m_budgetTokens } });
    rows.push_back({ id.Str(),
                     std::to_string(account.m_weight),
                     std::to_string(account.m_budgetTokens) });
  }
  if (aOptions.m_json) {
    std::cout << list.dump(2) << "\n";
    return ExitCode::kDone;
  }
  PrintTable({ "ACCOUNT", "WEIGHT", "FIRST BUDGET" }, rows);
  return ExitCode::kDone;
}

ExitCode
RunStatusCommand(Session& aSession, const CommandOptions& aOptions)
{
  const std::vector<json> answers = aSession.AskAll("/admin/status");
  if (aOptions.m_json) {
    std::cout << json(answers).dump(2) << "\n";
    return ExitCode::kDone;
  }
  std::vector<std::vector<std::string>> rows;
  bool allAnswered = true;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const json& answer = answers[i];
    if (!answer.is_object()) {
      rows.push_back(
        { aSession.Settings().m_processes[i], "no answer", "", "", "" });
      allAnswered = false;
      continue;
    }
    const json running = answer.contains("running")
                           ? answer["running"]
                           : answer.value("requests_under_way", json(0));
    const bool isStopping =
      answer.value("stopping", false) || answer.value("draining", false);
    rows.push_back(
      { answer.value("process", ""),
        answer.value("role", ""),
        answer.value("zone", ""),
        answer.value("config_version", json(0)).dump(),
        absl::StrCat(running.dump(), isStopping ? " draining" : "") });
  }
  PrintTable({ "PROCESS", "ROLE", "ZONE", "CONFIG", "UNDER WAY" }, rows);
  return allAnswered ? ExitCode::kDone : ExitCode::kFailed;
}

ExitCode
RunTimelineCommand(Session& aSession, const CommandOptions& aOptions)
{
  const std::string path = absl::StrCat("/admin/timeline?request=",
                                        aOptions.m_request,
                                        "&account=",
                                        aOptions.m_account,
                                        "&upstream=",
                                        aOptions.m_upstream,
                                        "&since=",
                                        aOptions.m_since);
  std::vector<json> events;
  for (const json& answer : aSession.AskAll(path)) {
    if (answer.is_array()) {
      events.insert(events.end(), answer.begin(), answer.end());
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const json& aLeft, const json& aRight) {
      return aLeft.at("time").get<std::uint64_t>() <
             aRight.at("time").get<std::uint64_t>();
    });
  if (aOptions.m_json) {
    std::cout << json(events).dump(2) << "\n";
    return ExitCode::kDone;
  }
  std::vector<std::vector<std::string>> rows;
  rows.reserve(events.size());
  for (const json& event : events) {
    rows.push_back({ TimeText(event.at("time").get<std::uint64_t>()),
                     event.at("process").get<std::string>(),
                     event.at("event").get<std::string>(),
                     event.at("request").get<std::string>(),
                     event.at("upstream").get<std::string>(),
                     event.at("detail").get<std::string>() });
  }
  PrintTable({ "TIME", "PROCESS", "EVENT", "REQUEST", "UPSTREAM", "DETAIL" },
             rows);
  return ExitCode::kDone;
}

} // namespace bergamotpaddle
