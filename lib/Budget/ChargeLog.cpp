#include "bergamotpaddle/Budget/ChargeLog.h"

namespace bergamotpaddle {

ChargeLog::ChargeLog(AgentId aAgent)
  : m_agent(std::move(aAgent))
{
}

const Charge&
ChargeLog::Add(const HolderId& aHolder,
               const AccountId& aAccount,
               const RequestKey& aKey,
               AttemptId aAttempt,
               std::uint64_t aTokens)
{
  HolderCharges& holder = m_holders[aHolder];
  const std::uint64_t sequence = ++holder.m_lastSequence;
  Charge charge{
    aHolder, m_agent, sequence, aAccount, aAttempt, aKey, aTokens
  };
  return holder.m_unsettled.emplace(sequence, std::move(charge)).first->second;
}

void
ChargeLog::Settle(const HolderId& aHolder, std::uint64_t aThrough)
{
  auto found = m_holders.find(aHolder);
  if (found == m_holders.end()) {
    return;
  }
  auto& unsettled = found->second.m_unsettled;
  unsettled.erase(unsettled.begin(), unsettled.upper_bound(aThrough));
}

const ChargeLog::HolderCharges*
ChargeLog::Find(const HolderId& aHolder) const
{
  auto found = m_holders.find(aHolder);
  return found == m_holders.end() ? nullptr : &found->second;
}

std::vector<Charge>
ChargeLog::Unsettled(const HolderId& aHolder) const
{
  std::vector<Charge> charges;
  const HolderCharges* holder = Find(aHolder);
  if (holder == nullptr) {
    return charges;
  }
  for (const auto& [sequence, charge] : holder->m_unsettled) {
    charges.push_back(charge);
  }
  return charges;
}

std::size_t
ChargeLog::UnsettledCount(const HolderId& aHolder) const
{
  const HolderCharges* holder = Find(aHolder);
  return holder == nullptr ? 0 : holder->m_unsettled.size();
}

std::uint64_t
ChargeLog::LastSequence(const HolderId& aHolder) const
{
  const HolderCharges* holder = Find(aHolder);
  return holder == nullptr ? 0 : holder->m_lastSequence;
}

void
ChargeLog::Seal(const HolderId& aHolder)
{
  m_holders[aHolder].m_isSealed = true;
}

bool
ChargeLog::IsSealed(const HolderId& aHolder) const
{
  const HolderCharges* holder = Find(aHolder);
  return holder != nullptr && holder->m_isSealed;
}

} // namespace bergamotpaddle
