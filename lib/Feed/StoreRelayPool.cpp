#include "bergamotpaddle/Feed/StoreRelayPool.h"

#include <algorithm>

namespace bergamotpaddle {

StoreRelayPool::StoreRelayPool(StoreRelayOptions aOptions)
  : m_options(aOptions)
{
}

void
StoreRelayPool::SetPeers(const std::vector<std::string>& aPeers)
{
  std::map<std::string, Peer> peers;
  for (const std::string& address : aPeers) {
    const auto known = m_peers.find(address);
    peers[address] = known == m_peers.end() ? Peer{} : known->second;
  }
  m_peers = std::move(peers);
}

void
StoreRelayPool::NoteContact(const std::string& aPeer, Instant aAt)
{
  if (const auto found = m_peers.find(aPeer); found != m_peers.end()) {
    found->second.m_contactAt =
      std::max(found->second.m_contactAt.value_or(aAt), aAt);
  }
}

void
StoreRelayPool::NoteFailure(const std::string& aPeer, Instant aAt)
{
  if (const auto found = m_peers.find(aPeer); found != m_peers.end()) {
    found->second.m_failedAt = aAt;
  }
}

bool
StoreRelayPool::IsInContact(const Peer& aPeer, Instant aNow) const
{
  return aPeer.m_contactAt &&
         aNow - *aPeer.m_contactAt <= m_options.m_maxContactAge &&
         (!aPeer.m_failedAt || *aPeer.m_contactAt > *aPeer.m_failedAt);
}

bool
StoreRelayPool::IsUntried(const Peer& aPeer, Instant aNow) const
{
  return !aPeer.m_contactAt &&
         (!aPeer.m_failedAt ||
          aNow - *aPeer.m_failedAt > m_options.m_failureHoldTime);
}

std::optional<std::string>
StoreRelayPool::Next(Instant aNow)
{
  std::optional<Instant> latest;
  for (const auto& [address, peer] : m_peers) {
    if (IsInContact(peer, aNow)) {
      latest = std::max(latest.value_or(*peer.m_contactAt), *peer.m_contactAt);
    }
  }
  std::vector<std::string> candidates;
  for (const auto& [address, peer] : m_peers) {
    const bool isCandidate =
      latest ? IsInContact(peer, aNow) &&
                 *latest - *peer.m_contactAt <= m_options.m_turnSpan
             : IsUntried(peer, aNow);
    if (isCandidate) {
      candidates.push_back(address);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[m_turn++ % candidates.size()];
}

} // namespace bergamotpaddle
