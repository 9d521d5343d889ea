/// \file
/// The server side of a router that forwards to upstreams directly: callers'
/// connections, the readiness and metrics endpoints, and graceful shutdown.
#pragma once

#include "bergamotpaddle/Forwarding/RequestRun.h"
#include "bergamotpaddle/Metrics/MetricsText.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace bergamotpaddle {

/// Listening addresses and shutdown timing of the server.
struct GatewayServerOptions
{
  std::string m_callerAddress;  ///< IP:PORT.
  std::string m_readyAddress;   ///< IP:PORT of `GET /ready`.
  std::string m_metricsAddress; ///< IP:PORT of `GET /metrics`; may be empty.
  /// How long new connections are accepted after the stop was requested. Load
  /// balancers check readiness once a second and remove a router after the
  /// second failed check.
  Duration m_acceptAfterStop = std::chrono::milliseconds(2500);
  /// Time from the stop request until the process must have exited.
  Duration m_grace = std::chrono::seconds(8);
  /// Appends the metrics of other parts of the process to the metrics page.
  std::function<void(MetricsText&)> m_appendMetrics = [](MetricsText&) {};
};

/// Appends \p aHistogram as cumulative buckets, count and sum.
void
AppendHistogram(MetricsText& aText,
                const std::string& aName,
                const LatencyHistogram& aHistogram,
                const MetricLabels& aLabels = {});

/// Accepts callers' connections and serves them until a graceful shutdown
/// is complete.
class GatewayServer
{
public:
  using Tcp = boost::asio::ip::tcp;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  GatewayServer(boost::asio::io_context& aIo,
                GatewayState& aState,
                GatewayServerOptions aOptions);

  /// Starts to listen. Returns an error if an address is malformed or cannot be
  /// bound.
  absl::Status Start();
  /// The address on which callers are accepted, as IP:PORT. Requires that
  /// `Start` succeeded.
  std::string CallerAddress() const;

  /// Begins a graceful shutdown: readiness fails at once, requests in flight
  /// are completed or answered at `GatewayState::m_answersDueBy`. \p aOnStopped
  /// is called when none is in flight any more, or shortly before the grace
  /// period ends.
  void BeginStop(std::function<void()> aOnStopped);

  /// Whether new connections should be assigned to this router: a configuration
  /// and at least one upstream are known, no shutdown is in progress and no
  /// connections are being handed over.
  bool IsReady() const;

private:
  using SessionId = std::uint64_t;

  /// One caller's connection and its request in flight, if any.
  struct Session
  {
    std::unique_ptr<CallerConnection> m_caller;
    std::unique_ptr<RequestRun> m_run;
  };
  /// Returns the HTTP status and the text of the page at a path.
  using PageHandler =
    std::function<std::pair<int, std::string>(std::string_view)>;

  Awaitable<void> AcceptCallers();
  Awaitable<void> ServeSession(SessionId aId);
  Awaitable<void> AcceptPageConnections(
    std::shared_ptr<Tcp::acceptor> aAcceptor,
    PageHandler aPage);
  Awaitable<void> ServePage(Tcp::socket aSocket, PageHandler aPage);
  void BeginSession(Tcp::socket aSocket);
  /// Records that the event loop ran a tick \p aDelay late.
  void RecordLoopDelay(Duration aDelay);
  /// Leaves the load balancer's rotation or returns to it.
  void UpdateLevelling(Duration aDelay, Instant aNow);
  Awaitable<void> RunTicks();
  /// Advances a graceful shutdown that is in progress.
  void CheckStop(Instant aNow);
  /// Logs and counts the requests that the forced end of a shutdown cuts.
  void LogCutRequests();
  std::string MetricsPage() const;

  /// Erases a session when its coroutine ends, also by an exception.
  class SessionGuard
  {
  public:
    SessionGuard(GatewayServer& aServer, SessionId aSession);
    ~SessionGuard();
    SessionGuard(const SessionGuard&) = delete;
    SessionGuard& operator=(const SessionGuard&) = delete;

  private:
    GatewayServer* m_server;
    std::weak_ptr<bool> m_serverToken;
    SessionId m_session;
  };

  boost::asio::io_context* m_io;
  GatewayState* m_state;
  GatewayServerOptions m_options;
  Tcp::acceptor m_callerAcceptor;
  std::map<SessionId, Session> m_sessions;
  SessionId m_nextSession = 1;
  std::optional<Instant> m_stopRequestedAt;
  std::function<void()> m_onStopped;
  /// Expires with this object, which suspended coroutines may outlive.
  std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
};

} // namespace bergamotpaddle
