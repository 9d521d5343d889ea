/// \file
/// Tests of the client of the platform's store against a fake store with
/// faults.
#include "StoreStandIn.h"
#include "platform/StoreRelay.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using namespace bergamotpaddle::platform;

namespace {

/// Handler of a router that only relays.
asio::awaitable<std::optional<std::string>>
NotHandled()
{
  co_return std::nullopt;
}

asio::awaitable<std::optional<std::string>>
FixedBody()
{
  co_return "page";
}

} // namespace

TEST_CASE("the client of the platform's store", "[store]")
{
  asio::io_context io(1);
  StoreStandIn::Reply nextReply;
  std::string lastTarget;
  std::string lastBody;
  StoreStandIn store(io,
                     [&](const std::string& aTarget, const std::string& aBody) {
                       lastTarget = aTarget;
                       lastBody = aBody;
                       return nextReply;
                     });
  StoreClient client(io, store.Address());

  SECTION("reads an existing and a missing item")
  {
    nextReply.m_body =
      R"({"key":"my/leader","value":"bm9kZS0x","rev":412,"currentRev":530})";
    const auto item = Await(io, client.Get("my/leader"));
    REQUIRE(item.ok());
    CHECK(item->m_value == "node-1");
    CHECK(item->m_revision == 412);
    CHECK(lastTarget == "/kv-key?key=my/leader");
    nextReply = { 404, "" };
    CHECK(Await(io, client.Get("my/leader"))->m_revision == 0);
  }

  SECTION("reads all pages of a range and returns the first page's revision")
  {
    int page = 0;
    StoreStandIn pagingStore(
      io, [&page](const std::string& aTarget, const std::string&) {
        ++page;
        if (page == 1) {
          return StoreStandIn::Reply{
            200,
            R"({"items":[{"key":"s/1","value":"YQ==","rev":3}],)"
            R"("truncated":true,"currentRev":9})"
          };
        }
        CHECK(aTarget == "/kv-range?pathPrefix=s/&after=s/1");
        return StoreStandIn::Reply{
          200,
          R"({"items":[{"key":"s/2","value":"Yg==","rev":11}],)"
          R"("truncated":false,"currentRev":12})"
        };
      });
    StoreClient pagingClient(io, pagingStore.Address());
    const auto items = Await(io, pagingClient.List("s/"));
    REQUIRE(items.ok());
    CHECK(items->m_items.size() == 2);
    CHECK(items->m_storeRevision == 9);
  }

  SECTION("watches changes and removals, and reports a discarded history")
  {
    nextReply.m_body = R"({"events":[{"key":"s/1","value":"YQ==","rev":412},)"
                       R"({"key":"s/2","rev":413,"deleted":true}],)"
                       R"("currentRev":413})";
    const auto changes =
      Await(io, client.Watch("s/", 411, std::chrono::milliseconds(100)));
    REQUIRE(changes.ok());
    CHECK_FALSE(changes->m_items[0].m_isRemoved);
    CHECK(changes->m_items[1].m_isRemoved);
    CHECK(changes->m_storeRevision == 413);
    nextReply = { 410, "" };
    CHECK(absl::IsOutOfRange(
      Await(io, client.Watch("s/", 411, std::chrono::milliseconds(100)))
        .status()));
  }

  SECTION("writes at an expected revision and returns conflicting items")
  {
    nextReply.m_body = R"({"rev":7})";
    const auto written = Await(io, client.CompareAndSwap("k", 6, "v"));
    REQUIRE(written.ok());
    CHECK(written->m_isWritten);
    CHECK(written->m_revision == 7);
    CHECK(lastBody.find(R"("expectRev":[{"key":"k","rev":6}])") !=
          std::string::npos);
    nextReply = { 412,
                  R"({"items":[{"key":"k","value":"b3RoZXI=","rev":8}]})" };
    const auto rejected = Await(io, client.CompareAndSwap("k", 6, "v"));
    REQUIRE(rejected.ok());
    CHECK_FALSE(rejected->m_isWritten);
    REQUIRE(rejected->m_currentItems.size() == 1);
    CHECK(rejected->m_currentItems.front().m_value == "other");
  }

  SECTION("writes several items atomically")
  {
    nextReply.m_body = R"({"rev":9})";
    const std::vector<StoreChange> changes = { { "a", 3, "v" },
                                               { "b", 0, "w" },
                                               { "c", 5, std::nullopt } };
    const auto written = Await(io, client.Write(changes));
    REQUIRE(written.ok());
    CHECK(written->m_isWritten);
    CHECK(lastBody.find(R"({"key":"b","rev":0})") != std::string::npos);
    CHECK(lastBody.find(R"("delete":["c"])") != std::string::npos);
    nextReply = { 412,
                  R"({"items":[{"key":"a","value":"b3RoZXI=","rev":8}]})" };
    const auto rejected = Await(io, client.Write(changes));
    REQUIRE(rejected.ok());
    REQUIRE(rejected->m_currentItems.size() == 3);
    CHECK(rejected->m_currentItems[0].m_revision == 8);
    CHECK(rejected->m_currentItems[1].m_key == "b");
    CHECK(rejected->m_currentItems[1].m_revision == 0); // Not in the response.
  }

  SECTION("reports a timeout, error status or invalid response as unavailable")
  {
    nextReply = { 200, "", true };
    CHECK(absl::IsUnavailable(
      Await(io, client.CompareAndSwap("k", 6, "v")).status()));
    CHECK_FALSE(client.IsReachable());
    for (int status : { 429, 503 }) {
      nextReply = { status, "" };
      CHECK(absl::IsUnavailable(
        Await(io, client.CompareAndSwap("k", 6, "v")).status()));
    }
    nextReply = { 200, "not JSON" };
    CHECK(absl::IsUnavailable(Await(io, client.Get("k")).status()));
  }

  // Regression: one such item failed its whole page, and with it each later
  // attempt to list or to watch.
  SECTION("reads an item with an invalid value as empty and keeps the others")
  {
    constexpr std::size_t kDeepNesting = 100'000;
    const std::string deep =
      std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']');
    for (const std::string& value : { std::string(R"("!")"),
                                      std::string("7"),
                                      std::string("1e300"),
                                      std::string("null"),
                                      deep }) {
      const std::string items = R"([{"key":"s/1","value":"YQ==","rev":3},)"
                                R"({"key":"s/2","rev":4,"value":)" +
                                value +
                                R"(},{"key":"s/3","value":"Yg==","rev":5}])";
      const auto check = [](const absl::StatusOr<StoreItems>& aItems) {
        REQUIRE(aItems.ok());
        REQUIRE(aItems->m_items.size() == 3);
        CHECK(aItems->m_items[0].m_value == "a");
        CHECK(aItems->m_items[1].m_key == "s/2");
        CHECK(aItems->m_items[1].m_revision == 4);
        CHECK(aItems->m_items[1].m_value.empty());
        CHECK(aItems->m_items[2].m_value == "b");
      };
      nextReply.m_body = R"({"items":)" + items + R"(,"currentRev":9})";
      check(Await(io, client.List("s/")));
      nextReply.m_body = R"({"events":)" + items + R"(,"currentRev":9})";
      check(Await(io, client.Watch("s/", 2, std::chrono::milliseconds(100))));
    }

    SECTION("but reports it if it is the only item requested")
    {
      nextReply.m_body = R"({"key":"k","rev":4,"value":"!"})";
      CHECK(absl::IsUnavailable(Await(io, client.Get("k")).status()));
    }
  }

  // Regression: such a revision was accepted with an arbitrary number instead.
  SECTION("reports a page with an invalid revision or form as unavailable")
  {
    constexpr std::size_t kDeepNesting = 100'000;
    const std::string deep =
      std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']');
    for (const std::string& value : { std::string("1e300"),
                                      std::string("-1"),
                                      std::string("1.5"),
                                      std::string("18446744073709551616"),
                                      std::string("true"),
                                      std::string(R"("4")"),
                                      deep }) {
      CAPTURE(value.substr(0, 32));
      nextReply.m_body = R"({"items":[{"key":"k","value":"","rev":)" + value +
                         R"(}],"currentRev":9})";
      CHECK(absl::IsUnavailable(Await(io, client.List("k")).status()));
      nextReply.m_body = R"({"items":[],"currentRev":)" + value + "}";
      CHECK(absl::IsUnavailable(Await(io, client.List("k")).status()));
      nextReply.m_body = R"({"key":"k","value":"","rev":)" + value + "}";
      CHECK(absl::IsUnavailable(Await(io, client.Get("k")).status()));
      nextReply.m_body = R"({"rev":)" + value + "}";
      CHECK(absl::IsUnavailable(
        Await(io, client.CompareAndSwap("k", 6, "v")).status()));
    }
    nextReply.m_body = R"({"items":[)" + deep + R"(],"currentRev":9})";
    CHECK(absl::IsUnavailable(Await(io, client.List("k")).status()));
    nextReply.m_body = R"({"items":)" + deep + R"(,"currentRev":9})";
    CHECK(absl::IsUnavailable(Await(io, client.List("k")).status()));
    nextReply.m_body = deep;
    CHECK(absl::IsUnavailable(Await(io, client.List("k")).status()));
  }

  // Regression: a call that was nearly complete timed out and was repeated.
  SECTION("reads a response to its end while its bytes arrive slowly")
  {
    nextReply.m_body =
      R"({"key":"k","value":"bm9kZS0x","rev":4,"currentRev":5})";
    nextReply.m_partDelay = std::chrono::milliseconds(200);
    const auto item = Await(io, client.Get("k"));
    REQUIRE(item.ok());
    CHECK(item->m_value == "node-1");
    CHECK(store.Calls() == 1);
    CHECK(client.IsReachable());
  }

  // Regression: a response was discarded after six seconds, with 645,632 of
  // 763,000 bytes received.
  SECTION("does not time out on a large response that is nearly complete")
  {
    StoreClientOptions options;
    options.m_maxResponseTime = std::chrono::milliseconds(50);
    options.m_minBytesPerSecond = 20'000;
    StoreClient slowLinkClient(io, store.Address(), options);
    const std::string value(30'000, 'A');
    nextReply.m_body = R"({"key":"k","rev":4,"value":")" + value + R"("})";
    nextReply.m_partDelay = std::chrono::milliseconds(100);
    REQUIRE(Await(io, slowLinkClient.Get("k")).ok());

    SECTION("but times out on a small one that takes as long")
    {
      nextReply.m_body = R"({"key":"k","rev":4,"value":"AAAA"})";
      CHECK_FALSE(Await(io, slowLinkClient.Get("k")).ok());
    }
  }

  SECTION("uses a relay while the store rejects its calls")
  {
    StoreClient relayClient(io, store.Address());
    TaskSupervisor tasks;
    StoreRelay relay(io, relayClient, tasks);
    asio::ip::tcp::acceptor portFinder(
      io, { asio::ip::make_address("127.0.0.1"), 0 });
    const std::string relayAddress =
      "127.0.0.1:" + std::to_string(portFinder.local_endpoint().port());
    portFinder.close();
    REQUIRE(relay
              .Start(relayAddress,
                     [](std::string, std::string) { return NotHandled(); })
              .ok());
    StoreStandIn rejectingStore(io, [](const std::string&, const std::string&) {
      return StoreStandIn::Reply{ 503, "" };
    });
    StoreClient rejectedClient(io, rejectingStore.Address());
    rejectedClient.Relays().SetPeers({ relayAddress });
    nextReply.m_body = R"({"rev":7})";
    const auto written = Await(io, rejectedClient.CompareAndSwap("k", 6, "v"));
    REQUIRE(written.ok());
    CHECK(written->m_isWritten);
    CHECK(rejectingStore.Calls() == 1);

    SECTION("and does not call the store directly each time")
    {
      CHECK(Await(io, rejectedClient.CompareAndSwap("k", 6, "v")).ok());
      CHECK(rejectingStore.Calls() == 1);
    }
  }

  // Regression: on a saturated link each new connection added a round trip of
  // one second.
  SECTION("reuses the persistent connection to a router")
  {
    TaskSupervisor tasks;
    StoreRelay relay(io, client, tasks);
    asio::ip::tcp::acceptor portFinder(
      io, { asio::ip::make_address("127.0.0.1"), 0 });
    const std::string router =
      "127.0.0.1:" + std::to_string(portFinder.local_endpoint().port());
    portFinder.close();
    REQUIRE(
      relay.Start(router, [](std::string, std::string) { return FixedBody(); })
        .ok());
    PersistentConnection connection;
    const auto call = [&] {
      return Await(
        io,
        client.CallPeer(connection, router, "/page", "{}", kStoreCallTimeout));
    };
    REQUIRE(call().value() == "page");
    const auto localEndpoint = connection.m_stream->socket().local_endpoint();
    CHECK(call().value() == "page");
    CHECK(connection.m_stream->socket().local_endpoint() == localEndpoint);

    SECTION("and opens another one after it breaks")
    {
      boost::system::error_code ignored;
      connection.m_stream->socket().shutdown(
        asio::ip::tcp::socket::shutdown_both, ignored);
      CHECK_FALSE(call().ok());
      CHECK(call().value() == "page");
    }
  }
}
