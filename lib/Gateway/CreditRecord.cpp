#include "bergamotpaddle/Gateway/CreditRecord.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace bergamotpaddle {

using nlohmann::json;

std::uint64_t
AccountCredit::Committed() const
{
  std::uint64_t sum = m_closed;
  for (const auto& [life, grant] : m_grants) {
    sum += grant.m_granted;
  }
  return sum;
}

std::uint64_t
AccountCredit::Spent() const
{
  std::uint64_t sum = m_closedSpent;
  for (const auto& [life, grant] : m_grants) {
    sum += grant.m_spent;
  }
  return sum;
}

std::uint64_t
AccountCredit::Rate() const
{
  std::uint64_t sum = 0;
  for (const auto& [life, grant] : m_grants) {
    sum += grant.m_rate;
  }
  return sum;
}

void
AccountCredit::Close(const HolderId& aLife, bool aHasKeptReserve)
{
  if (const auto found = m_grants.extract(aLife)) {
    const CreditGrant& grant = found.mapped();
    m_closed += grant.m_granted - (aHasKeptReserve ? grant.m_reserve : 0);
    m_closedSpent += grant.m_spent;
  }
}

std::string
CreditRecord::Encode() const
{
  // Holders by number: their names would stand once for each account.
  json holders = json::array();
  std::map<HolderId, std::size_t> numbers;
  for (const auto& [life, holder] : m_holders) {
    numbers[life] = holders.size();
    holders.push_back({ life.Str(),
                        holder.m_host,
                        holder.m_address,
                        holder.m_pledgedAt.m_boot,
                        holder.m_pledgedAt.m_steadyMs,
                        holder.m_pledgedAt.m_originUnixMs });
  }
  json accounts = json::object();
  for (const auto& [account, credit] : m_accounts) {
    json grants = json::array();
    for (const auto& [life, grant] : credit.m_grants) {
      const auto number = numbers.find(life);
      if (number != numbers.end() && grant != CreditGrant{}) {
        grants.push_back({ number->second,
                           grant.m_granted,
                           grant.m_spent,
                           grant.m_rate,
                           grant.m_reserve });
      }
    }
    accounts[account.Str()] = { { "closed", credit.m_closed },
                                { "closed_spent", credit.m_closedSpent },
                                { "grants", std::move(grants) } };
  }
  return json{
    { "holders", std::move(holders) }, { "accounts", std::move(accounts) }
  }.dump();
}

absl::StatusOr<CreditRecord>
CreditRecord::Decode(const std::string& aText)
{
  try {
    const json text = json::parse(aText);
    CreditRecord record;
    std::vector<HolderId> lives;
    for (const json& holder : text.at("holders")) {
      const HolderId life(holder.at(0).get<std::string>());
      lives.push_back(life);
      record.m_holders[life] = {
        holder.at(1),
        life,
        holder.at(2),
        { holder.at(3), holder.at(4), holder.at(5) },
      };
    }
    for (const auto& [account, credit] : text.at("accounts").items()) {
      AccountCredit& entry = record.m_accounts[AccountId(account)];
      entry.m_closed = credit.at("closed").get<std::uint64_t>();
      entry.m_closedSpent = credit.at("closed_spent").get<std::uint64_t>();
      for (const json& grant : credit.at("grants")) {
        const auto number = grant.at(0).get<std::size_t>();
        if (number >= lives.size()) {
          return absl::DataLossError("credit record: a grant of no holder");
        }
        CreditGrant& read = entry.m_grants[lives[number]];
        read = {
          grant.at(1).get<std::uint64_t>(),
          grant.at(2).get<std::uint64_t>(),
          grant.at(3).get<std::uint64_t>(),
          grant.at(4).get<std::uint64_t>(),
        };
        if (read.m_reserve > read.m_granted) {
          return absl::DataLossError("credit record: a reserve beyond a grant");
        }
      }
    }
    return record;
  } catch (const json::exception& error) {
    return absl::DataLossError(std::string("credit record: ") + error.what());
  }
}

} // namespace bergamotpaddle
