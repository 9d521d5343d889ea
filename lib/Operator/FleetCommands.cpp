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

/// A budget as JSON. Its charges include those in the ledgers of open holders.
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
    std::uint64_t chargedByHolder = 0;
    if (ledger.ok() && ledger->m_charged.contains(AccountId(aAccount))) {
      chargedByHolder = ledger->m_charged.at(AccountId(aAccount));
    }
    charged += chargedByHolder;
    holders.push_back({ { "holder", holder.Str() },
                        { "drawn", drawn },
                        { "charged", chargedByHolder } });
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
      const std::vector<std::string>& aArguments,
      const CommandOptions& aOptions)
{
  char* end = nullptr;
  const std::uint64_t tokens = std::strtoull(aArguments[3].c_str(), &end, 10);
  if (*end != '\0' || tokens == 0) {
    return FailWith(ExitCode::kUsage,
                    "top-up: TOKENS must be a number greater than 0");
  }
  if (aOptions.m_topUpId.empty()) {
    return FailWith(
      ExitCode::kUsage,
      "top-up: --id is required; a top-up with the same id is booked "
      "only once");
  }
  absl::Status status;
  const KeyValueEntry configEntry = aSession.Get(kConfigKey, status);
  const absl::StatusOr<Configuration> configuration =
    Configuration::FromDocument(configEntry.m_value);
  const AccountId account(aArguments[2]);
  if (!configuration.ok() || !configuration->m_accounts.contains(account)) {
    return FailWith(ExitCode::kUsage,
                    absl::StrCat("unknown account ",
                                 aArguments[2],
                                 "; use account list to see all accounts"));
  }
  const std::uint64_t initialTokens =
    configuration->m_accounts.at(account).m_budgetTokens;
  using Result = absl::StatusOr<KeyValueEntry>;
  const Result result =
    aSession.Await<Result>([&](const std::function<void(Result)>& aDone) {
      Update(
        aSession.KeyValue(),
        aSession.Timers(),
        BudgetKey(account),
        [&](const std::optional<std::string>& aStored) {
          BudgetValue budget;
          budget.m_topUps["initial"] = initialTokens;
          if (aStored.has_value()) {
            const absl::StatusOr<BudgetValue> parsed =
              BudgetValue::FromJson(*aStored);
            if (!parsed.ok()) {
              return TransformResult::Stop(parsed.status());
            }
            budget = *parsed;
          }
          auto [topUp, isNew] =
            budget.m_topUps.emplace(aOptions.m_topUpId, tokens);
          if (!isNew && topUp->second != tokens) {
            return TransformResult::Stop(
              absl::AlreadyExistsError(absl::StrCat("top-up ",
                                                    aOptions.m_topUpId,
                                                    " is already booked with ",
                                                    topUp->second,
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
      absl::StrCat(result.status().message(), "; retry with the same id"));
  }
  std::cout << "top-up " << aOptions.m_topUpId << " of " << tokens
            << " tokens is booked for " << aArguments[2] << "\n";
  return ExitCode::kDone;
}

/// Formats a logical time as "MILLISECONDS.COUNTER"; the counter is its lower
/// 16 bits.
std::string
FormatLogicalTime(std::uint64_t aTime)
{
  return absl::StrCat(aTime >> 16U, ".", aTime & 0xFFFFU);
}

} // namespace

ExitCode
RunBudgetCommand(Session& aSession,
                 const std::vector<std::string>& aArguments,
                 const CommandOptions& aOptions)
{
  if (aArguments.size() == 3 && aArguments[1] == "show") {
    return ShowBudget(aSession, aArguments[2], aOptions);
  }
  if (aArguments.size() == 4 && aArguments[1] == "top-up") {
    return TopUp(aSession, aArguments, aOptions);
  }
  return FailWith(ExitCode::kUsage,
                  "budget: use show ACCOUNT or top-up ACCOUNT TOKENS --id ID");
}

ExitCode
RunAccountCommand(Session& aSession,
                  const std::vector<std::string>& aArguments,
                  const CommandOptions& aOptions)
{
  const std::string subcommand = aArguments.size() > 1 ? aArguments[1] : "";
  if (subcommand != "list" &&
      !(subcommand == "show" && aArguments.size() == 3)) {
    return FailWith(ExitCode::kUsage, "account: use list or show NAME");
  }
  absl::Status status;
  const KeyValueEntry entry = aSession.Get(kConfigKey, status);
  const absl::StatusOr<Configuration> configuration =
    Configuration::FromDocument(entry.m_value);
  if (!status.ok() || !configuration.ok()) {
    return FailWith(ExitCode::kFailed,
                    "no configuration can be read; apply one first");
  }
  if (subcommand == "show") {
    if (!configuration->m_accounts.contains(AccountId(aArguments[2]))) {
      return FailWith(ExitCode::kUsage,
                      absl::StrCat("unknown account ",
                                   aArguments[2],
                                   "; use account list to see all accounts"));
    }
    return ShowBudget(aSession, aArguments[2], aOptions);
  }
  json accounts = json::array();
  std::vector<std::vector<std::string>> rows;
  for (const auto& [id, account] : configuration->m_accounts) {
    accounts.push_back({ { "account", id.Str() },
                         { "weight", account.m_weight },
                         { "budget_tokens", account.m_budgetTokens } });
    rows.push_back({ id.Str(),
                     std::to_string(account.m_weight),
                     std::to_string(account.m_budgetTokens) });
  }
  if (aOptions.m_json) {
    std::cout << accounts.dump(2) << "\n";
    return ExitCode::kDone;
  }
  PrintTable({ "ACCOUNT", "WEIGHT", "INITIAL BUDGET" }, rows);
  return ExitCode::kDone;
}

ExitCode
RunStatusCommand(Session& aSession, const CommandOptions& aOptions)
{
  const std::vector<json> responses = aSession.QueryAll("/admin/status");
  if (aOptions.m_json) {
    std::cout << json(responses).dump(2) << "\n";
    return ExitCode::kDone;
  }
  std::vector<std::vector<std::string>> rows;
  bool allResponded = true;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    const json& response = responses[i];
    if (!response.is_object()) {
      rows.push_back(
        { aSession.Settings().m_processes[i], "no response", "", "", "" });
      allResponded = false;
      continue;
    }
    const json running = response.contains("running")
                           ? response["running"]
                           : response.value("requests_under_way", json(0));
    const bool isStopping =
      response.value("stopping", false) || response.value("draining", false);
    rows.push_back(
      { response.value("process", ""),
        response.value("role", ""),
        response.value("zone", ""),
        response.value("config_version", json(0)).dump(),
        absl::StrCat(running.dump(), isStopping ? " draining" : "") });
  }
  PrintTable({ "PROCESS", "ROLE", "ZONE", "CONFIG", "IN FLIGHT" }, rows);
  return allResponded ? ExitCode::kDone : ExitCode::kFailed;
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
  for (const json& response : aSession.QueryAll(path)) {
    if (response.is_array()) {
      events.insert(events.end(), response.begin(), response.end());
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
    rows.push_back({ FormatLogicalTime(event.at("time").get<std::uint64_t>()),
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
