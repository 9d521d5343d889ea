/// \file
/// The listening side of a router that forwards to upstreams directly: callers'
/// connections, the readiness and metrics addresses, and the planned stop.
#pragma once

#include "bergamotpaddle/Forwarding/RequestRun.h"
#include "bergamotpaddle/Metrics/MetricsText.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace bergamotpaddle {

/// Where the server listens and how it stops.
struct GatewayServerOptions
{
  std::string m_callerAddress;  ///< IP:PORT.
  std::string m_readyAddress;   ///< IP:PORT of `GET /ready`.
  std::string m_metricsAddress; ///< IP:PORT of `GET /metrics`; may be empty.
  /// After the order to stop: new connections are taken for so long, since
  /// balancers look once a second and believe the second miss.
  Duration m_acceptAfterStop = std::chrono::milliseconds(2500);
  /// From the order to stop until the process has to be gone.
  Duration m_grace = std::chrono::seconds(8);
  /// Adds what other parts of the process count to the page of metrics.
  std::function<void(MetricsText&)> m_appendMetrics = [](MetricsText&) {};
};

/// Appends \p aHistogram in the usual form of classes, count and sum.
void
AppendHistogram(MetricsText& aText,
                const std::string& aName,
                const LatencyHistogram& aHistogram,
                const MetricLabels& aLabels = {});

/// Serves until it is told to stop.
class GatewayServer
{
public:
  using Tcp = boost::asio::ip::tcp;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  GatewayServer(boost::asio::io_context& aIo,
                GatewayState& aState,
                GatewayServerOptions aOptions);

  /// Listens; fails if an address cannot be had.
  absl::Status Start();
  /// Where callers are taken, once started: IP:PORT.
  std::string CallerAddress() const;

  /// Begins the planned stop: not ready at once, requests run to their end.
  /// \p aOnStopped is called when nothing is under way any more.
  void BeginStop(std::function<void()> aOnStopped);

  /// Whether requests can be served: a configuration and upstreams are known.
  bool IsReady() const;

private:
  using SessionId = std::uint64_t;

  /// One caller's connection and its request, if there is one.
  struct Session
  {
    std::unique_ptr<CallerConnection> m_caller;
    std::unique_ptr<RequestRun> m_run;
  };
  using PageHook = std::function<std::pair<int, std::string>(std::string_view)>;

  Awaitable<void> AcceptCallers();
  Awaitable<void> ServeSession(SessionId aId);
  Awaitable<void> AcceptPages(std::shared_ptr<Tcp::acceptor> aAcceptor,
                              PageHook aPage);
  Awaitable<void> ServePage(Tcp::socket aSocket, PageHook aPage);
  void BeginSession(Tcp::socket aSocket);
  void NoteLoopDelay(Duration aDelay);
  Awaitable<void> Ticks();
  void CheckStop(Instant aNow);
  std::string MetricsPage() const;

  boost::asio::io_context* m_io;
  GatewayState* m_state;
  GatewayServerOptions m_options;
  Tcp::acceptor m_callers;
  std::map<SessionId, Session> m_sessions;
  SessionId m_nextSession = 1;
  std::optional<Instant> m_stopSince;
  std::function<void()> m_onStopped;
};

} // namespace bergamotpaddle
