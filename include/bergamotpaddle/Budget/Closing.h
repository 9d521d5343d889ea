/// \file
/// Final updates of the key-value service for a holder, made by the holder
/// itself when it retires or by a recovery.
#pragma once

#include "bergamotpaddle/Budget/Values.h"
#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// Final state of one account of a sealed holder. Amounts in tokens.
struct AccountClosing
{
  AccountId m_account;
  HolderId m_holder;
  std::uint64_t m_charged = 0; ///< Final total of the holder's charges.
  std::optional<std::uint64_t>
    m_initialBudget; ///< Prepaid tokens in the configuration, for a
                     ///< budget that has no value in the service yet.
};

/// Replaces the holder's draw in `budget/<account>` by its charges. Idempotent:
/// does not add charges if the draw is already removed. Writes even if nothing
/// changes, so that a concurrent first draw by the sealed holder, which read
/// the budget before, fails its revision check. Writes are retried without
/// limit; \p aDone gets `DataLoss` if the budget value cannot be parsed.
void
CloseAccount(const KeyValueHooks& aKeyValue,
             const TimerHooks& aTimers,
             const AccountClosing& aClosing,
             std::function<void(absl::Status)> aDone);

/// Removes `ledger/<holder>`. `FailedPrecondition` if it is not sealed;
/// succeeds if it does not exist.
void
RemoveLedger(const KeyValueHooks& aKeyValue,
             const TimerHooks& aTimers,
             const HolderId& aHolder,
             std::function<void(absl::Status)> aDone);

} // namespace bergamotpaddle
