#include "bergamotpaddle/Gateway/CreditBook.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr double kRequestSmoothing = 0.1;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

std::uint64_t
AccountCredit::Committed() const
{
  std::uint64_t sum = m_closed;
  for (const auto& [holder, granted] : m_grants) {
    sum += granted;
  }
  return sum;
}

std::string
CreditRecord::Encode() const
{
  json holders = json::object();
  for (const auto& [life, holder] : m_holders) {
    holders[life.Str()] = { { "host", holder.m_host },
                            { "address", holder.m_address } };
  }
  json accounts = json::object();
  for (const auto& [account, credit] : m_accounts) {
    json grants = json::object();
    for (const auto& [life, granted] : credit.m_grants) {
      grants[life.Str()] = granted;
    }
    accounts[account.Str()] = { { "closed", credit.m_closed },
                                { "grants", std::move(grants) } };
  }
  return json{ { "holders", std::move(holders) },
               { "accounts", std::move(accounts) } }
    .dump();
}

absl::StatusOr<CreditRecord>
CreditRecord::Decode(const std::string& aText)
{
  try {
    const json text = json::parse(aText);
    CreditRecord record;
    for (const auto& [life, holder] : text.at("holders").items()) {
      record.m_holders[HolderId(life)] = { holder.at("host"),
                                           HolderId(life),
                                           holder.at("address") };
    }
    for (const auto& [account, credit] : text.at("accounts").items()) {
      AccountCredit& entry = record.m_accounts[AccountId(account)];
      entry.m_closed = credit.at("closed").get<std::uint64_t>();
      for (const auto& [life, granted] : credit.at("grants").items()) {
        entry.m_grants[HolderId(life)] = granted.get<std::uint64_t>();
      }
    }
    return record;
  } catch (const json::exception& error) {
    return absl::DataLossError(std::string("credit record: ") + error.what());
  }
}

std::uint64_t
CreditBook::Balance::Limit() const
{
  return m_hasPlan ? std::min(m_granted, m_planned) : m_granted;
}

CreditBook::CreditBook(CreditHolder aSelf, CreditOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

bool
CreditBook::SetPrepaid(const AccountId& aAccount, std::uint64_t aTokens)
{
  return std::exchange(m_balances[aAccount].m_prepaid, aTokens) != aTokens;
}

CreditVerdict
CreditBook::Allot(const AccountId& aAccount, std::uint64_t aMost, Instant aNow)
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end()) {
    return CreditVerdict::kOutOfReach;
  }
  Balance& balance = found->second;
  NoteDemand(balance, aMost, aNow);
  if (balance.Used() + aMost <= balance.Limit()) {
    balance.m_allotted += aMost;
    return CreditVerdict::kAllotted;
  }
  // Grants only grow at others' hands and closed lives stay spent, so what was
  // free when read is the most that can be had unless another router returns.
  const bool isCertain =
    balance.m_wasRead && balance.m_freeAtLastRead + balance.Limit() <
                           balance.Used() + aMost &&
    balance.m_prepaid < balance.m_spent + aMost;
  return isCertain ? CreditVerdict::kExhausted : CreditVerdict::kOutOfReach;
}

void
CreditBook::Settle(const AccountId& aAccount,
                   std::uint64_t aMost,
                   std::uint64_t aUsed)
{
  Balance& balance = m_balances[aAccount];
  balance.m_allotted -= std::min(balance.m_allotted, aMost);
  balance.m_spent += std::min(aUsed, aMost);
}

double
CreditBook::RateAt(const Balance& aBalance, Instant aNow) const
{
  if (!aBalance.m_lastDemand) {
    return 0;
  }
  const double passed = Seconds(aNow - *aBalance.m_lastDemand);
  return aBalance.m_demandRate *
         std::exp(-passed / Seconds(m_options.m_demandSpan));
}

void
CreditBook::NoteDemand(Balance& aBalance,
                       std::uint64_t aTokens,
                       Instant aNow) const
{
  const double tokens = static_cast<double>(aTokens);
  aBalance.m_demandRate =
    RateAt(aBalance, aNow) + tokens / Seconds(m_options.m_demandSpan);
  aBalance.m_lastDemand = aNow;
  aBalance.m_usualRequest =
    aBalance.m_usualRequest == 0
      ? tokens
      : aBalance.m_usualRequest +
          kRequestSmoothing * (tokens - aBalance.m_usualRequest);
}

std::uint64_t
CreditBook::Headroom(const Balance& aBalance, Instant aNow) const
{
  const double byDemand =
    RateAt(aBalance, aNow) * Seconds(m_options.m_headroom);
  const double byRequests = m_options.m_minRequests * aBalance.m_usualRequest;
  const double withoutDemand = m_options.m_initialShare *
                               static_cast<double>(aBalance.m_freeAtLastRead) /
                               static_cast<double>(m_holders);
  return static_cast<std::uint64_t>(
    std::max({ byDemand, byRequests, withoutDemand }));
}

std::uint64_t
CreditBook::WantedGrant(const Balance& aBalance,
                        std::uint64_t aFree,
                        Instant aNow) const
{
  const std::uint64_t wanted = aBalance.Used() + Headroom(aBalance, aNow);
  const std::uint64_t granted = aBalance.Limit();
  if (wanted > granted) {
    const auto most = static_cast<std::uint64_t>(
      static_cast<double>(aFree) * m_options.m_maxShareOfFree);
    return granted + std::min(wanted - granted, most);
  }
  const double spare = static_cast<double>(granted - aBalance.Used());
  const double kept = static_cast<double>(wanted - aBalance.Used());
  return spare > kept * m_options.m_returnAbove ? wanted : granted;
}

bool
CreditBook::IsShort(Instant aNow) const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [&](const auto& aEntry) {
      const Balance& balance = aEntry.second;
      const std::uint64_t limit = balance.Limit();
      const std::uint64_t left =
        limit > balance.Used() ? limit - balance.Used() : 0;
      return left < Headroom(balance, aNow) / 2;
    });
}

bool
CreditBook::CloseEarlierLives(CreditRecord& aRecord) const
{
  std::vector<HolderId> ended;
  for (const auto& [life, holder] : aRecord.m_holders) {
    if (holder.m_host == m_self.m_host && life != m_self.m_life) {
      ended.push_back(life);
    }
  }
  for (const HolderId& life : ended) {
    aRecord.m_holders.erase(life);
    for (auto& [account, credit] : aRecord.m_accounts) {
      if (const auto grant = credit.m_grants.extract(life)) {
        credit.m_closed += grant.mapped();
      }
    }
  }
  return !ended.empty();
}

std::optional<CreditRecord>
CreditBook::Plan(const CreditRecord& aPresent, Instant aNow)
{
  CreditRecord record = aPresent;
  bool isChanged = CloseEarlierLives(record);
  if (record.m_holders[m_self.m_life] != m_self) {
    record.m_holders[m_self.m_life] = m_self;
    isChanged = true;
  }
  m_holders = record.m_holders.size();
  for (auto& [account, balance] : m_balances) {
    AccountCredit& credit = record.m_accounts[account];
    // Our own entry counts as what we may spend now: what the record says
    // beyond that is a lowering of ours that did not arrive.
    std::uint64_t& grant = credit.m_grants[m_self.m_life];
    const std::uint64_t inRecord = grant;
    grant = balance.Limit();
    const std::uint64_t committed = credit.Committed();
    const std::uint64_t free =
      balance.m_prepaid > committed ? balance.m_prepaid - committed : 0;
    balance.m_freeAtLastRead = free;
    grant = WantedGrant(balance, free, aNow);
    balance.m_wasRead = true;
    balance.m_planned = grant;
    balance.m_hasPlan = true;
    isChanged = isChanged || grant != inRecord;
  }
  if (!isChanged) {
    Drop();
    return std::nullopt;
  }
  return record;
}

void
CreditBook::Confirm()
{
  for (auto& [account, balance] : m_balances) {
    if (balance.m_hasPlan) {
      balance.m_granted = balance.m_planned;
      balance.m_hasPlan = false;
    }
  }
}

void
CreditBook::Drop()
{
  for (auto& [account, balance] : m_balances) {
    balance.m_granted = balance.Limit();
    balance.m_hasPlan = false;
  }
}

CreditStatus
CreditBook::Status(const AccountId& aAccount) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end()) {
    return {};
  }
  const Balance& balance = found->second;
  return { balance.m_prepaid,
           balance.Limit(),
           balance.Used(),
           balance.m_freeAtLastRead };
}

std::uint64_t
CreditBook::Spendable(const AccountId& aAccount) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end()) {
    return 0;
  }
  const std::uint64_t limit = found->second.Limit();
  const std::uint64_t used = found->second.Used();
  return limit > used ? limit - used : 0;
}

} // namespace bergamotpaddle
