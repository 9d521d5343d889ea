/// \file
/// Tests of the datagrams between routers, over loopback sockets.
#include "bergamotpaddle/Forwarding/PeerLink.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace {

Udp::socket
BoundSocket(asio::io_context& aIo)
{
  return { aIo, { asio::ip::make_address("127.0.0.1"), 0 } };
}

std::string
AddressOf(const Udp::socket& aSocket)
{
  return Cat("127.0.0.1:", aSocket.local_endpoint().port());
}

} // namespace

TEST_CASE("datagrams between routers", "[peers]")
{
  asio::io_context io(1);
  EventLog log(-1, "test", {});
  GatewayState state(
    {}, {}, { "host", HolderId("host/1"), "127.0.0.1:1" }, {}, log);
  std::string linkAddress;
  {
    const Udp::socket unusedSocket = BoundSocket(io);
    linkAddress = AddressOf(unusedSocket);
  }
  PeerLink link(io, state, "host/1");
  REQUIRE(link.Start(linkAddress).ok());

  // Regression: digests filled a 10 Mbit/s link, and the router behind it was
  // unreachable for seconds.
  SECTION("use at most 5% of a 10 Mbit/s link at a high request rate")
  {
    constexpr int kPeers = 27;
    constexpr int kUpstreams = 52;
    constexpr double kSmallestLinkBytes = 10e6 / 8;
    constexpr double kMaxShare = 0.05;
    constexpr int kHeaderBytes = 28; // IPv4 and UDP headers of a datagram.
    std::vector<Udp::socket> peers;
    std::set<std::string> addresses;
    for (int i = 0; i < kPeers; ++i) {
      peers.push_back(BoundSocket(io));
      addresses.insert(AddressOf(peers.back()));
    }
    link.SetPeers(addresses);
    std::vector<UpstreamId> upstreams;
    for (int i = 0; i < kUpstreams; ++i) {
      UpstreamEntry entry;
      entry.m_id = UpstreamId(Cat("i-daaef2509", i));
      state.m_upstreams.Upsert(entry);
      upstreams.push_back(entry.m_id);
    }
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    std::array<char, 65536> buffer{};
    const auto receiveAll = [&] {
      for (Udp::socket& peer : peers) {
        boost::system::error_code error;
        peer.non_blocking(true, error);
        std::size_t length = peer.receive(asio::buffer(buffer), 0, error);
        for (; !error; length = peer.receive(asio::buffer(buffer), 0, error)) {
          ++datagrams;
          bytes += length;
        }
      }
    };
    const auto startedAt = std::chrono::steady_clock::now();
    constexpr auto kTestDuration = std::chrono::milliseconds(1500);
    std::uint64_t request = 0;
    while (std::chrono::steady_clock::now() - startedAt < kTestDuration) {
      const UpstreamId& upstream = upstreams[request % upstreams.size()];
      const std::vector<PromptPart> parts = { { request % 4, 2500 },
                                              { request % 1800, 3700 },
                                              { ++request, 2900 } };
      state.m_upstreams.NoteSent(
        upstream, true, std::chrono::milliseconds(20), parts, state.Now());
      link.NoteLoadChanged(upstream, parts);
      io.run_for(std::chrono::milliseconds(10));
      receiveAll();
    }
    const double seconds = std::chrono::duration<double>(
                             std::chrono::steady_clock::now() - startedAt)
                             .count();
    const double sentBytes =
      static_cast<double>(bytes + datagrams * kHeaderBytes);
    const double bytesPerRound =
      kPeers * static_cast<double>(
                 bytes / std::max<std::uint64_t>(datagrams, 1) + kHeaderBytes);
    CHECK(datagrams >= kPeers);
    CHECK(sentBytes <=
          kMaxShare * kSmallestLinkBytes * seconds + 2 * bytesPerRound);
  }
}
