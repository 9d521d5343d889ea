/// \file
/// An HTTP server on loopback that sends scripted bytes and closes.
#pragma once

#include <utility>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <thread>
#include <vector>

namespace bergamotpaddle {

/// Sends the scripts in order, one for each request of any connection, and
/// closes the connection after the script that ends it. After the last script
/// it closes connections without a response.
class ScriptedServer
{
public:
  struct Script
  {
    std::string m_bytes;
    bool m_isKeptOpen = false; ///< The connection serves the next script too.
    /// Close the connection with a TCP reset, after the bytes have arrived.
    bool m_isReset = false;
    bool m_isEarly = false; ///< Sent before the request's body is read.
  };

  explicit ScriptedServer(std::vector<Script> aScripts)
    : m_scripts(std::move(aScripts))
    , m_acceptor(m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
  {
    boost::asio::co_spawn(m_io, Accept(), boost::asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~ScriptedServer()
  {
    m_io.stop();
    m_thread.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string Url() const
  {
    return "http://127.0.0.1:" +
           std::to_string(m_acceptor.local_endpoint().port());
  }
  int Connections() const { return m_connections; }
  int Requests() const { return m_requests; }

private:
  using Tcp = boost::asio::ip::tcp;

  boost::asio::awaitable<void> Accept()
  {
    while (true) {
      Tcp::socket socket =
        co_await m_acceptor.async_accept(boost::asio::use_awaitable);
      ++m_connections;
      boost::asio::co_spawn(
        m_io, Serve(std::move(socket)), boost::asio::detached);
    }
  }

  /// The script for the next request.
  Script NextScript() const
  {
    const auto index = static_cast<std::size_t>(m_requests);
    return index < m_scripts.size() ? m_scripts[index] : Script();
  }

  /// Reads a request, or its start if the response is early. Returns false at
  /// the end of the connection.
  boost::asio::awaitable<bool> ReadRequest(Tcp::socket& aSocket)
  {
    std::string request;
    std::size_t size = std::string::npos;
    while (request.size() < size) {
      std::string bytes(65536, '\0');
      boost::system::error_code error;
      const std::size_t count = co_await aSocket.async_read_some(
        boost::asio::buffer(bytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) {
        co_return false;
      }
      request.append(bytes, 0, count);
      const std::size_t headEnd = request.find("\r\n\r\n");
      if (headEnd != std::string::npos) {
        const std::string name = "Content-Length: ";
        const std::size_t at = request.find(name);
        size =
          headEnd + 4 +
          (at < headEnd ? std::stoul(request.substr(at + name.size())) : 0);
      }
      if (NextScript().m_isEarly) {
        break;
      }
    }
    co_return true;
  }

  boost::asio::awaitable<void> Serve(Tcp::socket aSocket)
  {
    bool isOpen = co_await ReadRequest(aSocket);
    while (isOpen) {
      const Script script = NextScript();
      ++m_requests;
      boost::system::error_code error;
      co_await boost::asio::async_write(
        aSocket,
        boost::asio::buffer(script.m_bytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (script.m_isReset) {
        // The reset discards bytes that the client has not received yet.
        boost::asio::steady_timer timer(m_io, std::chrono::milliseconds(100));
        co_await timer.async_wait(boost::asio::use_awaitable);
        aSocket.set_option(boost::asio::socket_base::linger(true, 0), error);
        aSocket.close(error);
        co_return;
      }
      isOpen = !error && script.m_isKeptOpen && co_await ReadRequest(aSocket);
    }
  }

  std::vector<Script> m_scripts;
  boost::asio::io_context m_io{ 1 };
  Tcp::acceptor m_acceptor;
  std::atomic<int> m_connections = 0;
  std::atomic<int> m_requests = 0;
  std::thread m_thread;
};

} // namespace bergamotpaddle
