/// \file
/// Tests of lending between routers against fake routers.
#include "platform/PeerLending.h"
#include "StoreStandIn.h"
#include "platform/Dialect.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using namespace bergamotpaddle::platform;

namespace {

const AccountId kAccount("cafe");
constexpr std::uint64_t kTokens = 5'000;

/// Returns an address at which nothing listens.
std::string
ClosedAddress(asio::io_context& aIo)
{
  const asio::ip::tcp::acceptor closed(
    aIo, { asio::ip::make_address("127.0.0.1"), 0 });
  return "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
}

} // namespace

TEST_CASE("a stopping router hands its credit over", "[credit]")
{
  asio::io_context io(1);
  EventLog log(-1, "a/1", {});
  GatewayState state(
    MakeDialect(), {}, { "a", HolderId("a/1"), "127.0.0.1:1" }, {}, log);
  state.m_credit.SetPrepaid(kAccount, kTokens);
  state.m_credit.AddBorrowed({ { kAccount, kTokens } });
  StoreClient client(io, "127.0.0.1:1");
  PeerLending lending(io, state, client, "127.0.0.1:1");
  std::vector<std::string> given;
  StoreStandIn::Reply nextReply{ 200, "{}" };
  const auto receive = [&](const std::string& aTarget,
                           const std::string& aBody) {
    given.push_back(aTarget + " " + aBody);
    return nextReply;
  };
  StoreStandIn peer(io, receive);
  StoreStandIn other(io, receive);
  std::vector<std::string> peers;
  lending.Start([&] { return peers; });
  const auto handOver = [&] {
    bool isDone = false;
    lending.HandOverCredit([&] { isDone = true; });
    while (!isDone) {
      io.run_one_for(std::chrono::milliseconds(50));
    }
  };
  const std::string allOfIt = R"(/peer/give {"cafe":5000})";

  SECTION("to a router that takes it")
  {
    peers = { peer.Address(), other.Address() };
    handOver();
    CHECK(given == std::vector{ allOfIt });
    CHECK(state.m_credit.Spendable(kAccount) == 0);
  }

  SECTION("to the next one if a router cannot be reached")
  {
    peers = { ClosedAddress(io), peer.Address() };
    handOver();
    CHECK(given == std::vector{ allOfIt });
    CHECK(state.m_credit.Spendable(kAccount) == 0);
  }

  SECTION("once, as a router that does not respond may have taken it")
  {
    nextReply.m_isUnresponsive = true;
    peers = { peer.Address(), other.Address() };
    handOver();
    CHECK(given == std::vector{ allOfIt });
    CHECK(state.m_credit.Spendable(kAccount) == 0);
  }

  SECTION("and keeps it if no router can be reached")
  {
    peers = { ClosedAddress(io) };
    handOver();
    CHECK(given.empty());
    CHECK(state.m_credit.Spendable(kAccount) == kTokens);
  }
}
