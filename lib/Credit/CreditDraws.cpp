// The part of CreditBook that computes headrooms and plans draws.
#include "bergamotpaddle/Credit/CreditBook.h"

#include <algorithm>

namespace bergamotpaddle {

double
CreditBook::MaxHeld(const Balance& aBalance) const
{
  const std::uint64_t limit = aBalance.GrantLimit();
  const std::uint64_t unspent = limit - std::min(limit, aBalance.Used());
  return m_options.m_maxHeldShare *
         static_cast<double>(aBalance.m_freeAtLastRead + unspent);
}

std::uint64_t
CreditBook::BaseHeadroom(const Balance& aBalance, double aShare) const
{
  // A home holds the credit of the whole fleet; without a home, all holders
  // share it.
  const double holders = aBalance.m_drawRole == DrawRole::kHome
                           ? 1.0
                           : static_cast<double>(m_holderCount);
  const double shareOfFree =
    aShare * static_cast<double>(aBalance.m_freeAtLastRead);
  return std::min(static_cast<std::uint64_t>(shareOfFree / holders),
                  aBalance.m_maxHeldAhead);
}

std::uint64_t
CreditBook::WorkingHeadroom(const Balance& aBalance, Instant aNow) const
{
  if (aBalance.IsBorrowed()) {
    return 0; // A borrower draws nothing.
  }
  const double drawSeconds =
    Seconds(m_drawInterval) * m_options.m_workingDrawIntervals;
  const double seconds =
    std::max(Seconds(m_options.m_workingDuration), drawSeconds);
  const double shareOfRemaining =
    m_options.m_maxWorkingShare * static_cast<double>(aBalance.m_remaining);
  const auto byDemandOf = [&](double aSeconds) {
    return std::min(DrawRate(aBalance, aNow) * aSeconds, shareOfRemaining);
  };
  const auto maxLoss = static_cast<double>(aBalance.m_remainingLoss);
  const double needed =
    std::max({ byDemandOf(drawSeconds),
               std::min(byDemandOf(seconds), maxLoss),
               m_options.m_minHeadroomRequests * aBalance.m_averageRequest });
  return std::max({ aBalance.m_waitingTokens + aBalance.m_unmetLoans,
                    static_cast<std::uint64_t>(needed),
                    BaseHeadroom(aBalance, m_options.m_baseWorkingShare) });
}

std::uint64_t
CreditBook::Headroom(const Balance& aBalance, Instant aNow) const
{
  if (aBalance.IsBorrowed()) {
    return 0;
  }
  const double rate = DrawRate(aBalance, aNow);
  const bool isHome = aBalance.m_drawRole == DrawRole::kHome;
  const double totalRate = isHome ? rate : rate + aBalance.m_rateOfOthers;
  const double shareOfDemand = rate == 0 ? 0 : rate / totalRate;
  const double maxHeld = MaxHeld(aBalance) * shareOfDemand;
  const double byDemand =
    std::min({ rate * Seconds(m_options.m_outageDuration),
               maxHeld,
               static_cast<double>(aBalance.m_maxHeldAhead) });
  return std::max({ WorkingHeadroom(aBalance, aNow),
                    static_cast<std::uint64_t>(byDemand),
                    BaseHeadroom(aBalance, m_options.m_baseShare) });
}

std::uint64_t
CreditBook::TargetLimit(std::uint64_t aUsed,
                        std::uint64_t aCurrentLimit,
                        std::uint64_t aHeadroom) const
{
  const std::uint64_t target = aUsed + aHeadroom;
  const std::uint64_t unspent = aCurrentLimit - std::min(aCurrentLimit, aUsed);
  const double maxUnspent =
    static_cast<double>(aHeadroom) * m_options.m_lowerGrantFactor;
  const bool isUnchanged =
    target <= aCurrentLimit && static_cast<double>(unspent) <= maxUnspent;
  return isUnchanged ? aCurrentLimit : target;
}

bool
CreditBook::NeedsDraw(const Balance& aBalance, Instant aNow) const
{
  const std::uint64_t limit = aBalance.Limit();
  const std::uint64_t unspent =
    limit > aBalance.Used() ? limit - aBalance.Used() : 0;
  return unspent < WorkingHeadroom(aBalance, aNow) / 2;
}

bool
CreditBook::NeedsDraw(Instant aNow) const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [&](const auto& aEntry) {
      return NeedsDraw(aEntry.second, aNow);
    });
}

bool
CreditBook::NeedsReserve(Instant aNow) const
{
  return std::any_of(
    m_balances.begin(), m_balances.end(), [&](const auto& aEntry) {
      const Balance& balance = aEntry.second;
      return balance.Limit() < balance.GrantLimit() && NeedsDraw(balance, aNow);
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
CreditBook::CloseEarlierIncarnations(AccountCredit& aCredit) const
{
  std::vector<HolderId> ended;
  for (const auto& [incarnation, grant] : aCredit.m_grants) {
    if (incarnation != m_self.m_incarnation &&
        HostOfIncarnation(incarnation) == m_self.m_host) {
      ended.push_back(incarnation);
    }
  }
  for (const HolderId& incarnation : ended) {
    aCredit.Close(incarnation, m_closedReserves.contains(incarnation));
  }
  return !ended.empty();
}

std::optional<CreditPlan>
CreditBook::Plan(const CreditRecord& aRecord,
                 Instant aNow,
                 std::size_t aMaxAccounts)
{
  m_holderCount = std::max<std::size_t>(aRecord.m_holders.size(), 1);
  CreditPlan plan;
  for (auto& [account, balance] : m_balances) {
    const auto current = aRecord.m_accounts.find(account);
    AccountCredit credit =
      current == aRecord.m_accounts.end() ? AccountCredit{} : current->second;
    const bool isClosing = CloseEarlierIncarnations(credit);
    CreditGrant& grant = credit.m_grants[m_self.m_incarnation];
    const CreditGrant recorded = grant;
    grant = PlannedGrant(balance, credit, aNow);
    balance.m_unmetLoans = 0;
    const bool isConfirmed = grant.m_granted == recorded.m_granted &&
                             grant.m_working == recorded.m_working &&
                             grant.m_granted == balance.m_granted &&
                             grant.m_working == balance.m_working;
    if (!isClosing && isConfirmed) {
      CloseReserve(balance);
      continue;
    }
    balance.m_planned = grant;
    balance.m_hasPlan = true;
    if (grant == CreditGrant{}) {
      credit.m_grants.erase(m_self.m_incarnation);
    }
    plan.emplace(account, std::move(credit));
    if (plan.size() == aMaxAccounts) {
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
  // Replace this router's entry by what it may spend now. A larger grant in the
  // record means that a write that lowers it has not reached the store yet.
  CreditGrant ownGrant;
  ownGrant.m_granted = aBalance.OwnGrant();
  aCredit.m_grants[m_self.m_incarnation] = ownGrant;
  UpdateFromRecord(aBalance, aCredit);
  const std::uint64_t maxLimit =
    aBalance.GrantLimit() + aBalance.m_freeAtLastRead;
  const std::uint64_t limit = std::min(maxLimit,
                                       TargetLimit(aBalance.Used(),
                                                   aBalance.GrantLimit(),
                                                   Headroom(aBalance, aNow)));
  const std::uint64_t working =
    std::min(limit,
             TargetLimit(aBalance.Used(),
                         aBalance.WorkingLimit(),
                         WorkingHeadroom(aBalance, aNow)));
  const std::uint64_t granted = limit - std::min(limit, aBalance.m_borrowed);
  return { granted,
           working - std::min(working, aBalance.m_borrowed),
           aBalance.OwnSpent(),
           static_cast<std::uint64_t>(DemandRateAt(aBalance, aNow)),
           std::min(granted, aBalance.OwnUsed()) };
}

void
CreditBook::UpdateFromRecord(Balance& aBalance,
                             const AccountCredit& aCredit) const
{
  const std::uint64_t committed = aCredit.Committed();
  aBalance.m_isRead = true;
  aBalance.m_freeAtLastRead =
    aBalance.m_prepaid > committed ? aBalance.m_prepaid - committed : 0;
  aBalance.m_consumedByOthers = aCredit.Consumed();
  aBalance.m_closed = aCredit.m_closed;
  aBalance.m_closedSpent = aCredit.m_closedSpent;
  aBalance.m_writtenOff = aCredit.WrittenOff();
  aBalance.m_remainingLoss =
    RemainingLoss(m_options.m_lossBound, aCredit, aBalance.m_prepaid);
  aBalance.m_maxHeldAhead = MaxHeldAhead(
    m_options.m_lossBound, aCredit, m_self.m_incarnation, aBalance.m_prepaid);
  aBalance.m_grantedToOthers =
    committed - aCredit.m_closed - aBalance.OwnGrant();
  aBalance.m_rateOfOthers = static_cast<double>(aCredit.Rate());
  const std::uint64_t consumed = aCredit.Consumed() + aBalance.Used();
  aBalance.m_remaining =
    aBalance.m_prepaid > consumed ? aBalance.m_prepaid - consumed : 0;
}

CreditPlan
CreditBook::PlanStop(const CreditRecord& aRecord, std::size_t aMaxAccounts)
{
  m_isStopped = true;
  CreditPlan plan;
  for (const auto& [account, current] : aRecord.m_accounts) {
    const auto balance = m_balances.find(account);
    if (balance == m_balances.end() ||
        !current.m_grants.contains(m_self.m_incarnation)) {
      continue;
    }
    AccountCredit credit = current;
    CreditGrant& grant = credit.m_grants[m_self.m_incarnation];
    const std::uint64_t used = balance->second.Used();
    grant.m_granted = used - std::min(used, balance->second.m_borrowed);
    grant.m_spent = balance->second.OwnSpent();
    grant.m_used = grant.m_granted;
    constexpr bool kIsReserveClosed = false; // m_granted has no reserve now.
    credit.Close(m_self.m_incarnation, kIsReserveClosed);
    plan.emplace(account, std::move(credit));
    if (plan.size() == aMaxAccounts) {
      break;
    }
  }
  return plan;
}

void
CreditBook::CloseReserve(Balance& aBalance)
{
  // It stays open until the confirmed working grant covers what was used.
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
      balance.m_working = balance.OwnWorkingGrant();
      balance.m_hasPlan = false;
    }
  }
}

} // namespace bergamotpaddle
