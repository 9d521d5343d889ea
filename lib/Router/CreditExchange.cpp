#include "bergamotpaddle/Router/CreditExchange.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kReplyTimeout = std::chrono::milliseconds(600);

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
  std::vector<std::uint64_t> affected;
  for (auto& [number, request] : m_pendingRequests) {
    if (request.m_awaitedPeers.erase(aPeer) != 0) {
      request.m_hasAllReplies = false;
      affected.push_back(number);
    }
  }
  for (std::uint64_t number : affected) {
    FinishIfComplete(number);
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
CreditExchange::RequestCredit(const AccountId& aAccount,
                              std::uint64_t aTokens,
                              const std::vector<HolderId>& aHolders,
                              LedgerHooks::CreditRepliesHook aDone)
{
  const std::uint64_t number = ++m_lastRequest;
  PendingRequest& request = m_pendingRequests[number];
  request.m_done = std::move(aDone);
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
    request.m_awaitedPeers.insert(peer->first);
  }
  request.m_hasAllReplies = unreachable.empty();
  if (!unreachable.empty()) {
    m_hooks.m_onUnreachable(aAccount, unreachable);
  }
  m_timers.m_after(kReplyTimeout, [this, number] { OnTimeout(number); });
  FinishIfComplete(number);
}

void
CreditExchange::OnTimeout(std::uint64_t aNumber)
{
  auto found = m_pendingRequests.find(aNumber);
  if (found == m_pendingRequests.end()) {
    return;
  }
  found->second.m_hasAllReplies = false;
  found->second.m_awaitedPeers.clear();
  FinishIfComplete(aNumber);
}

void
CreditExchange::FinishIfComplete(std::uint64_t aNumber)
{
  auto found = m_pendingRequests.find(aNumber);
  if (found == m_pendingRequests.end() ||
      !found->second.m_awaitedPeers.empty()) {
    return;
  }
  const PendingRequest request = std::move(found->second);
  m_pendingRequests.erase(found);
  request.m_done(request.m_hasAllReplies);
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
  auto found = m_pendingRequests.find(aMessage.m_correlationId);
  if (found == m_pendingRequests.end() ||
      found->second.m_awaitedPeers.erase(aPeer) == 0) {
    return;
  }
  if (!aMessage.m_returned) {
    found->second.m_hasAllReplies = false;
  }
  FinishIfComplete(aMessage.m_correlationId);
}

} // namespace bergamotpaddle
