#include "bergamotpaddle/Credit/LossBound.h"

#include <algorithm>

namespace bergamotpaddle {

std::uint64_t
RemainingLoss(const LossBoundOptions& aOptions,
              const AccountCredit& aCredit,
              std::uint64_t aPrepaid)
{
  const auto bound = static_cast<std::uint64_t>(aOptions.m_maxShare *
                                                static_cast<double>(aPrepaid));
  return bound - std::min(bound, aCredit.WrittenOff());
}

std::uint64_t
MaxHeldAhead(const LossBoundOptions& aOptions,
             const AccountCredit& aCredit,
             const HolderId& aSelf,
             std::uint64_t aPrepaid)
{
  std::uint64_t heldByOthers = 0;
  for (const auto& [incarnation, grant] : aCredit.m_grants) {
    heldByOthers += incarnation == aSelf ? 0 : grant.HeldAhead();
  }
  const std::uint64_t remaining = RemainingLoss(aOptions, aCredit, aPrepaid);
  return remaining - std::min(remaining, heldByOthers);
}

} // namespace bergamotpaddle
