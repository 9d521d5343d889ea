/// \file
/// The record in which routers without agents share prepaid credit.
///
/// It holds, for each account, what earlier lives may have spent and the most
/// that each living router may ever have spent (its grant). The sum never
/// exceeds what is prepaid.
#pragma once

#include "bergamotpaddle/Support/HostTime.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>

namespace bergamotpaddle {

/// A router as the shared record names it.
struct CreditHolder
{
  std::string m_host;    ///< Stable over restarts: one process at a time.
  HolderId m_life;       ///< This run of the process.
  std::string m_address; ///< Where other routers reach it.
  /// When its entries were written: until a while later it leaves its reserves
  /// alone.
  HostTime m_pledgedAt;
  auto operator<=>(const CreditHolder&) const = default;
};

/// What one router holds of one account.
struct CreditGrant
{
  std::uint64_t m_granted = 0; ///< The most that it may ever have spent.
  std::uint64_t m_spent = 0;   ///< Spent for certain when this was written.
  std::uint64_t m_rate = 0;    ///< Demand then, in tokens a second.
  std::uint64_t m_reserve = 0; ///< Part of m_granted that is left alone while
                               ///< the pledge holds.
  auto operator<=>(const CreditGrant&) const = default;
};

/// One account in the shared record.
struct AccountCredit
{
  std::uint64_t m_closed = 0; ///< Grants of lives that ended, taken as spent.
  std::uint64_t m_closedSpent = 0; ///< Of these, what was spent for certain.
  std::map<HolderId, CreditGrant> m_grants;
  auto operator<=>(const AccountCredit&) const = default;

  /// What is spent or granted: nobody else may have it.
  std::uint64_t Committed() const;
  /// What is spent for certain.
  std::uint64_t Spent() const;
  /// Demand of all routers, in tokens a second.
  std::uint64_t Rate() const;
  /// Takes the grant of \p aLife as spent, but for its reserve if
  /// \p aHasKeptReserve.
  void Close(const HolderId& aLife, bool aHasKeptReserve);
};

/// The shared record.
struct CreditRecord
{
  std::map<HolderId, CreditHolder> m_holders;
  std::map<AccountId, AccountCredit> m_accounts;
  auto operator<=>(const CreditRecord&) const = default;

  std::string Encode() const;
  /// Fails on anything that is not a whole record: credit is never guessed.
  static absl::StatusOr<CreditRecord> Decode(const std::string& aText);
};

} // namespace bergamotpaddle
