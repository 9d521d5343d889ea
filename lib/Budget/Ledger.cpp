#include "bergamotpaddle/Budget/Ledger.h"

#include "bergamotpaddle/Budget/Closing.h"

#include <algorithm>
#include <cassert>

namespace bergamotpaddle {

namespace {

constexpr int kFirstDrawTries = 8;

absl::Status
SealedStatus()
{
  return absl::FailedPreconditionError("the holder is sealed; start a new one");
}

} // namespace

Ledger::Ledger(LedgerOptions aOptions,
               HolderId aHolder,
               KeyValueHooks aKeyValue,
               TimerHooks aTimers,
               LedgerHooks aHooks)
  : m_options(aOptions)
  , m_holder(std::move(aHolder))
  , m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
  , m_writer(m_holder,
             m_keyValue,
             m_timers,
             { [this] {
                m_dirty = false;
                return Snapshot();
              },
               [this](const LedgerValue& aValue) {
                 for (const auto& [agent, through] : aValue.m_through) {
                   if (m_durableThrough[agent] < through) {
                     m_durableThrough[agent] = through;
                     m_hooks.m_settled(agent, through);
                   }
                 }
               },
               [this] { BecameSealed(); } })
{
  After(m_options.m_flushInterval, [this] { FlushLoop(); });
  After(m_options.m_spareSweepInterval, [this] { SweepSpare(); });
}

Ledger::~Ledger() = default;

void
Ledger::After(Duration aDelay, std::function<void()> aTask)
{
  m_timers.m_after(aDelay,
                   [weak = std::weak_ptr(m_alive), task = std::move(aTask)] {
                     if (!weak.expired()) {
                       task();
                     }
                   });
}

void
Ledger::Allot(AttemptId aAttempt,
              const AccountId& aAccount,
              const RequestKey& aKey,
              std::uint64_t aTokens,
              AllotHook aDone)
{
  if (IsSealed() || m_retiring) {
    aDone(ResultCode::kHolderSealed);
    return;
  }
  Account& account = m_accounts[aAccount];
  const Instant now = m_timers.m_now();
  if (now - account.m_demandSince > m_options.m_prefetchWindow) {
    account.m_demandSince = now;
    account.m_demand = 0;
  }
  account.m_demand += aTokens;
  account.m_lastDemand = now;
  account.m_waiters.push_back(
    { aAttempt, aKey, aTokens, std::move(aDone), false });
  Pump(aAccount);
}

void
Ledger::Pump(const AccountId& aAccount)
{
  Account& account = m_accounts[aAccount];
  if (account.m_busy || IsSealed()) {
    return;
  }
  GrantWaiters(aAccount, account);
  if (!account.m_waiters.empty()) {
    DrawWhenDue(aAccount, account);
    return;
  }
  if (!account.m_returns.empty()) {
    StartReturn(aAccount);
  }
}

void
Ledger::DrawWhenDue(const AccountId& aAccount, Account& aState)
{
  const Instant now = m_timers.m_now();
  if (now >= aState.m_nextDraw) {
    StartDraw(aAccount);
    return;
  }
  // An exhausted budget is looked at again, but not once for each request.
  aState.m_busy = true;
  After(aState.m_nextDraw - now, [this, aAccount] {
    m_accounts[aAccount].m_busy = false;
    Pump(aAccount);
  });
}

void
Ledger::GrantWaiters(const AccountId& aAccount, Account& aState)
{
  std::vector<Waiter> granted;
  std::deque<Waiter> left;
  for (Waiter& waiter : aState.m_waiters) {
    if (waiter.m_tokens > aState.Free()) {
      left.push_back(std::move(waiter));
      continue;
    }
    Grant(aAccount, aState, waiter);
    granted.push_back(std::move(waiter));
  }
  aState.m_waiters.swap(left);
  for (const Waiter& waiter : granted) {
    waiter.m_done(ResultCode::kOk);
  }
}

void
Ledger::Grant(const AccountId& aAccount, Account& aState, const Waiter& aWaiter)
{
  aState.m_allotted += aWaiter.m_tokens;
  m_attempts.emplace(aWaiter.m_attempt,
                     Attempt{ aAccount, aWaiter.m_key, aWaiter.m_tokens });
  assert(aState.Committed() <= aState.m_drawn &&
         "an allotment is covered by what was drawn");
}

void
Ledger::FailWaiters(Account& aState, ResultCode aCode)
{
  std::deque<Waiter> failed;
  failed.swap(aState.m_waiters);
  for (const Waiter& waiter : failed) {
    waiter.m_done(aCode);
  }
}

void
Ledger::StartDraw(const AccountId& aAccount)
{
  Account& account = m_accounts[aAccount];
  account.m_busy = true;
  if (!account.m_opened) {
    StartFirstDraw(aAccount, kFirstDrawTries);
    return;
  }
  Update(
    m_keyValue,
    m_timers,
    BudgetKey(aAccount),
    [this, alive = std::weak_ptr(m_alive), aAccount](
      const std::optional<std::string>& aPresent) {
      return alive.expired() ? TransformResult::Stop(SealedStatus())
                             : DrawTransform(aAccount, aPresent);
    },
    [this, alive = std::weak_ptr(m_alive), aAccount](
      const absl::StatusOr<KeyValueEntry>& aEntry) {
      if (!alive.expired()) {
        DrawDone(aAccount, aEntry);
      }
    });
}

void
Ledger::StartFirstDraw(const AccountId& aAccount, int aTries)
{
  // The order matters: read the budget, prove by a ledger write that we are not
  // sealed (which also tells recoveries of this account), then write the budget
  // at the revision read. A recovery seals first and touches the budget after,
  // so a draw that it could miss fails on the revision.
  m_keyValue.m_get(BudgetKey(aAccount),
                   [this, alive = std::weak_ptr(m_alive), aAccount, aTries](
                     absl::StatusOr<KeyValueEntry> aRead) {
                     if (alive.expired()) {
                       return;
                     }
                     if (!aRead.ok()) {
                       DrawDone(aAccount, aRead.status());
                       return;
                     }
                     m_writer.Flush(
                       [this, alive, aAccount, aTries, read = *aRead](
                         const absl::Status& aFlushed) {
                         if (alive.expired()) {
                           return;
                         }
                         if (!aFlushed.ok()) {
                           DrawDone(aAccount, aFlushed);
                           return;
                         }
                         FirstDrawWrite(aAccount, read, aTries);
                       });
                   });
}

void
Ledger::FirstDrawWrite(const AccountId& aAccount,
                       const KeyValueEntry& aRead,
                       int aTries)
{
  std::optional<std::string> present;
  if (aRead.m_revision != 0) {
    present = aRead.m_value;
  }
  TransformResult wanted = DrawTransform(aAccount, present);
  if (wanted.m_action == TransformResult::Action::kStop) {
    DrawDone(aAccount,
             wanted.m_status.ok() ? absl::StatusOr<KeyValueEntry>(aRead)
                                  : wanted.m_status);
    return;
  }
  m_keyValue.m_compareAndSwap(
    BudgetKey(aAccount),
    aRead.m_revision,
    wanted.m_value,
    [this,
     alive = std::weak_ptr(m_alive),
     aAccount,
     aTries,
     value = wanted.m_value](absl::StatusOr<std::uint64_t> aRevision) {
      if (alive.expired()) {
        return;
      }
      if (aRevision.ok()) {
        DrawDone(aAccount, KeyValueEntry{ *aRevision, value });
        return;
      }
      if (absl::IsAborted(aRevision.status()) && aTries > 1) {
        StartFirstDraw(aAccount, aTries - 1);
        return;
      }
      DrawDone(aAccount,
               absl::UnavailableError("the first draw did not get through"));
    });
}

TransformResult
Ledger::DrawTransform(const AccountId& aAccount,
                      const std::optional<std::string>& aPresent)
{
  const Account& account = m_accounts[aAccount];
  BudgetValue budget;
  if (aPresent.has_value()) {
    absl::StatusOr<BudgetValue> parsed = BudgetValue::FromJson(*aPresent);
    if (!parsed.ok()) {
      return TransformResult::Stop(parsed.status());
    }
    budget = *parsed;
  }
  if (!aPresent.has_value()) {
    const std::optional<std::uint64_t> initial =
      m_hooks.m_initialBudget(aAccount);
    if (!initial.has_value()) {
      return TransformResult::Stop(
        absl::NotFoundError("the account has no budget"));
    }
    budget.m_topUps["initial"] = *initial;
  }
  auto entry = budget.m_draws.find(m_holder);
  if (entry == budget.m_draws.end() && account.m_opened) {
    return TransformResult::Stop(SealedStatus());
  }
  const std::uint64_t mine = entry == budget.m_draws.end() ? 0 : entry->second;
  const std::uint64_t wanted =
    WantedDraw(account, mine, budget.Available(), budget.m_draws.size() + 1);
  if (wanted <= mine && aPresent.has_value()) {
    return TransformResult::Stop(absl::OkStatus());
  }
  budget.m_draws[m_holder] = std::max(wanted, mine);
  return TransformResult::Write(budget.ToJson());
}

std::uint64_t
Ledger::WantedDraw(const Account& aState,
                   std::uint64_t aMine,
                   std::uint64_t aAvailable,
                   std::size_t aHolders) const
{
  const std::uint64_t greatest = aMine + aAvailable;
  std::uint64_t wanted = aState.Committed();
  bool servesAny = false;
  for (const Waiter& waiter : aState.m_waiters) {
    if (wanted + waiter.m_tokens <= greatest) {
      wanted += waiter.m_tokens;
      servesAny = true;
    }
  }
  if (!servesAny) {
    return aMine;
  }
  // Draw ahead by recent demand, but leave the others their share.
  const std::uint64_t left = greatest - wanted;
  const std::uint64_t share = left / (m_options.m_shareDivisor * aHolders);
  return wanted + std::min(aState.m_demand, share);
}

void
Ledger::DrawDone(const AccountId& aAccount,
                 const absl::StatusOr<KeyValueEntry>& aEntry)
{
  Account& account = m_accounts[aAccount];
  account.m_busy = false;
  if (absl::IsFailedPrecondition(aEntry.status())) {
    BecameSealed();
    return;
  }
  if (absl::IsNotFound(aEntry.status())) {
    FailWaiters(account, ResultCode::kBudgetExhausted);
    return;
  }
  if (!aEntry.ok()) {
    FailWaiters(account, ResultCode::kCreditUnreachable);
    Pump(aAccount);
    return;
  }
  const absl::StatusOr<BudgetValue> budget =
    BudgetValue::FromJson(aEntry->m_value);
  assert(budget.ok() && "a value that was just transformed parses");
  auto entry = budget->m_draws.find(m_holder);
  if (entry != budget->m_draws.end()) {
    account.m_opened = true;
    account.m_drawn = entry->second;
  }
  GrantWaiters(aAccount, account);
  SettleUnmet(aAccount, *budget);
  Pump(aAccount);
}

void
Ledger::SettleUnmet(const AccountId& aAccount, const BudgetValue& aBudget)
{
  Account& account = m_accounts[aAccount];
  std::vector<HolderId> others;
  for (const auto& [holder, drawn] : aBudget.m_draws) {
    if (holder != m_holder && drawn > 0) {
      others.push_back(holder);
    }
  }
  std::vector<std::pair<AllotHook, ResultCode>> refused;
  std::deque<Waiter> left;
  bool mustAsk = false;
  for (Waiter& waiter : account.m_waiters) {
    if (!waiter.m_asked && !others.empty()) {
      mustAsk = true;
      left.push_back(std::move(waiter));
      continue;
    }
    const bool isExhausted = account.m_allAnswered || others.empty();
    account.m_nextDraw = m_timers.m_now() + m_options.m_exhaustedPause;
    refused.emplace_back(std::move(waiter.m_done),
                         isExhausted ? ResultCode::kBudgetExhausted
                                     : ResultCode::kCreditUnreachable);
  }
  account.m_waiters.swap(left);
  if (mustAsk) {
    AskHolders(aAccount, std::move(others));
  }
  for (const auto& [done, code] : refused) {
    done(code);
  }
}

void
Ledger::AskHolders(const AccountId& aAccount, std::vector<HolderId> aOthers)
{
  Account& account = m_accounts[aAccount];
  account.m_busy = true;
  std::uint64_t tokens = 0;
  for (Waiter& waiter : account.m_waiters) {
    waiter.m_asked = true;
    tokens += waiter.m_tokens;
  }
  m_hooks.m_askHolders(
    aAccount,
    tokens,
    std::move(aOthers),
    [this, alive = std::weak_ptr(m_alive), aAccount](bool aAllAnswered) {
      if (alive.expired()) {
        return;
      }
      Account& asked = m_accounts[aAccount];
      asked.m_busy = false;
      asked.m_allAnswered = aAllAnswered;
      Pump(aAccount);
    });
}

void
Ledger::Release(AttemptId aAttempt)
{
  auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return;
  }
  const AccountId account = found->second.m_account;
  m_accounts[account].m_allotted -= found->second.m_tokens;
  ForgetAttempt(aAttempt);
  Pump(account);
}

void
Ledger::ForgetAttempt(AttemptId aAttempt)
{
  const Attempt gone = m_attempts.at(aAttempt);
  m_attempts.erase(aAttempt);
  ForgetDoubledIfOver(gone.m_account, gone.m_key);
}

void
Ledger::ForgetDoubledIfOver(const AccountId& aAccount, const RequestKey& aKey)
{
  const std::string name = DoubledName(aAccount, aKey);
  if (!m_doubled.contains(name) || m_doubledOpen.contains(name)) {
    return;
  }
  const bool isOut =
    std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto& aItem) {
      return aItem.second.m_account == aAccount && aItem.second.m_key == aKey;
    });
  if (!isOut) {
    m_doubled.erase(name);
  }
}

void
Ledger::MarkDoubled(const AccountId& aAccount, const RequestKey& aKey)
{
  const std::string name = DoubledName(aAccount, aKey);
  m_doubled.try_emplace(name, 0);
  m_doubledOpen.insert(name);
  m_dirty = true;
}

void
Ledger::EndDoubled(const AccountId& aAccount, const RequestKey& aKey)
{
  m_doubledOpen.erase(DoubledName(aAccount, aKey));
  ForgetDoubledIfOver(aAccount, aKey);
}

void
Ledger::OnCharge(const Charge& aCharge)
{
  if (aCharge.m_holder != m_holder || IsSealed()) {
    return;
  }
  std::uint64_t& through = m_through[aCharge.m_agent];
  if (aCharge.m_sequence <= m_durableThrough[aCharge.m_agent]) {
    m_hooks.m_settled(aCharge.m_agent, m_durableThrough[aCharge.m_agent]);
    return;
  }
  if (aCharge.m_sequence != through + 1) {
    return;
  }
  through = aCharge.m_sequence;
  m_dirty = true;
  auto attempt = m_attempts.find(aCharge.m_attempt);
  const std::uint64_t allotment =
    attempt == m_attempts.end() ? 0 : attempt->second.m_tokens;
  Account& account = m_accounts[aCharge.m_account];
  account.m_allotted -= allotment;
  account.m_charged += BillOf(aCharge, allotment);
  assert(account.Committed() <= account.m_drawn &&
         "a charge is covered by what was drawn");
  if (attempt != m_attempts.end()) {
    ForgetAttempt(aCharge.m_attempt);
  }
  Pump(aCharge.m_account);
}

std::uint64_t
Ledger::BillOf(const Charge& aCharge, std::uint64_t aAllotment)
{
  // An agent never charges beyond the allotment; the bound here keeps the
  // budget even if one does.
  const std::uint64_t bill = std::min(aCharge.m_tokens, aAllotment);
  auto doubled = m_doubled.find(DoubledName(aCharge.m_account, aCharge.m_key));
  if (doubled == m_doubled.end()) {
    return bill;
  }
  if (doubled->second > 0) {
    return 0;
  }
  doubled->second = bill;
  return bill;
}

void
Ledger::ReturnSpare(const AccountId& aAccount, std::function<void(bool)> aDone)
{
  auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end() || IsSealed()) {
    aDone(!IsSealed());
    return;
  }
  found->second.m_returns.push_back(std::move(aDone));
  Pump(aAccount);
}

void
Ledger::StartReturn(const AccountId& aAccount)
{
  Account& account = m_accounts[aAccount];
  if (account.Free() == 0 || !account.m_opened) {
    ReturnDone(aAccount, KeyValueEntry{});
    return;
  }
  account.m_busy = true;
  // Taken off before the write: from here on nothing can be allotted from it.
  account.m_drawn = account.Committed();
  const std::uint64_t target = account.m_drawn;
  UpdateOptions options;
  options.m_maxUnclear = 0;
  Update(
    m_keyValue,
    m_timers,
    BudgetKey(aAccount),
    [holder = m_holder, target](const std::optional<std::string>& aPresent) {
      absl::StatusOr<BudgetValue> budget =
        BudgetValue::FromJson(aPresent.value_or(""));
      if (!budget.ok() || !budget->m_draws.contains(holder)) {
        return TransformResult::Stop(SealedStatus());
      }
      budget->m_draws[holder] = target;
      return TransformResult::Write(budget->ToJson());
    },
    [this, alive = std::weak_ptr(m_alive), aAccount](
      const absl::StatusOr<KeyValueEntry>& aEntry) {
      if (!alive.expired()) {
        ReturnDone(aAccount, aEntry);
      }
    },
    options);
}

void
Ledger::ReturnDone(const AccountId& aAccount,
                   const absl::StatusOr<KeyValueEntry>& aEntry)
{
  Account& account = m_accounts[aAccount];
  account.m_busy = false;
  std::vector<std::function<void(bool)>> returns;
  returns.swap(account.m_returns);
  for (const auto& done : returns) {
    done(aEntry.ok());
  }
  if (!aEntry.ok()) {
    BecameSealed();
    return;
  }
  Pump(aAccount);
}

void
Ledger::SweepSpare()
{
  if (IsSealed()) {
    return;
  }
  const Instant now = m_timers.m_now();
  std::vector<AccountId> idle;
  for (const auto& [id, account] : m_accounts) {
    if (account.Free() > 0 &&
        now - account.m_lastDemand >= m_options.m_idleBeforeReturn) {
      idle.push_back(id);
    }
  }
  for (const AccountId& id : idle) {
    ReturnSpare(id, [](bool) {});
  }
  After(m_options.m_spareSweepInterval, [this] { SweepSpare(); });
}

void
Ledger::FlushLoop()
{
  if (IsSealed()) {
    return;
  }
  auto again = [this, alive = std::weak_ptr(m_alive)] {
    if (!alive.expired()) {
      After(m_options.m_flushInterval, [this] { FlushLoop(); });
    }
  };
  if (!m_dirty) {
    again();
    return;
  }
  m_writer.Flush([again](const absl::Status&) { again(); });
}

void
Ledger::Flush(LedgerWriter::DoneHook aDone)
{
  m_writer.Flush(std::move(aDone));
}

LedgerValue
Ledger::Snapshot() const
{
  LedgerValue value;
  for (const auto& [id, account] : m_accounts) {
    value.m_charged.emplace(id, account.m_charged);
  }
  value.m_through = m_through;
  value.m_doubled = m_doubled;
  value.m_sealed = m_retiring;
  return value;
}

void
Ledger::BecameSealed()
{
  if (m_announcedSeal || m_retiring) {
    return;
  }
  m_announcedSeal = true;
  for (auto& [id, account] : m_accounts) {
    FailWaiters(account, ResultCode::kHolderSealed);
  }
  m_hooks.m_sealed();
}

void
Ledger::Retire(std::function<void()> aDone)
{
  assert(m_attempts.empty() &&
         "a holder is retired when nothing is outstanding");
  m_retiring = true;
  // A failure means that the key is sealed, by our own write whose answer was
  // lost or by a recovery. Closing is right and idempotent in each case.
  m_writer.Flush([this, done = std::move(aDone)](const absl::Status&) {
    std::vector<AccountId> left;
    for (const auto& [id, account] : m_accounts) {
      left.push_back(id);
    }
    CloseNextAccount(std::move(left), done);
  });
}

void
Ledger::CloseNextAccount(std::vector<AccountId> aLeft,
                         std::function<void()> aDone)
{
  if (aLeft.empty()) {
    RemoveLedger(m_keyValue,
                 m_timers,
                 m_holder,
                 [done = std::move(aDone)](const absl::Status&) { done(); });
    return;
  }
  const AccountId account = aLeft.back();
  aLeft.pop_back();
  CloseAccount(m_keyValue,
               m_timers,
               { account,
                 m_holder,
                 m_accounts[account].m_charged,
                 m_hooks.m_initialBudget(account) },
               [this, left = std::move(aLeft), done = std::move(aDone)](
                 const absl::Status&) { CloseNextAccount(left, done); });
}

std::vector<LedgerAccountSummary>
Ledger::Accounts() const
{
  std::vector<LedgerAccountSummary> accounts;
  for (const auto& [id, account] : m_accounts) {
    accounts.push_back(
      { id, account.m_drawn, account.m_allotted, account.m_charged });
  }
  return accounts;
}

} // namespace bergamotpaddle
