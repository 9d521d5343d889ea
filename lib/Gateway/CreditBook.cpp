#include "bergamotpaddle/Gateway/CreditBook.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <vector>

namespace bergamotpaddle {

namespace {

constexpr double kRequestSmoothing = 0.1;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::int64_t
WholeMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

std::uint64_t
CreditBook::Balance::OwnMost() const
{
  return m_hasPlan ? std::min(m_granted, m_planned) : m_granted;
}

std::uint64_t
CreditBook::Balance::OwnFree() const
{
  return m_hasPlan ? std::min(m_free, m_plannedFree) : m_free;
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
  if (found == m_balances.end() || m_isStopped) {
    return CreditVerdict::kOutOfReach;
  }
  Balance& balance = found->second;
  NoteDemand(balance, aMost, aNow);
  if (balance.Used() + aMost <= balance.Limit(IsReserveOpen(aNow))) {
    balance.m_allotted += aMost;
    return CreditVerdict::kAllotted;
  }
  // What others spent only grows, so a budget that does not cover the request
  // beside that never will, unless it is raised.
  balance.m_hasRefused = true;
  const bool isCertain =
    balance.m_prepaid < balance.m_spentByOthers + balance.OwnSpent() + aMost;
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

std::map<AccountId, std::uint64_t>
CreditBook::Lend(const std::map<AccountId, std::uint64_t>& aWanted,
                 double aShare,
                 Instant aNow)
{
  std::map<AccountId, std::uint64_t> lent;
  for (const auto& [account, wanted] : aWanted) {
    const auto most = static_cast<std::uint64_t>(
      static_cast<double>(Spendable(account, aNow)) * aShare);
    if (const std::uint64_t tokens = std::min(wanted, most); tokens > 0) {
      m_balances[account].m_lent += tokens;
      lent[account] = tokens;
    }
  }
  return lent;
}

std::map<AccountId, std::uint64_t>
CreditBook::AllSpendable(Instant aNow) const
{
  std::map<AccountId, std::uint64_t> all;
  for (const auto& [account, balance] : m_balances) {
    all[account] = Spendable(account, aNow);
  }
  return all;
}

std::map<AccountId, std::uint64_t>
CreditBook::TakeWanted(Instant aNow)
{
  std::map<AccountId, std::uint64_t> wanted;
  for (auto& [account, balance] : m_balances) {
    if (std::exchange(balance.m_hasRefused, false)) {
      const double span = Seconds(m_options.m_borrowedSpan);
      wanted[account] = static_cast<std::uint64_t>(
        std::max(RateAt(balance, aNow) * span,
                 balance.m_usualRequest * m_options.m_minRequests));
    }
  }
  return wanted;
}

void
CreditBook::Borrow(const std::map<AccountId, std::uint64_t>& aTokens)
{
  for (const auto& [account, tokens] : aTokens) {
    m_balances[account].m_borrowed += tokens;
  }
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
  const auto prepaid = static_cast<double>(aBalance.m_prepaid);
  const double rate = RateAt(aBalance, aNow);
  const double ofDemand =
    rate == 0 ? 0 : rate / (rate + aBalance.m_rateOfOthers);
  const double faded =
    m_options.m_fadeSlope *
    (static_cast<double>(aBalance.m_rest) - m_options.m_fadeEnd * prepaid);
  const double most =
    std::max(faded, m_options.m_leastShare * prepaid) * ofDemand;
  const double byDemand = std::min(rate * Seconds(m_options.m_headroom), most);
  const double byRequests = m_options.m_minRequests * aBalance.m_usualRequest;
  const double withoutDemand =
    std::min(m_options.m_initialShare *
               static_cast<double>(aBalance.m_freeAtLastRead),
             std::max(faded, 0.0)) /
    static_cast<double>(m_holders);
  return static_cast<std::uint64_t>(
    std::max({ byDemand, byRequests, withoutDemand }));
}

std::uint64_t
CreditBook::UnpledgedHeadroom(const Balance& aBalance, Instant aNow) const
{
  const std::uint64_t whole = Headroom(aBalance, aNow);
  if (!aBalance.m_lastDemand) {
    return whole / 2;
  }
  const double byDemand =
    RateAt(aBalance, aNow) * Seconds(m_options.m_unpledged);
  const double byRequests = m_options.m_minRequests * aBalance.m_usualRequest;
  return std::min(whole,
                  static_cast<std::uint64_t>(std::max(byDemand, byRequests)));
}

std::uint64_t
CreditBook::WantedGrant(const Balance& aBalance,
                        std::uint64_t aFree,
                        Instant aNow) const
{
  const std::uint64_t wanted = aBalance.Used() + Headroom(aBalance, aNow);
  const std::uint64_t granted = aBalance.Most();
  if (wanted > granted) {
    return granted + std::min(wanted - granted, aFree);
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
      const std::uint64_t limit = balance.Limit(false);
      const std::uint64_t left =
        limit > balance.Used() ? limit - balance.Used() : 0;
      const bool canGrow =
        balance.m_freeAtLastRead > 0 || balance.Most() > balance.Limit(false);
      return canGrow && left < UnpledgedHeadroom(balance, aNow) / 4;
    });
}

bool
CreditBook::HasKeptReserve(const CreditHolder& aEarlier) const
{
  const HostTime& pledge = aEarlier.m_pledgedAt;
  const HostTime& start = m_self.m_pledgedAt;
  const std::int64_t stepped =
    std::abs(pledge.m_originUnixMs - start.m_originUnixMs);
  const bool isSameBoot = pledge.m_boot == start.m_boot &&
                          stepped <= WholeMs(m_options.m_sameBootWithin);
  return isSameBoot && start.m_steadyMs >= pledge.m_steadyMs &&
         start.m_steadyMs < pledge.m_steadyMs + WholeMs(m_options.m_pledge);
}

void
CreditBook::CloseEarlierLives(CreditRecord& aRecord) const
{
  std::vector<CreditHolder> ended;
  for (const auto& [life, holder] : aRecord.m_holders) {
    if (holder.m_host == m_self.m_host && life != m_self.m_life) {
      ended.push_back(holder);
    }
  }
  for (const CreditHolder& holder : ended) {
    aRecord.m_holders.erase(holder.m_life);
    for (auto& [account, credit] : aRecord.m_accounts) {
      credit.Close(holder.m_life, HasKeptReserve(holder));
    }
  }
}

CreditRecord
CreditBook::Plan(const CreditRecord& aPresent,
                 Instant aNow,
                 const HostTime& aHostNow)
{
  // While the platform is lost writes are tried on, and each would put the end
  // of the pledge off.
  if (std::exchange(m_isPledgeSettled, false)) {
    m_pledge = aHostNow;
    m_reserveOpensAt = aNow + m_options.m_pledge + m_options.m_pledgeMargin;
  }
  CreditRecord record = aPresent;
  CloseEarlierLives(record);
  CreditHolder self = m_self;
  self.m_pledgedAt = m_pledge;
  record.m_holders[m_self.m_life] = self;
  m_holders = record.m_holders.size();
  for (auto& [account, balance] : m_balances) {
    AccountCredit& credit = record.m_accounts[account];
    PlanAccount(balance, credit, aNow);
  }
  return record;
}

void
CreditBook::PlanAccount(Balance& aBalance,
                        AccountCredit& aCredit,
                        Instant aNow) const
{
  CreditGrant& grant = aCredit.m_grants[m_self.m_life];
  // Our own entry counts as what we may spend now: what the record says beyond
  // that is a lowering of ours that did not arrive.
  grant = { aBalance.OwnMost(), 0, 0, 0 };
  TakeRead(aBalance, aCredit);
  const std::uint64_t wanted =
    WantedGrant(aBalance, aBalance.m_freeAtLastRead, aNow);
  const std::uint64_t used = aBalance.Used();
  const std::uint64_t ownUsed = used - std::min(used, aBalance.m_borrowed);
  aBalance.m_planned = wanted - std::min(wanted, aBalance.m_borrowed);
  aBalance.m_plannedFree =
    std::min(aBalance.m_planned, ownUsed + UnpledgedHeadroom(aBalance, aNow));
  aBalance.m_hasPlan = true;
  grant = { aBalance.m_planned,
            aBalance.OwnSpent(),
            static_cast<std::uint64_t>(RateAt(aBalance, aNow)),
            aBalance.m_planned - aBalance.m_plannedFree };
}

void
CreditBook::TakeRead(Balance& aBalance, const AccountCredit& aCredit) const
{
  const std::uint64_t committed = aCredit.Committed();
  aBalance.m_freeAtLastRead =
    aBalance.m_prepaid > committed ? aBalance.m_prepaid - committed : 0;
  aBalance.m_spentByOthers = aCredit.Spent();
  aBalance.m_rateOfOthers = static_cast<double>(aCredit.Rate());
  const std::uint64_t gone = aCredit.m_closed + aCredit.Spent() -
                             aCredit.m_closedSpent + aBalance.Used();
  aBalance.m_rest = aBalance.m_prepaid > gone ? aBalance.m_prepaid - gone : 0;
}

CreditRecord
CreditBook::PlanStop(const CreditRecord& aPresent)
{
  m_isStopped = true;
  CreditRecord record = aPresent;
  for (auto& [account, credit] : record.m_accounts) {
    const auto balance = m_balances.find(account);
    if (balance == m_balances.end()) {
      continue;
    }
    CreditGrant& grant = credit.m_grants[m_self.m_life];
    const std::uint64_t used = balance->second.Used();
    grant.m_granted = used - std::min(used, balance->second.m_borrowed);
    grant.m_spent = balance->second.OwnSpent();
    grant.m_reserve = 0;
    credit.Close(m_self.m_life, false);
  }
  record.m_holders.erase(m_self.m_life);
  return record;
}

void
CreditBook::Confirm()
{
  m_isPledgeSettled = true;
  for (auto& [account, balance] : m_balances) {
    if (balance.m_hasPlan) {
      balance.m_granted = balance.m_planned;
      balance.m_free = balance.m_plannedFree;
      balance.m_hasPlan = false;
    }
  }
}

void
CreditBook::Drop()
{
  for (auto& [account, balance] : m_balances) {
    balance.m_granted = balance.OwnMost();
    balance.m_free = balance.OwnFree();
    balance.m_hasPlan = false;
  }
}

CreditStatus
CreditBook::Status(const AccountId& aAccount, Instant aNow) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end()) {
    return {};
  }
  const Balance& balance = found->second;
  return { balance.m_prepaid,
           balance.Limit(IsReserveOpen(aNow)),
           balance.Used(),
           balance.m_freeAtLastRead };
}

std::uint64_t
CreditBook::Spendable(const AccountId& aAccount, Instant aNow) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end()) {
    return 0;
  }
  const std::uint64_t limit = found->second.Limit(IsReserveOpen(aNow));
  const std::uint64_t used = found->second.Used();
  return limit > used ? limit - used : 0;
}

} // namespace bergamotpaddle
