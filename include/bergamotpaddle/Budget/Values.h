/// \file
/// Budget and ledger values in the key-value service, and their JSON form.
#pragma once

#include "bergamotpaddle/Support/TypedId.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bergamotpaddle {

/// The value of `budget/<account>`. All amounts in tokens.
struct BudgetValue
{
  std::map<std::string, std::uint64_t> m_topUps; ///< By top-up id.
  std::map<HolderId, std::uint64_t>
    m_draws;                   ///< Total that each holder may spend.
  std::uint64_t m_charged = 0; ///< Spent by closed holders.
  auto operator<=>(const BudgetValue&) const = default;

  std::uint64_t Prepaid() const; ///< Sum of all top-ups.
  std::uint64_t Drawn() const;   ///< Sum of the draws of all open holders.
  /// Prepaid tokens that are neither drawn nor spent.
  std::uint64_t Available() const;

  std::string ToJson() const;
  /// `DataLoss` if \p aText is not a valid budget value.
  static absl::StatusOr<BudgetValue> FromJson(const std::string& aText);
};

/// The value of `ledger/<holder>`. All amounts in tokens.
struct LedgerValue
{
  bool m_isSealed = false; ///< The holder may not write any more.
  std::map<AccountId, std::uint64_t>
    m_charged; ///< Total charges of each account that the holder has used.
  std::map<AgentId, std::uint64_t>
    m_settledThrough; ///< Last settled sequence number, by agent.
  std::map<std::string, std::uint64_t>
    m_duplicates; ///< Charge so far of requests sent more than once.
  std::set<AccountId> m_closed; ///< Accounts closed by a recovery.
  auto operator<=>(const LedgerValue&) const = default;

  std::string ToJson() const;
  /// `DataLoss` if \p aText is not a valid ledger value.
  static absl::StatusOr<LedgerValue> FromJson(const std::string& aText);
};

/// `FailedPrecondition`, the status of every operation of a sealed holder.
absl::Status
SealedStatus();

/// `budget/<account>`.
std::string
BudgetKey(const AccountId& aAccount);

/// `ledger/<holder>`.
std::string
LedgerKey(const HolderId& aHolder);

/// Key of a request in LedgerValue::m_duplicates.
std::string
DuplicateName(const AccountId& aAccount, const RequestKey& aKey);

} // namespace bergamotpaddle
