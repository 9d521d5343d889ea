#include "bergamotpaddle/Budget/Closing.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

TransformResult
CloseTransform(const AccountClosing& aClosing,
               const std::optional<std::string>& aPresent)
{
  BudgetValue budget;
  if (aPresent.has_value()) {
    absl::StatusOr<BudgetValue> parsed = BudgetValue::FromJson(*aPresent);
    if (!parsed.ok()) {
      return TransformResult::Stop(parsed.status());
    }
    budget = *parsed;
  }
  if (!aPresent.has_value()) {
    budget.m_topUps["initial"] = aClosing.m_initialBudget.value_or(0);
  }
  auto draw = budget.m_draws.find(aClosing.m_holder);
  if (draw != budget.m_draws.end()) {
    budget.m_charged += std::min(aClosing.m_charged, draw->second);
    budget.m_draws.erase(draw);
  }
  return TransformResult::Write(budget.ToJson());
}

UpdateOptions
UnlimitedRetries()
{
  UpdateOptions options;
  options.m_maxUnavailableResults = 0; // No limit.
  return options;
}

} // namespace

void
CloseAccount(const KeyValueHooks& aKeyValue,
             const TimerHooks& aTimers,
             const AccountClosing& aClosing,
             std::function<void(absl::Status)> aDone)
{
  Update(
    aKeyValue,
    aTimers,
    BudgetKey(aClosing.m_account),
    [aClosing](const std::optional<std::string>& aPresent) {
      return CloseTransform(aClosing, aPresent);
    },
    [done = std::move(aDone)](const absl::StatusOr<KeyValueEntry>& aEntry) {
      done(aEntry.status());
    },
    UnlimitedRetries());
}

void
RemoveLedger(const KeyValueHooks& aKeyValue,
             const TimerHooks& aTimers,
             const HolderId& aHolder,
             std::function<void(absl::Status)> aDone)
{
  Update(
    aKeyValue,
    aTimers,
    LedgerKey(aHolder),
    [](const std::optional<std::string>& aPresent) {
      if (!aPresent.has_value()) {
        return TransformResult::Stop(absl::OkStatus());
      }
      const absl::StatusOr<LedgerValue> ledger =
        LedgerValue::FromJson(*aPresent);
      if (!ledger.ok() || !ledger->m_isSealed) {
        return TransformResult::Stop(absl::FailedPreconditionError(
          "the ledger is not sealed; seal it before removing it"));
      }
      return TransformResult::Remove();
    },
    [done = std::move(aDone)](const absl::StatusOr<KeyValueEntry>& aEntry) {
      done(aEntry.status());
    },
    UnlimitedRetries());
}

} // namespace bergamotpaddle
