/// \file
/// Tests of upstreams, stores and routers whose responses have an invalid head.
#include "Loopback.h"
#include "StoreStandIn.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

const std::string kSeal = "Bergamotpaddle-Attempt-Id: {ID}\r\n"
                          "Bergamotpaddle-Response-Seal: s\r\n";
const std::string kBody = "Content-Length: 4\r\n\r\nbody";

std::string
StatusOf(const std::string& aResponse)
{
  return aResponse.substr(0, aResponse.find(' ', aResponse.find(' ') + 1));
}

/// Checks that callers do not get \p aResponse of an upstream.
void
CheckIsRejected(const std::string& aResponse)
{
  INFO(aResponse);
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const ScriptedUpstream::Script invalid{ aResponse };

  SECTION("gives the caller an error, with every kind of call")
  {
    const std::string path =
      GENERATE(as<std::string>{}, "/once/", "/again/", "/stream/", "/resume/");
    INFO(path);
    fixture.m_firstUpstream.m_scripts = { invalid, invalid };
    fixture.m_secondUpstream.m_scripts = { invalid, invalid };
    const std::string response = fixture.Call(GatewayFixture::Request(path));
    CHECK(StatusOf(response) == "HTTP/1.1 502");
  }

  SECTION("is replaced by another upstream if the call may run again")
  {
    fixture.ScriptAttempts(invalid, { GatewayFixture::SealedResponse() });
    const std::string response =
      fixture.Call(GatewayFixture::Request("/again/"));
    CHECK(StatusOf(response) == "HTTP/1.1 200");
    CHECK(response.ends_with("done"));
  }
}

} // namespace

TEST_CASE("an upstream whose status is outside 100 to 599",
          "[forwarding][broken]")
{
  const std::string status =
    GENERATE(as<std::string>{}, "000", "001", "099", "600", "999");
  const std::string line =
    "HTTP/1.1 " + status + GENERATE(as<std::string>{}, " ", " Trouble");
  // Regression: a status below 100 was skipped like an interim response.
  const std::string rest =
    GENERATE(kSeal + kBody,
             "Content-Length: 0\r\n\r\n" + GatewayFixture::SealedResponse());
  CheckIsRejected(line + "\r\n" + rest);
}

TEST_CASE(
  "an upstream that switches protocols although no request asked for it",
  "[forwarding][broken]")
{
  CheckIsRejected("HTTP/1.1 101 Switching Protocols\r\n"
                  "Connection: upgrade\r\nUpgrade: other\r\n\r\n" +
                  GatewayFixture::SealedResponse());
}

TEST_CASE("an upstream whose transfer coding is not just chunked",
          "[forwarding][broken]")
{
  const std::string coding = GENERATE(as<std::string>{},
                                      "gzip",
                                      "gzip, chunked",
                                      "chunked, gzip",
                                      "gzip\r\nTransfer-Encoding: chunked",
                                      "identity",
                                      "");
  const std::string framing = GENERATE(
    as<std::string>{}, "\r\n4\r\nbody\r\n0\r\n\r\n", kBody, "\r\nbody");
  CheckIsRejected("HTTP/1.1 200 OK\r\n" + kSeal +
                  "Transfer-Encoding: " + coding + "\r\n" + framing);
}

TEST_CASE("an upstream whose head has an invalid field", "[forwarding][broken]")
{
  using namespace std::string_literals;
  const std::string line = GENERATE(as<std::string>{},
                                    "X Y: 1",
                                    "X\tY: 1",
                                    "X\x01Y: 1",
                                    "X\0Y: 1"s,
                                    "X\x7fY: 1",
                                    "X\xc3\xa9: 1",
                                    "X(Y): 1",
                                    ": 1",
                                    "X : 1",
                                    "X\t: 1",
                                    "Content-Length : 4",
                                    "Transfer-Encoding : chunked",
                                    "X",
                                    "X: a\x01",
                                    "X: a\0"s,
                                    "X: a\x7f",
                                    "X: a\rb",
                                    "X: 1\nY: 2",
                                    "Content-Length: +4",
                                    "Content-Length: 4 4",
                                    "Content-Length: -1",
                                    "Content-Length:");
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string field = line + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  CheckIsRejected(GENERATE_COPY(start + field + kSeal + kBody,
                                start + kSeal + field + kBody,
                                "HTTP/1.1 103 Early Hints\r\n" + field +
                                  "\r\n" + GatewayFixture::SealedResponse(),
                                // In a trailer.
                                start + kSeal + chunked + "4\r\nbody\r\n0\r\n" +
                                  field + "\r\n"));
}

TEST_CASE("an upstream whose head contradicts itself about the length",
          "[forwarding][broken]")
{
  const std::string line = GENERATE(
    as<std::string>{}, "Content-Length: 5", "Transfer-Encoding: chunked");
  CheckIsRejected("HTTP/1.1 200 OK\r\n" + kSeal + line + "\r\n" + kBody);
}

TEST_CASE("a store or router whose response is invalid", "[store][broken]")
{
  const std::string item =
    R"({"key":"k","value":"YQ==","rev":7,"items":[],"events":[],)"
    R"("currentRev":9})";
  const std::string length =
    "Content-Length: " + std::to_string(item.size()) + "\r\n";
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string response = GENERATE_COPY(
    "HTTP/1.1 000 Trouble\r\n" + length + "\r\n" + item,
    "HTTP/1.1 099 Trouble\r\n" + length + "\r\n" + item,
    "HTTP/1.1 600 Trouble\r\n" + length + "\r\n" + item,
    "HTTP/1.1 101 Other\r\n\r\n" + start + length + "\r\n" + item,
    start + "X Y: 1\r\n" + length + "\r\n" + item,
    start + "X\x01: 1\r\n" + length + "\r\n" + item,
    start + "X : 1\r\n" + length + "\r\n" + item,
    start + length + "Content-Length: 2\r\n\r\n" + item,
    start + "Transfer-Encoding: gzip\r\n" + length + "\r\n" + item,
    start + "Transfer-Encoding: gzip\r\n\r\n" + item,
    // Bodies that break off.
    start + length + "\r\n" + item.substr(0, item.size() - 1),
    start + "\r\n" + item.substr(0, item.size() - 1),
    start + "Content-Length: 9\r\n\r\n" + item.substr(0, 9),
    start + "\r\n");
  INFO(response);
  asio::io_context io(1);
  const auto work = asio::make_work_guard(io); // Between the calls too.
  Tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  platform::StoreClient client(io, address);
  const auto respond = [&] {
    asio::co_spawn(io, RespondAndClose(acceptor, response), asio::detached);
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
  }

  SECTION("may have written")
  {
    respond();
    CHECK(absl::IsUnavailable(
      Await(io, client.CompareAndSwap("k", 6, "v")).status()));
  }
}
