/// \file
/// Sends and takes the datagrams by which routers pledge, witness and prove
/// that reserves of credit are closed (`ReservePledge.h`).
#pragma once

#include "bergamotpaddle/Forwarding/GatewayState.h"
#include "bergamotpaddle/Gateway/ReservePledge.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotpaddle {

/// Pace of the datagrams.
struct ReserveExchangeOptions
{
  Duration m_interval = std::chrono::milliseconds(50);
  /// Probes of a witness: a pledge is renewed a dozen times before it ends.
  Duration m_probeInterval = std::chrono::milliseconds(500);
  /// How long a router that starts waits for proofs: a few round trips, with
  /// questions that get lost.
  Duration m_proofWait = std::chrono::milliseconds(300);
};

/// What the exchange needs of its process.
struct ReserveHooks
{
  /// Sends a datagram to a router, as IP:PORT.
  std::function<void(const std::string& aTo, const std::string& aBytes)> m_send;
  /// Routers heard of late, as IP:PORT, without this one.
  std::function<std::vector<std::string>()> m_reachable;
  /// Whether the store did not answer the last draw.
  std::function<bool()> m_isStoreLost;
};

/// Both sides of one router.
class ReserveExchange
{
public:
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  ReserveExchange(boost::asio::io_context& aIo,
                  GatewayState& aState,
                  HolderId aLife,
                  std::string aAddress,
                  ReserveExchangeOptions aOptions = {});

  void Start(ReserveHooks aHooks);

  /// Takes a datagram of the router \p aFrom, as IP:PORT.
  void Take(const std::string& aFrom, std::string_view aBytes);

  /// Of \p aLives, which ran on this host before, those whose reserves were
  /// closed when they ended, as some of \p aRouters witnessed.
  Awaitable<std::set<HolderId>> RequestProofs(
    std::vector<HolderId> aLives,
    std::vector<std::string> aRouters);

private:
  Awaitable<void> Follow();
  /// Probes the routers that this one witnesses.
  void Probe();
  /// Withdraws pledges, opens reserves and pledges again, as needed.
  void StepReserves();

  boost::asio::io_context* m_io;
  GatewayState* m_state;
  HolderId m_life;
  std::string m_address;
  ReserveExchangeOptions m_options;
  ReserveHooks m_hooks;
  ReservePledges m_pledges;
  PledgeWitness m_witness;
  std::set<HolderId> m_proven;
  boost::asio::steady_timer m_timer;
};

} // namespace bergamotpaddle
