/// \file
/// Prepaid credit of one router in a fleet without agents: how much of each
/// client account the router may spend on its own, even while the platform is
/// unavailable.
///
/// A shared record (`CreditRecord`) holds an upper bound on the spending of
/// each router, its grant. The grants never add up to more than is prepaid, and
/// a router spends only within its own grant, so neither a network partition
/// nor a killed process can overspend a budget. A router spends under a grant
/// only once its own write of that grant is confirmed: a grant that was merely
/// read may still be overwritten by an older write of this router that the
/// platform applies late.
///
/// Load pattern: many routers draw from every account. If each of them writes
/// the record, the writes conflict, routers with slow links rarely succeed, and
/// the unspent credit of each router is unavailable to the others. Therefore
/// one router, the account's home, draws for all, and the others borrow from it
/// when they receive requests.
///
/// Load pattern: an account's credit runs short, because its budget nears its
/// end or the platform is unavailable. Large requests then take what many small
/// and more urgent ones need. Therefore, while credit is short, requests leave
/// as much of it as the more urgent requests of their account need.
#pragma once

#include "bergamotpaddle/Credit/CreditRecord.h"
#include "bergamotpaddle/Credit/LossBound.h"
#include "bergamotpaddle/Support/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// Limits on the credit that a router holds beyond what it has spent. That
/// excess is its headroom. Shares are fractions of 1.
struct CreditOptions
{
  /// A grant, including its reserve, covers this duration of demand. The
  /// longest observed outage of the platform is 8.7 s.
  Duration m_outageDuration = std::chrono::seconds(10);
  /// The working part of a grant is the part that may be spent while the
  /// reserve is closed. It covers demand for this duration, which allows for
  /// one draw and one lost draw, or for m_workingDrawIntervals if that is
  /// longer.
  Duration m_workingDuration = std::chrono::milliseconds(1500);
  /// Minimum duration of demand that the working part covers, in draw
  /// intervals.
  double m_workingDrawIntervals = 2;
  /// Upper bound of the working headroom, as a share of the remaining budget.
  /// With high demand an account is drawn more often, not in larger amounts,
  /// because this amount is lost if the home fails.
  double m_maxWorkingShare = 0.06;
  /// Time constant of the moving average of demand.
  Duration m_demandTimeConstant = std::chrono::seconds(4);
  /// Minimum headroom, in requests of the account's average size.
  double m_minHeadroomRequests = 1;
  /// Share of an account's free credit that all routers together hold without
  /// demand. As the budget runs out they return it to the routers with demand.
  double m_baseShare = 0.06;
  /// Share of the free credit that is held outside the reserve without demand:
  /// one second of a demand that would use up the budget in a minute.
  double m_baseWorkingShare = 0.02;
  /// Upper bound of the headroom of all routers together, as a share of the
  /// sum of the free credit and this router's unspent credit. Reserves are lost
  /// if all routers lose power, and unavailable while a host is down.
  double m_maxHeldShare = 0.3;
  /// The headroom of a borrower covers this duration of demand: three rounds of
  /// calls to homes. It is short because no other router can use that credit.
  Duration m_borrowedDuration = std::chrono::seconds(1);
  /// The headroom of a borrower covers at least one request if requests arrive
  /// at least once per this interval. Otherwise it borrows for each request.
  Duration m_maxBusyInterval = std::chrono::seconds(2);
  /// A borrower whose unspent credit exceeds its headroom by this factor
  /// returns the excess.
  double m_returnExcessFactor = 1.5;
  /// Delay before the next request to a home that can neither lend nor draw;
  /// it covers several of the home's draws.
  Duration m_emptyRetryDelay = std::chrono::milliseconds(1000);
  /// While credit is short, requests leave the demand of more urgent requests
  /// for this duration to them: an outage of the platform.
  Duration m_urgentHoldDuration = std::chrono::seconds(8);
  /// Upper bound of what is left to more urgent requests, as a share of the
  /// budget: less urgent requests are served as well.
  double m_maxUrgentHoldShare = 0.02;
  /// A grant whose unspent part exceeds the headroom by this factor is lowered.
  double m_lowerGrantFactor = 1.5;
  /// What losses of routers may cost altogether.
  LossBoundOptions m_lossBound;
};

/// Urgency of a request among those of its account: 0 is the most urgent.
using CreditRank = int;
constexpr CreditRank kMostUrgent = 0;

/// Credit that a router wants to borrow from an account's home, in tokens.
struct CreditWant
{
  CreditWant(std::uint64_t aTokens = 0,
             std::uint64_t aUrgent = 0,
             std::uint64_t aUrgentDemand = 0)
    : m_tokens(aTokens)
    , m_urgent(aUrgent)
    , m_urgentDemand(aUrgentDemand)
  {
  }
  std::uint64_t m_tokens = 0;
  std::uint64_t m_urgent = 0; ///< Part of m_tokens: for the most urgent ones.
  /// Demand of the most urgent requests since the last time that the home was
  /// asked.
  std::uint64_t m_urgentDemand = 0;
  auto operator<=>(const CreditWant&) const = default;
};

/// Result of an attempt to allot credit to a request.
enum class AllotResult
{
  kAllotted,
  kExhausted,  ///< The account's budget definitely cannot cover the request.
  kNotGranted, ///< Credit may remain but is not granted to this router.
};

/// Why a request got no credit.
enum class CreditShortage
{
  kDrawPending,      ///< Credit may be granted with the next draws.
  kStoreUnavailable, ///< No credit can be drawn until the store is back.
  /// Nothing is left that the request could get: the rest of the budget is
  /// granted, written off or kept for more urgent requests.
  kSpent,
};
constexpr std::size_t kCreditShortageCount = 3;

/// Names \p aShortage for logs and metrics.
std::string_view
Describe(CreditShortage aShortage);

/// One account's credit as this router sees it, in tokens, for logs.
struct CreditStatus
{
  std::uint64_t m_prepaid = 0;
  std::uint64_t m_limit = 0;    ///< Total that this router may spend.
  std::uint64_t m_used = 0;     ///< Part of m_limit: spent, allotted or lent.
  std::uint64_t m_free = 0;     ///< Not granted when the record was last read.
  std::uint64_t m_spent = 0;    ///< Part of m_used: settled.
  std::uint64_t m_allotted = 0; ///< Part of m_used: set aside for requests.
  std::uint64_t m_lent = 0;     ///< Part of m_used: lent to other routers.
  std::uint64_t m_borrowed = 0; ///< Part of m_limit: from other routers.
  std::uint64_t m_closed = 0;   ///< Closed grants in the record.
  std::uint64_t m_closedSpent = 0;     ///< Part of m_closed: known to be spent.
  std::uint64_t m_writtenOff = 0;      ///< `AccountCredit::WrittenOff`.
  std::uint64_t m_maxHeldAhead = 0;    ///< See `LossBound.h`.
  std::uint64_t m_grantedToOthers = 0; ///< Other holders' grants in the record.
  std::uint64_t m_rate = 0;            ///< Demand at this router, in tokens/s.
  bool m_isDrawnLocally = false;       ///< Not borrowed from a home.
  auto operator<=>(const CreditStatus&) const = default;
};

/// A home's response to a request to lend credit of one account, in tokens.
struct CreditLoan
{
  std::uint64_t m_lent = 0;
  /// The budget less what the home knows to be spent or written off: an upper
  /// bound of what can still be allotted to any request.
  std::uint64_t m_unspent = 0;
  std::uint64_t m_prepaid = 0;  ///< The budget that m_unspent refers to.
  bool m_isDrawPending = false; ///< The home will draw the part not lent.
  /// Nothing is free in the record, and what the home has left is kept for the
  /// most urgent requests.
  bool m_isSpent = false;
  auto operator<=>(const CreditLoan&) const = default;
};

/// The credit of all accounts as seen by one router. Amounts are in tokens.
class CreditBook
{
public:
  static constexpr std::size_t kAllAccounts =
    std::numeric_limits<std::size_t>::max();

  CreditBook(CreditHolder aSelf, CreditOptions aOptions);

  /// Sets an account's budget and returns whether it changed. An account has no
  /// budget until it is set.
  bool SetPrepaid(const AccountId& aAccount, std::uint64_t aTokens);

  /// Sets aside \p aMaxTokens for a request that is about to be sent, and
  /// counts them as demand whether or not they are allotted.
  AllotResult Allot(const AccountId& aAccount,
                    std::uint64_t aMaxTokens,
                    Instant aNow,
                    CreditRank aRank = kMostUrgent);

  /// Registers a request that waits for \p aMaxTokens, to be covered by the
  /// next draw.
  void AddWaiter(const AccountId& aAccount,
                 std::uint64_t aMaxTokens,
                 CreditRank aRank = kMostUrgent);
  /// Like Allot, for a waiting request whose demand is already counted. If the
  /// result is `kAllotted`, the request is no longer registered as waiting.
  AllotResult AllotWaiter(const AccountId& aAccount,
                          std::uint64_t aMaxTokens,
                          Instant aNow,
                          CreditRank aRank = kMostUrgent);
  /// Removes a request that stops waiting.
  void RemoveWaiter(const AccountId& aAccount,
                    std::uint64_t aMaxTokens,
                    CreditRank aRank = kMostUrgent);
  /// Whether requests at this router or at its borrowers wait for one of its
  /// draws.
  bool HasWaiters() const;
  /// Whether a request that waits may obtain credit of the account. If this
  /// router draws, that requires free credit in the record when last read; if
  /// it borrows, that the home has not recently reported that it can neither
  /// lend nor draw.
  bool CanObtain(const AccountId& aAccount,
                 Instant aNow,
                 CreditRank aRank = kMostUrgent) const;
  /// Why a request of \p aRank for \p aMaxTokens was not allotted credit,
  /// provided that the store is available.
  CreditShortage ShortageOf(const AccountId& aAccount,
                            std::uint64_t aMaxTokens,
                            Instant aNow,
                            CreditRank aRank) const;
  /// Whether another router draws the account's credit for this one.
  bool IsBorrowed(const AccountId& aAccount) const;

  /// Ends a request that was allotted \p aMaxTokens and used \p aUsed of them.
  /// The rest can be spent again.
  void Settle(const AccountId& aAccount,
              std::uint64_t aMaxTokens,
              std::uint64_t aUsed);

  /// Lends credit that another router spends under this router's grant: for
  /// each account up to \p aRequested, but no more than \p aShare of what is
  /// spendable here. If the message to the borrower is lost, neither router
  /// spends that credit.
  std::map<AccountId, std::uint64_t> Lend(
    const std::map<AccountId, std::uint64_t>& aRequested,
    double aShare);
  /// Like Lend, as the home of the accounts: loans count as demand of this
  /// router, and up to all of the spendable credit is lent.
  /// While credit is short, all of it is lent to the most urgent requests only.
  std::map<AccountId, CreditLoan> LendAsHome(
    const std::map<AccountId, CreditWant>& aRequested,
    Instant aNow);
  /// Spendable credit of all accounts, in the form that `Lend` takes.
  std::map<AccountId, std::uint64_t> AllSpendable() const;
  /// Adds credit that another router lent. It can be spent at once.
  void AddBorrowed(const std::map<AccountId, std::uint64_t>& aTokens);
  /// This router's role in drawing credit of an account.
  enum class DrawRole
  {
    kIndependent, ///< Each router draws for itself.
    kHome,        ///< This router draws for all.
    kBorrower     ///< This router borrows from the home.
  };
  void SetDrawRole(const AccountId& aAccount, DrawRole aRole);
  /// All accounts whose budget was set.
  std::vector<AccountId> Accounts() const;
  /// Returns the tokens to request from homes now, for accounts with less than
  /// half of the borrowed headroom left or less than their waiting requests
  /// need. The demand of the most urgent requests is reported once.
  std::map<AccountId, CreditWant> TokensToBorrow(Instant aNow);
  /// Deducts borrowed credit that exceeds the headroom, of accounts for which
  /// \p aMayReturn is true, and returns it for the caller to send to the home.
  /// If that message is lost, no router spends the credit.
  std::map<AccountId, std::uint64_t> ReturnExcess(
    Instant aNow,
    const std::function<bool(const AccountId&)>& aMayReturn);
  /// As home, accepts credit that a borrower returned. It can be spent at once.
  void AcceptReturned(const std::map<AccountId, std::uint64_t>& aTokens);
  /// Adds the loans in a home's response. They can be spent at once.
  /// \p aWanted is what the home was asked for.
  void AcceptHomeLoans(const std::map<AccountId, CreditLoan>& aLoans,
                       const std::map<AccountId, CreditWant>& aWanted,
                       Instant aNow);

  /// Returns the tokens to borrow from other routers, for the accounts of which
  /// requests were refused for lack of credit since the last call.
  std::map<AccountId, std::uint64_t> TakeRefusedDemand(Instant aNow);

  /// Whether the shared record should be written soon, because less than half
  /// of the working headroom of some account is left.
  bool NeedsDraw(Instant aNow) const;

  /// Sets the interval between draws, which `m_workingDrawIntervals` refers to.
  void SetDrawInterval(Duration aInterval) { m_drawInterval = aInterval; }

  /// Whether some account needs a draw and has a closed reserve.
  bool NeedsReserve(Instant aNow) const;
  /// Allows spending of the reserves until a draw covers what was spent.
  void OpenReserves();
  bool HasOpenReserve() const;
  /// Records that the reserves of \p aIncarnation, an earlier one of this host,
  /// stayed closed until it ended. They become free when its grants are closed
  /// in the record.
  void NoteReserveClosed(const HolderId& aIncarnation)
  {
    m_closedReserves.insert(aIncarnation);
  }

  /// Returns up to \p aMaxAccounts accounts to write, with their new contents,
  /// or nullopt if no account needs a write. One does if this router's grant in
  /// \p aRecord is to change or isn't confirmed, or if earlier incarnations of
  /// this host have grants there. Until `Confirm` or `Drop`, spending of these
  /// accounts stays within both the old and the new grants.
  std::optional<CreditPlan> Plan(const CreditRecord& aRecord,
                                 Instant aNow,
                                 std::size_t aMaxAccounts = kAllAccounts);

  /// Returns up to \p aMaxAccounts accounts to write for a planned stop, when
  /// no request is in flight any more. The grants of this incarnation are
  /// closed at what it used, so that no credit is lost. Nothing is allotted
  /// from then on. Empty if this incarnation has no grant left in \p aRecord.
  CreditPlan PlanStop(const CreditRecord& aRecord,
                      std::size_t aMaxAccounts = kAllAccounts);

  /// Applies the plan after its write was confirmed.
  void Confirm();
  /// Drops the plan after its write failed or its outcome remained unknown.
  void Drop();

  CreditStatus Status(const AccountId& aAccount, Instant aNow) const;

  /// Tokens that can still be allotted for \p aAccount.
  std::uint64_t Spendable(const AccountId& aAccount) const;

private:
  /// Demand of the requests of one rank.
  struct RankDemand
  {
    double m_rate = 0;    ///< Tokens/s, moving average.
    double m_average = 0; ///< Maximum tokens of a request, averaged.
    Instant m_lastDemand{};
  };

  /// One account as this router sees it, in tokens.
  struct Balance
  {
    std::uint64_t m_prepaid = 0;
    std::uint64_t m_granted = 0; ///< Confirmed.
    std::uint64_t m_working = 0; ///< Confirmed: m_granted less the reserve.
    CreditGrant m_planned;       ///< In the write in progress.
    bool m_hasPlan = false;
    bool m_isReserveOpen = false;
    std::uint64_t m_spent = 0;         ///< Settled.
    std::uint64_t m_allotted = 0;      ///< Set aside for requests in flight.
    std::uint64_t m_lent = 0;          ///< To others under this router's grant.
    std::uint64_t m_borrowed = 0;      ///< Under the grants of others.
    std::uint64_t m_waitingTokens = 0; ///< Needed by waiting requests.
    std::uint64_t m_urgentWaiting = 0; ///< Part of m_waitingTokens.
    std::uint64_t m_urgentDemand = 0;  ///< Not reported to the home yet.
    std::map<CreditRank, RankDemand> m_ranks;
    bool m_hasRefusals = false; ///< Since the last `TakeRefusedDemand`.
    DrawRole m_drawRole = DrawRole::kIndependent;
    std::uint64_t m_unmetLoans = 0; ///< As home: requested but not lent.
    Instant m_retryHomeAt{};        ///< Set when the home can't lend or draw.
    Instant m_retryUrgentAt{};      ///< Likewise, for the most urgent requests.
    std::optional<CreditLoan> m_lastLoan; ///< The home's last response.
    bool m_isRead = false; ///< Whether the values "when last read" are set.
    std::uint64_t m_freeAtLastRead = 0; ///< Not granted to any router.
    /// `AccountCredit::Consumed` when last read.
    std::uint64_t m_consumedByOthers = 0;
    std::uint64_t m_closed = 0;          ///< In the record when last read.
    std::uint64_t m_closedSpent = 0;     ///< In the record when last read.
    std::uint64_t m_grantedToOthers = 0; ///< In the record when last read.
    double m_rateOfOthers = 0;     ///< Tokens/s in the record when last read.
    std::uint64_t m_remaining = 0; ///< Budget less spent and closed credit.
    std::uint64_t m_remainingLoss = 0; ///< `RemainingLoss` when last read.
    std::uint64_t m_maxHeldAhead = 0;  ///< `MaxHeldAhead` when last read.
    std::uint64_t m_writtenOff = 0;    ///< In the record when last read.
    double m_demandRate = 0;           ///< Tokens/s, moving average.
    double m_averageRequest = 0; ///< Maximum tokens of a request, averaged.
    std::optional<Instant> m_lastDemand;

    bool IsBorrowed() const { return m_drawRole == DrawRole::kBorrower; }
    /// This router's grant; holds whether or not the write in progress takes
    /// effect.
    std::uint64_t OwnGrant() const;
    /// OwnGrant without the reserve.
    std::uint64_t OwnWorkingGrant() const;
    /// What can be spent under this router's grant now.
    std::uint64_t OwnLimit() const;
    std::uint64_t WorkingLimit() const
    {
      return OwnWorkingGrant() + m_borrowed;
    }
    std::uint64_t GrantLimit() const { return OwnGrant() + m_borrowed; }
    std::uint64_t Limit() const { return OwnLimit() + m_borrowed; }
    std::uint64_t Used() const { return m_spent + m_allotted + m_lent; }
    /// Unspent, the reserve included.
    std::uint64_t Left() const
    {
      return GrantLimit() - std::min(GrantLimit(), Used());
    }
    /// What is in use under this router's grant; borrowed credit is used first.
    std::uint64_t OwnUsed() const
    {
      return Used() > m_borrowed ? Used() - m_borrowed : 0;
    }
    /// Settled spending under this router's grant; borrowed credit is spent
    /// first.
    std::uint64_t OwnSpent() const
    {
      return m_spent > m_borrowed ? m_spent - m_borrowed : 0;
    }
  };

  static void CloseReserve(Balance& aBalance);
  AllotResult AllotFrom(Balance& aBalance,
                        std::uint64_t aMaxTokens,
                        CreditRank aRank,
                        Instant aNow) const;
  /// Whether no more credit can be had now than what this router holds.
  bool IsShort(const Balance& aBalance, Instant aNow) const;
  /// What requests of \p aRank have to leave to more urgent ones now.
  std::uint64_t HoldFor(const Balance& aBalance,
                        CreditRank aRank,
                        Instant aNow) const;
  double RankRateAt(const RankDemand& aDemand, Instant aNow) const;
  void NoteRankDemand(Balance& aBalance,
                      CreditRank aRank,
                      std::uint64_t aTokens,
                      Instant aNow) const;
  /// What the most urgent requests at a borrower should find here.
  std::uint64_t UrgentHeadroom(const Balance& aBalance, Instant aNow) const;
  double DemandRateAt(const Balance& aBalance, Instant aNow) const;
  /// Demand that this router draws for, in tokens/s. For a home it is at least
  /// that of earlier homes, whose grants stay in the record until closed.
  double DrawRate(const Balance& aBalance, Instant aNow) const;
  void NoteDemand(Balance& aBalance, std::uint64_t aTokens, Instant aNow) const;
  void NoteDemandRate(Balance& aBalance,
                      std::uint64_t aTokens,
                      Instant aNow) const;
  /// Tokens to grant beyond those already used, including the reserve.
  std::uint64_t Headroom(const Balance& aBalance, Instant aNow) const;
  /// The part of the headroom that is not in reserve. The least part of it, for
  /// waiting requests and the demand until the next draws, is held even if
  /// losses have used up their bound.
  std::uint64_t WorkingHeadroom(const Balance& aBalance, Instant aNow) const;
  bool NeedsDraw(const Balance& aBalance, Instant aNow) const;
  /// This router's headroom for an account without demand: its part of
  /// \p aShare of the free credit, which all routers together hold.
  std::uint64_t BaseHeadroom(const Balance& aBalance, double aShare) const;
  std::uint64_t BorrowedHeadroom(const Balance& aBalance, Instant aNow) const;
  /// The limit that leaves \p aHeadroom, or \p aCurrentLimit if that leaves at
  /// least this headroom and at most `m_lowerGrantFactor` times it.
  std::uint64_t TargetLimit(std::uint64_t aUsed,
                            std::uint64_t aCurrentLimit,
                            std::uint64_t aHeadroom) const;
  void UpdateFromRecord(Balance& aBalance, const AccountCredit& aCredit) const;
  /// Maximum headroom of all routers together for an account.
  double MaxHeld(const Balance& aBalance) const;
  /// Closes the grants of earlier incarnations of this host; true if any were.
  bool CloseEarlierIncarnations(AccountCredit& aCredit) const;
  /// The grant that this router is to write, given the account's \p aCredit.
  CreditGrant PlannedGrant(Balance& aBalance,
                           AccountCredit aCredit,
                           Instant aNow) const;

  CreditHolder m_self;
  CreditOptions m_options;
  bool m_isStopped = false;

  Duration m_drawInterval = std::chrono::seconds(0);
  /// Earlier incarnations of this host that ended with closed reserves.
  std::set<HolderId> m_closedReserves;
  std::size_t m_holderCount = 1; ///< In the record when last read.
  std::map<AccountId, Balance> m_balances;
};

} // namespace bergamotpaddle
