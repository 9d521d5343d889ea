#include "bergamotpaddle/Credit/CreditRecord.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

absl::Status
DecodeError(const json::exception& aError)
{
  return absl::DataLossError(std::string("credit record: ") + aError.what());
}

} // namespace

std::string
HostOfIncarnation(const HolderId& aIncarnation)
{
  return aIncarnation.Str().substr(0, aIncarnation.Str().rfind('/'));
}

std::string
CreditHolder::Encode() const
{
  return json{ m_incarnation.Str(), m_host, m_address }.dump();
}

absl::StatusOr<CreditHolder>
CreditHolder::Decode(const std::string& aText)
{
  try {
    const json value = json::parse(aText);
    return CreditHolder{ value.at(1).get<std::string>(),
                         HolderId(value.at(0).get<std::string>()),
                         value.at(2).get<std::string>() };
  } catch (const json::exception& error) {
    return DecodeError(error);
  }
}

std::uint64_t
AccountCredit::Committed() const
{
  std::uint64_t sum = m_closed;
  for (const auto& [incarnation, grant] : m_grants) {
    sum += grant.m_granted;
  }
  return sum;
}

std::uint64_t
AccountCredit::Consumed() const
{
  std::uint64_t sum = m_closed;
  for (const auto& [incarnation, grant] : m_grants) {
    sum += grant.m_spent;
  }
  return sum;
}

std::uint64_t
AccountCredit::Rate() const
{
  std::uint64_t sum = 0;
  for (const auto& [incarnation, grant] : m_grants) {
    sum += grant.m_rate;
  }
  return sum;
}

void
AccountCredit::Close(const HolderId& aIncarnation, bool aIsReserveClosed)
{
  if (const auto grant = m_grants.extract(aIncarnation)) {
    const std::uint64_t closed =
      aIsReserveClosed ? grant.mapped().m_working : grant.mapped().m_granted;
    m_closed += closed;
    m_closedSpent += grant.mapped().m_spent;
    m_closedUsed += std::min(closed, grant.mapped().m_used);
  }
}

std::string
AccountCredit::Encode() const
{
  json grants = json::array();
  for (const auto& [incarnation, grant] : m_grants) {
    if (grant != CreditGrant{}) {
      grants.push_back({ incarnation.Str(),
                         grant.m_granted,
                         grant.m_working,
                         grant.m_spent,
                         grant.m_rate,
                         grant.m_used });
    }
  }
  return json{
    { "closed", m_closed },
    { "closed_spent", m_closedSpent },
    { "closed_used", m_closedUsed },
    { "grants", std::move(grants) }
  }.dump();
}

absl::StatusOr<AccountCredit>
AccountCredit::Decode(const std::string& aText)
{
  try {
    const json value = json::parse(aText);
    AccountCredit credit;
    credit.m_closed = value.at("closed").get<std::uint64_t>();
    credit.m_closedSpent = value.at("closed_spent").get<std::uint64_t>();
    credit.m_closedUsed = value.value("closed_used", credit.m_closedSpent);
    for (const json& grant : value.at("grants")) {
      const auto spent = grant.at(3).get<std::uint64_t>();
      credit.m_grants[HolderId(grant.at(0).get<std::string>())] = {
        grant.at(1).get<std::uint64_t>(),
        grant.at(2).get<std::uint64_t>(),
        spent,
        grant.at(4).get<std::uint64_t>(),
        grant.size() > 5 ? grant[5].get<std::uint64_t>() : spent
      };
    }
    return credit;
  } catch (const json::exception& error) {
    return DecodeError(error);
  }
}

void
CreditRecord::Apply(const CreditPlan& aPlan)
{
  for (const auto& [account, credit] : aPlan) {
    m_accounts[account] = credit;
  }
}

} // namespace bergamotpaddle
