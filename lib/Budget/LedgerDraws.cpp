/// \file
/// Draws of credit from a budget and returns of credit to it.
#include "bergamotpaddle/Budget/Ledger.h"

#include <algorithm>
#include <cassert>

namespace bergamotpaddle {

namespace {

/// Reads and conditional writes of the budget before a first draw fails.
constexpr int kMaxFirstDrawTries = 8;

} // namespace

void
Ledger::StartDraw(const AccountId& aAccount)
{
  Account& account = m_accounts[aAccount];
  account.m_isBusy = true;
  if (!account.m_hasDraw) {
    StartFirstDraw(aAccount, kMaxFirstDrawTries);
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
Ledger::StartFirstDraw(const AccountId& aAccount, int aRemainingTries)
{
  // The order matters: read the budget, write the ledger to prove that this
  // holder is not sealed (which also records the account for recoveries), then
  // write the budget at the revision that was read. A recovery seals the ledger
  // before it writes the budget, so a draw that it could have missed fails its
  // revision check.
  m_keyValue.m_get(
    BudgetKey(aAccount),
    [this, alive = std::weak_ptr(m_alive), aAccount, aRemainingTries](
      absl::StatusOr<KeyValueEntry> aRead) {
      if (alive.expired()) {
        return;
      }
      if (!aRead.ok()) {
        DrawDone(aAccount, aRead.status());
        return;
      }
      m_writer.Flush([this, alive, aAccount, aRemainingTries, read = *aRead](
                       const absl::Status& aFlushed) {
        if (alive.expired()) {
          return;
        }
        if (!aFlushed.ok()) {
          DrawDone(aAccount, aFlushed);
          return;
        }
        WriteFirstDraw(aAccount, read, aRemainingTries);
      });
    });
}

void
Ledger::WriteFirstDraw(const AccountId& aAccount,
                       const KeyValueEntry& aRead,
                       int aRemainingTries)
{
  std::optional<std::string> present;
  if (aRead.m_revision != 0) {
    present = aRead.m_value;
  }
  TransformResult transformed = DrawTransform(aAccount, present);
  if (transformed.m_action == TransformResult::Action::kStop) {
    DrawDone(aAccount,
             transformed.m_status.ok() ? absl::StatusOr<KeyValueEntry>(aRead)
                                       : transformed.m_status);
    return;
  }
  m_keyValue.m_compareAndSwap(
    BudgetKey(aAccount),
    aRead.m_revision,
    transformed.m_value,
    [this,
     alive = std::weak_ptr(m_alive),
     aAccount,
     aRemainingTries,
     value = transformed.m_value](absl::StatusOr<std::uint64_t> aRevision) {
      if (alive.expired()) {
        return;
      }
      if (aRevision.ok()) {
        DrawDone(aAccount, KeyValueEntry{ *aRevision, value });
        return;
      }
      if (absl::IsAborted(aRevision.status()) && aRemainingTries > 1) {
        StartFirstDraw(aAccount, aRemainingTries - 1);
        return;
      }
      DrawDone(
        aAccount,
        absl::UnavailableError(
          "the first draw failed: repeated conflicts or unknown outcome"));
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
  if (entry == budget.m_draws.end() && account.m_hasDraw) {
    return TransformResult::Stop(SealedStatus());
  }
  const std::uint64_t currentDraw =
    entry == budget.m_draws.end() ? 0 : entry->second;
  const std::uint64_t targetDraw = TargetDraw(
    account, currentDraw, budget.Available(), budget.m_draws.size() + 1);
  if (targetDraw <= currentDraw && aPresent.has_value()) {
    return TransformResult::Stop(absl::OkStatus());
  }
  budget.m_draws[m_holder] = std::max(targetDraw, currentDraw);
  return TransformResult::Write(budget.ToJson());
}

std::uint64_t
Ledger::TargetDraw(const Account& aState,
                   std::uint64_t aCurrentDraw,
                   std::uint64_t aAvailable,
                   std::size_t aHolders) const
{
  const std::uint64_t maxDraw = aCurrentDraw + aAvailable;
  std::uint64_t target = aState.Committed();
  bool canServeAny = false;
  for (const Waiter& waiter : aState.m_waiters) {
    if (target + waiter.m_tokens <= maxDraw) {
      target += waiter.m_tokens;
      canServeAny = true;
    }
  }
  if (!canServeAny) {
    return aCurrentDraw;
  }
  // Prefetches recent demand, limited so that other holders can draw too.
  const std::uint64_t remaining = maxDraw - target;
  const std::uint64_t share = remaining / (m_options.m_shareDivisor * aHolders);
  return target + std::min(aState.m_demand, share);
}

void
Ledger::DrawDone(const AccountId& aAccount,
                 const absl::StatusOr<KeyValueEntry>& aEntry)
{
  Account& account = m_accounts[aAccount];
  account.m_isBusy = false;
  if (absl::IsFailedPrecondition(aEntry.status())) {
    HandleSealed();
    return;
  }
  if (absl::IsNotFound(aEntry.status())) {
    FailWaiters(account, ResultCode::kBudgetExhausted);
    return;
  }
  if (!aEntry.ok()) {
    FailWaiters(account, ResultCode::kCreditUnreachable);
    ProcessPending(aAccount);
    return;
  }
  const absl::StatusOr<BudgetValue> budget =
    BudgetValue::FromJson(aEntry->m_value);
  assert(budget.ok() &&
         "a budget value that was just read or written is valid");
  auto entry = budget->m_draws.find(m_holder);
  if (entry != budget->m_draws.end()) {
    account.m_hasDraw = true;
    account.m_drawn = entry->second;
  }
  GrantWaiters(aAccount, account);
  ResolveUnmetWaiters(aAccount, *budget);
  ProcessPending(aAccount);
}

void
Ledger::ResolveUnmetWaiters(const AccountId& aAccount,
                            const BudgetValue& aBudget)
{
  Account& account = m_accounts[aAccount];
  std::vector<HolderId> others;
  for (const auto& [holder, drawn] : aBudget.m_draws) {
    if (holder != m_holder && drawn > 0) {
      others.push_back(holder);
    }
  }
  std::vector<std::pair<AllotHook, ResultCode>> refused;
  std::deque<Waiter> remaining;
  bool mustRequestCredit = false;
  for (Waiter& waiter : account.m_waiters) {
    // The draw was computed before this request arrived; the next one covers
    // it.
    if (waiter.m_tokens <= account.Unused() + aBudget.Available()) {
      remaining.push_back(std::move(waiter));
      continue;
    }
    if (!waiter.m_isCreditRequested && !others.empty()) {
      mustRequestCredit = true;
      remaining.push_back(std::move(waiter));
      continue;
    }
    const bool isExhausted = account.m_hasAllReplies || others.empty();
    account.m_nextDraw = m_timers.m_now() + m_options.m_exhaustedRetryInterval;
    refused.emplace_back(std::move(waiter.m_done),
                         isExhausted ? ResultCode::kBudgetExhausted
                                     : ResultCode::kCreditUnreachable);
  }
  account.m_waiters.swap(remaining);
  if (mustRequestCredit) {
    RequestCredit(aAccount, std::move(others));
  }
  for (const auto& [done, code] : refused) {
    done(code);
  }
}

void
Ledger::RequestCredit(const AccountId& aAccount, std::vector<HolderId> aOthers)
{
  Account& account = m_accounts[aAccount];
  account.m_isBusy = true;
  std::uint64_t tokens = 0;
  for (Waiter& waiter : account.m_waiters) {
    waiter.m_isCreditRequested = true;
    tokens += waiter.m_tokens;
  }
  m_hooks.m_requestCredit(
    aAccount,
    tokens,
    std::move(aOthers),
    [this, alive = std::weak_ptr(m_alive), aAccount](bool aHasAllReplies) {
      if (alive.expired()) {
        return;
      }
      Account& state = m_accounts[aAccount];
      state.m_isBusy = false;
      state.m_hasAllReplies = aHasAllReplies;
      ProcessPending(aAccount);
    });
}

void
Ledger::StartReturn(const AccountId& aAccount)
{
  Account& account = m_accounts[aAccount];
  if (account.Unused() == 0 || !account.m_hasDraw) {
    ReturnDone(aAccount, KeyValueEntry{});
    return;
  }
  account.m_isBusy = true;
  // Subtracted before the write, so that the credit to return cannot be
  // allotted in the meantime.
  account.m_drawn = account.Committed();
  const std::uint64_t target = account.m_drawn;
  UpdateOptions options;
  options.m_maxUnavailableResults = 0; // No limit.
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
  account.m_isBusy = false;
  std::vector<std::function<void(bool)>> hooks;
  hooks.swap(account.m_returnHooks);
  for (const auto& done : hooks) {
    done(aEntry.ok());
  }
  if (!aEntry.ok()) {
    HandleSealed();
    return;
  }
  ProcessPending(aAccount);
}

void
Ledger::ReturnIdleCredit()
{
  if (IsSealed()) {
    return;
  }
  const Instant now = m_timers.m_now();
  std::vector<AccountId> idle;
  for (const auto& [id, account] : m_accounts) {
    if (account.Unused() > 0 &&
        now - account.m_lastDemand >= m_options.m_idleBeforeReturn) {
      idle.push_back(id);
    }
  }
  for (const AccountId& id : idle) {
    ReturnUnused(id, [](bool) {});
  }
  RunAfter(m_options.m_idleCheckInterval, [this] { ReturnIdleCredit(); });
}

} // namespace bergamotpaddle
