#include "bergamotpaddle/Gateway/CreditBook.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bergamotpaddle {

namespace {

constexpr double kRequestSmoothing = 0.1;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

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

CreditVerdict
CreditBook::Allot(const AccountId& aAccount, std::uint64_t aMost, Instant aNow)
{
  const auto found = m_balances.find(aAccount);
  if (found == m_balances.end() || m_isStopped) {
    return CreditVerdict::kOutOfReach;
  }
  NoteDemand(found->second, aMost, aNow);
  return TakeFrom(found->second, aMost);
}

CreditVerdict
CreditBook::TakeFrom(Balance& aBalance, std::uint64_t aMost)
{
  if (aBalance.Used() + aMost <= aBalance.Limit()) {
    aBalance.m_allotted += aMost;
    return CreditVerdict::kAllotted;
  }
  // What others spent only grows, so a budget that does not cover the request
  // beside that never will, unless it is raised.
  aBalance.m_hasRefused = true;
  const bool isCertainHere =
    aBalance.m_prepaid < aBalance.m_spentByOthers + aBalance.OwnSpent() + aMost;
  const bool isCertainThere =
    aBalance.IsBorrowed() && aBalance.m_told &&
    aBalance.m_told->m_prepaid == aBalance.m_prepaid &&
    aBalance.m_told->m_rest < aMost;
  const bool isCertain = isCertainHere || isCertainThere;
  return isCertain ? CreditVerdict::kExhausted : CreditVerdict::kOutOfReach;
}

void
CreditBook::Await(const AccountId& aAccount, std::uint64_t aMost)
{
  m_balances[aAccount].m_awaited += aMost;
}

CreditVerdict
CreditBook::AllotAwaited(const AccountId& aAccount, std::uint64_t aMost)
{
  if (m_isStopped) {
    return CreditVerdict::kOutOfReach;
  }
  const CreditVerdict verdict = TakeFrom(m_balances[aAccount], aMost);
  if (verdict == CreditVerdict::kAllotted) {
    StopAwaiting(aAccount, aMost);
  }
  return verdict;
}

void
CreditBook::StopAwaiting(const AccountId& aAccount, std::uint64_t aMost)
{
  m_balances[aAccount].m_awaited -= aMost;
}

bool
CreditBook::IsAwaited() const
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
CreditBook::SetDrawer(const AccountId& aAccount, Drawer aDrawer)
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
CreditBook::ToBorrow(Instant aNow) const
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
CreditBook::GiveBack(Instant aNow,
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
CreditBook::TakeBack(const std::map<AccountId, std::uint64_t>& aTokens)
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
    if (loan.m_lent == 0 && !loan.m_isMoreComing) {
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

double
CreditBook::DrawnRate(const Balance& aBalance, Instant aNow) const
{
  const double rate = RateAt(aBalance, aNow);
  return aBalance.m_drawer == Drawer::kHome
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

double
CreditBook::MostHeld(const Balance& aBalance) const
{
  const std::uint64_t limit = aBalance.GrantLimit();
  const std::uint64_t own = limit - std::min(limit, aBalance.Used());
  return m_options.m_mostHeldShare *
         static_cast<double>(aBalance.m_freeAtLastRead + own);
}

std::uint64_t
CreditBook::WithoutDemand(const Balance& aBalance, double aShare) const
{
  // A home alone holds what routers hold together.
  const double holders =
    aBalance.m_drawer == Drawer::kHome ? 1.0 : static_cast<double>(m_holders);
  const double ofFree = aShare * static_cast<double>(aBalance.m_freeAtLastRead);
  return static_cast<std::uint64_t>(ofFree / holders);
}

std::uint64_t
CreditBook::WorkingHeadroom(const Balance& aBalance, Instant aNow) const
{
  if (aBalance.IsBorrowed()) {
    return 0; // What is needed here is borrowed.
  }
  const double span =
    std::max(Seconds(m_options.m_workingSpan),
             Seconds(m_drawInterval) * m_options.m_workingDraws);
  const double ofRest =
    m_options.m_mostWorkingShare * static_cast<double>(aBalance.m_rest);
  const double byDemand = std::min(DrawnRate(aBalance, aNow) * span, ofRest);
  const double needed =
    std::max(byDemand, m_options.m_minRequests * aBalance.m_usualRequest);
  return std::max({ aBalance.m_awaited + aBalance.m_unmet,
                    static_cast<std::uint64_t>(needed),
                    WithoutDemand(aBalance, m_options.m_initialWorkingShare) });
}

std::uint64_t
CreditBook::Headroom(const Balance& aBalance, Instant aNow) const
{
  if (aBalance.IsBorrowed()) {
    return 0;
  }
  const double rate = DrawnRate(aBalance, aNow);
  const bool isHome = aBalance.m_drawer == Drawer::kHome;
  const double all = isHome ? rate : rate + aBalance.m_rateOfOthers;
  const double ofDemand = rate == 0 ? 0 : rate / all;
  const double most = MostHeld(aBalance) * ofDemand;
  const double byDemand = std::min(rate * Seconds(m_options.m_headroom), most);
  return std::max({ WorkingHeadroom(aBalance, aNow),
                    static_cast<std::uint64_t>(byDemand),
                    WithoutDemand(aBalance, m_options.m_initialShare) });
}

std::uint64_t
CreditBook::WantedLimit(std::uint64_t aUsed,
                        std::uint64_t aPresent,
                        std::uint64_t aHeadroom) const
{
  const std::uint64_t wanted = aUsed + aHeadroom;
  const std::uint64_t left = aPresent - std::min(aPresent, aUsed);
  const double kept = static_cast<double>(aHeadroom) * m_options.m_returnAbove;
  const bool isKept = wanted <= aPresent && static_cast<double>(left) <= kept;
  return isKept ? aPresent : wanted;
}

bool
CreditBook::IsShort(const Balance& aBalance, Instant aNow) const
{
  const std::uint64_t limit = aBalance.Limit();
  const std::uint64_t left =
    limit > aBalance.Used() ? limit - aBalance.Used() : 0;
  return left < WorkingHeadroom(aBalance, aNow) / 2;
}

bool
CreditBook::IsShort(Instant aNow) const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [&](const auto& aEntry) {
      return IsShort(aEntry.second, aNow);
    });
}

bool
CreditBook::NeedsReserve(Instant aNow) const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [&](const auto& aEntry) {
      const Balance& balance = aEntry.second;
      return balance.Limit() < balance.GrantLimit() && IsShort(balance, aNow);
    });
}

void
CreditBook::OpenReserves()
{
  for (auto& [account, balance] : m_balances) {
    balance.m_isReserveOpen = true;
  }
}

bool
CreditBook::HasOpenReserve() const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [](const auto& aEntry) {
      return aEntry.second.m_isReserveOpen;
    });
}

bool
CreditBook::CloseEarlierLives(AccountCredit& aCredit) const
{
  std::vector<HolderId> ended;
  for (const auto& [life, grant] : aCredit.m_grants) {
    if (life != m_self.m_life && HostOfLife(life) == m_self.m_host) {
      ended.push_back(life);
    }
  }
  for (const HolderId& life : ended) {
    aCredit.Close(life, m_closedReserves.contains(life));
  }
  return !ended.empty();
}

std::optional<CreditPlan>
CreditBook::Plan(const CreditRecord& aPresent, Instant aNow, std::size_t aMost)
{
  m_holders = std::max<std::size_t>(aPresent.m_holders.size(), 1);
  CreditPlan plan;
  for (auto& [account, balance] : m_balances) {
    const auto present = aPresent.m_accounts.find(account);
    AccountCredit credit =
      present == aPresent.m_accounts.end() ? AccountCredit{} : present->second;
    const bool isClosing = CloseEarlierLives(credit);
    CreditGrant& grant = credit.m_grants[m_self.m_life];
    const CreditGrant inRecord = grant;
    grant = PlannedGrant(balance, credit, aNow);
    balance.m_unmet = 0;
    const bool isConfirmed = grant.m_granted == inRecord.m_granted &&
                             grant.m_working == inRecord.m_working &&
                             grant.m_granted == balance.m_granted &&
                             grant.m_working == balance.m_working;
    if (!isClosing && isConfirmed) {
      CloseReserve(balance);
      continue;
    }
    balance.m_planned = grant;
    balance.m_hasPlan = true;
    if (grant == CreditGrant{}) {
      credit.m_grants.erase(m_self.m_life);
    }
    plan.emplace(account, std::move(credit));
    if (plan.size() == aMost) {
      break;
    }
  }
  return plan.empty() ? std::nullopt : std::optional(std::move(plan));
}

CreditGrant
CreditBook::PlannedGrant(Balance& aBalance,
                         AccountCredit aCredit,
                         Instant aNow) const
{
  // Our own entry counts as what we may spend now: what the record says beyond
  // that is a lowering of ours that did not arrive.
  aCredit.m_grants[m_self.m_life].m_granted = aBalance.OwnGrant();
  TakeRead(aBalance, aCredit);
  const std::uint64_t most = aBalance.GrantLimit() + aBalance.m_freeAtLastRead;
  const std::uint64_t wanted = std::min(most,
                                        WantedLimit(aBalance.Used(),
                                                    aBalance.GrantLimit(),
                                                    Headroom(aBalance, aNow)));
  const std::uint64_t working =
    std::min(wanted,
             WantedLimit(aBalance.Used(),
                         aBalance.WorkingLimit(),
                         WorkingHeadroom(aBalance, aNow)));
  return { wanted - std::min(wanted, aBalance.m_borrowed),
           working - std::min(working, aBalance.m_borrowed),
           aBalance.OwnSpent(),
           static_cast<std::uint64_t>(RateAt(aBalance, aNow)) };
}

void
CreditBook::TakeRead(Balance& aBalance, const AccountCredit& aCredit) const
{
  const std::uint64_t committed = aCredit.Committed();
  aBalance.m_freeAtLastRead =
    aBalance.m_prepaid > committed ? aBalance.m_prepaid - committed : 0;
  aBalance.m_spentByOthers = aCredit.Spent();
  aBalance.m_closed = aCredit.m_closed;
  aBalance.m_closedSpent = aCredit.m_closedSpent;
  aBalance.m_grantedToOthers =
    committed - aCredit.m_closed - aBalance.OwnGrant();
  aBalance.m_rateOfOthers = static_cast<double>(aCredit.Rate());
  const std::uint64_t gone = aCredit.m_closed + aCredit.Spent() -
                             aCredit.m_closedSpent + aBalance.Used();
  aBalance.m_rest = aBalance.m_prepaid > gone ? aBalance.m_prepaid - gone : 0;
}

CreditPlan
CreditBook::PlanStop(const CreditRecord& aPresent, std::size_t aMost)
{
  m_isStopped = true;
  CreditPlan plan;
  for (const auto& [account, present] : aPresent.m_accounts) {
    const auto balance = m_balances.find(account);
    if (balance == m_balances.end() ||
        !present.m_grants.contains(m_self.m_life)) {
      continue;
    }
    AccountCredit credit = present;
    CreditGrant& grant = credit.m_grants[m_self.m_life];
    const std::uint64_t used = balance->second.Used();
    grant.m_granted = used - std::min(used, balance->second.m_borrowed);
    grant.m_spent = balance->second.OwnSpent();
    constexpr bool kIsReserveClosed = false; // Nothing is held in reserve.
    credit.Close(m_self.m_life, kIsReserveClosed);
    plan.emplace(account, std::move(credit));
    if (plan.size() == aMost) {
      break;
    }
  }
  return plan;
}

void
CreditBook::CloseReserve(Balance& aBalance)
{
  // It stays open until the record covers what was spent of it.
  if (aBalance.Used() <= aBalance.m_working + aBalance.m_borrowed) {
    aBalance.m_isReserveOpen = false;
  }
}

void
CreditBook::Confirm()
{
  for (auto& [account, balance] : m_balances) {
    if (balance.m_hasPlan) {
      balance.m_granted = balance.m_planned.m_granted;
      balance.m_working = balance.m_planned.m_working;
      balance.m_hasPlan = false;
      CloseReserve(balance);
    }
  }
}

void
CreditBook::Drop()
{
  for (auto& [account, balance] : m_balances) {
    if (balance.m_hasPlan) {
      balance.m_granted = balance.OwnGrant();
      balance.m_working = balance.OwnWorking();
      balance.m_hasPlan = false;
    }
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
  status.m_isDrawnHere = !balance.IsBorrowed();
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
