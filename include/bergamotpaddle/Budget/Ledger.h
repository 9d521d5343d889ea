/// \file
/// A router's side of the budgets: it draws credit by compare-and-swap, allots
/// it to attempts before they leave, and settles the charges that come back.
///
/// The rule that keeps spend within a budget under any fault: at every moment
/// `charged + allotted <= drawn <= this holder's entry in budget/<account>`.
/// A draw counts only when its write is certain; a return is taken off before
/// its write is tried.
#pragma once

#include "bergamotpaddle/Budget/LedgerWriter.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <deque>
#include <memory>

namespace bergamotpaddle {

/// Sizes and paces of a ledger.
struct LedgerOptions
{
  Duration m_flushInterval = std::chrono::milliseconds(1000);
  Duration m_spareSweepInterval = std::chrono::seconds(2);
  Duration m_idleBeforeReturn = std::chrono::seconds(5);
  Duration m_exhaustedPause =
    std::chrono::milliseconds(100); ///< Between looks at an exhausted budget.
  Duration m_prefetchWindow =
    std::chrono::seconds(4); ///< Demand that one draw covers ahead.
  std::uint64_t m_shareDivisor =
    2; ///< A draw ahead takes at most available / (divisor * holders).
};

/// What a ledger asks of its router.
struct LedgerHooks
{
  using CreditRepliesHook = std::function<void(bool aAllAnswered)>;

  /// Tokens that the configuration prepays when the budget has no value yet.
  std::function<std::optional<std::uint64_t>(const AccountId&)> m_initialBudget;
  /// Asks other holders to return spare credit; answers whether all did.
  std::function<void(const AccountId&,
                     std::uint64_t aTokens,
                     std::vector<HolderId>,
                     CreditRepliesHook)>
    m_requestCredit;
  /// Charges of this agent are durable up to here.
  std::function<void(const AgentId&, std::uint64_t aThrough)> m_settled;
  /// A recovery has sealed this holder: nothing more may be spent under it.
  std::function<void()> m_sealed;
};

/// One account as this holder sees it, in tokens.
struct LedgerAccountSummary
{
  AccountId m_account;
  std::uint64_t m_drawn = 0;
  std::uint64_t m_allotted = 0;
  std::uint64_t m_charged = 0;
  auto operator<=>(const LedgerAccountSummary&) const = default;
};

/// The ledger of one holder. A router whose ledger is sealed starts another.
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

  /// Sets \p aTokens aside for \p aAttempt, drawing credit if need be. The hook
  /// gets kOk, kBudgetExhausted, kCreditUnreachable or kHolderSealed, perhaps
  /// before this returns.
  void Allot(AttemptId aAttempt,
             const AccountId& aAccount,
             const RequestKey& aKey,
             std::uint64_t aTokens,
             AllotHook aDone);

  /// The attempt is proved not to run: its allotment is free again.
  void Release(AttemptId aAttempt);

  /// A second attempt of this request is about to leave while the first may
  /// have run: of their charges only the first above zero counts.
  void MarkDuplicate(const AccountId& aAccount, const RequestKey& aKey);

  /// No more attempts of this request will leave; its mark goes with the last
  /// one that is out.
  void EndDuplicate(const AccountId& aAccount, const RequestKey& aKey);

  /// A charge came in; duplicates and gaps in the sequence are passed over.
  void OnCharge(const Charge& aCharge);

  /// Returns the credit of \p aAccount that nothing needs; the hook tells
  /// whether the service has it.
  void ReturnUnused(const AccountId& aAccount, std::function<void(bool)> aDone);

  /// Writes what is not durable yet; the hook runs when it is.
  void Flush(LedgerWriter::DoneHook aDone);

  /// Ends the holder: seals and closes its accounts and removes its key.
  /// Nothing may be allotted any more. The hook runs when all is done.
  void Retire(std::function<void()> aDone);

  /// Attempts with an allotment.
  std::size_t OutstandingAttempts() const { return m_attempts.size(); }
  /// Charges that are not durable yet.
  bool IsDirty() const { return m_dirty; }
  /// All accounts, ordered by name.
  std::vector<LedgerAccountSummary> Accounts() const;

private:
  /// A request for credit that waits.
  struct Waiter
  {
    AttemptId m_attempt = 0;
    RequestKey m_key;
    std::uint64_t m_tokens = 0;
    AllotHook m_done;
    bool m_asked = false; ///< Other holders were asked on its behalf.
  };

  /// What the ledger knows of one account.
  struct Account
  {
    std::uint64_t m_drawn = 0;
    std::uint64_t m_allotted = 0;
    std::uint64_t m_charged = 0;
    bool m_opened = false; ///< Our entry in the budget was seen.
    bool m_busy = false;   ///< A budget update or a question is under way.
    bool m_allAnswered = true;
    std::deque<Waiter> m_waiters;
    std::vector<std::function<void(bool)>> m_returns;
    Instant m_lastDemand{};
    Instant m_demandSince{};
    std::uint64_t m_demand = 0; ///< Tokens allotted since m_demandSince.
    Instant m_nextDraw{};       ///< Requests wait until then for a fresh look.

    std::uint64_t Committed() const { return m_allotted + m_charged; }
    std::uint64_t Free() const { return m_drawn - Committed(); }
  };

  /// An allotment.
  struct Attempt
  {
    AccountId m_account;
    RequestKey m_key;
    std::uint64_t m_tokens = 0;
  };

  using AliveToken = std::shared_ptr<bool>;

  void Pump(const AccountId& aAccount);
  void DrawWhenDue(const AccountId& aAccount, Account& aState);
  void GrantWaiters(const AccountId& aAccount, Account& aState);
  void Grant(const AccountId& aAccount, Account& aState, const Waiter& aWaiter);
  void FailWaiters(Account& aState, ResultCode aCode);

  void StartDraw(const AccountId& aAccount);
  void StartFirstDraw(const AccountId& aAccount, int aTries);
  void FirstDrawWrite(const AccountId& aAccount,
                      const KeyValueEntry& aRead,
                      int aTries);
  TransformResult DrawTransform(const AccountId& aAccount,
                                const std::optional<std::string>& aPresent);
  std::uint64_t WantedDraw(const Account& aState,
                           std::uint64_t aMine,
                           std::uint64_t aAvailable,
                           std::size_t aHolders) const;
  void DrawDone(const AccountId& aAccount,
                const absl::StatusOr<KeyValueEntry>& aEntry);
  void SettleUnmet(const AccountId& aAccount, const BudgetValue& aBudget);
  void AskHolders(const AccountId& aAccount, std::vector<HolderId> aOthers);

  void StartReturn(const AccountId& aAccount);
  void ReturnDone(const AccountId& aAccount,
                  const absl::StatusOr<KeyValueEntry>& aEntry);
  void SweepSpare();
  void FlushLoop();

  LedgerValue Snapshot() const;
  void BecameSealed();
  void ForgetAttempt(AttemptId aAttempt);
  void ForgetDoubledIfOver(const AccountId& aAccount, const RequestKey& aKey);
  std::uint64_t BillOf(const Charge& aCharge, std::uint64_t aAllotment);
  void CloseNextAccount(std::vector<AccountId> aLeft,
                        std::function<void()> aDone);
  void After(Duration aDelay, std::function<void()> aTask);

  LedgerOptions m_options;
  HolderId m_holder;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  LedgerHooks m_hooks;
  LedgerWriter m_writer;
  std::map<AccountId, Account> m_accounts;
  std::map<AttemptId, Attempt> m_attempts;
  std::map<AgentId, std::uint64_t> m_through;
  std::map<AgentId, std::uint64_t> m_durableThrough;
  std::map<std::string, std::uint64_t> m_doubled;
  std::multiset<std::string>
    m_doubledOpen; ///< Of requests that may still send attempts.
  bool m_dirty = false;
  bool m_retiring = false;
  bool m_announcedSeal = false;
  AliveToken m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
