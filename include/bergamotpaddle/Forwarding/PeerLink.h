/// \file
/// Sends and receives the datagrams with which routers exchange their load on
/// upstreams.
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

/// Send schedule of the datagrams and the peer timeout.
struct PeerLinkOptions
{
  DigestScheduleOptions m_schedule;
  /// A peer from which nothing was received for this long counts as
  /// unreachable.
  Duration m_peerTimeout = std::chrono::milliseconds(1600);
  /// How long digests repeat that an upstream leaves: six heartbeats, so that
  /// lost datagrams are made up for.
  Duration m_leavingRepeatTime = std::chrono::seconds(3);
};

/// Exchanges datagrams with all peers over one UDP socket.
class PeerLink
{
public:
  using Udp = boost::asio::ip::udp;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  PeerLink(boost::asio::io_context& aIo,
           GatewayState& aState,
           std::string aIncarnation,
           PeerLinkOptions aOptions = {});

  /// Starts to send and receive on \p aAddress, an IP:PORT. Returns
  /// `InvalidArgument` if it is malformed and `Unavailable` if it cannot be
  /// bound.
  absl::Status Start(const std::string& aAddress);

  /// Sets the routers to exchange datagrams with, as IP:PORT, without this one.
  void SetPeers(const std::set<std::string>& aAddresses);

  /// Sets the hook for digests of routers that are not among the peers.
  void OnUnknownRouter(std::function<void()> aHook)
  {
    m_onUnknownRouter = std::move(aHook);
  }

  /// Sets the hook that supplies the status of this router's feed copies for
  /// each digest.
  void SetFeedStatusProvider(std::function<FeedStatus()> aHook)
  {
    m_feedStatusProvider = std::move(aHook);
  }

  /// Sets the hook for the status of a peer's feed copies; it gets the peer's
  /// address as IP:PORT.
  void OnFeedStatus(std::function<void(const std::string&, FeedStatus)> aHook)
  {
    m_onFeedStatus = std::move(aHook);
  }

  /// Sets the hook that supplies the time since this router's last direct
  /// contact with the store, if any, and the hook for that of a peer; the
  /// latter gets the peer's address as IP:PORT.
  void ShareStoreContact(
    std::function<std::optional<Duration>()> aOwnAge,
    std::function<void(const std::string&, Duration)> aOnPeerAge)
  {
    m_storeContactAge = std::move(aOwnAge);
    m_onStoreContact = std::move(aOnPeerAge);
  }

  /// Sets the hook for datagrams that `SendReserve` of another router sent; it
  /// gets the sender's address as IP:PORT.
  void OnReserve(
    std::function<void(const std::string&, std::string_view)> aHook)
  {
    m_onReserve = std::move(aHook);
  }
  /// Sends a datagram about reserves of credit to the router at \p aTo, an
  /// IP:PORT. A datagram that cannot be sent is dropped.
  void SendReserve(const std::string& aTo, const std::string& aBytes);

  /// Schedules the next digest earlier because this router's feed copies
  /// changed.
  void NoteFeedChanged();

  /// Schedules a digest because this router's load on \p aUpstream changed;
  /// \p aParts are the prompt parts that were sent there.
  void NoteLoadChanged(const UpstreamId& aUpstream,
                       const std::vector<PromptPart>& aParts);

  /// Peers from which a digest came within the peer timeout, as IP:PORT.
  std::vector<std::string> ReachablePeers() const;

private:
  Awaitable<void> Receive();
  Awaitable<void> Send();
  std::string NextDigest(Instant aNow);
  /// Records the upstreams that the peer found leaving.
  void ApplyLeaving(const PeerDigest& aDigest, const Udp::endpoint& aFrom);
  UpstreamDigest MakeUpstreamDigest(const UpstreamState& aState,
                                    const std::vector<std::uint64_t>& aNewParts,
                                    Instant aNow) const;

  boost::asio::io_context* m_io;
  GatewayState* m_state;
  std::string m_incarnation;
  PeerLinkOptions m_options;
  Udp::socket m_socket;
  boost::asio::steady_timer m_sendTimer;    ///< When to send the next digest.
  std::map<Udp::endpoint, Instant> m_peers; ///< Time of the last digest.
  DigestSchedule m_schedule;
  std::function<void()> m_onUnknownRouter = [] {};
  std::function<void(const std::string&, std::string_view)> m_onReserve =
    [](const std::string&, std::string_view) {};
  std::function<std::optional<Duration>()> m_storeContactAge = [] {
    return std::optional<Duration>();
  };
  std::function<void(const std::string&, Duration)> m_onStoreContact =
    [](const std::string&, Duration) {};
  std::function<FeedStatus()> m_feedStatusProvider = [] {
    return FeedStatus();
  };
  std::function<void(const std::string&, FeedStatus)> m_onFeedStatus =
    [](const std::string&, const FeedStatus&) {};
};

} // namespace bergamotpaddle
