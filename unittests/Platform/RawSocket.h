/// \file
/// Callers and upstreams that a test plays itself, without an event loop.
#pragma once

#include "Loopback.h"

namespace bergamotpaddle {

inline Tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address("127.0.0.1"),
           static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
}

/// A remote end whose operations need no event loop, so that bytes can arrive
/// at the gateway while its loop is blocked.
class RawSocket
{
public:
  explicit RawSocket(const std::string& aAddress)
    : m_socket(m_io)
  {
    m_socket.connect(EndpointOf(aAddress));
    Configure();
  }
  explicit RawSocket(Tcp::acceptor& aAcceptor)
    : m_socket(m_io)
  {
    aAcceptor.accept(m_socket);
    Configure();
  }

  void Send(const std::string& aBytes)
  {
    asio::write(m_socket, asio::buffer(aBytes));
  }

  /// All bytes received so far.
  const std::string& Received()
  {
    std::array<char, 65536> bytes{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t count = m_socket.read_some(asio::buffer(bytes), error);
      m_received.append(bytes.data(), count);
    }
    m_isClosed = m_isClosed || error != asio::error::would_block;
    return m_received;
  }

  bool IsClosedByGateway()
  {
    Received();
    return m_isClosed;
  }

  Tcp::socket& Socket() { return m_socket; }

private:
  void Configure()
  {
    m_socket.set_option(Tcp::no_delay(true));
    m_socket.non_blocking(true);
  }

  asio::io_context m_io{ 1 };
  Tcp::socket m_socket;
  std::string m_received;
  bool m_isClosed = false;
};

inline std::string
KeepAliveRequest(const std::string& aPath,
                 const std::string& aExtraFields = {},
                 const std::string& aBody = "body")
{
  std::string request = GatewayFixture::Request(aPath, aExtraFields, aBody);
  const std::string closeField = "Connection: close\r\n";
  request.erase(request.find(closeField), closeField.size());
  return request;
}

/// An upstream that the test itself plays, in place of both upstreams.
class ManualUpstream
{
public:
  explicit ManualUpstream(GatewayFixture& aFixture)
    : m_acceptor(m_io, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    m_acceptor.non_blocking(true);
    for (const char* id : { "u1", "u2" }) {
      UpstreamEntry entry =
        aFixture.m_state.m_upstreams.Find(UpstreamId(id))->m_entry;
      entry.m_address =
        "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
      aFixture.m_state.m_upstreams.Upsert(entry);
    }
  }

  /// The next exchange of the gateway. Requires that it has connected.
  RawSocket Accept() { return RawSocket(m_acceptor); }

  /// Whether the gateway has begun another exchange.
  bool HasPendingExchange()
  {
    boost::system::error_code error;
    Tcp::socket socket(m_io);
    m_acceptor.accept(socket, error);
    return !error;
  }

private:
  asio::io_context m_io{ 1 };
  Tcp::acceptor m_acceptor;
};

inline std::string
AnswerOf(const std::string& aBody)
{
  std::string answer = GatewayFixture::SealedResponse(aBody);
  return answer.replace(answer.find("{ID}"), 4, "a1b2");
}

inline std::string
StreamHeadOf()
{
  std::string head = GatewayFixture::StreamHead();
  return head.replace(head.find("{ID}"), 4, "a1b2");
}

} // namespace bergamotpaddle
