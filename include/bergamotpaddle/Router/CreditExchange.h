/// \file
/// Asks the other routers to return spare credit before a caller is told that
/// its budget is exhausted.
#pragma once

#include "bergamotpaddle/Budget/Ledger.h"

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// What the exchange asks of its router.
struct CreditHooks
{
  std::function<bool(PeerId, Message)> m_send;
  std::function<Ledger&()> m_ledger;
  /// Holders that could not be asked; some may be gone for good.
  std::function<void(const AccountId&, const std::vector<HolderId>&)>
    m_unreachable;
};

/// Questions under way and the answers to others' questions.
class CreditExchange
{
public:
  CreditExchange(TimerHooks aTimers, CreditHooks aHooks);

  void OnIntroduce(PeerId aPeer, const Introduce& aMessage);
  void OnClosed(PeerId aPeer);

  /// Asks \p aHolders; the hook learns whether every one of them answered.
  void Ask(const AccountId& aAccount,
           std::uint64_t aTokens,
           const std::vector<HolderId>& aHolders,
           LedgerHooks::CreditRepliesHook aDone);

  void On(PeerId aPeer, const CreditRequest& aMessage);
  void On(PeerId aPeer, const CreditReply& aMessage);

  /// Holders of routers that are linked now.
  bool IsLinked(const HolderId& aHolder) const;

private:
  /// A question that waits for answers.
  struct Question
  {
    std::set<PeerId> m_open;
    bool m_allAnswered = true;
    LedgerHooks::CreditRepliesHook m_done;
  };

  void FinishIfAnswered(std::uint64_t aQuestion);
  void TimedOut(std::uint64_t aQuestion);

  TimerHooks m_timers;
  CreditHooks m_hooks;
  std::map<PeerId, HolderId> m_holders;
  std::map<std::uint64_t, Question> m_questions;
  std::uint64_t m_lastQuestion = 0;
};

} // namespace bergamotpaddle
