/// \file
/// Relays key-value operations through another router when this router cannot
/// reach the key-value service.
///
/// The relay changes no guarantees: the operation is the same compare-and-swap,
/// and if the last path tried yields no result, it returns `Unavailable`: a
/// write may or may not have taken effect. A write that is repeated through the
/// relay after it took effect fails with a conflict; callers read the key again
/// after a conflict in any case.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <memory>
#include <set>

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// Tries the direct connection first, or other routers for some time after the
/// direct connection has failed.
class KeyValueRelay
{
public:
  using SendHook = std::function<bool(PeerId, Message)>;

  KeyValueRelay(KeyValueHooks aDirect, TimerHooks aTimers, SendHook aSend);

  /// Returns hooks whose get, compare-and-swap and keep-alive use either path;
  /// watch and list use only the direct connection.
  KeyValueHooks Hooks();

  void OnRouterConnected(PeerId aPeer) { m_routers.insert(aPeer); }
  void OnClosed(PeerId aPeer);
  void On(PeerId aPeer, const KeyValueRequest& aMessage);
  void On(const KeyValueReply& aMessage);

  /// Number of operations sent through another router.
  std::uint64_t RelayedOperations() const { return m_relayedOperations; }

private:
  using EntryHook = KeyValueHooks::EntryHook;

  /// An operation sent to another router, with its reply outstanding.
  struct PendingOperation
  {
    PeerId m_peer = 0;
    EntryHook m_done;
  };

  void Execute(const KeyValueRequest& aOperation, EntryHook aDone);
  void ExecuteDirect(const KeyValueRequest& aOperation, const EntryHook& aDone);
  void ExecuteRelayed(KeyValueRequest aOperation, EntryHook aDone);
  void Finish(std::uint64_t aNumber,
              const absl::StatusOr<KeyValueEntry>& aEntry);

  KeyValueHooks m_direct;
  TimerHooks m_timers;
  SendHook m_send;
  std::set<PeerId> m_routers;
  std::map<std::uint64_t, PendingOperation> m_pendingOperations;
  std::uint64_t m_lastOperation = 0;
  Instant m_preferRelayUntil{};
  std::uint64_t m_relayedOperations = 0;
};

} // namespace bergamotpaddle
