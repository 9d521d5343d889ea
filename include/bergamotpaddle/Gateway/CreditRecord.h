/// \file
/// What routers share of prepaid credit: for each account what earlier lives
/// may have spent, and the most that each living router may ever have spent.
///
/// Load pattern: many routers that draw at the same moment. Each account is an
/// item of its own, so that draws of different accounts never conflict.
#pragma once

#include "bergamotpaddle/Support/TypedId.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>

namespace bergamotpaddle {

/// A router as the others know it.
struct CreditHolder
{
  std::string m_host;     ///< Stable over restarts: one process at a time.
  HolderId m_incarnation; ///< This run of the process, see `HostOfIncarnation`.
  std::string m_address;  ///< Where other routers reach it.
  auto operator<=>(const CreditHolder&) const = default;

  std::string Encode() const;
  static absl::StatusOr<CreditHolder> Decode(const std::string& aText);
};

/// The host of a life: what stands before the slash in its id.
std::string
HostOfIncarnation(const HolderId& aLife);

/// What one router holds of one account.
struct CreditGrant
{
  std::uint64_t m_granted = 0; ///< The most that it may ever have spent.
  /// Of these, the most that it may have spent with its reserves closed.
  std::uint64_t m_working = 0;
  std::uint64_t m_spent = 0; ///< Spent for certain when this was written.
  std::uint64_t m_rate = 0;  ///< Demand then, in tokens a second.
  auto operator<=>(const CreditGrant&) const = default;
};

/// One account.
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
  /// Takes the grant of \p aLife as spent, without its reserve if that is
  /// proven to be closed.
  void Close(const HolderId& aLife, bool aIsReserveClosed);

  std::string Encode() const;
  /// Fails on anything that is not whole: credit is never guessed.
  static absl::StatusOr<AccountCredit> Decode(const std::string& aText);
};

/// Accounts as one router wants them to be.
using CreditPlan = std::map<AccountId, AccountCredit>;

/// All accounts, as a router read or wrote them last, and the routers.
struct CreditRecord
{
  std::map<std::string, CreditHolder> m_holders; ///< By host.
  std::map<AccountId, AccountCredit> m_accounts;
  auto operator<=>(const CreditRecord&) const = default;

  /// Takes what was written.
  void Apply(const CreditPlan& aPlan);
};

} // namespace bergamotpaddle
