#include "bergamotpaddle/Router/CreditExchange.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kAnswerTimeout = std::chrono::milliseconds(600);

} // namespace

CreditExchange::CreditExchange(TimerHooks aTimers, CreditHooks aHooks)
  : m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
{
}

void
CreditExchange::OnIntroduce(PeerId aPeer, const Introduce& aMessage)
{
  m_holders[aPeer] = aMessage.m_holder;
}

void
CreditExchange::OnClosed(PeerId aPeer)
{
  m_holders.erase(aPeer);
  std::vector<std::uint64_t> touched;
  for (auto& [number, question] : m_questions) {
    if (question.m_open.erase(aPeer) != 0) {
      question.m_allAnswered = false;
      touched.push_back(number);
    }
  }
  for (std::uint64_t number : touched) {
    FinishIfAnswered(number);
  }
}

bool
CreditExchange::IsLinked(const HolderId& aHolder) const
{
  return std::any_of(
    m_holders.begin(), m_holders.end(), [&](const auto& aItem) {
      return aItem.second == aHolder;
    });
}

void
CreditExchange::Ask(const AccountId& aAccount,
                    std::uint64_t aTokens,
                    const std::vector<HolderId>& aHolders,
                    LedgerHooks::CreditRepliesHook aDone)
{
  const std::uint64_t number = ++m_lastQuestion;
  Question& question = m_questions[number];
  question.m_done = std::move(aDone);
  std::vector<HolderId> unreachable;
  for (const HolderId& holder : aHolders) {
    auto peer =
      std::find_if(m_holders.begin(), m_holders.end(), [&](const auto& aItem) {
        return aItem.second == holder;
      });
    const bool isSent =
      peer != m_holders.end() &&
      m_hooks.m_send(peer->first, CreditRequest{ number, aAccount, aTokens });
    if (!isSent) {
      unreachable.push_back(holder);
      continue;
    }
    question.m_open.insert(peer->first);
  }
  question.m_allAnswered = unreachable.empty();
  if (!unreachable.empty()) {
    m_hooks.m_unreachable(aAccount, unreachable);
  }
  m_timers.m_after(kAnswerTimeout, [this, number] { TimedOut(number); });
  FinishIfAnswered(number);
}

void
CreditExchange::TimedOut(std::uint64_t aQuestion)
{
  auto found = m_questions.find(aQuestion);
  if (found == m_questions.end()) {
    return;
  }
  found->second.m_allAnswered = false;
  found->second.m_open.clear();
  FinishIfAnswered(aQuestion);
}

void
CreditExchange::FinishIfAnswered(std::uint64_t aQuestion)
{
  auto found = m_questions.find(aQuestion);
  if (found == m_questions.end() || !found->second.m_open.empty()) {
    return;
  }
  const Question question = std::move(found->second);
  m_questions.erase(found);
  question.m_done(question.m_allAnswered);
}

void
CreditExchange::On(PeerId aPeer, const CreditRequest& aMessage)
{
  m_hooks.m_ledger().ReturnUnused(
    aMessage.m_account,
    [this,
     aPeer,
     number = aMessage.m_correlationId,
     account = aMessage.m_account](bool aReturned) {
      m_hooks.m_send(aPeer, CreditReply{ number, account, aReturned });
    });
}

void
CreditExchange::On(PeerId aPeer, const CreditReply& aMessage)
{
  auto found = m_questions.find(aMessage.m_correlationId);
  if (found == m_questions.end() || found->second.m_open.erase(aPeer) == 0) {
    return;
  }
  if (!aMessage.m_returned) {
    found->second.m_allAnswered = false;
  }
  FinishIfAnswered(aMessage.m_correlationId);
}

} // namespace bergamotpaddle
