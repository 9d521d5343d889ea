/// \file
/// Decides in the key-value service where a caller's key runs, if the key's
/// homes cannot: one is unreachable, or they disagree.
///
/// Keys hash to slots; a slot is the value of `claims/<slot>`. A decision is
/// written once for each generation of a placement, by compare-and-swap, so
/// routers that reach different homes agree on one place.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <memory>

namespace bergamotpaddle {

/// A proposed or decided placement of a key.
struct KeyPlacement
{
  std::string m_fingerprint; ///< Hash of the request's content.
  UpstreamId m_place;
  /// Increases each time the key is moved.
  std::uint64_t m_generation = 0;
  /// The attempt that may start there. Empty: an attempt that is recorded only
  /// at a home.
  std::string m_claimant;
  /// An earlier place was abandoned without proof that the key did not run
  /// there.
  bool m_mayHaveRun = false;
  auto operator<=>(const KeyPlacement&) const = default;
};

/// Limits of the register.
struct ClaimRegisterOptions
{
  std::size_t m_slots = 256;
  std::size_t m_maxEntries = 64; ///< In a slot; the oldest are evicted first.
  /// Number of `Unavailable` results, without a definite write result in
  /// between, after which ClaimRegister::Decide fails; 0: no limit.
  int m_maxUnavailableResults = 3;
};

/// One router's view of the register.
class ClaimRegister
{
public:
  using DecisionHook = std::function<void(absl::StatusOr<KeyPlacement>)>;

  ClaimRegister(ClaimRegisterOptions aOptions,
                KeyValueHooks aKeyValue,
                TimerHooks aTimers);

  /// Proposes a placement and passes the one in force to \p aDone: the first
  /// that was proposed for the highest generation. After an error the outcome
  /// is unknown: the proposal may still become the decision.
  void Decide(const AccountId& aAccount,
              const RequestKey& aKey,
              KeyPlacement aProposal,
              DecisionHook aDone);

private:
  ClaimRegisterOptions m_options;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
