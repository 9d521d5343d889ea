/// \file
/// Bounds what all losses of routers together can cost an account.
///
/// Fault pattern: all routers are killed or lose power at once, repeatedly.
/// Nobody is left to prove that their reserves were closed, so all that they
/// held ahead is written off. A bound on what is held at any one time doesn't
/// help: each loss takes the same share again, until the budget is gone.
///
/// The shared record tells what ended incarnations held ahead when they last
/// wrote it, and what the current ones do. Both count against one share of the
/// budget. A loss turns credit held ahead into credit written off and leaves
/// their sum unchanged, so losses never add up to more than that share. All
/// routers read the same record, and its conditional writes make each draw see
/// the ones before it.
///
/// Working parts count against what is written off alone, since an account's
/// next home needs one while the grant of the previous home is open. Once the
/// share is used up, only the least working parts are left: they cover waiting
/// requests and the demand until the next draws.
#pragma once

#include "bergamotpaddle/Credit/CreditRecord.h"

#include <cstdint>

namespace bergamotpaddle {

/// What losses may cost, as fractions of 1.
struct LossBoundOptions
{
  /// Upper bound, as a share of the budget, of the credit that was written off
  /// and that is held ahead. A budget that lasts a minute covers an outage of
  /// 10 s with a sixth of it; the rest allows for the working parts of routers
  /// that are lost one at a time.
  double m_maxShare = 0.2;
};

/// What further losses may cost an account of \p aPrepaid tokens, given its
/// \p aCredit; at the same time the most that a working part may hold ahead.
std::uint64_t
RemainingLoss(const LossBoundOptions& aOptions,
              const AccountCredit& aCredit,
              std::uint64_t aPrepaid);

/// Tokens that \p aSelf may hold ahead of its demand, given the account's
/// \p aCredit and \p aPrepaid tokens.
std::uint64_t
MaxHeldAhead(const LossBoundOptions& aOptions,
             const AccountCredit& aCredit,
             const HolderId& aSelf,
             std::uint64_t aPrepaid);

} // namespace bergamotpaddle
