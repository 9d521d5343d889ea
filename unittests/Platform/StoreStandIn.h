/// \file
/// A fake of the platform's store with scripted responses, over loopback
/// sockets.
#pragma once

#include <utility>

#include <array>
#include <boost/asio.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Responds to every call with the result of the test's hook.
class StoreStandIn
{
public:
  struct Reply
  {
    int m_status = 200;
    std::string m_body;
    bool m_isUnresponsive = false; ///< No response is ever sent.
    /// No response yet: the hook is called again every 2 ms.
    bool m_isPending = false;
    /// Delay before each sixth of the response, as on a saturated link.
    std::chrono::milliseconds m_partDelay{ 0 };
  };
  using Hook =
    std::function<Reply(const std::string& aTarget, const std::string& aBody)>;

  StoreStandIn(asio::io_context& aIo, Hook aHook)
    : m_acceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_hook(std::move(aHook))
  {
    asio::co_spawn(aIo, Accept(), asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  int Calls() const { return m_calls; }

private:
  asio::awaitable<void> Accept()
  {
    while (true) {
      auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(
        m_acceptor.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket)
  {
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    co_await http::async_read(aSocket, buffer, request, asio::use_awaitable);
    ++m_calls;
    Reply reply = m_hook(std::string(request.target()), request.body());
    asio::steady_timer timer(aSocket.get_executor());
    while (reply.m_isPending) {
      timer.expires_after(std::chrono::milliseconds(2));
      co_await timer.async_wait(asio::use_awaitable);
      reply = m_hook(std::string(request.target()), request.body());
    }
    if (reply.m_isUnresponsive) {
      m_unresponsiveSockets.push_back(std::move(aSocket));
      co_return;
    }
    if (reply.m_partDelay.count() > 0) {
      co_await SendSlowly(aSocket, reply);
      co_return;
    }
    http::response<http::string_body> response(
      http::int_to_status(static_cast<unsigned>(reply.m_status)), 11);
    response.body() = reply.m_body;
    response.prepare_payload();
    co_await http::async_write(aSocket, response, asio::use_awaitable);
  }

  static asio::awaitable<void> SendSlowly(asio::ip::tcp::socket& aSocket,
                                          Reply aReply)
  {
    constexpr std::size_t kParts = 6;
    const std::string rawResponse = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                    std::to_string(aReply.m_body.size()) +
                                    "\r\n\r\n" + aReply.m_body;
    const std::size_t step = rawResponse.size() / kParts + 1;
    asio::steady_timer timer(aSocket.get_executor());
    for (std::size_t at = 0; at < rawResponse.size(); at += step) {
      timer.expires_after(aReply.m_partDelay);
      co_await timer.async_wait(asio::use_awaitable);
      const std::string part = rawResponse.substr(at, step);
      boost::system::error_code error;
      co_await asio::async_write(
        aSocket,
        asio::buffer(part),
        asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return;
      }
    }
  }

  asio::ip::tcp::acceptor m_acceptor;
  Hook m_hook;
  int m_calls = 0;
  std::vector<asio::ip::tcp::socket> m_unresponsiveSockets;
};

/// Responds once with \p aBytes on the next connection and closes it.
inline asio::awaitable<void>
RespondAndClose(asio::ip::tcp::acceptor& aAcceptor, std::string aBytes)
{
  asio::ip::tcp::socket socket =
    co_await aAcceptor.async_accept(asio::use_awaitable);
  std::array<char, 4096> request{};
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(aBytes), asio::use_awaitable);
}

/// Runs one call to completion.
template<typename T>
T
Await(asio::io_context& aIo, asio::awaitable<T> aCall)
{
  std::optional<T> result;
  auto run = [](asio::awaitable<T> aCall,
                std::optional<T>* aResult) -> asio::awaitable<void> {
    aResult->emplace(co_await std::move(aCall));
  };
  asio::co_spawn(aIo, run(std::move(aCall), &result), asio::detached);
  while (!result) {
    aIo.run_one_for(std::chrono::milliseconds(50));
  }
  return std::move(*result);
}

} // namespace bergamotpaddle
