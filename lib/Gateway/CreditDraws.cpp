// What a router draws of its accounts, holds ahead and gives back.
#include "bergamotpaddle/Gateway/CreditBook.h"

#include <algorithm>

namespace bergamotpaddle {

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
    aBalance.m_drawer == DrawRole::kHome ? 1.0 : static_cast<double>(m_holders);
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
    m_options.m_mostWorkingShare * static_cast<double>(aBalance.m_remaining);
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
  const bool isHome = aBalance.m_drawer == DrawRole::kHome;
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
CreditBook::NeedsDraw(const Balance& aBalance, Instant aNow) const
{
  const std::uint64_t limit = aBalance.Limit();
  const std::uint64_t left =
    limit > aBalance.Used() ? limit - aBalance.Used() : 0;
  return left < WorkingHeadroom(aBalance, aNow) / 2;
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
CreditBook::CloseEarlierLives(AccountCredit& aCredit) const
{
  std::vector<HolderId> ended;
  for (const auto& [life, grant] : aCredit.m_grants) {
    if (life != m_self.m_incarnation &&
        HostOfIncarnation(life) == m_self.m_host) {
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
    CreditGrant& grant = credit.m_grants[m_self.m_incarnation];
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
      credit.m_grants.erase(m_self.m_incarnation);
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
  CreditGrant own;
  own.m_granted = aBalance.OwnGrant();
  aCredit.m_grants[m_self.m_incarnation] = own;
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
  aBalance.m_remaining =
    aBalance.m_prepaid > gone ? aBalance.m_prepaid - gone : 0;
}

CreditPlan
CreditBook::PlanStop(const CreditRecord& aPresent, std::size_t aMost)
{
  m_isStopped = true;
  CreditPlan plan;
  for (const auto& [account, present] : aPresent.m_accounts) {
    const auto balance = m_balances.find(account);
    if (balance == m_balances.end() ||
        !present.m_grants.contains(m_self.m_incarnation)) {
      continue;
    }
    AccountCredit credit = present;
    CreditGrant& grant = credit.m_grants[m_self.m_incarnation];
    const std::uint64_t used = balance->second.Used();
    grant.m_granted = used - std::min(used, balance->second.m_borrowed);
    grant.m_spent = balance->second.OwnSpent();
    constexpr bool kIsReserveClosed = false; // Nothing is held in reserve.
    credit.Close(m_self.m_incarnation, kIsReserveClosed);
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

} // namespace bergamotpaddle
