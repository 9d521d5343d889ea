/// \file
/// What the key-value service holds of budgets, and its JSON.
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
    m_draws;                   ///< What each holder may spend in all.
  std::uint64_t m_charged = 0; ///< Spent by holders that are closed.
  auto operator<=>(const BudgetValue&) const = default;

  std::uint64_t Prepaid() const;
  std::uint64_t Drawn() const;
  /// What nobody has drawn or spent.
  std::uint64_t Available() const;

  std::string ToJson() const;
  static absl::StatusOr<BudgetValue> FromJson(const std::string& aText);
};

/// The value of `ledger/<holder>`.
struct LedgerValue
{
  bool m_sealed = false; ///< The holder may write no more.
  std::map<AccountId, std::uint64_t>
    m_charged; ///< Every account opened, with its charges so far.
  std::map<AgentId, std::uint64_t>
    m_through; ///< Sequence number settled, by agent.
  std::map<std::string, std::uint64_t>
    m_doubled; ///< Charge so far of requests with two attempts.
  std::set<AccountId> m_closed; ///< Accounts that a recovery has closed.
  auto operator<=>(const LedgerValue&) const = default;

  std::string ToJson() const;
  static absl::StatusOr<LedgerValue> FromJson(const std::string& aText);
};

/// The status of whatever a sealed holder tries.
absl::Status
SealedStatus();

/// `budget/<account>`.
std::string
BudgetKey(const AccountId& aAccount);

/// `ledger/<holder>`.
std::string
LedgerKey(const HolderId& aHolder);

/// Names a request in LedgerValue::m_doubled.
std::string
DoubledName(const AccountId& aAccount, const RequestKey& aKey);

} // namespace bergamotpaddle
