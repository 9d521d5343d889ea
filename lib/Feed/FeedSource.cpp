#include "bergamotpaddle/Feed/FeedSource.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>
#include <tuple>

namespace bergamotpaddle {

namespace {

/// Returns a weight that orders routers with equal links identically on every
/// router.
std::uint64_t
ReaderWeight(const std::string& aAddress)
{
  return RendezvousWeight("reader", aAddress);
}

} // namespace

FeedSource::FeedSource(std::string aSelf,
                       double aLinkMbps,
                       std::string aZone,
                       FeedSourceOptions aOptions)
  : m_self(std::move(aSelf))
  , m_linkMbps(aLinkMbps)
  , m_zone(std::move(aZone))
  , m_options(aOptions)
{
}

void
FeedSource::NoteStatus(const std::string& aAddress,
                       FeedStatus aStatus,
                       Instant aNow)
{
  std::erase_if(m_peers, [&](const auto& aEntry) {
    return !IsPeerAlive(aEntry.second, aNow);
  });
  Peer& peer = m_peers[aAddress];
  if (peer.m_status.m_changedRevisions != aStatus.m_changedRevisions) {
    peer.m_changedAt = aNow;
  }
  peer.m_status = std::move(aStatus);
  peer.m_lastReportAt = aNow;
}

void
FeedSource::NoteFailure(const std::string& aAddress, Instant aNow)
{
  const auto peer = m_peers.find(aAddress);
  if (peer != m_peers.end()) {
    peer->second.m_failedAt = aNow;
  }
}

bool
FeedSource::IsPeerAlive(const Peer& aPeer, Instant aNow) const
{
  return aNow - aPeer.m_lastReportAt < m_options.m_peerTimeout;
}

bool
FeedSource::IsPeerUsable(const Peer& aPeer, Instant aNow) const
{
  return IsPeerAlive(aPeer, aNow) &&
         (aPeer.m_failedAt == Instant::min() ||
          aNow - aPeer.m_failedAt >= m_options.m_failureBackoff);
}

bool
FeedSource::IsRankedAbove(const std::string& aAddress, const Peer& aPeer) const
{
  return std::tuple(aPeer.m_status.m_linkMbps, ReaderWeight(aAddress)) >
         std::tuple(m_linkMbps, ReaderWeight(m_self));
}

bool
FeedSource::IsReader(Instant aNow) const
{
  const auto rankedAbove = static_cast<std::size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
      return IsPeerAlive(aEntry.second, aNow) &&
             IsRankedAbove(aEntry.first, aEntry.second);
    }));
  return rankedAbove < m_options.m_readerCount;
}

bool
FeedSource::ReadsStore(Instant aNow) const
{
  return IsReader(aNow) || !ReaderToFollow(aNow);
}

std::optional<std::string>
FeedSource::ReaderToFollow(Instant aNow) const
{
  std::optional<std::string> best;
  std::tuple<bool, std::uint64_t> bestRank; // Same zone first, then weight.
  for (const auto& [address, peer] : m_peers) {
    const bool isUpToDate =
      peer.m_status.m_age &&
      *peer.m_status.m_age + (aNow - peer.m_lastReportAt) <=
        m_options.m_maxReplicaAge;
    const std::tuple rank(peer.m_status.m_zone == m_zone,
                          RendezvousWeight(m_self, address));
    if (isUpToDate && IsPeerUsable(peer, aNow) && (!best || rank > bestRank)) {
      best = address;
      bestRank = rank;
    }
  }
  return best;
}

std::optional<std::string>
FeedSource::PeerAhead(const std::vector<std::uint64_t>& aChanged,
                      Instant aNow) const
{
  for (const auto& [address, peer] : m_peers) {
    const std::vector<std::uint64_t>& reported =
      peer.m_status.m_changedRevisions;
    bool isAhead = false;
    for (std::size_t i = 0; i < std::min(reported.size(), aChanged.size());
         ++i) {
      isAhead = isAhead || reported[i] > aChanged[i];
    }
    if (isAhead && IsPeerUsable(peer, aNow) &&
        aNow - peer.m_changedAt >= m_options.m_readerGracePeriod) {
      return address;
    }
  }
  return std::nullopt;
}

bool
FeedSource::IsBehind(std::size_t aFeed,
                     std::uint64_t aChanged,
                     Instant aNow) const
{
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return IsPeerAlive(peer, aNow) &&
           aFeed < peer.m_status.m_changedRevisions.size() &&
           peer.m_status.m_changedRevisions[aFeed] > aChanged;
  });
}

} // namespace bergamotpaddle
