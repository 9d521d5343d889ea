/// \file
/// Upstreams that send bytes without end that are no answer.
#include "Loopback.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// Answers with a beginning, then repeats a filling until the router closes.
class EndlessUpstream
{
public:
  EndlessUpstream(asio::io_context& aIo,
                  std::string aBeginning,
                  const std::string& aFilling)
    : m_acceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_beginning(std::move(aBeginning))
  {
    while (m_filling.size() < kBlock) {
      m_filling += aFilling;
    }
    asio::co_spawn(aIo, Accept(), asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  int m_open = 0; ///< Connections open now.

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
    ++m_open;
    boost::system::error_code error;
    std::string request(65536, '\0');
    co_await aSocket.async_read_some(
      asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(
      aSocket,
      asio::buffer(m_beginning),
      asio::redirect_error(asio::use_awaitable, error));
    while (!error) {
      co_await asio::async_write(
        aSocket,
        asio::buffer(m_filling),
        asio::redirect_error(asio::use_awaitable, error));
    }
    --m_open;
  }

  Tcp::acceptor m_acceptor;
  std::string m_beginning;
  std::string m_filling;
};

struct Endless
{
  const char* m_name;
  std::string m_beginning;
  std::string m_filling;
};

const std::string kSealed = "HTTP/1.1 200 OK\r\n"
                            "Bergamotpaddle-Attempt-Id: a1b2\r\n"
                            "Bergamotpaddle-Response-Seal: s\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStream = "Content-Type: text/event-stream\r\n";

} // namespace

TEST_CASE("an upstream that sends bytes without end", "[forwarding][endless]")
{
  GatewayFixture fleet;
  REQUIRE(fleet.m_startStatus.ok());
  const Endless endless = GENERATE(
    Endless{ "noise", "", std::string("\x01\xff\x80 noise", 9) },
    Endless{ "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    Endless{ "a status line", "HTTP/1.1 200 ", "O" },
    Endless{ "one field", "HTTP/1.1 200 OK\r\nX: ", "y" },
    Endless{ "fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
    Endless{ "a body", kSealed + "\r\n", "no answer" },
    Endless{ "chunks", kSealed + kChunked, "9\r\nno answer\r\n" },
    Endless{ "a chunk's extension", kSealed + kChunked + "1;x=", "y" },
    Endless{ "trailers", kSealed + kChunked + "1\r\na\r\n0\r\n", "X: y\r\n" },
    Endless{ "an event", kSealed + kStream + kChunked, "9\r\nno answer\r\n" });
  INFO(endless.m_name);
  EndlessUpstream upstream(fleet.m_io, endless.m_beginning, endless.m_filling);
  const auto replace = [&](const char* aId, const std::string& aAddress) {
    UpstreamEntry entry =
      fleet.m_state.m_upstreams.Find(UpstreamId(aId))->m_entry;
    entry.m_address = aAddress;
    fleet.m_state.m_upstreams.Upsert(entry);
  };
  replace("u1", upstream.Address());
  // What one answer may take of a router with 160 MB.
  constexpr std::uint64_t kMostBytes = 5'000'000;
  const auto received = [&fleet] {
    return fleet.m_state.m_counters.m_traffic.Of(TrafficPeer::kUpstreams)
      .m_received;
  };

  SECTION("is left early, and the caller is told that the outcome is unknown")
  {
    replace("u2", upstream.Address());
    const char* path =
      endless.m_beginning.find("event-stream") == std::string::npos
        ? "/once/"
        : "/stream/";
    const std::string answer = fleet.Call(GatewayFixture::Request(path));
    CHECK(answer.substr(0, 12) == "HTTP/1.1 502");
    CHECK(received() <= kMostBytes);
    CHECK(upstream.m_open == 0);
  }

  SECTION("is no reason to fail a call that may run again")
  {
    fleet.m_second.m_scripts.push_back({ GatewayFixture::Good() });
    const std::string answer = fleet.Call(GatewayFixture::Request("/again/"));
    CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
    CHECK(received() <= kMostBytes);
  }
}
