/// \file
/// Log of an agent's charges for finished work, by holder. A charge is kept
/// until the holder's router confirms that it is durable.
#pragma once

#include "bergamotpaddle/Wire/Messages.h"

#include <map>
#include <vector>

namespace bergamotpaddle {

/// Assigns sequence numbers to charges, separately for each holder, and removes
/// charges once they are settled.
class ChargeLog
{
public:
  /// \p aAgent identifies the agent incarnation in all charges of this log.
  explicit ChargeLog(AgentId aAgent);

  /// Records the charge for finished work and returns it for sending.
  const Charge& Add(const HolderId& aHolder,
                    const AccountId& aAccount,
                    const RequestKey& aKey,
                    AttemptId aAttempt,
                    std::uint64_t aTokens);

  /// Removes the charges of \p aHolder with sequence numbers up to and
  /// including \p aThrough.
  void Settle(const HolderId& aHolder, std::uint64_t aThrough);

  /// Unsettled charges of \p aHolder, in ascending order of sequence number.
  std::vector<Charge> Unsettled(const HolderId& aHolder) const;

  /// Number of unsettled charges of \p aHolder.
  std::size_t UnsettledCount(const HolderId& aHolder) const;

  /// The last sequence number assigned for \p aHolder; 0 if none.
  std::uint64_t LastSequence(const HolderId& aHolder) const;

  /// Marks \p aHolder as sealed: no work may start for it any more.
  void Seal(const HolderId& aHolder);
  bool IsSealed(const HolderId& aHolder) const;

private:
  /// Charges of one holder.
  struct HolderCharges
  {
    std::uint64_t m_lastSequence = 0;
    bool m_isSealed = false;
    std::map<std::uint64_t, Charge> m_unsettled; ///< By sequence number.
  };

  const HolderCharges* Find(const HolderId& aHolder) const;

  AgentId m_agent;
  std::map<HolderId, HolderCharges> m_holders;
};

} // namespace bergamotpaddle
