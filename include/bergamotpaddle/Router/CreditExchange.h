/// \file
/// Requests unused credit from the other routers before a request is refused
/// because the budget is exhausted.
#pragma once

#include "bergamotpaddle/Budget/Ledger.h"

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// Callbacks of a credit exchange, implemented by its router.
struct CreditHooks
{
  std::function<bool(PeerId, Message)> m_send;
  std::function<Ledger&()> m_ledger;
  /// Holders to which no request could be sent; some may have failed for good.
  std::function<void(const AccountId&, const std::vector<HolderId>&)>
    m_onUnreachable;
};

/// Sends credit requests to other routers and replies to theirs.
class CreditExchange
{
public:
  CreditExchange(TimerHooks aTimers, CreditHooks aHooks);

  void OnIntroduce(PeerId aPeer, const Introduce& aMessage);
  void OnClosed(PeerId aPeer);

  /// Asks \p aHolders to return unused credit. \p aDone gets whether each of
  /// them has confirmed its return within the timeout.
  void RequestCredit(const AccountId& aAccount,
                     std::uint64_t aTokens,
                     const std::vector<HolderId>& aHolders,
                     LedgerHooks::CreditRepliesHook aDone);

  void On(PeerId aPeer, const CreditRequest& aMessage);
  void On(PeerId aPeer, const CreditReply& aMessage);

  /// Whether there is a link to the router of \p aHolder.
  bool IsLinked(const HolderId& aHolder) const;

private:
  /// A credit request with outstanding replies.
  struct PendingRequest
  {
    std::set<PeerId> m_awaitedPeers;
    bool m_hasAllReplies = true;
    LedgerHooks::CreditRepliesHook m_done;
  };

  void FinishIfComplete(std::uint64_t aNumber);
  void OnTimeout(std::uint64_t aNumber);

  TimerHooks m_timers;
  CreditHooks m_hooks;
  std::map<PeerId, HolderId> m_holders;
  std::map<std::uint64_t, PendingRequest> m_pendingRequests;
  std::uint64_t m_lastRequest = 0;
};

} // namespace bergamotpaddle
