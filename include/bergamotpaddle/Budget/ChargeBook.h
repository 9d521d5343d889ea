/// \file
/// An agent's charges: what each holder owes for work that ended here, kept
/// until the holder's router says that it is durable.
#pragma once

#include "bergamotpaddle/Wire/Messages.h"

#include <map>
#include <vector>

namespace bergamotpaddle {

/// Numbers charges by holder and forgets them when settled.
class ChargeBook
{
public:
  explicit ChargeBook(AgentId aAgent);

  /// Books work that ended and returns the charge to send.
  const Charge& Add(const HolderId& aHolder,
                    const AccountId& aAccount,
                    const RequestKey& aKey,
                    AttemptId aAttempt,
                    std::uint64_t aTokens);

  /// Forgets charges up to and including \p aThrough.
  void Settle(const HolderId& aHolder, std::uint64_t aThrough);

  /// Charges of \p aHolder that are not settled, in their order.
  std::vector<Charge> Unsettled(const HolderId& aHolder) const;

  /// How many charges of \p aHolder are not settled.
  std::size_t UnsettledCount(const HolderId& aHolder) const;

  /// The last sequence number given for \p aHolder, 0 if none.
  std::uint64_t LastSequence(const HolderId& aHolder) const;

  /// From now on nothing may start for \p aHolder.
  void Seal(const HolderId& aHolder);
  bool IsSealed(const HolderId& aHolder) const;

private:
  /// What is kept of one holder.
  struct Account
  {
    std::uint64_t m_lastSequence = 0;
    bool m_sealed = false;
    std::map<std::uint64_t, Charge> m_unsettled;
  };

  const Account* Find(const HolderId& aHolder) const;

  AgentId m_agent;
  std::map<HolderId, Account> m_holders;
};

} // namespace bergamotpaddle
