/// \file
/// Bytes sent and received by a process, counted by kind of peer, so that a
/// saturated link can be distinguished from a slow peer.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bergamotpaddle {

/// Kind of the remote endpoint.
enum class TrafficPeer
{
  kCallers,
  kUpstreams,
  kRouters, ///< Datagrams between routers, and calls to them.
  kStore,   ///< The platform's store, directly or through another router.
};
constexpr std::size_t kTrafficPeerCount = 4;
constexpr std::array<const char*, kTrafficPeerCount>
  kTrafficPeerNames = { "callers", "upstreams", "routers", "store" };

/// Payload bytes since the start of the process, without transport headers.
struct TrafficCount
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  auto operator<=>(const TrafficCount&) const = default;
};

/// Byte counts for each kind of peer.
class TrafficCounters
{
public:
  void Record(TrafficPeer aPeer, std::uint64_t aSent, std::uint64_t aReceived)
  {
    TrafficCount& count = m_counts.at(static_cast<std::size_t>(aPeer));
    count.m_sent += aSent;
    count.m_received += aReceived;
  }
  const TrafficCount& CountFor(TrafficPeer aPeer) const
  {
    return m_counts.at(static_cast<std::size_t>(aPeer));
  }
  /// Of all kinds of peers.
  TrafficCount Total() const
  {
    TrafficCount total;
    for (const TrafficCount& count : m_counts) {
      total.m_sent += count.m_sent;
      total.m_received += count.m_received;
    }
    return total;
  }

private:
  std::array<TrafficCount, kTrafficPeerCount> m_counts{};
};

} // namespace bergamotpaddle
