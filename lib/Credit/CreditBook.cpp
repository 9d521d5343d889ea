#include "bergamotpaddle/Credit/CreditBook.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bergamotpaddle {

namespace {

/// Weight of a new request in the moving average of request sizes, in (0, 1].
constexpr double kRequestSmoothing = 0.1;

} // namespace

std::uint64_t
CreditBook::Balance::OwnGrant() const
{
  return m_hasPlan ? std::min(m_granted, m_planned.m_granted) : m_granted;
}

std::uint64_t
CreditBook::Balance::OwnWorkingGrant() const
{
  return m_hasPlan ? std::min(m_working, m_planned.m_working) : m_working;
}

std::uint64_t
CreditBook::Balance::OwnLimit() const
{
  if (!m_isReserveOpen) {
    return OwnWorkingGrant();
  }
  // The write in progress closes the reserve if it is confirmed.
  return m_hasPlan ? std::min(m_granted, m_planned.m_working) : m_granted;
}

std::string_view
Describe(CreditShortage aShortage)
{
  switch (aShortage) {
    case CreditShortage::kDrawPending:
      return "draw_pending";
    case CreditShortage::kStoreUnavailable:
      return "store_unavailable";
    case CreditShortage::kSpent:
      return "spent";
  }
  return "";
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
CreditBook::Allot(const AccountId& aAccount,
                  std::uint64_t aMaxTokens,
                  Instant aNow,
                  CreditRank aRank)
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end() || m_isStopped) {
    return AllotResult::kNotGranted;
  }
  NoteDemand(found->second, aMaxTokens, aNow);
  NoteRankDemand(found->second, aRank, aMaxTokens, aNow);
  if (aRank == kMostUrgent && found->second.IsBorrowed()) {
    found->second.m_urgentDemand += aMaxTokens;
  }
  return AllotFrom(found->second, aMaxTokens, aRank, aNow);
}

AllotResult
CreditBook::AllotFrom(Balance& aBalance,
                      std::uint64_t aMaxTokens,
                      CreditRank aRank,
                      Instant aNow) const
{
  const std::uint64_t hold = HoldFor(aBalance, aRank, aNow);
  if (aBalance.Used() + aMaxTokens + hold <= aBalance.Limit()) {
    aBalance.m_allotted += aMaxTokens;
    return AllotResult::kAllotted;
  }
  // What other routers have spent, or took with them when they ended, never
  // decreases. A budget that does not cover it and this request never will
  // unless it is raised.
  aBalance.m_hasRefusals = true;
  const bool isExhaustedLocally =
    aBalance.m_prepaid <
    aBalance.m_consumedByOthers + aBalance.OwnSpent() + aMaxTokens;
  const bool isExhaustedAtHome =
    aBalance.IsBorrowed() && aBalance.m_lastLoan &&
    aBalance.m_lastLoan->m_prepaid == aBalance.m_prepaid &&
    aBalance.m_lastLoan->m_unspent < aMaxTokens;
  const bool isExhausted = isExhaustedLocally || isExhaustedAtHome;
  return isExhausted ? AllotResult::kExhausted : AllotResult::kNotGranted;
}

void
CreditBook::AddWaiter(const AccountId& aAccount,
                      std::uint64_t aMaxTokens,
                      CreditRank aRank)
{
  Balance& balance = m_balances[aAccount];
  balance.m_waitingTokens += aMaxTokens;
  balance.m_urgentWaiting += aRank == kMostUrgent ? aMaxTokens : 0;
}

AllotResult
CreditBook::AllotWaiter(const AccountId& aAccount,
                        std::uint64_t aMaxTokens,
                        Instant aNow,
                        CreditRank aRank)
{
  if (m_isStopped) {
    return AllotResult::kNotGranted;
  }
  const AllotResult result =
    AllotFrom(m_balances[aAccount], aMaxTokens, aRank, aNow);
  if (result == AllotResult::kAllotted) {
    RemoveWaiter(aAccount, aMaxTokens, aRank);
  }
  return result;
}

void
CreditBook::RemoveWaiter(const AccountId& aAccount,
                         std::uint64_t aMaxTokens,
                         CreditRank aRank)
{
  Balance& balance = m_balances[aAccount];
  balance.m_waitingTokens -= aMaxTokens;
  balance.m_urgentWaiting -= aRank == kMostUrgent ? aMaxTokens : 0;
}

bool
CreditBook::IsShort(const Balance& aBalance, Instant aNow) const
{
  if (aBalance.IsBorrowed()) {
    return aNow < aBalance.m_retryHomeAt;
  }
  const double freeSeconds = Seconds(m_options.m_workingDuration);
  return aBalance.m_isReserveOpen ||
         static_cast<double>(aBalance.m_freeAtLastRead) <
           DrawRate(aBalance, aNow) * freeSeconds;
}

double
CreditBook::RankRateAt(const RankDemand& aDemand, Instant aNow) const
{
  const double elapsed = Seconds(aNow - aDemand.m_lastDemand);
  return aDemand.m_rate *
         std::exp(-elapsed / Seconds(m_options.m_demandTimeConstant));
}

void
CreditBook::NoteRankDemand(Balance& aBalance,
                           CreditRank aRank,
                           std::uint64_t aTokens,
                           Instant aNow) const
{
  RankDemand& demand = aBalance.m_ranks[aRank];
  const auto tokens = static_cast<double>(aTokens);
  demand.m_rate =
    RankRateAt(demand, aNow) + tokens / Seconds(m_options.m_demandTimeConstant);
  demand.m_average += demand.m_average == 0
                        ? tokens
                        : kRequestSmoothing * (tokens - demand.m_average);
  demand.m_lastDemand = aNow;
}

std::uint64_t
CreditBook::HoldFor(const Balance& aBalance,
                    CreditRank aRank,
                    Instant aNow) const
{
  if (!IsShort(aBalance, aNow)) {
    return 0;
  }
  double urgentRate = 0;
  for (const auto& [rank, demand] : aBalance.m_ranks) {
    urgentRate += rank < aRank ? RankRateAt(demand, aNow) : 0;
  }
  // A borrower holds little: the home keeps the credit for all.
  const Duration duration = aBalance.IsBorrowed()
                              ? m_options.m_borrowedDuration
                              : m_options.m_urgentHoldDuration;
  const double maxHold = aBalance.IsBorrowed()
                           ? static_cast<double>(aBalance.Limit())
                           : m_options.m_maxUrgentHoldShare *
                               static_cast<double>(aBalance.m_prepaid);
  return static_cast<std::uint64_t>(
    std::min(urgentRate * Seconds(duration), maxHold));
}

std::uint64_t
CreditBook::UrgentHeadroom(const Balance& aBalance, Instant aNow) const
{
  const auto found = aBalance.m_ranks.find(kMostUrgent);
  if (found == aBalance.m_ranks.end()) {
    return aBalance.m_urgentWaiting;
  }
  const RankDemand& demand = found->second;
  const double rate = RankRateAt(demand, aNow);
  const double average = demand.m_average * m_options.m_minHeadroomRequests;
  const bool isBusy = rate * Seconds(m_options.m_maxBusyInterval) >= average;
  const double headroom =
    isBusy ? std::max(rate * Seconds(m_options.m_borrowedDuration), average)
           : 0;
  return std::max(aBalance.m_urgentWaiting,
                  static_cast<std::uint64_t>(headroom));
}

bool
CreditBook::HasWaiters() const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [](const auto& aEntry) {
      const Balance& balance = aEntry.second;
      const bool isWaiting = balance.m_waitingTokens + balance.m_unmetLoans > 0;
      return !balance.IsBorrowed() && isWaiting;
    });
}

bool
CreditBook::CanObtain(const AccountId& aAccount,
                      Instant aNow,
                      CreditRank aRank) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end() || m_isStopped) {
    return false;
  }
  const Balance& balance = found->second;
  if (!balance.IsBorrowed()) {
    return balance.m_freeAtLastRead > 0;
  }
  return aNow >= (aRank == kMostUrgent ? balance.m_retryUrgentAt
                                       : balance.m_retryHomeAt);
}

CreditShortage
CreditBook::ShortageOf(const AccountId& aAccount,
                       std::uint64_t aMaxTokens,
                       Instant aNow,
                       CreditRank aRank) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end() || m_isStopped) {
    return CreditShortage::kDrawPending; // Another router may have credit.
  }
  const Balance& balance = found->second;
  if (balance.IsBorrowed()) {
    const bool isReportValid =
      balance.m_lastLoan && aNow < balance.m_retryHomeAt;
    return isReportValid && balance.m_lastLoan->m_isSpent
             ? CreditShortage::kSpent
             : CreditShortage::kDrawPending;
  }
  const std::uint64_t needed = aMaxTokens + HoldFor(balance, aRank, aNow);
  const bool isSpent =
    balance.m_isRead && balance.Left() + balance.m_freeAtLastRead < needed;
  return isSpent ? CreditShortage::kSpent : CreditShortage::kDrawPending;
}

bool
CreditBook::IsBorrowed(const AccountId& aAccount) const
{
  const auto found = m_balances.find(aAccount);
  return found != m_balances.end() && found->second.IsBorrowed();
}

void
CreditBook::SetDrawRole(const AccountId& aAccount, DrawRole aRole)
{
  if (const auto found = m_balances.find(aAccount); found != m_balances.end()) {
    found->second.m_drawRole = aRole;
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

std::map<AccountId, CreditWant>
CreditBook::TokensToBorrow(Instant aNow)
{
  std::map<AccountId, CreditWant> requested;
  if (m_isStopped) {
    return requested;
  }
  for (auto& [account, balance] : m_balances) {
    if (!balance.IsBorrowed()) {
      continue;
    }
    const std::uint64_t spendable = Spendable(account);
    const auto missing = [spendable](std::uint64_t aHeadroom,
                                     std::uint64_t aWaiting) {
      const bool isNeeded = spendable < aHeadroom / 2 || spendable < aWaiting;
      return isNeeded ? aHeadroom - std::min(aHeadroom, spendable) : 0;
    };
    const std::uint64_t urgent =
      aNow < balance.m_retryUrgentAt
        ? 0
        : missing(UrgentHeadroom(balance, aNow), balance.m_urgentWaiting);
    const std::uint64_t tokens =
      aNow < balance.m_retryHomeAt
        ? 0
        : missing(BorrowedHeadroom(balance, aNow), balance.m_waitingTokens);
    if (urgent + tokens > 0) {
      requested[account] = CreditWant(std::max(urgent, tokens),
                                      urgent,
                                      std::exchange(balance.m_urgentDemand, 0));
    }
  }
  return requested;
}

std::map<AccountId, std::uint64_t>
CreditBook::ReturnExcess(
  Instant aNow,
  const std::function<bool(const AccountId&)>& aMayReturn)
{
  std::map<AccountId, std::uint64_t> returned;
  for (auto& [account, balance] : m_balances) {
    if (!balance.IsBorrowed() || balance.m_borrowed == 0 ||
        !aMayReturn(account)) {
      continue;
    }
    const std::uint64_t headroom = BorrowedHeadroom(balance, aNow);
    const std::uint64_t spendable = Spendable(account);
    if (static_cast<double>(spendable) >
        static_cast<double>(headroom) * m_options.m_returnExcessFactor) {
      const std::uint64_t tokens =
        std::min(spendable - headroom, balance.m_borrowed);
      balance.m_borrowed -= tokens;
      returned[account] = tokens;
    }
  }
  return returned;
}

void
CreditBook::AcceptReturned(const std::map<AccountId, std::uint64_t>& aTokens)
{
  for (const auto& [account, tokens] : aTokens) {
    Balance& balance = m_balances[account];
    // Credit that an earlier home lent is not part of this router's loans; it
    // becomes borrowed credit under that home's grant.
    const std::uint64_t ownLoan = std::min(balance.m_lent, tokens);
    balance.m_lent -= ownLoan;
    balance.m_borrowed += tokens - ownLoan;
  }
}

void
CreditBook::AcceptHomeLoans(const std::map<AccountId, CreditLoan>& aLoans,
                            const std::map<AccountId, CreditWant>& aWanted,
                            Instant aNow)
{
  for (const auto& [account, loan] : aLoans) {
    Balance& balance = m_balances[account];
    balance.m_borrowed += loan.m_lent;
    balance.m_lastLoan = loan;
    if (loan.m_isDrawPending) {
      continue;
    }
    const auto wanted = aWanted.find(account);
    const CreditWant want =
      wanted == aWanted.end() ? CreditWant() : wanted->second;
    const Instant retryAt = aNow + m_options.m_emptyRetryDelay;
    if (loan.m_lent <= want.m_urgent && want.m_tokens > want.m_urgent) {
      balance.m_retryHomeAt = retryAt;
    }
    if (loan.m_lent == 0) {
      balance.m_retryHomeAt = retryAt;
      if (want.m_urgent > 0) {
        balance.m_retryUrgentAt = retryAt;
      }
    }
  }
}

std::map<AccountId, CreditLoan>
CreditBook::LendAsHome(const std::map<AccountId, CreditWant>& aRequested,
                       Instant aNow)
{
  std::map<AccountId, CreditLoan> loans;
  for (const auto& [account, want] : aRequested) {
    const auto found = m_balances.find(account);
    if (found == m_balances.end()) {
      continue;
    }
    Balance& balance = found->second;
    const std::uint64_t requested = want.m_tokens;
    const std::uint64_t available = Spendable(account);
    const std::uint64_t urgent =
      std::min({ want.m_urgent, requested, available });
    if (want.m_urgentDemand > 0) {
      NoteRankDemand(balance, kMostUrgent, want.m_urgentDemand, aNow);
    }
    const std::uint64_t hold = HoldFor(balance, kMostUrgent + 1, aNow);
    const std::uint64_t left = available - urgent;
    const std::uint64_t lent =
      urgent + std::min(requested - urgent, left - std::min(left, hold));
    // Only loans count as demand: the rest is requested again and would count
    // twice.
    NoteDemandRate(balance, lent, aNow);
    balance.m_lent += lent;
    if (balance.m_freeAtLastRead > 0) {
      balance.m_unmetLoans += requested - lent;
    }
    const std::uint64_t spent = balance.m_consumedByOthers + balance.OwnSpent();
    const bool isMissing = lent < requested;
    const bool isFree = balance.m_freeAtLastRead > 0;
    loans[account] = { lent,
                       balance.m_prepaid - std::min(balance.m_prepaid, spent),
                       balance.m_prepaid,
                       isMissing && isFree,
                       isMissing && balance.m_isRead && !isFree &&
                         balance.Left() <= hold };
  }
  return loans;
}

void
CreditBook::Settle(const AccountId& aAccount,
                   std::uint64_t aMaxTokens,
                   std::uint64_t aUsed)
{
  Balance& balance = m_balances[aAccount];
  balance.m_allotted -= std::min(balance.m_allotted, aMaxTokens);
  balance.m_spent += std::min(aUsed, aMaxTokens);
}

std::map<AccountId, std::uint64_t>
CreditBook::Lend(const std::map<AccountId, std::uint64_t>& aRequested,
                 double aShare)
{
  std::map<AccountId, std::uint64_t> loans;
  for (const auto& [account, requested] : aRequested) {
    const auto available = static_cast<std::uint64_t>(
      static_cast<double>(Spendable(account)) * aShare);
    if (const std::uint64_t tokens = std::min(requested, available);
        tokens > 0) {
      m_balances[account].m_lent += tokens;
      loans[account] = tokens;
    }
  }
  return loans;
}

std::map<AccountId, std::uint64_t>
CreditBook::AllSpendable() const
{
  std::map<AccountId, std::uint64_t> spendable;
  for (const auto& [account, balance] : m_balances) {
    spendable[account] = Spendable(account);
  }
  return spendable;
}

std::map<AccountId, std::uint64_t>
CreditBook::TakeRefusedDemand(Instant aNow)
{
  std::map<AccountId, std::uint64_t> requested;
  for (auto& [account, balance] : m_balances) {
    if (std::exchange(balance.m_hasRefusals, false)) {
      const double seconds = Seconds(m_options.m_borrowedDuration);
      requested[account] = static_cast<std::uint64_t>(
        std::max(DemandRateAt(balance, aNow) * seconds,
                 balance.m_averageRequest * m_options.m_minHeadroomRequests));
    }
  }
  return requested;
}

void
CreditBook::AddBorrowed(const std::map<AccountId, std::uint64_t>& aTokens)
{
  for (const auto& [account, tokens] : aTokens) {
    m_balances[account].m_borrowed += tokens;
  }
}

double
CreditBook::DemandRateAt(const Balance& aBalance, Instant aNow) const
{
  if (!aBalance.m_lastDemand) {
    return 0;
  }
  const double elapsed = Seconds(aNow - *aBalance.m_lastDemand);
  return aBalance.m_demandRate *
         std::exp(-elapsed / Seconds(m_options.m_demandTimeConstant));
}

double
CreditBook::DrawRate(const Balance& aBalance, Instant aNow) const
{
  const double rate = DemandRateAt(aBalance, aNow);
  return aBalance.m_drawRole == DrawRole::kHome
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
  aBalance.m_averageRequest =
    aBalance.m_averageRequest == 0
      ? tokens
      : aBalance.m_averageRequest +
          kRequestSmoothing * (tokens - aBalance.m_averageRequest);
}

void
CreditBook::NoteDemandRate(Balance& aBalance,
                           std::uint64_t aTokens,
                           Instant aNow) const
{
  aBalance.m_demandRate =
    DemandRateAt(aBalance, aNow) +
    static_cast<double>(aTokens) / Seconds(m_options.m_demandTimeConstant);
  aBalance.m_lastDemand = aNow;
}

std::uint64_t
CreditBook::BorrowedHeadroom(const Balance& aBalance, Instant aNow) const
{
  const double rate = DemandRateAt(aBalance, aNow);
  const double average =
    aBalance.m_averageRequest * m_options.m_minHeadroomRequests;
  const bool isBusy = rate * Seconds(m_options.m_maxBusyInterval) >= average;
  const double byDemand =
    isBusy ? rate * Seconds(m_options.m_borrowedDuration) : 0;
  const double byRequests = isBusy ? average : 0;
  return std::max(aBalance.m_waitingTokens,
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
  status.m_writtenOff = balance.m_writtenOff;
  status.m_maxHeldAhead = balance.m_maxHeldAhead;
  status.m_grantedToOthers = balance.m_grantedToOthers;
  status.m_rate = static_cast<std::uint64_t>(DemandRateAt(balance, aNow));
  status.m_isDrawnLocally = !balance.IsBorrowed();
  return status;
}

std::uint64_t
CreditBook::Spendable(const AccountId& aAccount) const
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end() || m_isStopped) {
    return 0;
  }
  const std::uint64_t limit = found->second.Limit();
  const std::uint64_t used = found->second.Used();
  return limit > used ? limit - used : 0;
}

} // namespace bergamotpaddle
