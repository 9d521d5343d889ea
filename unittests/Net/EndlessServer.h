/// \file
/// An HTTP server on loopback that sends bytes without end.
#pragma once

#include <utility> // Boost.Asio 1.74 uses it without including it.

#include <atomic>
#include <boost/asio.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <thread>

namespace bergamotpaddle {

/// Answers each request with a start and then with a filler, repeated until the
/// client closes the connection. With an empty filler it closes after the
/// start.
class EndlessServer
{
public:
  EndlessServer(std::string aStart, const std::string& aFiller)
    : m_start(std::move(aStart))
    , m_acceptor(m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
  {
    constexpr std::size_t kBlock = 64'000;
    while (!aFiller.empty() && m_filler.size() < kBlock) {
      m_filler += aFiller;
    }
    boost::asio::co_spawn(m_io, Accept(), boost::asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~EndlessServer()
  {
    m_io.stop();
    m_thread.join();
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string Url() const
  {
    return "http://127.0.0.1:" +
           std::to_string(m_acceptor.local_endpoint().port());
  }
  std::uint64_t BytesSent() const { return m_bytesSent; }

private:
  using Tcp = boost::asio::ip::tcp;

  boost::asio::awaitable<void> Accept()
  {
    while (true) {
      Tcp::socket socket =
        co_await m_acceptor.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(
        m_io, Serve(std::move(socket)), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(Tcp::socket aSocket)
  {
    boost::system::error_code error;
    const auto into = [&error] {
      return boost::asio::redirect_error(boost::asio::use_awaitable, error);
    };
    std::string request(65536, '\0');
    co_await aSocket.async_read_some(boost::asio::buffer(request), into());
    co_await boost::asio::async_write(
      aSocket, boost::asio::buffer(m_start), into());
    while (!error && !m_filler.empty()) {
      m_bytesSent += co_await boost::asio::async_write(
        aSocket, boost::asio::buffer(m_filler), into());
    }
  }

  boost::asio::io_context m_io;
  std::string m_start;
  std::string m_filler;
  std::atomic<std::uint64_t> m_bytesSent = 0;
  Tcp::acceptor m_acceptor;
  std::thread m_thread;
};

} // namespace bergamotpaddle
