/// \file
/// Prepaid credit of one router without agents: what it may spend of each
/// client account on its own, through any loss of the platform.
///
/// A shared record (`CreditRecord`) holds the most that each router may ever
/// have spent (its grant). The sum never exceeds what is prepaid, and a router
/// spends only within its own grant, so no partition and no kill can overspend.
/// A grant counts for spending only once a write of this router that holds it
/// is confirmed: a value that was merely read could be undone by an older write
/// of ours that the platform carries out late.
///
/// Load pattern: many routers that all draw from every account. Their writes
/// conflict, those with slow links hardly ever win, and what each holds ahead
/// is lost to the others. So one router, the account's home,
/// draws for all; the others borrow from it as their requests come.
#pragma once

#include "bergamotpaddle/Gateway/CreditRecord.h"
#include "bergamotpaddle/Support/Time.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// How much is held beyond what was spent.
struct CreditOptions
{
  /// Demand that a grant covers without the platform. The longest loss of the
  /// platform seen on the users' sites is 8.7 s.
  Duration m_headroom = std::chrono::seconds(10);
  /// Demand that is spent from draw to draw, the reserves being closed: a draw,
  /// and one that is lost.
  Duration m_workingSpan = std::chrono::milliseconds(1500);
  double m_workingDraws = 2;
  /// Part of what is left of a budget that is not in reserve at a time. An
  /// account in great demand is drawn more often, not in larger steps: these
  /// are lost with the home.
  double m_mostWorkingShare = 0.06;
  /// Span of the moving average of demand.
  Duration m_demandSpan = std::chrono::seconds(4);
  /// Least headroom, in requests of the account's usual size.
  double m_minRequests = 1;
  /// Part of an account's free credit that all routers together hold without
  /// demand; as a budget runs out they return it to where demand is.
  double m_initialShare = 0.06;
  /// Of that, what is not in reserve: a second of the demand that uses a budget
  /// up in a minute.
  double m_initialWorkingShare = 0.02;
  /// Part of what is in reach that all routers together hold ahead. Reserves
  /// are lost if all routers lose power, and out of reach while a host is down.
  double m_mostHeldShare = 0.3;
  /// Demand that a borrower holds ahead: three rounds of calls to homes. What
  /// it holds is out of reach of all other routers.
  Duration m_borrowedSpan = std::chrono::seconds(1);
  /// A borrower holds a request's credit ahead while requests come at least
  /// this often; otherwise each request is lent what it needs.
  Duration m_idleSpan = std::chrono::seconds(2);
  /// A borrower that holds more than it wants by this factor returns the rest.
  double m_giveBackAbove = 1.5;
  /// A home that has nothing to lend and can draw nothing is asked again after
  /// this time: a few of its draws.
  Duration m_emptyHold = std::chrono::milliseconds(1000);
  /// A grant above the wanted one by this factor is lowered.
  double m_returnAbove = 1.5;
};

/// What became of a request for credit.
enum class AllotResult
{
  kAllotted,
  kExhausted,  ///< Certain: the account's budget does not cover the request.
  kNotGranted, ///< Credit may exist but is not granted to this router.
};

/// One account's credit as a router sees it, for logs.
struct CreditStatus
{
  std::uint64_t m_prepaid = 0;
  std::uint64_t m_limit = 0;    ///< What this router may spend in all.
  std::uint64_t m_used = 0;     ///< Spent and allotted of that.
  std::uint64_t m_free = 0;     ///< Granted to nobody when the record was read.
  std::uint64_t m_spent = 0;    ///< Of m_used: settled.
  std::uint64_t m_allotted = 0; ///< Of m_used: set aside for requests.
  std::uint64_t m_lent = 0;     ///< Of m_used: other routers may spend it.
  std::uint64_t m_borrowed = 0; ///< Of m_limit: under other routers' grants.
  std::uint64_t m_closed = 0;   ///< Of lives that ended, in the record.
  std::uint64_t m_closedSpent = 0;     ///< Of m_closed: spent for certain.
  std::uint64_t m_grantedToOthers = 0; ///< To living routers, in the record.
  std::uint64_t m_rate = 0;            ///< Demand here, in tokens a second.
  bool m_isDrawnLocally = false;       ///< Not borrowed of a home.
  auto operator<=>(const CreditStatus&) const = default;
};

/// What a home says of an account when it is asked to lend.
struct CreditLoan
{
  std::uint64_t m_lent = 0;
  /// Of the budget beyond what is spent for certain, by anyone: the most that
  /// any request may still get.
  std::uint64_t m_unspent = 0;
  std::uint64_t m_prepaid = 0;  ///< The budget that m_unspent is of.
  bool m_isDrawPending = false; ///< The home draws for what it did not lend.
  auto operator<=>(const CreditLoan&) const = default;
};

/// The accounts of one router.
class CreditBook
{
public:
  static constexpr std::size_t kAllAccounts =
    std::numeric_limits<std::size_t>::max();

  CreditBook(CreditHolder aSelf, CreditOptions aOptions);

  /// Sets an account's budget; true if it changed. An account that is not set
  /// has none.
  bool SetPrepaid(const AccountId& aAccount, std::uint64_t aTokens);

  /// Sets aside \p aMost tokens for a request that is about to be sent.
  AllotResult Allot(const AccountId& aAccount,
                    std::uint64_t aMost,
                    Instant aNow);

  /// A request waits for \p aMost tokens: the next draw covers them.
  void AddWaiter(const AccountId& aAccount, std::uint64_t aMost);
  /// As Allot, for a request whose demand is known, and it waits no longer if
  /// the answer is `kAllotted`.
  AllotResult AllotWaiter(const AccountId& aAccount, std::uint64_t aMost);
  /// The request gives up waiting.
  void RemoveWaiter(const AccountId& aAccount, std::uint64_t aMost);
  /// Whether requests, here or at routers that borrow, wait for a draw.
  bool HasWaiters() const;
  /// Whether asking may bring credit of the account: some is granted to nobody,
  /// as far as this router knows, or its home has not just said otherwise.
  bool CanObtain(const AccountId& aAccount, Instant aNow) const;
  /// Whether another router draws for this one.
  bool IsBorrowed(const AccountId& aAccount) const;

  /// A request ended that was allotted \p aMost and used \p aUsed of it.
  void Settle(const AccountId& aAccount,
              std::uint64_t aMost,
              std::uint64_t aUsed);

  /// Gives up credit for another router to spend under our grant: of each
  /// account in \p aWanted what it wants, but at the most \p aShare of what is
  /// spendable here. Lost on the way, it stays unspent.
  std::map<AccountId, std::uint64_t> Lend(
    const std::map<AccountId, std::uint64_t>& aWanted,
    double aShare);
  /// As Lend, to routers that have this one draw for them: their wishes are
  /// demand here, and are met in full if they can be.
  std::map<AccountId, CreditLoan> LendAsHome(
    const std::map<AccountId, std::uint64_t>& aWanted,
    Instant aNow);
  /// Everything spendable, as a wish.
  std::map<AccountId, std::uint64_t> AllSpendable() const;
  /// Takes what another router lent; it may be spent at once.
  void Borrow(const std::map<AccountId, std::uint64_t>& aTokens);
  /// Who draws credit of an account.
  enum class DrawRole
  {
    kIndependent, ///< Each router for itself.
    kHome,        ///< This router, for all.
    kBorrower     ///< Another router, of which this one borrows.
  };
  void SetDrawRole(const AccountId& aAccount, DrawRole aDrawer);
  /// Accounts with a budget.
  std::vector<AccountId> Accounts() const;
  /// What to borrow now of homes: less than half of what is held ahead is left,
  /// or requests wait.
  std::map<AccountId, std::uint64_t> TokensToBorrow(Instant aNow) const;
  /// What is borrowed beyond the need, of accounts that \p aMayReturn, given up
  /// here for the home to take back. Lost on the way, it stays unspent.
  std::map<AccountId, std::uint64_t> ReturnExcess(
    Instant aNow,
    const std::function<bool(const AccountId&)>& aMayReturn);
  /// As home, takes what a borrower gave back; it may be spent at once.
  void AcceptReturned(const std::map<AccountId, std::uint64_t>& aTokens);
  /// Takes what a home said; what it lent may be spent at once.
  void BorrowFromHome(const std::map<AccountId, CreditLoan>& aLoans,
                      Instant aNow);

  /// What is wanted of accounts that were refused for want of credit since the
  /// last call.
  std::map<AccountId, std::uint64_t> TakeRefusedDemand(Instant aNow);

  /// Whether the shared record should be written soon: some account has less
  /// than half of what is spent from draw to draw.
  bool NeedsDraw(Instant aNow) const;

  /// Draws come this often.
  void SetDrawInterval(Duration aInterval) { m_drawInterval = aInterval; }

  /// Whether some account is short and has a reserve that is closed.
  bool NeedsReserve(Instant aNow) const;
  /// From now on reserves are spent, until a draw covers what was spent.
  void OpenReserves();
  bool HasOpenReserve() const;
  /// The reserves of \p aLife, an earlier one of this host, were closed to its
  /// end: they are free once it is closed in the record.
  void NoteReserveClosed(const HolderId& aLife)
  {
    m_closedReserves.insert(aLife);
  }

  /// The accounts that this router wants to be otherwise than in \p aPresent,
  /// \p aMost at a time; nullopt if nothing is worth a write. From here until
  /// `Confirm` or `Drop` spending of these stays within both the old and the
  /// new grants.
  std::optional<CreditPlan> Plan(const CreditRecord& aPresent,
                                 Instant aNow,
                                 std::size_t aMost = kAllAccounts);

  /// The accounts for a planned stop, with nothing under way any more: this
  /// life closes at what it used, so that nothing is lost. From here on nothing
  /// is allotted any more. Empty when this life holds nothing more in
  /// \p aPresent.
  CreditPlan PlanStop(const CreditRecord& aPresent,
                      std::size_t aMost = kAllAccounts);

  /// What was planned was written for certain.
  void Confirm();
  /// What was planned was not written, or nobody knows.
  void Drop();

  CreditStatus Status(const AccountId& aAccount, Instant aNow) const;

  /// Tokens that may still be allotted for \p aAccount.
  std::uint64_t Spendable(const AccountId& aAccount) const;

private:
  /// One account as this router sees it.
  struct Balance
  {
    std::uint64_t m_prepaid = 0;
    std::uint64_t m_granted = 0; ///< Confirmed.
    std::uint64_t m_working = 0; ///< Confirmed: m_granted without the reserve.
    CreditGrant m_planned;       ///< In the write under way.
    bool m_hasPlan = false;
    bool m_isReserveOpen = false;
    std::uint64_t m_spent = 0;    ///< Settled.
    std::uint64_t m_allotted = 0; ///< Set aside for requests under way.
    std::uint64_t m_lent = 0;     ///< Others spend it under our grant.
    std::uint64_t m_borrowed = 0; ///< We spend it under others' grants.
    std::uint64_t m_awaited = 0;  ///< Requests wait for it.
    bool m_hasRefused = false;    ///< For want of credit, since asked last.
    DrawRole m_drawer = DrawRole::kIndependent;
    std::uint64_t m_unmet = 0;           ///< As home, asked of us and not lent.
    Instant m_emptyUntil{};              ///< The home had nothing to lend.
    std::optional<CreditLoan> m_told;    ///< What the home said last.
    std::uint64_t m_freeAtLastRead = 0;  ///< Not granted to anyone.
    std::uint64_t m_spentByOthers = 0;   ///< For certain, when read last.
    std::uint64_t m_closed = 0;          ///< In the record read last.
    std::uint64_t m_closedSpent = 0;     ///< In the record read last.
    std::uint64_t m_grantedToOthers = 0; ///< In the record read last.
    double m_rateOfOthers = 0;           ///< Tokens a second, when read last.
    std::uint64_t m_remaining = 0; ///< Of the budget beyond what is spent.
    double m_demandRate = 0;       ///< Tokens a second, moving average.
    double m_usualRequest = 0;     ///< Greatest size, moving average.
    std::optional<Instant> m_lastDemand;

    bool IsBorrowed() const { return m_drawer == DrawRole::kBorrower; }
    /// Our own grant, whichever write takes effect.
    std::uint64_t OwnGrant() const;
    /// Of that, what is not in reserve.
    std::uint64_t OwnWorking() const;
    /// What may be spent now.
    std::uint64_t OwnLimit() const;
    std::uint64_t WorkingLimit() const { return OwnWorking() + m_borrowed; }
    std::uint64_t GrantLimit() const { return OwnGrant() + m_borrowed; }
    std::uint64_t Limit() const { return OwnLimit() + m_borrowed; }
    std::uint64_t Used() const { return m_spent + m_allotted + m_lent; }
    /// Spent under our own grant for certain; what was borrowed goes first.
    std::uint64_t OwnSpent() const
    {
      return m_spent > m_borrowed ? m_spent - m_borrowed : 0;
    }
  };

  static void CloseReserve(Balance& aBalance);
  static AllotResult TakeFrom(Balance& aBalance, std::uint64_t aMost);
  double RateAt(const Balance& aBalance, Instant aNow) const;
  /// Demand that this router draws for: as a home, no less than that of the
  /// homes before it, whose grants stand in the record until they are closed.
  double DrawnRate(const Balance& aBalance, Instant aNow) const;
  void NoteDemand(Balance& aBalance, std::uint64_t aTokens, Instant aNow) const;
  void NoteDemandRate(Balance& aBalance,
                      std::uint64_t aTokens,
                      Instant aNow) const;
  std::uint64_t Headroom(const Balance& aBalance, Instant aNow) const;
  /// Of the headroom, what is not in reserve.
  std::uint64_t WorkingHeadroom(const Balance& aBalance, Instant aNow) const;
  bool NeedsDraw(const Balance& aBalance, Instant aNow) const;
  /// What all routers hold of an account without demand, \p aShare of what is
  /// free.
  std::uint64_t WithoutDemand(const Balance& aBalance, double aShare) const;
  std::uint64_t BorrowedHeadroom(const Balance& aBalance, Instant aNow) const;
  /// The limit at which \p aHeadroom is left, or the present one if that is
  /// near.
  std::uint64_t WantedLimit(std::uint64_t aUsed,
                            std::uint64_t aPresent,
                            std::uint64_t aHeadroom) const;
  void TakeRead(Balance& aBalance, const AccountCredit& aCredit) const;
  /// The most that all routers hold ahead of an account.
  double MostHeld(const Balance& aBalance) const;
  /// Takes grants of earlier lives of this host as spent; true if any were.
  bool CloseEarlierLives(AccountCredit& aCredit) const;
  /// The grant that is wanted, given what \p aCredit says of all.
  CreditGrant PlannedGrant(Balance& aBalance,
                           AccountCredit aCredit,
                           Instant aNow) const;

  CreditHolder m_self;
  CreditOptions m_options;
  bool m_isStopped = false;

  Duration m_drawInterval = std::chrono::seconds(0);
  std::set<HolderId> m_closedReserves; ///< Of earlier lives of this host.
  std::size_t m_holders = 1;           ///< In the record read last.
  std::map<AccountId, Balance> m_balances;
};

} // namespace bergamotpaddle
