/// \file
/// Where a caller's key runs, decided in the key-value service when its homes
/// cannot decide it: one is out of reach, or they disagree.
///
/// Keys hash to slots, each one value `claims/<slot>`. A decision is written
/// once for each generation of a placement, by compare-and-swap, so routers
/// that reach different homes come to the same place.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <memory>

namespace bergamotpaddle {

/// A placement of a key, proposed or decided.
struct KeyPlacement
{
  std::string m_fingerprint; ///< Hash of the request's content.
  UpstreamId m_place;
  std::uint64_t m_generation = 0; ///< Rises each time the key is moved.
  std::string m_claimant; ///< The attempt that may start there; empty: another
                          ///< one that only a home knows.
  bool m_mayHaveRun = false; ///< An earlier place was given up without proof.
  auto operator<=>(const KeyPlacement&) const = default;
};

/// Bounds of the register.
struct ClaimRegisterOptions
{
  std::size_t m_slots = 256;
  std::size_t m_maxEntries = 64; ///< In a slot; the oldest ones go first.
  int m_maxUnavailableResults =
    3; ///< Unclear outcomes in a row before giving up.
};

/// One router's view of the register.
class ClaimRegister
{
public:
  using DecidedHook = std::function<void(absl::StatusOr<KeyPlacement>)>;

  ClaimRegister(ClaimRegisterOptions aOptions,
                KeyValueHooks aKeyValue,
                TimerHooks aTimers);

  /// Proposes a placement and answers with the one in force: the first that
  /// was proposed for the highest generation. An error: nothing is known, and
  /// the proposal may still become the decision.
  void Decide(const AccountId& aAccount,
              const RequestKey& aKey,
              KeyPlacement aProposal,
              DecidedHook aDone);

private:
  ClaimRegisterOptions m_options;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
