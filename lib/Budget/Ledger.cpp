#include "bergamotpaddle/Budget/Ledger.h"

#include "bergamotpaddle/Budget/Closing.h"

#include <algorithm>
#include <cassert>

namespace bergamotpaddle {

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
                m_isDirty = false;
                return Snapshot();
              },
               [this](const LedgerValue& aValue) {
                 for (const auto& [agent, settledThrough] :
                      aValue.m_settledThrough) {
                   if (m_durableThrough[agent] < settledThrough) {
                     m_durableThrough[agent] = settledThrough;
                     m_hooks.m_settled(agent, settledThrough);
                   }
                 }
               },
               [this] { HandleSealed(); } })
{
  RunAfter(m_options.m_flushInterval, [this] { FlushLoop(); });
  RunAfter(m_options.m_idleCheckInterval, [this] { ReturnIdleCredit(); });
}

Ledger::~Ledger() = default;

void
Ledger::RunAfter(Duration aDelay, std::function<void()> aTask)
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
  if (IsSealed() || m_isRetiring) {
    aDone(ResultCode::kHolderSealed);
    return;
  }
  Account& account = m_accounts[aAccount];
  const Instant now = m_timers.m_now();
  if (now - account.m_demandStart > m_options.m_prefetchWindow) {
    account.m_demandStart = now;
    account.m_demand = 0;
  }
  account.m_demand += aTokens;
  account.m_lastDemand = now;
  account.m_waiters.push_back(
    { aAttempt, aKey, aTokens, std::move(aDone), false });
  ProcessPending(aAccount);
}

void
Ledger::ProcessPending(const AccountId& aAccount)
{
  Account& account = m_accounts[aAccount];
  if (account.m_isBusy || IsSealed()) {
    return;
  }
  GrantWaiters(aAccount, account);
  if (!account.m_waiters.empty()) {
    DrawWhenDue(aAccount, account);
    return;
  }
  if (!account.m_returnHooks.empty()) {
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
  // Limits the rate of reads of an exhausted budget to one per interval instead
  // of one per request.
  aState.m_isBusy = true;
  RunAfter(aState.m_nextDraw - now, [this, aAccount] {
    m_accounts[aAccount].m_isBusy = false;
    ProcessPending(aAccount);
  });
}

void
Ledger::GrantWaiters(const AccountId& aAccount, Account& aState)
{
  std::vector<Waiter> granted;
  std::deque<Waiter> remaining;
  for (Waiter& waiter : aState.m_waiters) {
    if (waiter.m_tokens > aState.Unused()) {
      remaining.push_back(std::move(waiter));
      continue;
    }
    Grant(aAccount, aState, waiter);
    granted.push_back(std::move(waiter));
  }
  aState.m_waiters.swap(remaining);
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
         "allotments and charges never exceed the drawn credit");
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
Ledger::Release(AttemptId aAttempt)
{
  auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return;
  }
  const AccountId account = found->second.m_account;
  m_accounts[account].m_allotted -= found->second.m_tokens;
  EraseAttempt(aAttempt);
  ProcessPending(account);
}

void
Ledger::EraseAttempt(AttemptId aAttempt)
{
  const Attempt erased = m_attempts.at(aAttempt);
  m_attempts.erase(aAttempt);
  EraseDuplicateIfDone(erased.m_account, erased.m_key);
}

void
Ledger::EraseDuplicateIfDone(const AccountId& aAccount, const RequestKey& aKey)
{
  const std::string name = DuplicateName(aAccount, aKey);
  if (!m_duplicates.contains(name) || m_openDuplicates.contains(name)) {
    return;
  }
  const bool isOutstanding =
    std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto& aItem) {
      return aItem.second.m_account == aAccount && aItem.second.m_key == aKey;
    });
  if (!isOutstanding) {
    m_duplicates.erase(name);
  }
}

void
Ledger::MarkDuplicate(const AccountId& aAccount, const RequestKey& aKey)
{
  const std::string name = DuplicateName(aAccount, aKey);
  m_duplicates.try_emplace(name, 0);
  m_openDuplicates.insert(name);
  m_isDirty = true;
}

void
Ledger::EndDuplicate(const AccountId& aAccount, const RequestKey& aKey)
{
  const auto open = m_openDuplicates.find(DuplicateName(aAccount, aKey));
  if (open == m_openDuplicates.end()) {
    return;
  }
  m_openDuplicates.erase(open);
  EraseDuplicateIfDone(aAccount, aKey);
}

void
Ledger::OnCharge(const Charge& aCharge)
{
  if (aCharge.m_holder != m_holder || IsSealed()) {
    return;
  }
  std::uint64_t& settledThrough = m_settledThrough[aCharge.m_agent];
  if (aCharge.m_sequence <= m_durableThrough[aCharge.m_agent]) {
    m_hooks.m_settled(aCharge.m_agent, m_durableThrough[aCharge.m_agent]);
    return;
  }
  if (aCharge.m_sequence != settledThrough + 1) {
    return;
  }
  settledThrough = aCharge.m_sequence;
  m_isDirty = true;
  auto attempt = m_attempts.find(aCharge.m_attempt);
  const std::uint64_t allotment =
    attempt == m_attempts.end() ? 0 : attempt->second.m_tokens;
  Account& account = m_accounts[aCharge.m_account];
  account.m_allotted -= allotment;
  account.m_charged += BillableTokens(aCharge, allotment);
  assert(account.Committed() <= account.m_drawn &&
         "a charge never exceeds the drawn credit");
  if (attempt != m_attempts.end()) {
    EraseAttempt(aCharge.m_attempt);
  }
  ProcessPending(aCharge.m_account);
}

std::uint64_t
Ledger::BillableTokens(const Charge& aCharge, std::uint64_t aAllotment)
{
  // Agents never charge more than the allotment; this bound protects the budget
  // even from an agent that does.
  const std::uint64_t billable = std::min(aCharge.m_tokens, aAllotment);
  auto duplicate =
    m_duplicates.find(DuplicateName(aCharge.m_account, aCharge.m_key));
  if (duplicate == m_duplicates.end()) {
    return billable;
  }
  if (duplicate->second > 0) {
    return 0;
  }
  duplicate->second = billable;
  return billable;
}

void
Ledger::ReturnUnused(const AccountId& aAccount, std::function<void(bool)> aDone)
{
  auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end() || IsSealed()) {
    aDone(!IsSealed());
    return;
  }
  found->second.m_returnHooks.push_back(std::move(aDone));
  ProcessPending(aAccount);
}

void
Ledger::FlushLoop()
{
  if (IsSealed()) {
    return;
  }
  auto reschedule = [this, alive = std::weak_ptr(m_alive)] {
    if (!alive.expired()) {
      RunAfter(m_options.m_flushInterval, [this] { FlushLoop(); });
    }
  };
  if (!m_isDirty) {
    reschedule();
    return;
  }
  m_writer.Flush([reschedule](const absl::Status&) { reschedule(); });
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
  value.m_settledThrough = m_settledThrough;
  value.m_duplicates = m_duplicates;
  value.m_isSealed = m_isRetiring;
  return value;
}

void
Ledger::HandleSealed()
{
  if (m_isSealReported || m_isRetiring) {
    return;
  }
  m_isSealReported = true;
  for (auto& [id, account] : m_accounts) {
    FailWaiters(account, ResultCode::kHolderSealed);
  }
  m_hooks.m_sealed();
}

void
Ledger::Retire(std::function<void()> aDone)
{
  assert(m_attempts.empty() &&
         "a holder retires only without outstanding attempts");
  m_isRetiring = true;
  // Failure means that the key is already sealed, either by this holder's own
  // write whose response was lost or by a recovery. Closing the accounts is
  // correct and idempotent in both cases.
  m_writer.Flush([this, done = std::move(aDone)](const absl::Status&) {
    std::vector<AccountId> remaining;
    for (const auto& [id, account] : m_accounts) {
      remaining.push_back(id);
    }
    CloseNextAccount(std::move(remaining), done);
  });
}

void
Ledger::CloseNextAccount(std::vector<AccountId> aRemaining,
                         std::function<void()> aDone)
{
  if (aRemaining.empty()) {
    RemoveLedger(m_keyValue,
                 m_timers,
                 m_holder,
                 [done = std::move(aDone)](const absl::Status&) { done(); });
    return;
  }
  const AccountId account = aRemaining.back();
  aRemaining.pop_back();
  CloseAccount(
    m_keyValue,
    m_timers,
    { account,
      m_holder,
      m_accounts[account].m_charged,
      m_hooks.m_initialBudget(account) },
    [this, remaining = std::move(aRemaining), done = std::move(aDone)](
      const absl::Status&) { CloseNextAccount(remaining, done); });
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
