/// \file
/// A server that responds while the request is still being sent.
#pragma once

#include <utility>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace bergamotpaddle {

/// Responds on each connection once the first bytes of the request have
/// arrived, reads on and ends the connection. It runs on a thread of its own,
/// so that resets arrive at any moment of the client's writes.
class EarlyServer
{
public:
  enum class End
  {
    kReset,   ///< A TCP reset.
    kClose,   ///< Closes both directions; unread bytes make that a reset too.
    kReadOn,  ///< Ends the response, and reads the request to its end.
    kReadLate ///< Like kReadOn, after a pause.
  };

  /// Sends \p aResponse and reads until \p aReadBytes have arrived; on each
  /// connection 1,000 bytes more, so that resets meet different writes.
  EarlyServer(std::string aResponse, std::size_t aReadBytes, End aEnd)
    : m_response(std::move(aResponse))
    , m_readBytes(aReadBytes)
    , m_end(aEnd)
    , m_acceptor(m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , m_address("127.0.0.1:" +
                std::to_string(m_acceptor.local_endpoint().port()))
    , m_thread([this] { Run(); })
  {
  }
  ~EarlyServer()
  {
    m_isStopping = true;
    boost::system::error_code ignored;
    Tcp::socket wakeUp(m_io);
    wakeUp.connect(m_acceptor.local_endpoint(), ignored);
    wakeUp.close(ignored);
    m_thread.join();
  }
  EarlyServer(const EarlyServer&) = delete;
  EarlyServer& operator=(const EarlyServer&) = delete;

  const std::string& Address() const { return m_address; }
  /// Bytes of the request that arrived on the last connection.
  std::size_t ReceivedBytes() const { return m_receivedBytes; }

private:
  using Tcp = boost::asio::ip::tcp;

  void Run()
  {
    while (!m_isStopping) {
      Tcp::socket socket = m_acceptor.accept();
      if (!m_isStopping) {
        Serve(socket);
        m_readBytes += 1'000;
      }
    }
  }

  /// Reads until \p aBytes have arrived or the connection ends.
  void Read(Tcp::socket& aSocket, std::size_t aBytes)
  {
    std::array<char, 65536> bytes{};
    boost::system::error_code error;
    while (!error && m_receivedBytes < aBytes) {
      m_receivedBytes += aSocket.read_some(boost::asio::buffer(bytes), error);
    }
  }

  void Serve(Tcp::socket& aSocket)
  {
    m_receivedBytes = 0;
    Read(aSocket, 1);
    boost::system::error_code ignored;
    boost::asio::write(aSocket, boost::asio::buffer(m_response), ignored);
    Read(aSocket, m_readBytes);
    if (m_end == End::kReset) {
      aSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    if (m_end == End::kReadOn || m_end == End::kReadLate) {
      aSocket.shutdown(Tcp::socket::shutdown_send, ignored);
      std::this_thread::sleep_for(
        std::chrono::milliseconds(m_end == End::kReadLate ? 200 : 0));
      Read(aSocket, std::string::npos);
    }
    aSocket.close(ignored);
  }

  std::string m_response;
  std::size_t m_readBytes;
  End m_end;
  std::atomic<std::size_t> m_receivedBytes = 0;
  std::atomic<bool> m_isStopping = false;
  boost::asio::io_context m_io;
  Tcp::acceptor m_acceptor;
  std::string m_address;
  std::thread m_thread;
};

} // namespace bergamotpaddle
