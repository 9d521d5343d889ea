/// \file
/// The shared record of prepaid credit: for each account an upper bound of what
/// ended incarnations of routers have spent, and of what each current one may
/// spend.
///
/// Load pattern: many routers draw at the same time. Each account is a separate
/// stored item, so draws of different accounts never conflict.
#pragma once

#include "bergamotpaddle/Support/TypedId.h"

#include <absl/status/statusor.h>
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace bergamotpaddle {

/// A router's entry in the shared record.
struct CreditHolder
{
  std::string m_host; ///< Stable across restarts; runs one process at a time.
  HolderId m_incarnation; ///< One run of the process; see `HostOfIncarnation`.
  std::string m_address;  ///< Address at which other routers reach it.
  auto operator<=>(const CreditHolder&) const = default;

  std::string Encode() const;
  static absl::StatusOr<CreditHolder> Decode(const std::string& aText);
};

/// Returns the host of an incarnation: the part of its id before the last
/// slash.
std::string
HostOfIncarnation(const HolderId& aIncarnation);

/// One router's grant of one account. Amounts are in tokens.
struct CreditGrant
{
  /// Upper bound of all that the router may ever spend.
  std::uint64_t m_granted = 0;
  /// Upper bound of what it may spend while its reserve is closed. The reserve
  /// is the rest of m_granted.
  std::uint64_t m_working = 0;
  std::uint64_t m_spent = 0; ///< Known to be spent at the time of the write.
  std::uint64_t m_rate = 0;  ///< Demand at the time of the write, in tokens/s.
  /// Part of m_granted that was spent, allotted or lent at the time of the
  /// write; it includes m_spent. Unlike m_spent, part of it may come back.
  std::uint64_t m_used = 0;
  auto operator<=>(const CreditGrant&) const = default;

  /// Credit held ahead of demand at the time of the write.
  std::uint64_t HeldAhead() const
  {
    return m_granted - std::min(m_granted, m_used);
  }
};

/// The recorded credit of one account. Amounts are in tokens.
struct AccountCredit
{
  std::uint64_t m_closed = 0;      ///< Ended incarnations; counted as spent.
  std::uint64_t m_closedSpent = 0; ///< Part of m_closed: known to be spent.
  /// Part of m_closed: in use when the ended incarnations last wrote.
  std::uint64_t m_closedUsed = 0;
  std::map<HolderId, CreditGrant> m_grants;
  auto operator<=>(const AccountCredit&) const = default;

  /// All closed and granted credit, which cannot be granted again.
  std::uint64_t Committed() const;
  /// Credit that can neither be spent nor granted any more: what ended
  /// incarnations took with them, spent or not, and what the current ones are
  /// known to have spent.
  std::uint64_t Consumed() const;
  /// Upper bound of the unused credit that ended incarnations took with them.
  std::uint64_t WrittenOff() const
  {
    return m_closed - std::min(m_closed, m_closedUsed);
  }
  /// Demand of all routers, in tokens/s.
  std::uint64_t Rate() const;
  /// Removes the grant of \p aIncarnation and counts it as spent, without its
  /// reserve if \p aIsReserveClosed, that is, if the reserve is proven to have
  /// been closed. Does nothing if there is no such grant.
  void Close(const HolderId& aIncarnation, bool aIsReserveClosed);

  std::string Encode() const;
  /// Fails with DataLoss on incomplete or malformed text: missing values are
  /// never replaced by defaults. Routers of an earlier release don't write what
  /// was in use; at least what was spent was.
  static absl::StatusOr<AccountCredit> Decode(const std::string& aText);
};

/// The accounts that a router is about to write, with their new contents.
using CreditPlan = std::map<AccountId, AccountCredit>;

/// All accounts and routers, as this router last read or wrote them.
struct CreditRecord
{
  std::map<std::string, CreditHolder> m_holders; ///< By host.
  std::map<AccountId, AccountCredit> m_accounts;
  auto operator<=>(const CreditRecord&) const = default;

  /// Replaces the accounts that were written.
  void Apply(const CreditPlan& aPlan);
};

} // namespace bergamotpaddle
