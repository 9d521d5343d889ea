/// \file
/// Tests of upstreams, stores and routers whose connection closes within the
/// head of a response.
#include "Loopback.h"
#include "StoreStandIn.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using namespace bergamotpaddle::platform;

namespace {

const std::string kSeal = "Bergamotpaddle-Attempt-Id: {ID}\r\n"
                          "Bergamotpaddle-Response-Seal: s\r\n";
const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Heads that break off, from the status line to the empty line.
std::vector<std::string>
CutHeads(const std::string& aFields)
{
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string start = line + aFields;
  return {
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK\r",
    line,
    line + "Content-Length: 1",
    start + "Content-Ty",
    start + "Content-Type: text/event-stream\r\n",
    start + "Content-Length: 1",
    start + "Content-Length: 0\r\n",
    start + "Content-Length: 4\r\n\r",
    start + "Transfer-Encoding: chunked\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n" + start,
  };
}

} // namespace

TEST_CASE("an upstream whose connection closes within the head",
          "[forwarding][broken]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const std::string head = GENERATE(from_range(CutHeads(kSeal)));
  const bool isReset = GENERATE(false, true);
  INFO("reset " << isReset << ": " << head);
  const ScriptedUpstream::Script cut{ head, false, isReset };

  SECTION("gives the caller an error, with every kind of call")
  {
    const std::string path =
      GENERATE(as<std::string>{}, "/once/", "/again/", "/stream/", "/resume/");
    INFO(path);
    fixture.m_firstUpstream.m_scripts = { cut, cut };
    fixture.m_secondUpstream.m_scripts = { cut, cut };
    const std::string response = fixture.Call(GatewayFixture::Request(path));
    CHECK(response.substr(0, 12) == "HTTP/1.1 502");
  }

  SECTION("is replaced by another upstream if the call may run again")
  {
    fixture.ScriptAttempts(cut, { GatewayFixture::SealedResponse() });
    const std::string response =
      fixture.Call(GatewayFixture::Request("/again/"));
    CHECK(response.substr(0, 12) == "HTTP/1.1 200");
    CHECK(response.ends_with("done"));
  }

  SECTION("leaves a stream that it was to continue incomplete")
  {
    const ScriptedUpstream::Script first{ GatewayFixture::StreamHead() +
                                          GatewayFixture::Chunk(kEvents) };
    fixture.ScriptAttempts(first, cut);
    const std::string response =
      fixture.Call(GatewayFixture::Request("/resume/"));
    CHECK(response.find(kEvents) != std::string::npos);
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    CHECK(response.find("HTTP/") == response.rfind("HTTP/"));
    CHECK(fixture.m_wasClosedByGateway);
  }
}

TEST_CASE("a store or router whose connection closes within the head",
          "[store][broken]")
{
  asio::io_context io(1);
  Tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const std::string head = GENERATE(from_range(CutHeads("Date: today\r\n")));
  INFO(head);
  StoreClient client(io, address);
  const auto respond = [&] {
    asio::co_spawn(io, RespondAndClose(acceptor, head), asio::detached);
  };

  SECTION("has not answered a read, a list or a watch")
  {
    respond();
    CHECK(absl::IsUnavailable(Await(io, client.Get("k")).status()));
    respond();
    CHECK(absl::IsUnavailable(Await(io, client.List("k/")).status()));
    respond();
    CHECK(absl::IsUnavailable(
      Await(io, client.Watch("k/", 1, std::chrono::milliseconds(10)))
        .status()));
    CHECK_FALSE(client.IsReachable());
  }

  SECTION("may have written")
  {
    respond();
    CHECK(absl::IsUnavailable(
      Await(io, client.CompareAndSwap("k", 6, "v")).status()));
    CHECK_FALSE(client.IsReachable());
  }

  SECTION("may have executed the call of a router")
  {
    respond();
    CHECK(absl::IsUnavailable(
      Await(io, client.CallPeer(address, "/call", "{}")).status()));
  }
}
