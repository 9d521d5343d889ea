#include "bergamotpaddle/Gateway/CreditBook.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bergamotpaddle {

namespace {

constexpr double kRequestSmoothing = 0.1;

} // namespace

std::uint64_t
CreditBook::Balance::OwnGrant() const
{
  return m_hasPlan ? std::min(m_granted, m_planned.m_granted) : m_granted;
}

std::uint64_t
CreditBook::Balance::OwnWorking() const
{
  return m_hasPlan ? std::min(m_working, m_planned.m_working) : m_working;
}

std::uint64_t
CreditBook::Balance::OwnLimit() const
{
  if (!m_isReserveOpen) {
    return OwnWorking();
  }
  // The write under way closes the reserve, if it is confirmed.
  return m_hasPlan ? std::min(m_granted, m_planned.m_working) : m_granted;
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

AllotResult
CreditBook::Allot(const AccountId& aAccount, std::uint64_t aMost, Instant aNow)
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end() || m_isStopped) {
    return AllotResult::kNotGranted;
  }
  NoteDemand(found->second, aMost, aNow);
  return TakeFrom(found->second, aMost);
}

AllotResult
CreditBook::TakeFrom(Balance& aBalance, std::uint64_t aMost)
{
  if (aBalance.Used() + aMost <= aBalance.Limit()) {
    aBalance.m_allotted += aMost;
    return AllotResult::kAllotted;
  }
  // What others spent only grows, so a budget that does not cover the request
  // beside that never will, unless it is raised.
  aBalance.m_hasRefused = true;
  const bool isCertainHere =
    aBalance.m_prepaid < aBalance.m_spentByOthers + aBalance.OwnSpent() + aMost;
  const bool isCertainThere =
    aBalance.IsBorrowed() && aBalance.m_told &&
    aBalance.m_told->m_prepaid == aBalance.m_prepaid &&
    aBalance.m_told->m_unspent < aMost;
  const bool isCertain = isCertainHere || isCertainThere;
  return isCertain ? AllotResult::kExhausted : AllotResult::kNotGranted;
}

void
CreditBook::AddWaiter(const AccountId& aAccount, std::uint64_t aMost)
{
  m_balances[aAccount].m_awaited += aMost;
}

AllotResult
CreditBook::AllotWaiter(const AccountId& aAccount, std::uint64_t aMost)
{
  if (m_isStopped) {
    return AllotResult::kNotGranted;
  }
  const AllotResult verdict = TakeFrom(m_balances[aAccount], aMost);
  if (verdict == AllotResult::kAllotted) {
    RemoveWaiter(aAccount, aMost);
  }
  return verdict;
}

void
CreditBook::RemoveWaiter(const AccountId& aAccount, std::uint64_t aMost)
{
  m_balances[aAccount].m_awaited -= aMost;
}

bool
CreditBook::HasWaiters() const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [](const auto& aEntry) {
      const Balance& balance = aEntry.second;
      const bool isWanted = balance.m_awaited + balance.m_unmet > 0;
      return !balance.IsBorrowed() && isWanted;
    });
}

bool
CreditBook::CanObtain(const AccountId& aAccount, Instant aNow) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end() || m_isStopped) {
    return false;
  }
  const Balance& balance = found->second;
  return balance.IsBorrowed() ? aNow >= balance.m_emptyUntil
                              : balance.m_freeAtLastRead > 0;
}

bool
CreditBook::IsBorrowed(const AccountId& aAccount) const
{
  const auto found = m_balances.find(aAccount);
  return found != m_balances.end() && found->second.IsBorrowed();
}

void
CreditBook::SetDrawRole(const AccountId& aAccount, DrawRole aDrawer)
{
  if (const auto found = m_balances.find(aAccount); found != m_balances.end()) {
    found->second.m_drawer = aDrawer;
  }
}

std::vector<AccountId>
CreditBook::Accounts() const
{
  std::vector<AccountId> accounts;
  accounts.reserve(m_balances.size());
  for (const auto& [account, balance] : m_balances) {
    accounts.push_back(account);
  }
  return accounts;
}

std::map<AccountId, std::uint64_t>
CreditBook::TokensToBorrow(Instant aNow) const
{
  std::map<AccountId, std::uint64_t> wanted;
  for (const auto& [account, balance] : m_balances) {
    if (!balance.IsBorrowed() || aNow < balance.m_emptyUntil) {
      continue;
    }
    const std::uint64_t ahead = BorrowedHeadroom(balance, aNow);
    const std::uint64_t left = Spendable(account);
    if (left < ahead / 2 || left < balance.m_awaited) {
      wanted[account] = ahead - std::min(ahead, left);
    }
  }
  return wanted;
}

std::map<AccountId, std::uint64_t>
CreditBook::ReturnExcess(
  Instant aNow,
  const std::function<bool(const AccountId&)>& aMayReturn)
{
  std::map<AccountId, std::uint64_t> given;
  for (auto& [account, balance] : m_balances) {
    if (!balance.IsBorrowed() || balance.m_borrowed == 0 ||
        !aMayReturn(account)) {
      continue;
    }
    const std::uint64_t kept = BorrowedHeadroom(balance, aNow);
    const std::uint64_t left = Spendable(account);
    if (static_cast<double>(left) >
        static_cast<double>(kept) * m_options.m_giveBackAbove) {
      const std::uint64_t tokens = std::min(left - kept, balance.m_borrowed);
      balance.m_borrowed -= tokens;
      given[account] = tokens;
    }
  }
  return given;
}

void
CreditBook::AcceptReturned(const std::map<AccountId, std::uint64_t>& aTokens)
{
  for (const auto& [account, tokens] : aTokens) {
    Balance& balance = m_balances[account];
    // An earlier home may have lent it: then it is spent under that one's.
    const std::uint64_t ownLoan = std::min(balance.m_lent, tokens);
    balance.m_lent -= ownLoan;
    balance.m_borrowed += tokens - ownLoan;
  }
}

void
CreditBook::BorrowFromHome(const std::map<AccountId, CreditLoan>& aLoans,
                           Instant aNow)
{
  for (const auto& [account, loan] : aLoans) {
    Balance& balance = m_balances[account];
    balance.m_borrowed += loan.m_lent;
    balance.m_told = loan;
    if (loan.m_lent == 0 && !loan.m_isDrawPending) {
      balance.m_emptyUntil = aNow + m_options.m_emptyHold;
    }
  }
}

std::map<AccountId, CreditLoan>
CreditBook::LendAsHome(const std::map<AccountId, std::uint64_t>& aWanted,
                       Instant aNow)
{
  std::map<AccountId, CreditLoan> loans;
  for (const auto& [account, wanted] : aWanted) {
    const auto found = m_balances.find(account);
    if (found == m_balances.end()) {
      continue;
    }
    Balance& balance = found->second;
    const std::uint64_t lent = std::min(wanted, Spendable(account));
    // What is not lent is asked for again and would count twice as demand.
    NoteDemandRate(balance, lent, aNow);
    balance.m_lent += lent;
    if (balance.m_freeAtLastRead > 0) {
      balance.m_unmet += wanted - lent;
    }
    const std::uint64_t spent = balance.m_spentByOthers + balance.OwnSpent();
    loans[account] = { lent,
                       balance.m_prepaid - std::min(balance.m_prepaid, spent),
                       balance.m_prepaid,
                       lent < wanted && balance.m_freeAtLastRead > 0 };
  }
  return loans;
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
                 double aShare)
{
  std::map<AccountId, std::uint64_t> lent;
  for (const auto& [account, wanted] : aWanted) {
    const auto most = static_cast<std::uint64_t>(
      static_cast<double>(Spendable(account)) * aShare);
    if (const std::uint64_t tokens = std::min(wanted, most); tokens > 0) {
      m_balances[account].m_lent += tokens;
      lent[account] = tokens;
    }
  }
  return lent;
}

std::map<AccountId, std::uint64_t>
CreditBook::AllSpendable() const
{
  std::map<AccountId, std::uint64_t> all;
  for (const auto& [account, balance] : m_balances) {
    all[account] = Spendable(account);
  }
  return all;
}

std::map<AccountId, std::uint64_t>
CreditBook::TakeRefusedDemand(Instant aNow)
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

double
CreditBook::DrawnRate(const Balance& aBalance, Instant aNow) const
{
  const double rate = RateAt(aBalance, aNow);
  return aBalance.m_drawer == DrawRole::kHome
           ? std::max(rate, aBalance.m_rateOfOthers)
           : rate;
}

void
CreditBook::NoteDemand(Balance& aBalance,
                       std::uint64_t aTokens,
                       Instant aNow) const
{
  NoteDemandRate(aBalance, aTokens, aNow);
  const double tokens = static_cast<double>(aTokens);
  aBalance.m_usualRequest =
    aBalance.m_usualRequest == 0
      ? tokens
      : aBalance.m_usualRequest +
          kRequestSmoothing * (tokens - aBalance.m_usualRequest);
}

void
CreditBook::NoteDemandRate(Balance& aBalance,
                           std::uint64_t aTokens,
                           Instant aNow) const
{
  aBalance.m_demandRate =
    RateAt(aBalance, aNow) +
    static_cast<double>(aTokens) / Seconds(m_options.m_demandSpan);
  aBalance.m_lastDemand = aNow;
}

std::uint64_t
CreditBook::BorrowedHeadroom(const Balance& aBalance, Instant aNow) const
{
  const double rate = RateAt(aBalance, aNow);
  const double usual = aBalance.m_usualRequest * m_options.m_minRequests;
  const bool isBusy = rate * Seconds(m_options.m_idleSpan) >= usual;
  const double byDemand = isBusy ? rate * Seconds(m_options.m_borrowedSpan) : 0;
  const double byRequests = isBusy ? usual : 0;
  return std::max(aBalance.m_awaited,
                  static_cast<std::uint64_t>(std::max(byDemand, byRequests)));
}

CreditStatus
CreditBook::Status(const AccountId& aAccount, Instant aNow) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end()) {
    return {};
  }
  const Balance& balance = found->second;
  CreditStatus status;
  status.m_prepaid = balance.m_prepaid;
  status.m_limit = balance.Limit();
  status.m_used = balance.Used();
  status.m_free = balance.m_freeAtLastRead;
  status.m_spent = balance.m_spent;
  status.m_allotted = balance.m_allotted;
  status.m_lent = balance.m_lent;
  status.m_borrowed = balance.m_borrowed;
  status.m_closed = balance.m_closed;
  status.m_closedSpent = balance.m_closedSpent;
  status.m_grantedToOthers = balance.m_grantedToOthers;
  status.m_rate = static_cast<std::uint64_t>(RateAt(balance, aNow));
  status.m_isDrawnLocally = !balance.IsBorrowed();
  return status;
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
