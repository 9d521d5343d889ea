#include "bergamotpaddle/Forwarding/GatewayServer.h"

#include "bergamotpaddle/Forwarding/Endpoint.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using ErrorCode = boost::system::error_code;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Pause after a failure to accept a connection, such as a lack of file
/// descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
/// Connections accepted in one iteration of the event loop: a quarter of the
/// backlog.
constexpr int kMaxAcceptsPerWakeup = 256;
/// Shortest delay of a tick that counts as a blocked event loop, and not as the
/// resolution of timeouts: five tick intervals.
constexpr Duration kMinStall = std::chrono::milliseconds(100);
/// Time that the process needs to return its credit and exit before the
/// platform kills it, `graceS` after the stop request.
constexpr Duration kForcedStopMargin = std::chrono::milliseconds(500);
/// Time between the deadline of the last requests and the forced end: an
/// overdue exchange may go on for 200 ms, and its answer has to be written.
constexpr Duration kLastAnswersMargin = std::chrono::milliseconds(300);
/// Interval at which the log is flushed.
constexpr Duration kLogInterval = std::chrono::milliseconds(200);

auto
Into(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

} // namespace

GatewayServer::GatewayServer(asio::io_context& aIo,
                             GatewayState& aState,
                             GatewayServerOptions aOptions)
  : m_io(&aIo)
  , m_state(&aState)
  , m_options(std::move(aOptions))
  , m_callerAcceptor(aIo)
{
}

std::string
GatewayServer::CallerAddress() const
{
  const Tcp::endpoint local = m_callerAcceptor.local_endpoint();
  return Cat(local.address().to_string(), ":", local.port());
}

absl::Status
GatewayServer::Start()
{
  if (absl::Status status =
        ListenOn(m_callerAcceptor, m_options.m_callerAddress);
      !status.ok()) {
    return status;
  }
  m_callerAcceptor.non_blocking(true);
  TaskSupervisor& tasks = m_state->m_tasks;
  const asio::any_io_executor executor = m_io->get_executor();
  tasks.SpawnPermanent(executor, "accept", [this] { return AcceptCallers(); });
  tasks.SpawnPermanent(executor, "ticks", [this] { return RunTicks(); });
  const PageHandler ready = [this](std::string_view) {
    return std::pair(IsReady() ? kOk : kUnavailable, std::string());
  };
  const PageHandler metrics = [this](std::string_view aPath) {
    return aPath.starts_with("/metrics")
             ? std::pair(kOk, MetricsPage())
             : std::pair(kNotFound, std::string("try /metrics\n"));
  };
  const std::array<std::pair<std::string, PageHandler>, 2> pages = {
    std::pair(m_options.m_readyAddress, ready),
    std::pair(m_options.m_metricsAddress, metrics)
  };
  for (const auto& [address, page] : pages) {
    if (address.empty()) {
      continue;
    }
    auto acceptor = std::make_shared<Tcp::acceptor>(*m_io);
    if (absl::Status status = ListenOn(*acceptor, address); !status.ok()) {
      return status;
    }
    tasks.SpawnPermanent(
      executor, "accept_pages", [this, acceptor, handler = page] {
        return AcceptPageConnections(acceptor, handler);
      });
  }
  return absl::OkStatus();
}

bool
GatewayServer::IsReady() const
{
  return !m_state->m_isStopping && m_state->m_routes != nullptr &&
         m_state->m_upstreams.Size() > 0 && m_state->m_levelling.IsReady();
}

GatewayServer::Awaitable<void>
GatewayServer::AcceptCallers()
{
  while (m_callerAcceptor.is_open()) {
    ErrorCode error;
    Tcp::socket socket(*m_io);
    co_await m_callerAcceptor.async_accept(socket, Into(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      m_state->Log(LogLine("accept.failed").Text("why", error.message()));
      asio::steady_timer pause(*m_io, kAcceptRetryDelay);
      co_await pause.async_wait(Into(error));
      continue;
    }
    // Accept all pending connections instead of one for each iteration of the
    // event loop: accepting a connection after its caller has timed out is
    // useless.
    for (int accepted = 1; !error; ++accepted) {
      BeginSession(std::move(socket));
      if (accepted == kMaxAcceptsPerWakeup) {
        break;
      }
      socket = Tcp::socket(*m_io);
      m_callerAcceptor.accept(socket, error);
    }
  }
}

void
GatewayServer::BeginSession(Tcp::socket aSocket)
{
  ErrorCode ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  ++m_state->m_counters.m_connectionsAccepted;
  const SessionId id = m_nextSession++;
  m_sessions[id].m_caller =
    std::make_unique<CallerConnection>(std::move(aSocket), *m_state);
  m_state->m_tasks.Spawn(m_io->get_executor(), "session", ServeSession(id));
}

GatewayServer::SessionGuard::SessionGuard(GatewayServer& aServer,
                                          SessionId aSession)
  : m_server(&aServer)
  , m_serverToken(aServer.m_lifetimeToken)
  , m_session(aSession)
{
}

GatewayServer::SessionGuard::~SessionGuard()
{
  if (!m_serverToken.expired()) {
    m_server->m_sessions.erase(m_session);
  }
}

GatewayServer::Awaitable<void>
GatewayServer::ServeSession(SessionId aId)
{
  const SessionGuard guard(*this, aId);
  Session& session = m_sessions.at(aId);
  CallerConnection& caller = *session.m_caller;
  ReadResult readResult = ReadResult::kClosed;
  while (caller.IsOpen()) {
    readResult = co_await caller.ReadRequest();
    if (readResult != ReadResult::kRequest) {
      break;
    }
    session.m_run =
      std::make_unique<RequestRun>(*m_state, caller, m_io->get_executor());
    co_await session.m_run->Serve();
    session.m_run.reset();
  }
  if (readResult != ReadResult::kClosed) {
    co_await caller.CloseGracefully();
  }
}

GatewayServer::Awaitable<void>
GatewayServer::AcceptPageConnections(std::shared_ptr<Tcp::acceptor> aAcceptor,
                                     PageHandler aPage)
{
  while (true) {
    ErrorCode error;
    Tcp::socket socket(*m_io);
    co_await aAcceptor->async_accept(socket, Into(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      asio::steady_timer pause(*m_io, kAcceptRetryDelay);
      co_await pause.async_wait(Into(error));
      continue;
    }
    m_state->m_tasks.Spawn(
      m_io->get_executor(), "page", ServePage(std::move(socket), aPage));
  }
}

GatewayServer::Awaitable<void>
GatewayServer::ServePage(Tcp::socket aSocket, PageHandler aPage)
{
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  ErrorCode error;
  while (!error) {
    http::request<http::empty_body> request;
    co_await http::async_read(aSocket, buffer, request, Into(error));
    if (error) {
      break;
    }
    const auto [status, text] =
      aPage(std::string_view(request.target().data(), request.target().size()));
    http::response<http::string_body> response(
      http::int_to_status(static_cast<unsigned>(status)), request.version());
    response.set(http::field::content_type, "text/plain");
    response.keep_alive(request.keep_alive());
    response.body() = text;
    response.prepare_payload();
    co_await http::async_write(aSocket, response, Into(error));
    if (!request.keep_alive()) {
      break;
    }
  }
}

void
GatewayServer::RecordLoopDelay(Duration aDelay)
{
  GatewayCounters& counters = m_state->m_counters;
  const Duration delay = std::max(aDelay, Duration(0));
  counters.m_loopDelay.Record(delay);
  counters.m_maxLoopDelay = std::max(counters.m_maxLoopDelay, delay);
}

void
GatewayServer::UpdateLevelling(Duration aDelay, Instant aNow)
{
  RouterLevelling& levelling = m_state->m_levelling;
  const bool wasReady = levelling.IsReady();
  const TrafficCount traffic = m_state->m_counters.m_traffic.Total();
  levelling.NoteTick(aDelay,
                     m_sessions.size(),
                     std::max(traffic.m_sent, traffic.m_received),
                     aNow);
  if (levelling.IsReady() != wasReady) {
    m_state->Log(
      LogLine(wasReady ? "shedding.begun" : "shedding.ended")
        .Milliseconds("loop_delay_ms", levelling.AverageDelay())
        .Number("pressure", levelling.Pressure())
        .Number("zone_routers", static_cast<std::int64_t>(levelling.ZoneSize()))
        .Milliseconds("away_ms", levelling.TimeAway(aNow))
        .Number("connections", static_cast<std::int64_t>(m_sessions.size())),
      true);
  }
}

GatewayServer::Awaitable<void>
GatewayServer::RunTicks()
{
  asio::steady_timer timer(*m_io);
  Instant logDue = m_state->Now();
  while (true) {
    ErrorCode error;
    const Instant due = m_state->Now() + m_state->m_options.m_tickInterval;
    timer.expires_after(m_state->m_options.m_tickInterval);
    co_await timer.async_wait(Into(error));
    const Instant now = m_state->Now();
    const Duration delay = now - due;
    RecordLoopDelay(delay);
    UpdateLevelling(std::max(delay, Duration(0)), now);
    const Duration stall = delay >= kMinStall ? delay : Duration(0);
    for (auto& [id, session] : m_sessions) {
      session.m_caller->Tick(now, stall);
      if (session.m_run) {
        session.m_run->Tick(now, stall);
      }
    }
    m_state->m_waiting.Update(now);
    if (now >= logDue) {
      m_state->m_log->Flush();
      logDue = now + kLogInterval;
    }
    CheckStop(now);
  }
}

void
GatewayServer::BeginStop(std::function<void()> aOnStopped)
{
  if (m_state->m_isStopping) {
    return;
  }
  m_state->m_isStopping = true;
  const Instant now = m_state->Now();
  m_stopRequestedAt = now;
  m_onStopped = std::move(aOnStopped);
  m_state->m_answersDueBy =
    now + m_options.m_grace - kForcedStopMargin - kLastAnswersMargin;
  for (auto& [id, session] : m_sessions) {
    if (session.m_run) {
      session.m_run->LimitDeadline(*m_state->m_answersDueBy);
    }
  }
}

void
GatewayServer::CheckStop(Instant aNow)
{
  if (!m_stopRequestedAt) {
    return;
  }
  const Duration elapsed = aNow - *m_stopRequestedAt;
  if (elapsed < m_options.m_acceptAfterStop) {
    return;
  }
  if (m_callerAcceptor.is_open()) {
    m_callerAcceptor.close();
  }
  for (auto& [id, session] : m_sessions) {
    session.m_caller->EndIdleWait();
  }
  const bool isDone = m_state->m_requestsInFlight == 0 && m_sessions.empty();
  if ((isDone || elapsed > m_options.m_grace - kForcedStopMargin) &&
      m_onStopped) {
    LogCutRequests();
    std::exchange(m_onStopped, nullptr)();
  }
}

void
GatewayServer::LogCutRequests()
{
  for (const auto& [id, session] : m_sessions) {
    if (!session.m_run && !session.m_caller->IsReadingRequest()) {
      continue;
    }
    ++m_state->m_counters.m_requestsCut;
    LogLine line("request.cut");
    line.Number("session", static_cast<std::int64_t>(id));
    if (session.m_run) {
      session.m_run->AppendFlightState(line);
    }
    m_state->Log(line.Flag("complete", session.m_run != nullptr), true);
  }
}

} // namespace bergamotpaddle
