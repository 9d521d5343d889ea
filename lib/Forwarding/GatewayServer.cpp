#include "bergamotpaddle/Forwarding/GatewayServer.h"

#include "bergamotpaddle/Forwarding/Endpoint.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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
/// Pause after a connection could not be taken, such as for want of
/// descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
/// Connections taken in one round of the event loop: a quarter of the backlog.
constexpr int kMostAcceptedAtOnce = 256;
/// How often the log is handed to its output.
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
  , m_callers(aIo)
{
}

std::string
GatewayServer::CallerAddress() const
{
  const Tcp::endpoint local = m_callers.local_endpoint();
  return Cat(local.address().to_string(), ":", local.port());
}

absl::Status
GatewayServer::Start()
{
  if (absl::Status status = ListenOn(m_callers, m_options.m_callerAddress);
      !status.ok()) {
    return status;
  }
  m_callers.non_blocking(true);
  asio::co_spawn(*m_io, AcceptCallers(), asio::detached);
  asio::co_spawn(*m_io, Ticks(), asio::detached);
  const PageHook ready = [this](std::string_view) {
    return std::pair(IsReady() ? kOk : kUnavailable, std::string());
  };
  const PageHook metrics = [this](std::string_view aPath) {
    return aPath.starts_with("/metrics")
             ? std::pair(kOk, MetricsPage())
             : std::pair(kNotFound, std::string("try /metrics\n"));
  };
  const std::array<std::pair<std::string, PageHook>, 2> pages = {
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
    asio::co_spawn(*m_io, AcceptPages(acceptor, page), asio::detached);
  }
  return absl::OkStatus();
}

bool
GatewayServer::IsReady() const
{
  return !m_state->m_isStopping && m_state->m_routes != nullptr &&
         m_state->m_upstreams.Size() > 0;
}

GatewayServer::Awaitable<void>
GatewayServer::AcceptCallers()
{
  while (m_callers.is_open()) {
    ErrorCode error;
    Tcp::socket socket(*m_io);
    co_await m_callers.async_accept(socket, Into(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      m_state->Log(LogLine("accept.failed").Text("why", error.message()));
      asio::steady_timer pause(*m_io, kAcceptPause);
      co_await pause.async_wait(Into(error));
      continue;
    }
    // All that wait, not one for each round of the event loop: what has waited
    // for longer than its caller does is taken for nothing.
    for (int taken = 1; !error; ++taken) {
      BeginSession(std::move(socket));
      if (taken == kMostAcceptedAtOnce) {
        break;
      }
      socket = Tcp::socket(*m_io);
      m_callers.accept(socket, error);
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
  asio::co_spawn(*m_io, ServeSession(id), asio::detached);
}

GatewayServer::Awaitable<void>
GatewayServer::ServeSession(SessionId aId)
{
  Session& session = m_sessions.at(aId);
  CallerConnection& caller = *session.m_caller;
  ReadEnd end = ReadEnd::kClosed;
  while (caller.IsOpen()) {
    end = co_await caller.ReadRequest();
    if (end != ReadEnd::kRequest) {
      break;
    }
    session.m_run =
      std::make_unique<RequestRun>(*m_state, caller, m_io->get_executor());
    co_await session.m_run->Serve();
    session.m_run.reset();
  }
  if (end != ReadEnd::kClosed) {
    co_await caller.CloseGently();
  }
  m_sessions.erase(aId);
}

GatewayServer::Awaitable<void>
GatewayServer::AcceptPages(std::shared_ptr<Tcp::acceptor> aAcceptor,
                           PageHook aPage)
{
  while (true) {
    ErrorCode error;
    Tcp::socket socket(*m_io);
    co_await aAcceptor->async_accept(socket, Into(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      asio::steady_timer pause(*m_io, kAcceptPause);
      co_await pause.async_wait(Into(error));
      continue;
    }
    asio::co_spawn(*m_io, ServePage(std::move(socket), aPage), asio::detached);
  }
}

GatewayServer::Awaitable<void>
GatewayServer::ServePage(Tcp::socket aSocket, PageHook aPage)
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
GatewayServer::NoteLoopDelay(Duration aDelay)
{
  GatewayCounters& counters = m_state->m_counters;
  const Duration delay = std::max(aDelay, Duration(0));
  counters.m_loopDelay.Note(delay);
  counters.m_maxLoopDelay = std::max(counters.m_maxLoopDelay, delay);
}

GatewayServer::Awaitable<void>
GatewayServer::Ticks()
{
  asio::steady_timer timer(*m_io);
  Instant logDue = m_state->Now();
  while (true) {
    ErrorCode error;
    const Instant due = m_state->Now() + m_state->m_options.m_tick;
    timer.expires_after(m_state->m_options.m_tick);
    co_await timer.async_wait(Into(error));
    const Instant now = m_state->Now();
    NoteLoopDelay(now - due);
    for (auto& [id, session] : m_sessions) {
      session.m_caller->Tick(now);
      if (session.m_run) {
        session.m_run->Tick(now);
      }
    }
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
  m_stopSince = m_state->Now();
  m_onStopped = std::move(aOnStopped);
}

void
GatewayServer::CheckStop(Instant aNow)
{
  if (!m_stopSince) {
    return;
  }
  const Duration passed = aNow - *m_stopSince;
  if (passed < m_options.m_acceptAfterStop) {
    return;
  }
  if (m_callers.is_open()) {
    m_callers.close();
  }
  for (auto& [id, session] : m_sessions) {
    if (session.m_caller->IsIdle()) {
      session.m_caller->Close();
    }
  }
  // Leaves a moment before the platform ends the process by force.
  constexpr Duration kBeforeForce = std::chrono::milliseconds(600);
  const bool isDone = m_state->m_requestsInFlight == 0 && m_sessions.empty();
  if ((isDone || passed > m_options.m_grace - kBeforeForce) && m_onStopped) {
    std::exchange(m_onStopped, nullptr)();
  }
}

} // namespace bergamotpaddle
