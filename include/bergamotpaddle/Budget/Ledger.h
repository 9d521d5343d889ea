/// \file
/// A router's accounting of client budgets: draws credit by compare-and-swap,
/// allots it to attempts before they are sent, and settles their charges.
///
/// The invariant that keeps spend within the budget under any fault, at all
/// times: `charged + allotted <= drawn <= this holder's entry in
/// budget/<account>`. A draw is counted only after its write is known to have
/// succeeded; a return is subtracted before its write is attempted.
#pragma once

#include "bergamotpaddle/Budget/LedgerWriter.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <deque>
#include <memory>

namespace bergamotpaddle {

/// Limits and intervals of a ledger.
struct LedgerOptions
{
  Duration m_flushInterval =
    std::chrono::milliseconds(1000); ///< Between writes of a changed ledger.
  Duration m_idleCheckInterval = std::chrono::seconds(2);
  Duration m_idleBeforeReturn = std::chrono::seconds(
    5); ///< Time without demand until unused credit returns.
  Duration m_exhaustedRetryInterval =
    std::chrono::milliseconds(100); ///< Between reads of an exhausted budget.
  Duration m_prefetchWindow =
    std::chrono::seconds(4); ///< A draw prefetches the demand of this period.
  std::uint64_t m_shareDivisor =
    2; ///< A prefetch takes at most available / (divisor * holders).
};

/// Callbacks of a ledger, implemented by its router.
struct LedgerHooks
{
  using CreditRepliesHook = std::function<void(bool aHasAllReplies)>;

  /// Prepaid tokens in the configuration, for a budget that has no value in the
  /// service yet; nullopt if the account has no budget.
  std::function<std::optional<std::uint64_t>(const AccountId&)> m_initialBudget;
  /// Requests other holders to return unused credit; the hook receives whether
  /// all of them replied.
  std::function<void(const AccountId&,
                     std::uint64_t aTokens,
                     std::vector<HolderId>,
                     CreditRepliesHook)>
    m_requestCredit;
  /// The charges of an agent are durable up to and including \p aThrough.
  std::function<void(const AgentId&, std::uint64_t aThrough)> m_settled;
  /// A recovery has sealed this holder; it may spend no more credit.
  std::function<void()> m_sealed;
};

/// This holder's totals for one account, in tokens.
struct LedgerAccountSummary
{
  AccountId m_account;
  std::uint64_t m_drawn = 0;
  std::uint64_t m_allotted = 0;
  std::uint64_t m_charged = 0;
  auto operator<=>(const LedgerAccountSummary&) const = default;
};

/// The ledger of one holder. A router whose ledger is sealed starts a new
/// holder with a new ledger.
class Ledger
{
public:
  using AllotHook = std::function<void(ResultCode)>;

  Ledger(LedgerOptions aOptions,
         HolderId aHolder,
         KeyValueHooks aKeyValue,
         TimerHooks aTimers,
         LedgerHooks aHooks);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  const HolderId& Holder() const { return m_holder; }
  bool IsSealed() const { return m_writer.IsSealed(); }

  /// Reserves \p aTokens for \p aAttempt, drawing credit if necessary. \p aDone
  /// gets kOk, kBudgetExhausted, kCreditUnreachable or kHolderSealed, possibly
  /// before this returns.
  void Allot(AttemptId aAttempt,
             const AccountId& aAccount,
             const RequestKey& aKey,
             std::uint64_t aTokens,
             AllotHook aDone);

  /// Frees the allotment of an attempt that is proved not to run.
  void Release(AttemptId aAttempt);

  /// Marks a request as duplicate: another attempt of it is about to be sent
  /// while an earlier one may have run. Only the first nonzero charge of its
  /// attempts counts.
  void MarkDuplicate(const AccountId& aAccount, const RequestKey& aKey);

  /// No more attempts of this request will be sent; its duplicate mark is
  /// removed with its last outstanding attempt.
  void EndDuplicate(const AccountId& aAccount, const RequestKey& aKey);

  /// Applies a charge from an agent. Ignores repeated charges and those that do
  /// not directly follow the last sequence number; calls m_settled again for
  /// repeated charges that are durable.
  void OnCharge(const Charge& aCharge);

  /// Returns the unused credit of \p aAccount to the budget; \p aDone receives
  /// whether the key-value service has recorded it; true if the holder does not
  /// use the account, false if the holder is sealed.
  void ReturnUnused(const AccountId& aAccount, std::function<void(bool)> aDone);

  /// Writes the ledger to the key-value service. \p aDone receives the status
  /// of the write, as in LedgerWriter::Flush.
  void Flush(LedgerWriter::DoneHook aDone);

  /// Ends the holder: seals its ledger, closes its accounts and removes its
  /// key. Later allotments are refused. \p aDone runs when all steps have
  /// ended, including any that failed.
  void Retire(std::function<void()> aDone);

  /// Number of attempts with an allotment.
  std::size_t OutstandingAttempts() const { return m_attempts.size(); }
  /// Whether there are changes that are not in the key-value service yet.
  bool IsDirty() const { return m_isDirty; }
  /// Totals of all accounts, ordered by name.
  std::vector<LedgerAccountSummary> Accounts() const;

private:
  /// A queued request for credit.
  struct Waiter
  {
    AttemptId m_attempt = 0;
    RequestKey m_key;
    std::uint64_t m_tokens = 0;
    AllotHook m_done;
    bool m_isCreditRequested =
      false; ///< Other holders were requested to return credit for it.
  };

  /// State of one account. Amounts in tokens.
  struct Account
  {
    std::uint64_t m_drawn = 0;
    std::uint64_t m_allotted = 0;
    std::uint64_t m_charged = 0;
    bool m_hasDraw = false; ///< The budget has an entry of this holder.
    bool m_isBusy =
      false; ///< A draw, return, credit request or delay is in progress.
    bool m_hasAllReplies =
      true; ///< All holders replied to the last credit request.
    std::deque<Waiter> m_waiters;
    std::vector<std::function<void(bool)>>
      m_returnHooks; ///< Callbacks of pending and current returns.
    Instant m_lastDemand{};
    Instant m_demandStart{};    ///< Start of the current prefetch window.
    std::uint64_t m_demand = 0; ///< Tokens requested in this window.
    Instant m_nextDraw{};       ///< Earliest time of the next draw.

    std::uint64_t Committed() const { return m_allotted + m_charged; }
    std::uint64_t Unused() const { return m_drawn - Committed(); }
  };

  /// An allotment.
  struct Attempt
  {
    AccountId m_account;
    RequestKey m_key;
    std::uint64_t m_tokens = 0;
  };

  using AliveToken = std::shared_ptr<bool>;

  /// Grants queued requests, draws credit for the rest, or starts a pending
  /// return.
  void ProcessPending(const AccountId& aAccount);
  void DrawWhenDue(const AccountId& aAccount, Account& aState);
  void GrantWaiters(const AccountId& aAccount, Account& aState);
  void Grant(const AccountId& aAccount, Account& aState, const Waiter& aWaiter);
  void FailWaiters(Account& aState, ResultCode aCode);

  void StartDraw(const AccountId& aAccount);
  void StartFirstDraw(const AccountId& aAccount, int aRemainingTries);
  void WriteFirstDraw(const AccountId& aAccount,
                      const KeyValueEntry& aRead,
                      int aRemainingTries);
  TransformResult DrawTransform(const AccountId& aAccount,
                                const std::optional<std::string>& aPresent);
  std::uint64_t TargetDraw(const Account& aState,
                           std::uint64_t aCurrentDraw,
                           std::uint64_t aAvailable,
                           std::size_t aHolders) const;
  void DrawDone(const AccountId& aAccount,
                const absl::StatusOr<KeyValueEntry>& aEntry);
  void ResolveUnmetWaiters(const AccountId& aAccount,
                           const BudgetValue& aBudget);
  void RequestCredit(const AccountId& aAccount, std::vector<HolderId> aOthers);

  void StartReturn(const AccountId& aAccount);
  void ReturnDone(const AccountId& aAccount,
                  const absl::StatusOr<KeyValueEntry>& aEntry);
  void ReturnIdleCredit();
  void FlushLoop();

  LedgerValue Snapshot() const;
  void HandleSealed();
  void EraseAttempt(AttemptId aAttempt);
  void EraseDuplicateIfDone(const AccountId& aAccount, const RequestKey& aKey);
  std::uint64_t BillableTokens(const Charge& aCharge, std::uint64_t aAllotment);
  void CloseNextAccount(std::vector<AccountId> aRemaining,
                        std::function<void()> aDone);
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  LedgerOptions m_options;
  HolderId m_holder;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  LedgerHooks m_hooks;
  LedgerWriter m_writer;
  std::map<AccountId, Account> m_accounts;
  std::map<AttemptId, Attempt> m_attempts;
  std::map<AgentId, std::uint64_t>
    m_settledThrough; ///< Sequence number of the last applied charge.
  std::map<AgentId, std::uint64_t>
    m_durableThrough; ///< Sequence number of the last durable charge.
  std::map<std::string, std::uint64_t>
    m_duplicates; ///< Charge so far of requests sent more than once.
  std::multiset<std::string>
    m_openDuplicates; ///< Marks of requests that may still send attempts.
  bool m_isDirty = false;
  bool m_isRetiring = false;
  bool m_isSealReported = false;
  AliveToken m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
