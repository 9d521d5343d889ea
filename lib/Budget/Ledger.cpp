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
Ledger::MarkDuplicate(const AccountId& aAccount, const RequestKey& aKey)
{
  const std::string name = DoubledName(aAccount, aKey);
  m_doubled.try_emplace(name, 0);
  m_doubledOpen.insert(name);
  m_dirty = true;
}

void
Ledger::EndDuplicate(const AccountId& aAccount, const RequestKey& aKey)
{
  const auto open = m_doubledOpen.find(DoubledName(aAccount, aKey));
  if (open == m_doubledOpen.end()) {
    return;
  }
  m_doubledOpen.erase(open);
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
Ledger::ReturnUnused(const AccountId& aAccount, std::function<void(bool)> aDone)
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
