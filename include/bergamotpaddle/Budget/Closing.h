/// \file
/// The last writes for a holder, by itself when it retires or by a recovery.
#pragma once

#include "bergamotpaddle/Budget/Values.h"
#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// What is known for certain of one account of a sealed holder.
struct AccountClosing
{
  AccountId m_account;
  HolderId m_holder;
  std::uint64_t m_charged = 0; ///< All that the holder will ever charge.
  std::optional<std::uint64_t> m_initial; ///< Prepaid by configuration.
};

/// Replaces the holder's draw by its charges. Idempotent: once the draw is gone
/// nothing is added. Always writes, so that a first draw by the sealed holder
/// that read the budget earlier fails on the revision.
void
CloseAccount(const KeyValueHooks& aKeyValue,
             const TimerHooks& aTimers,
             const AccountClosing& aClosing,
             std::function<void(absl::Status)> aDone);

/// Removes `ledger/<holder>` if it is sealed.
void
RemoveLedger(const KeyValueHooks& aKeyValue,
             const TimerHooks& aTimers,
             const HolderId& aHolder,
             std::function<void(absl::Status)> aDone);

} // namespace bergamotpaddle
