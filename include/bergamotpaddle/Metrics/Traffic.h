/// \file
/// Bytes of a process by whom they were exchanged with, so that a full link
/// can be told from a slow peer.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bergamotpaddle {

/// The far end of the bytes.
enum class TrafficPeer
{
  kCallers,
  kUpstreams,
  kRouters, ///< Datagrams between routers, and calls at them.
  kStore,   ///< The platform's store, also through another router.
};
constexpr std::size_t kTrafficPeerCount = 4;
constexpr std::array<const char*, kTrafficPeerCount>
  kTrafficPeerNames = { "callers", "upstreams", "routers", "store" };

/// Payload bytes since the start, without the headers of the transport.
struct TrafficCount
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  auto operator<=>(const TrafficCount&) const = default;
};

/// Counts for each far end.
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

private:
  std::array<TrafficCount, kTrafficPeerCount> m_counts{};
};

} // namespace bergamotpaddle
