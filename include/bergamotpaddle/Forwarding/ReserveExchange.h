/// \file
/// Sends and receives the datagrams with which routers pledge, witness and
/// prove that reserves of credit are closed (`ReservePledge.h`).
#pragma once

#include "bergamotpaddle/Credit/ReservePledge.h"
#include "bergamotpaddle/Forwarding/GatewayState.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotpaddle {

/// Timing of the datagrams.
struct ReserveExchangeOptions
{
  /// Interval at which withdrawals and proof requests are sent again until they
  /// are confirmed.
  Duration m_interval = std::chrono::milliseconds(50);
  /// Interval of a witness's probes; a pledge is renewed a dozen times before
  /// it expires.
  Duration m_probeInterval = std::chrono::milliseconds(500);
  /// How long a router waits for proofs at startup: a few round trips, to allow
  /// for lost datagrams.
  Duration m_proofTimeout = std::chrono::milliseconds(300);
};

/// Hooks into the process that runs the exchange.
struct ReserveHooks
{
  /// Sends a datagram to the router at \p aTo, an IP:PORT.
  std::function<void(const std::string& aTo, const std::string& aBytes)> m_send;
  /// Reachable routers as IP:PORT, without this one.
  std::function<std::vector<std::string>()> m_reachable;
  /// Whether the latest store call for credit failed.
  std::function<bool()> m_isStoreUnavailable;
};

/// Runs both roles of one router: it pledges its own reserves and witnesses the
/// pledges of other routers.
class ReserveExchange
{
public:
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  ReserveExchange(boost::asio::io_context& aIo,
                  GatewayState& aState,
                  HolderId aIncarnation,
                  std::string aAddress,
                  ReserveExchangeOptions aOptions = {});

  /// Starts the periodic probes and withdrawals.
  void Start(ReserveHooks aHooks);

  /// Processes a datagram from the router at \p aFrom, an IP:PORT.
  void HandleDatagram(const std::string& aFrom, std::string_view aBytes);

  /// Returns the earlier incarnations on this host, out of \p aIncarnations,
  /// whose reserves were closed when they ended, as proved by any of
  /// \p aRouters.
  Awaitable<std::set<HolderId>> RequestProofs(
    std::vector<HolderId> aIncarnations,
    std::vector<std::string> aRouters);

private:
  Awaitable<void> RunPeriodically();
  /// Probes the routers that this router is a witness of.
  void Probe();
  /// Withdraws or renews this router's pledges and opens its reserves, as the
  /// store's availability requires.
  void UpdateReserves();

  boost::asio::io_context* m_io;
  GatewayState* m_state;
  HolderId m_incarnation;
  std::string m_address;
  ReserveExchangeOptions m_options;
  ReserveHooks m_hooks;
  ReservePledges m_pledges;
  PledgeWitness m_witness;
  std::set<HolderId> m_provenClosed;
  boost::asio::steady_timer m_timer;
};

} // namespace bergamotpaddle
