/// \file
/// Tests with upstreams that send invalid responses without end.
#include "Loopback.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// Sends the start of a response, then filler bytes until the router closes the
/// connection.
class EndlessUpstream
{
public:
  EndlessUpstream(asio::io_context& aIo,
                  std::string aHead,
                  const std::string& aFiller)
    : m_acceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_head(std::move(aHead))
  {
    while (m_filler.size() < kBlock) {
      m_filler += aFiller;
    }
    asio::co_spawn(aIo, Accept(), asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  int m_openConnections = 0; ///< Currently open connections.

private:
  static constexpr std::size_t kBlock = 16'000;

  asio::awaitable<void> Accept()
  {
    while (true) {
      Tcp::socket socket =
        co_await m_acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(
        m_acceptor.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(Tcp::socket aSocket)
  {
    ++m_openConnections;
    boost::system::error_code error;
    std::string request(65536, '\0');
    co_await aSocket.async_read_some(
      asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(
      aSocket,
      asio::buffer(m_head),
      asio::redirect_error(asio::use_awaitable, error));
    while (!error) {
      co_await asio::async_write(
        aSocket,
        asio::buffer(m_filler),
        asio::redirect_error(asio::use_awaitable, error));
    }
    --m_openConnections;
  }

  Tcp::acceptor m_acceptor;
  std::string m_head;
  std::string m_filler;
};

/// A response whose last element never ends.
struct EndlessResponse
{
  const char* m_name;
  std::string m_head;
  std::string m_filler;
};

const std::string kSealed = "HTTP/1.1 200 OK\r\n"
                            "Bergamotpaddle-Attempt-Id: a1b2\r\n"
                            "Bergamotpaddle-Response-Seal: s\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStream = "Content-Type: text/event-stream\r\n";

} // namespace

TEST_CASE("an upstream that sends bytes without end", "[forwarding][endless]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const EndlessResponse endless = GENERATE(
    EndlessResponse{ "noise", "", std::string("\x01\xff\x80 noise", 9) },
    EndlessResponse{ "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessResponse{ "a status line", "HTTP/1.1 200 ", "O" },
    EndlessResponse{ "one field", "HTTP/1.1 200 OK\r\nX: ", "y" },
    EndlessResponse{ "fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
    EndlessResponse{ "a body", kSealed + "\r\n", "no answer" },
    EndlessResponse{ "a body of a huge length",
                     kSealed + "Content-Length: 900000000000\r\n\r\n",
                     "no answer" },
    EndlessResponse{ "a body of the greatest length",
                     kSealed + "Content-Length: 18446744073709551615\r\n\r\n",
                     "no answer" },
    EndlessResponse{ "a body of a length beyond 64 bits",
                     kSealed + "Content-Length: 99999999999999999999\r\n\r\n",
                     "no answer" },
    EndlessResponse{
      "a huge chunk", kSealed + kChunked + "ffffffffffffff\r\n", "no answer" },
    EndlessResponse{ "an event in a huge chunk",
                     kSealed + kStream + kChunked + "ffffffffffffff\r\n",
                     "no answer" },
    EndlessResponse{ "an event in a body of a huge length",
                     kSealed + kStream + "Content-Length: 900000000000\r\n\r\n",
                     "no answer" },
    EndlessResponse{ "chunks", kSealed + kChunked, "9\r\nno answer\r\n" },
    EndlessResponse{ "a chunk's extension", kSealed + kChunked + "1;x=", "y" },
    EndlessResponse{
      "trailers", kSealed + kChunked + "1\r\na\r\n0\r\n", "X: y\r\n" },
    EndlessResponse{
      "an event", kSealed + kStream + kChunked, "9\r\nno answer\r\n" });
  INFO(endless.m_name);
  EndlessUpstream upstream(fixture.m_io, endless.m_head, endless.m_filler);
  const auto setAddress = [&](const char* aId, const std::string& aAddress) {
    UpstreamEntry entry =
      fixture.m_state.m_upstreams.Find(UpstreamId(aId))->m_entry;
    entry.m_address = aAddress;
    fixture.m_state.m_upstreams.Upsert(entry);
  };
  setAddress("u1", upstream.Address());
  // Limit for one response on a router with 160 MB of memory.
  constexpr std::uint64_t kMaxBytes = 5'000'000;
  const auto received = [&fixture] {
    return fixture.m_state.m_counters.m_traffic
      .CountFor(TrafficPeer::kUpstreams)
      .m_received;
  };

  SECTION("is disconnected early, and the caller gets status 502")
  {
    setAddress("u2", upstream.Address());
    const char* path = endless.m_head.find("event-stream") == std::string::npos
                         ? "/once/"
                         : "/stream/";
    const std::string response = fixture.Call(GatewayFixture::Request(path));
    CHECK(response.substr(0, 12) == "HTTP/1.1 502");
    CHECK(received() <= kMaxBytes);
    CHECK(upstream.m_openConnections == 0);
  }

  SECTION("does not fail a repeatable call")
  {
    fixture.m_secondUpstream.m_scripts.push_back(
      { GatewayFixture::SealedResponse() });
    const std::string response =
      fixture.Call(GatewayFixture::Request("/again/"));
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
    CHECK(received() <= kMaxBytes);
  }
}
