// How a ledger moves credit between the budget and itself.
#include "bergamotpaddle/Budget/Ledger.h"

#include <algorithm>
#include <cassert>

namespace bergamotpaddle {

namespace {

constexpr int kFirstDrawTries = 8;

} // namespace

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
  m_hooks.m_requestCredit(
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
    ReturnUnused(id, [](bool) {});
  }
  After(m_options.m_spareSweepInterval, [this] { SweepSpare(); });
}

} // namespace bergamotpaddle
