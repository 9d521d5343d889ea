/// \file
/// The way to the key-value service of a router that is cut off from it:
/// through another router that reaches it.
///
/// The relay adds nothing to what can be agreed on: the operation is the same
/// compare-and-swap, and an unclear one stays unclear. A repeated write meets
/// its own earlier effect as a conflict, which every caller reads back anyway.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <memory>
#include <set>

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// Tries the own way first; for a while after it failed, others' first.
class KeyValueRelay
{
public:
  using SendHook = std::function<bool(PeerId, Message)>;

  KeyValueRelay(KeyValueHooks aOwn, TimerHooks aTimers, SendHook aSend);

  /// Hooks that get, swap and renew by either way; watches and lists go the own
  /// way alone.
  KeyValueHooks Hooks();

  void OnRouterLinked(PeerId aPeer) { m_routers.insert(aPeer); }
  void OnClosed(PeerId aPeer);
  void On(PeerId aPeer, const KeyValueRequest& aMessage);
  void On(const KeyValueReply& aMessage);

  /// Operations that went through another router.
  std::uint64_t Relayed() const { return m_relayed; }

private:
  using EntryHook = KeyValueHooks::EntryHook;

  /// A question to another router.
  struct Question
  {
    PeerId m_peer = 0;
    EntryHook m_done;
  };

  void Do(const KeyValueRequest& aOperation, EntryHook aDone);
  void DoOwn(const KeyValueRequest& aOperation, const EntryHook& aDone);
  void DoThroughOther(KeyValueRequest aOperation, EntryHook aDone);
  void Finish(std::uint64_t aQuestion,
              const absl::StatusOr<KeyValueEntry>& aEntry);

  KeyValueHooks m_own;
  TimerHooks m_timers;
  SendHook m_send;
  std::set<PeerId> m_routers;
  std::map<std::uint64_t, Question> m_questions;
  std::uint64_t m_lastQuestion = 0;
  Instant m_ownFailedUntil{};
  std::uint64_t m_relayed = 0;
};

} // namespace bergamotpaddle
