/// \file
/// Sends and takes the datagrams with which routers tell one another their
/// load on upstreams.
#pragma once

#include "bergamotpaddle/Forwarding/GatewayState.h"
#include "bergamotpaddle/Gateway/DigestSchedule.h"
#include "bergamotpaddle/Gateway/PeerDigest.h"

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <vector>

namespace bergamotpaddle {

/// Pace of the datagrams and what is made of them.
struct PeerLinkOptions
{
  DigestScheduleOptions m_schedule;
  /// A peer that was not heard for so long counts as out of reach.
  Duration m_silence = std::chrono::milliseconds(1600);
};

/// The link to all peers.
class PeerLink
{
public:
  using Udp = boost::asio::ip::udp;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  PeerLink(boost::asio::io_context& aIo,
           GatewayState& aState,
           std::string aLife,
           PeerLinkOptions aOptions = {});

  absl::Status Start(const std::string& aAddress);

  /// The routers to talk to, as IP:PORT, without this one.
  void SetPeers(const std::set<std::string>& aAddresses);

  /// Called when a router is heard that is not among the peers.
  void OnUnknownRouter(std::function<void()> aHook)
  {
    m_onStranger = std::move(aHook);
  }

  /// Asked for what each datagram tells of this router's copies.
  void DescribeFeeds(std::function<FeedSign()> aHook)
  {
    m_describeFeeds = std::move(aHook);
  }

  /// Called with what a router, as IP:PORT, tells of its copies.
  void OnFeedStatus(std::function<void(const std::string&, FeedSign)> aHook)
  {
    m_onSign = std::move(aHook);
  }

  /// Called with datagrams of the kind that `SendReserve` sends.
  void OnReserve(
    std::function<void(const std::string&, std::string_view)> aHook)
  {
    m_onReserve = std::move(aHook);
  }
  /// Sends a datagram about reserves of credit to a router, as IP:PORT.
  void SendReserve(const std::string& aTo, const std::string& aBytes);

  /// The copies of this router changed: tells its peers before long.
  void NoteFeedChanged();

  /// Our load on \p aUpstream changed.
  void NoteChanged(const UpstreamId& aUpstream,
                   const std::vector<PromptPart>& aParts);

  /// Peers heard of late, as IP:PORT.
  std::vector<std::string> ReachablePeers() const;

private:
  Awaitable<void> Receive();
  Awaitable<void> Send();
  std::string NextDigest(Instant aNow);
  UpstreamDigest LineOf(const UpstreamState& aState,
                        const std::vector<std::uint64_t>& aNewParts,
                        Instant aNow) const;

  boost::asio::io_context* m_io;
  GatewayState* m_state;
  std::string m_life;
  PeerLinkOptions m_options;
  Udp::socket m_socket;
  boost::asio::steady_timer m_next;         ///< When the next datagram leaves.
  std::map<Udp::endpoint, Instant> m_peers; ///< When each was heard last.
  DigestSchedule m_schedule;
  std::function<void()> m_onStranger = [] {};
  std::function<void(const std::string&, std::string_view)> m_onReserve =
    [](const std::string&, std::string_view) {};
  std::function<FeedSign()> m_describeFeeds = [] { return FeedSign(); };
  std::function<void(const std::string&, FeedSign)> m_onSign =
    [](const std::string&, const FeedSign&) {};
};

} // namespace bergamotpaddle
