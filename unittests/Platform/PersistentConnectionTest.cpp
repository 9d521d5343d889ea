/// \file
/// Tests of successive calls to another router over one connection.
#include "Loopback.h"
#include "StoreStandIn.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using namespace bergamotpaddle::platform;

namespace {

asio::awaitable<void>
Serve(Tcp::socket aSocket, int aResponses)
{
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  asio::steady_timer timer(aSocket.get_executor());
  while (true) {
    http::request<http::string_body> request;
    co_await http::async_read(aSocket,
                              buffer,
                              request,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(request.body().size()) +
                                 "\r\n\r\n" + request.body();
    for (int i = 0; i < aResponses; ++i) {
      co_await asio::async_write(
        aSocket,
        asio::buffer(response),
        asio::redirect_error(asio::use_awaitable, error));
      timer.expires_after(std::chrono::milliseconds(20));
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    }
  }
}

/// Repeats the body of each request in \p aResponses responses.
asio::awaitable<void>
AcceptAndServe(Tcp::acceptor& aAcceptor, int aResponses, int& aConnections)
{
  while (true) {
    Tcp::socket socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    ++aConnections;
    asio::co_spawn(aAcceptor.get_executor(),
                   Serve(std::move(socket), aResponses),
                   asio::detached);
  }
}

} // namespace

// Regression: a response that was sent twice answered the next call, too.
TEST_CASE("successive calls to another router", "[store]")
{
  asio::io_context io(1);
  Tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
  const int responses = GENERATE(1, 2);
  int connections = 0;
  asio::co_spawn(
    io, AcceptAndServe(acceptor, responses, connections), asio::detached);
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  StoreClient client(io, address);
  PersistentConnection connection;
  for (const std::string body : { "first", "second", "third" }) {
    const auto response =
      Await(io,
            client.CallPeer(
              connection, address, "/peer", body, std::chrono::seconds(1)));
    REQUIRE(response.ok());
    CHECK(*response == body);
    io.run_for(std::chrono::milliseconds(60));
  }
  CHECK(connections == (responses == 1 ? 1 : 3));
}
