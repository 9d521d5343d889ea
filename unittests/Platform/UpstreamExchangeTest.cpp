/// \file
/// Tests of one exchange with an upstream, without a gateway.
#include "Loopback.h"
#include "unittests/Net/EarlyServer.h"

#include "bergamotpaddle/Forwarding/UpstreamExchange.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

/// A request that the socket buffers of both ends do not take.
constexpr std::size_t kMoreThanBuffers = 32'000'000;

/// Reads the start of a request, responds and resets the connection.
asio::awaitable<void>
RespondAndReset(Tcp::acceptor& aAcceptor, std::string aResponse)
{
  Tcp::socket socket = co_await aAcceptor.async_accept(asio::use_awaitable);
  std::array<char, 64> bytes{};
  co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
  co_await asio::async_write(
    socket, asio::buffer(aResponse), asio::use_awaitable);
  // The response arrives before the reset, which would discard it.
  asio::steady_timer timer(socket.get_executor());
  timer.expires_after(std::chrono::milliseconds(100));
  co_await timer.async_wait(asio::use_awaitable);
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

asio::awaitable<void>
SendAndRead(std::shared_ptr<UpstreamExchange> aExchange,
            std::string aAddress,
            std::size_t aBodySize,
            std::string& aBody)
{
  CHECK(co_await aExchange->Connect(aAddress));
  aExchange->BeginSending("POST / HTTP/1.1\r\nContent-Length: " +
                            std::to_string(aBodySize) + "\r\n\r\n",
                          std::make_shared<const std::string>(aBodySize, 'x'));
  const auto head = co_await aExchange->ReadHead(false);
  CHECK(head.has_value());
  std::string bytes;
  do {
    bytes = co_await aExchange->ReadBody();
    aBody += bytes;
  } while (!bytes.empty());
  aExchange->Close();
}

} // namespace

// Regression: the write failed first and consumed the socket's error, so the
// read saw the end of the connection, which marks the end of such a response.
TEST_CASE("a response that is reset while its request is being sent",
          "[forwarding][broken]")
{
  asio::io_context io(1);
  Tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  // More than the socket buffers of both ends take.
  const std::size_t bodySize = GENERATE(10, 64 * 1024 * 1024);
  INFO(bodySize);
  auto exchange = std::make_shared<UpstreamExchange>(io.get_executor());
  std::string body;
  asio::co_spawn(io,
                 RespondAndReset(acceptor, "HTTP/1.1 200 OK\r\n\r\npart"),
                 asio::detached);
  asio::co_spawn(
    io, SendAndRead(exchange, address, bodySize, body), asio::detached);
  io.run_for(std::chrono::seconds(5));
  CHECK(body == "part");
  CHECK_FALSE(exchange->IsComplete());
}

TEST_CASE("a response without a length that ends while its request is sent",
          "[forwarding][broken]")
{
  constexpr int kTries = 40;
  const std::string part = "part of a body";
  const std::size_t bodySize = GENERATE(3'000'000, kMoreThanBuffers);
  const std::size_t readBytes = GENERATE(0, 50'000, 200'000, 1'000'000);
  INFO("of " << bodySize << " bytes the upstream reads " << readBytes);
  const auto countComplete = [&](EarlyServer::End aEnd, int aTries) {
    EarlyServer upstream("HTTP/1.1 200 OK\r\n\r\n" + part, readBytes, aEnd);
    int complete = 0;
    for (int i = 0; i < aTries; ++i) {
      asio::io_context io(1);
      auto exchange = std::make_shared<UpstreamExchange>(io.get_executor());
      std::string body;
      asio::co_spawn(io,
                     SendAndRead(exchange, upstream.Address(), bodySize, body),
                     asio::detached);
      io.run_for(std::chrono::seconds(5));
      complete += exchange->IsComplete() && body == part ? 1 : 0;
    }
    return complete;
  };

  // Regression: the reset failed a write, and the end of the connection that a
  // read then saw was handled first.
  SECTION("is incomplete if the connection is reset")
  {
    CHECK(countComplete(EarlyServer::End::kReset, kTries) == 0);
  }

  SECTION("is incomplete if the upstream is gone")
  {
    // A request that fits into the buffers is sent before the connection ends.
    if (bodySize == kMoreThanBuffers) {
      CHECK(countComplete(EarlyServer::End::kClose, kTries) == 0);
    }
  }

  SECTION("is complete if the upstream reads on")
  {
    CHECK(countComplete(EarlyServer::End::kReadOn, kTries) == kTries);
    CHECK(countComplete(EarlyServer::End::kReadLate, 3) == 3);
  }
}
