/// \file
/// Raw callers and scripted upstreams over loopback sockets, all on the test's
/// own thread.
#pragma once

#include "platform/Dialect.h"

#include "bergamotpaddle/Forwarding/GatewayServer.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <fcntl.h>
#include <sstream>
#include <string>
#include <system_error>
#include <unistd.h>

namespace bergamotpaddle {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// An upstream that sends the next scripted response on each connection.
class ScriptedUpstream
{
public:
  struct Script
  {
    std::string m_response;    ///< Raw bytes; "{ID}" is the attempt's id.
    bool m_isKeptOpen = false; ///< Keep the connection open after the response.
    bool m_isReset = false;    ///< Close the connection with a TCP reset.
    std::chrono::milliseconds m_pause{ 0 }; ///< Before the continuation.
    std::string m_continuation; ///< Sent after the response and the pause.
    std::vector<std::string> m_furtherParts; ///< Each sent after another pause.
  };

  explicit ScriptedUpstream(asio::io_context& aIo)
    : m_acceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    asio::co_spawn(aIo, Accept(), asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  std::deque<Script> m_scripts;
  std::vector<std::string> m_requests; ///< Headers and bodies as received.
  int m_openConnections = 0;           ///< Currently open connections.

private:
  asio::awaitable<void> Accept()
  {
    while (true) {
      Tcp::socket socket =
        co_await m_acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(
        m_acceptor.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  static std::string AttemptIdOf(const std::string& aRequest)
  {
    const std::string name = "Attempt-Id: ";
    const std::size_t begin = aRequest.find(name) + name.size();
    return aRequest.substr(begin, aRequest.find('\r', begin) - begin);
  }

  asio::awaitable<void> Serve(Tcp::socket aSocket)
  {
    ++m_openConnections;
    boost::system::error_code error;
    std::string request(65536, '\0');
    const std::size_t count = co_await aSocket.async_read_some(
      asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    request.resize(count);
    m_requests.push_back(request);
    Script script;
    if (!m_scripts.empty()) {
      script = m_scripts.front();
      m_scripts.pop_front();
    }
    for (std::string* part : { &script.m_response, &script.m_continuation }) {
      if (const std::size_t at = part->find("{ID}"); at != std::string::npos) {
        part->replace(at, 4, AttemptIdOf(request));
      }
    }
    co_await asio::async_write(
      aSocket,
      asio::buffer(script.m_response),
      asio::redirect_error(asio::use_awaitable, error));
    if (!script.m_continuation.empty()) {
      script.m_furtherParts.insert(script.m_furtherParts.begin(),
                                   script.m_continuation);
    }
    for (const std::string& part : script.m_furtherParts) {
      asio::steady_timer timer(aSocket.get_executor(), script.m_pause);
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
      co_await asio::async_write(
        aSocket,
        asio::buffer(part),
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (script.m_isKeptOpen) {
      char byte = 0;
      co_await aSocket.async_read_some(
        asio::buffer(&byte, 1),
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (script.m_isReset) {
      aSocket.set_option(asio::socket_base::linger(true, 0), error);
    }
    aSocket.close(error);
    --m_openConnections;
  }

  Tcp::acceptor m_acceptor;
};

/// A non-blocking pipe that receives the lines of a log.
class LogPipe
{
public:
  LogPipe()
  {
    if (::pipe2(m_ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
      throw std::system_error(errno, std::generic_category());
    }
  }
  ~LogPipe()
  {
    ::close(m_ends[0]);
    ::close(m_ends[1]);
  }
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;

  int WriteEnd() const { return m_ends[1]; }
  /// Returns the line of \p aEvent among those not read yet, or an empty
  /// string.
  std::string LineOf(const std::string& aEvent)
  {
    std::string text(65536, '\0');
    const ssize_t count = ::read(m_ends[0], text.data(), text.size());
    text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
      if (line.find("\"" + aEvent + "\"") != std::string::npos) {
        return line;
      }
    }
    return {};
  }

private:
  std::array<int, 2> m_ends{};
};

/// A gateway with two upstreams of one service.
class GatewayFixture
{
public:
  /// \p aGrace is the time from a stop request to the end of the process.
  explicit GatewayFixture(
    std::chrono::milliseconds aGrace = std::chrono::seconds(8))
    : m_log(m_logPipe.WriteEnd(), "test", {})
    , m_state(platform::MakeDialect(),
              {},
              { "host", HolderId("host/1"), "127.0.0.1:1" },
              {},
              m_log)
    , m_server(m_io, m_state, Options(aGrace))
    , m_firstUpstream(m_io)
    , m_secondUpstream(m_io)
  {
    m_state.m_routes = std::make_shared<const RouteTable>(Config());
    AddUpstream("u1", m_firstUpstream);
    AddUpstream("u2", m_secondUpstream);
    m_startStatus = m_server.Start();
    if (m_startStatus.ok()) {
      m_callerAddress = m_server.CallerAddress();
    }
  }

  /// Prepaid tokens of the account "school".
  static constexpr std::uint64_t kPrepaid = 100'000;

  /// Sends \p aBytes and returns what is received until the connection ends or
  /// \p aWait passes; then closes the connection.
  std::string Call(const std::string& aBytes,
                   std::chrono::milliseconds aWait = std::chrono::seconds(2))
  {
    std::string response;
    bool isDone = false;
    Tcp::socket socket(m_io);
    asio::co_spawn(
      m_io, Exchange(socket, aBytes, response, isDone), asio::detached);
    const auto end = std::chrono::steady_clock::now() + aWait;
    while (!isDone && std::chrono::steady_clock::now() < end) {
      m_io.run_for(std::chrono::milliseconds(5));
    }
    m_wasClosedByGateway = isDone;
    boost::system::error_code ignored;
    socket.close(ignored);
    m_io.run_for(std::chrono::milliseconds(50));
    return response;
  }

  /// Scripts the next request: the upstream that is chosen first sends
  /// \p aFirst, and the other one \p aSecond.
  void ScriptAttempts(const ScriptedUpstream::Script& aFirst,
                      const ScriptedUpstream::Script& aSecond)
  {
    m_firstUpstream.m_scripts = { aFirst };
    m_secondUpstream.m_scripts = { aFirst };
    m_state.m_onLoadChanged =
      [this, aSecond, isFirst = true](const UpstreamId& aId,
                                      const std::vector<PromptPart>&) mutable {
        if (std::exchange(isFirst, false)) {
          (aId == UpstreamId("u1") ? m_secondUpstream : m_firstUpstream)
            .m_scripts = { aSecond };
        }
      };
  }

  void RunFor(std::chrono::milliseconds aTime) { m_io.run_for(aTime); }

  /// Puts a configuration in force that differs only in its limits.
  void SetLimits(const CallerLimits& aLimits)
  {
    RoutingConfig config = Config();
    config.m_limits = aLimits;
    m_state.m_routes = std::make_shared<const RouteTable>(std::move(config));
  }

  static std::string Request(const std::string& aPath,
                             const std::string& aExtraFields = {},
                             const std::string& aBody = "body")
  {
    return "POST " + aPath +
           " HTTP/1.1\r\nHost: desk.example\r\n"
           "Bergamotpaddle-Attempt-Id: a1b2\r\n"
           "Bergamotpaddle-Timeout-Ms: 1500\r\n"
           "Authorization: Bearer key\r\n" +
           aExtraFields + "Connection: close\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  /// A complete response with a seal.
  static std::string SealedResponse(const std::string& aBody = "done")
  {
    return "HTTP/1.1 200 OK\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
           "Bergamotpaddle-Response-Seal: s\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static std::string StreamHead()
  {
    return "HTTP/1.1 200 OK\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
           "Bergamotpaddle-Response-Seal: s\r\n"
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  static std::string Chunk(const std::string& aText)
  {
    return Hex(aText.size()) + "\r\n" + aText + "\r\n";
  }

  std::string m_callerAddress; ///< Where the gateway accepts callers.
  asio::io_context m_io{ 1 };
  LogPipe m_logPipe;
  EventLog m_log;
  GatewayState m_state;
  GatewayServer m_server;
  ScriptedUpstream m_firstUpstream;
  ScriptedUpstream m_secondUpstream;
  absl::Status m_startStatus;
  /// Whether the gateway closed the connection of the last call.
  bool m_wasClosedByGateway = false;
  bool m_wasResetByGateway = false; ///< Whether it closed it with a TCP reset.

  static RoutingConfig Config()
  {
    RoutingConfig config;
    config.m_version = 1;
    const auto add = [&config](const std::string& aPath,
                               CallKind aKind,
                               bool aIsResumable,
                               int aAttempts) {
      Route route;
      route.m_name = aPath;
      route.m_host = "desk.example";
      route.m_pathPrefix = aPath;
      route.m_kind = aKind;
      route.m_isResumable = aIsResumable;
      route.m_maxAttempts = aAttempts;
      route.m_timeout = std::chrono::milliseconds(1200);
      route.m_objective = std::chrono::milliseconds(100);
      route.m_services = { { ServiceId("desk"), 1 } };
      config.m_routes.push_back(route);
    };
    add("/once/", CallKind::kRunOnce, false, 1);
    add("/again/", CallKind::kRepeatable, false, 2);
    add("/stream/", CallKind::kStream, false, 1);
    add("/resume/", CallKind::kStream, true, 2);
    Service service;
    service.m_id = ServiceId("desk");
    config.m_services = { service };
    Account account;
    account.m_id = AccountId("cafe");
    account.m_apiKeys = { "key" };
    Account prepaid;
    prepaid.m_id = AccountId("school");
    prepaid.m_apiKeys = { "prepaid-key" };
    prepaid.m_prepaid = kPrepaid;
    config.m_accounts = { account, prepaid };
    config.m_limits.m_maxBodyBytes = 1000;
    return config;
  }

private:
  static std::string Hex(std::size_t aNumber)
  {
    std::ostringstream text;
    text << std::hex << aNumber;
    return text.str();
  }

  void AddUpstream(const std::string& aId, const ScriptedUpstream& aUpstream)
  {
    UpstreamEntry entry;
    entry.m_id = UpstreamId(aId);
    entry.m_service = ServiceId("desk");
    entry.m_address = aUpstream.Address();
    entry.m_slots = 8;
    m_state.m_upstreams.Upsert(entry);
  }

  static GatewayServerOptions Options(std::chrono::milliseconds aGrace)
  {
    GatewayServerOptions options;
    options.m_grace = aGrace;
    options.m_callerAddress = "127.0.0.1:0";
    options.m_acceptAfterStop = std::chrono::milliseconds(100);
    return options;
  }

  asio::awaitable<void> Exchange(Tcp::socket& aSocket,
                                 std::string aBytes,
                                 std::string& aResponse,
                                 bool& aIsDone)
  {
    boost::system::error_code error;
    const auto into = [&error] {
      return asio::redirect_error(asio::use_awaitable, error);
    };
    const std::size_t colon = m_callerAddress.rfind(':');
    const Tcp::endpoint gateway(
      asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(std::stoi(m_callerAddress.substr(colon + 1))));
    co_await aSocket.async_connect(gateway, into());
    co_await asio::async_write(aSocket, asio::buffer(aBytes), into());
    std::array<char, 4096> bytes{};
    while (!error) {
      const std::size_t count =
        co_await aSocket.async_read_some(asio::buffer(bytes), into());
      aResponse.append(bytes.data(), count);
    }
    if (error != asio::error::operation_aborted) {
      aIsDone = true;
    }
    m_wasResetByGateway = error == asio::error::connection_reset;
  }
};

} // namespace bergamotpaddle
