#include "bergamotpaddle/Budget/ChargeBook.h"

namespace bergamotpaddle {

ChargeBook::ChargeBook(AgentId aAgent)
  : m_agent(std::move(aAgent))
{
}

const Charge&
ChargeBook::Add(const HolderId& aHolder,
                const AccountId& aAccount,
                const RequestKey& aKey,
                AttemptId aAttempt,
                std::uint64_t aTokens)
{
  Account& holder = m_holders[aHolder];
  const std::uint64_t sequence = ++holder.m_lastSequence;
  Charge charge{
    aHolder, m_agent, sequence, aAccount, aAttempt, aKey, aTokens
  };
  return holder.m_unsettled.emplace(sequence, std::move(charge)).first->second;
}

void
ChargeBook::Settle(const HolderId& aHolder, std::uint64_t aThrough)
{
  auto found = m_holders.find(aHolder);
  if (found == m_holders.end()) {
    return;
  }
  auto& unsettled = found->second.m_unsettled;
  unsettled.erase(unsettled.begin(), unsettled.upper_bound(aThrough));
}

const ChargeBook::Account*
ChargeBook::Find(const HolderId& aHolder) const
{
  auto found = m_holders.find(aHolder);
  return found == m_holders.end() ? nullptr : &found->second;
}

std::vector<Charge>
ChargeBook::Unsettled(const HolderId& aHolder) const
{
  std::vector<Charge> charges;
  const Account* holder = Find(aHolder);
  if (holder == nullptr) {
    return charges;
  }
  for (const auto& [sequence, charge] : holder->m_unsettled) {
    charges.push_back(charge);
  }
  return charges;
}

std::size_t
ChargeBook::UnsettledCount(const HolderId& aHolder) const
{
  const Account* holder = Find(aHolder);
  return holder == nullptr ? 0 : holder->m_unsettled.size();
}

std::uint64_t
ChargeBook::LastSequence(const HolderId& aHolder) const
{
  const Account* holder = Find(aHolder);
  return holder == nullptr ? 0 : holder->m_lastSequence;
}

void
ChargeBook::Seal(const HolderId& aHolder)
{
  m_holders[aHolder].m_sealed = true;
}

bool
ChargeBook::IsSealed(const HolderId& aHolder) const
{
  const Account* holder = Find(aHolder);
  return holder != nullptr && holder->m_sealed;
}

} // namespace bergamotpaddle
