#include "bergamotpaddle/Budget/Values.h"

#include <absl/strings/str_cat.h>
#include <cassert>
#include <nlohmann/json.hpp>
#include <numeric>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

template<typename Id>
json
AmountsToJson(const std::map<Id, std::uint64_t>& aAmounts)
{
  json object = json::object();
  for (const auto& [id, amount] : aAmounts) {
    if constexpr (std::is_same_v<Id, std::string>) {
      object[id] = amount;
    } else {
      object[id.Str()] = amount;
    }
  }
  return object;
}

template<typename Id>
std::map<Id, std::uint64_t>
AmountsFromJson(const json& aObject)
{
  std::map<Id, std::uint64_t> amounts;
  for (const auto& [name, amount] : aObject.items()) {
    amounts.emplace(Id(name), amount.template get<std::uint64_t>());
  }
  return amounts;
}

template<typename Amounts>
std::uint64_t
Sum(const Amounts& aAmounts)
{
  return std::accumulate(
    aAmounts.begin(),
    aAmounts.end(),
    std::uint64_t{ 0 },
    [](std::uint64_t aSum, const auto& aItem) { return aSum + aItem.second; });
}

} // namespace

std::uint64_t
BudgetValue::Prepaid() const
{
  return Sum(m_topUps);
}

std::uint64_t
BudgetValue::Drawn() const
{
  return Sum(m_draws);
}

std::uint64_t
BudgetValue::Available() const
{
  const std::uint64_t used = Drawn() + m_charged;
  assert(used <= Prepaid() &&
         "draws and charges never exceed the prepaid amount");
  return Prepaid() - used;
}

std::string
BudgetValue::ToJson() const
{
  return json{
    { "top_ups", AmountsToJson(m_topUps) },
    { "draws", AmountsToJson(m_draws) },
    { "charged", m_charged }
  }.dump();
}

absl::StatusOr<BudgetValue>
BudgetValue::FromJson(const std::string& aText)
{
  try {
    const json value = json::parse(aText);
    BudgetValue budget;
    budget.m_topUps = AmountsFromJson<std::string>(value.at("top_ups"));
    budget.m_draws = AmountsFromJson<HolderId>(value.at("draws"));
    budget.m_charged = value.at("charged").get<std::uint64_t>();
    return budget;
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat("cannot parse the budget value: ", error.what()));
  }
}

std::string
LedgerValue::ToJson() const
{
  json closed = json::array();
  for (const AccountId& account : m_closed) {
    closed.push_back(account.Str());
  }
  return json{
    { "sealed", m_isSealed },
    { "charged", AmountsToJson(m_charged) },
    { "through", AmountsToJson(m_settledThrough) },
    { "doubled", AmountsToJson(m_duplicates) },
    { "closed", closed }
  }.dump();
}

absl::StatusOr<LedgerValue>
LedgerValue::FromJson(const std::string& aText)
{
  try {
    const json value = json::parse(aText);
    LedgerValue ledger;
    ledger.m_isSealed = value.at("sealed").get<bool>();
    ledger.m_charged = AmountsFromJson<AccountId>(value.at("charged"));
    ledger.m_settledThrough = AmountsFromJson<AgentId>(value.at("through"));
    ledger.m_duplicates = AmountsFromJson<std::string>(value.at("doubled"));
    for (const json& account : value.at("closed")) {
      ledger.m_closed.emplace(account.get<std::string>());
    }
    return ledger;
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat("cannot parse the ledger value: ", error.what()));
  }
}

absl::Status
SealedStatus()
{
  return absl::FailedPreconditionError("the holder is sealed; start a new one");
}

std::string
BudgetKey(const AccountId& aAccount)
{
  return "budget/" + aAccount.Str();
}

std::string
LedgerKey(const HolderId& aHolder)
{
  return "ledger/" + aHolder.Str();
}

std::string
DuplicateName(const AccountId& aAccount, const RequestKey& aKey)
{
  return absl::StrCat(aAccount.Str(), "|", aKey.Str());
}

} // namespace bergamotpaddle
