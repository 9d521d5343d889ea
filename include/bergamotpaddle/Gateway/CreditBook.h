/// \file
/// Prepaid credit of one router without agents: what it may spend of each
/// client account on its own, through any loss of the platform.
///
/// A router spends only within its own grant in the shared record, so no
/// partition and no kill can overspend. A grant counts for spending only once a
/// write of this router that holds it is confirmed: a value that was merely
/// read could be undone by an older write of ours that the platform carries out
/// late.
///
/// Most of a grant is a reserve for losses of the platform. Each write pledges
/// to leave it alone for a while by the host's steady clock. A process that
/// starts on the same boot of the host within that time proves by its start
/// that the life before it, which had ended by then, kept the pledge: the
/// reserve is free again. After a loss of power the clock tells nothing and the
/// reserve stands as spent.
#pragma once

#include "bergamotpaddle/Gateway/CreditRecord.h"
#include "bergamotpaddle/Support/Time.h"

#include <optional>
#include <utility>

namespace bergamotpaddle {

/// How much is held beyond what was spent.
struct CreditOptions
{
  /// Demand that a grant covers without the platform. The longest loss of the
  /// platform seen on the users' sites is 8.7 s.
  Duration m_headroom = std::chrono::seconds(10);
  /// Span of the moving average of demand.
  Duration m_demandSpan = std::chrono::seconds(4);
  /// Least headroom, in requests of the account's usual size.
  double m_minRequests = 2;
  /// Part of an account's free credit that all routers together hold without
  /// demand; as a budget runs out they return it to where demand is.
  double m_initialShare = 0.15;
  /// What routers hold dies with them, so a budget near its end is drawn in
  /// small steps. All together hold the part of the budget by which its rest
  /// exceeds m_fadeEnd, times m_fadeSlope, and at least m_leastShare.
  double m_fadeEnd = 0.2;
  double m_fadeSlope = 1.0;
  double m_leastShare = 0.025;
  /// For how long a write pledges to leave reserves alone: the time between
  /// two writes and the longest restart seen on the users' sites, 1.4 s.
  Duration m_pledge = std::chrono::milliseconds(4000);
  /// Added before a reserve is touched: the clocks of a pledge are read apart
  /// and in whole milliseconds.
  Duration m_pledgeMargin = std::chrono::milliseconds(100);
  /// Greatest change of the time of day, beside the steady clock, with which a
  /// restarted process still takes the host's boot for the same.
  Duration m_sameBootWithin = std::chrono::milliseconds(500);
  /// Demand that the part beyond the reserve covers: a loss of the platform
  /// until the pledge ends.
  Duration m_unpledged = std::chrono::milliseconds(4000);
  /// Demand that is asked of another router at a time.
  Duration m_borrowedSpan = std::chrono::seconds(3);
  /// A grant above the wanted one by this factor is lowered.
  double m_returnAbove = 1.5;
};

/// What became of a request for credit.
enum class CreditVerdict
{
  kAllotted,
  kExhausted,  ///< Certain: the account's budget does not cover the request.
  kOutOfReach, ///< Credit may exist but is not granted to this router.
};

/// One account's credit as a router sees it, for logs.
struct CreditStatus
{
  std::uint64_t m_prepaid = 0;
  std::uint64_t m_limit = 0; ///< What this router may spend in all.
  std::uint64_t m_used = 0;  ///< Spent and allotted of that.
  std::uint64_t m_free = 0;  ///< Granted to nobody when the record was read.
  auto operator<=>(const CreditStatus&) const = default;
};

/// The accounts of one router.
class CreditBook
{
public:
  /// \p aSelf with the time at which the process started.
  CreditBook(CreditHolder aSelf, CreditOptions aOptions);

  /// Sets an account's budget; true if it changed. An account that is not set
  /// has none.
  bool SetPrepaid(const AccountId& aAccount, std::uint64_t aTokens);

  /// Sets aside \p aMost tokens for a request that is about to be sent.
  CreditVerdict Allot(const AccountId& aAccount,
                      std::uint64_t aMost,
                      Instant aNow);

  /// A request ended that was allotted \p aMost and used \p aUsed of it.
  void Settle(const AccountId& aAccount,
              std::uint64_t aMost,
              std::uint64_t aUsed);

  /// Gives up credit for another router to spend under our grant: of each
  /// account in \p aWanted what it wants, but at the most \p aShare of what is
  /// spendable here. Lost on the way, it stays unspent.
  std::map<AccountId, std::uint64_t> Lend(
    const std::map<AccountId, std::uint64_t>& aWanted,
    double aShare,
    Instant aNow);
  /// Everything spendable, as a wish.
  std::map<AccountId, std::uint64_t> AllSpendable(Instant aNow) const;
  /// Takes what another router lent; it may be spent at once.
  void Borrow(const std::map<AccountId, std::uint64_t>& aTokens);
  /// What is wanted of accounts that were refused for want of credit since the
  /// last call.
  std::map<AccountId, std::uint64_t> TakeWanted(Instant aNow);

  /// Whether the shared record should be written soon: some account has less
  /// than half of its headroom left.
  bool IsShort(Instant aNow) const;

  /// The record that this router wants, given the one that is \p aPresent; it
  /// pledges from \p aHostNow, read not after \p aNow, unless an earlier write
  /// may still take effect: then its pledge stands. From here until `Confirm`
  /// or `Drop` spending stays within both the old and the new grants.
  CreditRecord Plan(const CreditRecord& aPresent,
                    Instant aNow,
                    const HostTime& aHostNow);

  /// The record for a planned stop, with nothing under way any more: this life
  /// closes at what it used, so that nothing is lost. From here on nothing is
  /// allotted any more.
  CreditRecord PlanStop(const CreditRecord& aPresent);

  /// The planned record was written for certain.
  void Confirm();
  /// The planned record was not written, or nobody knows.
  void Drop();

  CreditStatus Status(const AccountId& aAccount, Instant aNow) const;

  /// Tokens that may still be allotted for \p aAccount.
  std::uint64_t Spendable(const AccountId& aAccount, Instant aNow) const;

private:
  /// One account as this router sees it.
  struct Balance
  {
    std::uint64_t m_prepaid = 0;
    std::uint64_t m_granted = 0; ///< Confirmed.
    std::uint64_t m_planned = 0; ///< In the write under way.
    std::uint64_t m_free = 0;    ///< Confirmed, beyond the reserve.
    std::uint64_t m_plannedFree = 0;
    bool m_hasPlan = false;
    std::uint64_t m_spent = 0;    ///< Settled.
    std::uint64_t m_allotted = 0; ///< Set aside for requests under way.
    std::uint64_t m_lent = 0;     ///< Others spend it under our grant.
    std::uint64_t m_borrowed = 0; ///< We spend it under others' grants.
    bool m_hasRefused = false;    ///< For want of credit, since asked last.
    std::uint64_t m_freeAtLastRead = 0; ///< Not granted to anyone.
    std::uint64_t m_spentByOthers = 0;  ///< For certain, when read last.
    double m_rateOfOthers = 0;          ///< Tokens a second, when read last.
    std::uint64_t m_rest = 0;           ///< Of the budget beyond what is spent.
    double m_demandRate = 0;            ///< Tokens a second, moving average.
    double m_usualRequest = 0;          ///< Greatest size, moving average.
    std::optional<Instant> m_lastDemand;

    /// The most that our own grant ever allows, whichever write takes effect.
    std::uint64_t OwnMost() const;
    /// What it allows while pledges hold.
    std::uint64_t OwnFree() const;
    std::uint64_t Most() const { return OwnMost() + m_borrowed; }
    std::uint64_t Limit(bool aIsReserveOpen) const
    {
      return (aIsReserveOpen ? OwnMost() : OwnFree()) + m_borrowed;
    }
    std::uint64_t Used() const { return m_spent + m_allotted + m_lent; }
    /// Spent under our own grant for certain; what was borrowed goes first.
    std::uint64_t OwnSpent() const
    {
      return m_spent > m_borrowed ? m_spent - m_borrowed : 0;
    }
  };

  double RateAt(const Balance& aBalance, Instant aNow) const;
  void NoteDemand(Balance& aBalance, std::uint64_t aTokens, Instant aNow) const;
  bool IsReserveOpen(Instant aNow) const { return aNow >= m_reserveOpensAt; }
  std::uint64_t Headroom(const Balance& aBalance, Instant aNow) const;
  /// Headroom that is worth having while pledges hold.
  std::uint64_t UnpledgedHeadroom(const Balance& aBalance, Instant aNow) const;
  std::uint64_t WantedGrant(const Balance& aBalance,
                            std::uint64_t aFree,
                            Instant aNow) const;
  void PlanAccount(Balance& aBalance,
                   AccountCredit& aCredit,
                   Instant aNow) const;
  void TakeRead(Balance& aBalance, const AccountCredit& aCredit) const;
  /// Takes grants of earlier lives of this host as spent.
  void CloseEarlierLives(CreditRecord& aRecord) const;
  /// Whether \p aEarlier ended before it could touch its reserves.
  bool HasKeptReserve(const CreditHolder& aEarlier) const;

  CreditHolder m_self;
  CreditOptions m_options;
  bool m_isStopped = false;
  HostTime m_pledge;             ///< Of the newest write.
  bool m_isPledgeSettled = true; ///< That write was confirmed.
  Instant m_reserveOpensAt{};    ///< After that pledge.

  std::size_t m_holders = 1; ///< In the record read last.
  std::map<AccountId, Balance> m_balances;
};

} // namespace bergamotpaddle
