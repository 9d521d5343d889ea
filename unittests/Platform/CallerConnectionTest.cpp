/// \file
/// Tests of when the gateway closes a caller's connection: timeouts, rejections
/// and shutdowns beside requests that have arrived but are not read yet.
#include "RawSocket.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// A field that makes a request larger than one read of the gateway.
std::string
LongField(std::size_t aLength)
{
  return "X-Filler: " + std::string(aLength, 'x') + "\r\n";
}

/// Runs the loop until a tick is due, then \p aArrive and \p aTime without the
/// loop: the tick precedes the next poll of the sockets.
void
BlockBeforeTick(GatewayFixture& aFixture,
                milliseconds aTime,
                std::function<void()> aArrive)
{
  asio::post(aFixture.m_io, [&aFixture, aTime, arrive = std::move(aArrive)] {
    std::this_thread::sleep_for(milliseconds(25));
    asio::post(aFixture.m_io, [aTime, arrive] {
      arrive();
      std::this_thread::sleep_for(aTime);
    });
  });
}

/// Runs \p aArrive, then blocks the loop for \p aTime; the sockets are polled
/// together with the late tick.
void
Block(GatewayFixture& aFixture,
      milliseconds aTime,
      std::function<void()> aArrive)
{
  asio::post(aFixture.m_io, [aTime, arrive = std::move(aArrive)] {
    arrive();
    std::this_thread::sleep_for(aTime);
  });
}

void
Answer(GatewayFixture& aFixture)
{
  aFixture.m_firstUpstream.m_scripts = { { GatewayFixture::SealedResponse() } };
  aFixture.m_secondUpstream.m_scripts = {
    { GatewayFixture::SealedResponse() }
  };
}

} // namespace

// Regression: a complete request was in the kernel when a late tick closed its
// connection.
TEST_CASE("a request that arrives in time while the event loop is blocked",
          "[forwarding][timeout]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  Answer(fixture);
  constexpr milliseconds kTimeout(300);
  constexpr milliseconds kBlocked(500);
  CallerLimits limits;
  const bool isTickFirst = GENERATE(true, false);
  const auto block = isTickFirst ? BlockBeforeTick : Block;
  INFO((isTickFirst ? "tick before poll" : "tick after poll"));

  SECTION("is served on a connection that was idle until then")
  {
    limits.m_idleTimeout = kTimeout;
    fixture.SetLimits(limits);
    RawSocket caller(fixture.m_callerAddress);
    fixture.RunFor(milliseconds(100));
    block(fixture, kBlocked, [&] { caller.Send(KeepAliveRequest("/once/")); });
    fixture.RunFor(milliseconds(800));
    CHECK(caller.Received().substr(0, 12) == "HTTP/1.1 200");
  }

  SECTION("is served if the rest of its head arrives then")
  {
    limits.m_headerTimeout = kTimeout;
    fixture.SetLimits(limits);
    RawSocket caller(fixture.m_callerAddress);
    const std::size_t fieldLength = GENERATE(500, 3000);
    const std::string request =
      KeepAliveRequest("/once/", LongField(fieldLength));
    caller.Send(request.substr(0, 20));
    fixture.RunFor(milliseconds(100));
    block(fixture, kBlocked, [&] { caller.Send(request.substr(20)); });
    fixture.RunFor(milliseconds(800));
    INFO(fixture.m_firstUpstream.m_requests.size() +
           fixture.m_secondUpstream.m_requests.size()
         << " requests were passed on");
    CHECK(caller.Received().substr(0, 12) == "HTTP/1.1 200");
  }

  SECTION("is served if the rest of its body arrives then")
  {
    fixture.m_state.m_options.m_bodyTimeout = kTimeout;
    fixture.SetLimits(limits);
    RawSocket caller(fixture.m_callerAddress);
    const std::string request =
      KeepAliveRequest("/once/", "", std::string(100'000, 'x'));
    const std::size_t bodyBegin = request.size() - 99'000;
    caller.Send(request.substr(0, bodyBegin));
    fixture.RunFor(milliseconds(100));
    block(fixture, kBlocked, [&] { caller.Send(request.substr(bodyBegin)); });
    fixture.RunFor(milliseconds(800));
    CHECK(caller.Received().substr(0, 12) == "HTTP/1.1 200");
  }

  SECTION("is served if the caller could not send its rest meanwhile")
  {
    fixture.m_state.m_options.m_bodyTimeout = kTimeout;
    fixture.SetLimits(limits);
    RawSocket caller(fixture.m_callerAddress);
    const std::string request = KeepAliveRequest("/once/");
    caller.Send(request.substr(0, request.size() - 2));
    fixture.RunFor(milliseconds(100));
    block(fixture, kBlocked, [] {});
    asio::steady_timer later(fixture.m_io, milliseconds(540));
    later.async_wait([&](const boost::system::error_code&) {
      caller.Send(request.substr(request.size() - 2));
    });
    fixture.RunFor(milliseconds(1200));
    CHECK(caller.Received().substr(0, 12) == "HTTP/1.1 200");
  }
}

TEST_CASE("a caller that sends nothing, or too slowly", "[forwarding][timeout]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  constexpr milliseconds kTimeout(200);
  CallerLimits limits;
  const std::string request = KeepAliveRequest("/once/");

  SECTION("is disconnected at the idle timeout")
  {
    limits.m_idleTimeout = kTimeout;
    fixture.SetLimits(limits);
    RawSocket caller(fixture.m_callerAddress);
    fixture.RunFor(milliseconds(100));
    CHECK_FALSE(caller.IsClosedByGateway());
    fixture.RunFor(milliseconds(200));
    CHECK(caller.IsClosedByGateway());
  }

  SECTION("is disconnected soon after a blocked loop resumes")
  {
    limits.m_idleTimeout = kTimeout;
    fixture.SetLimits(limits);
    RawSocket caller(fixture.m_callerAddress);
    fixture.RunFor(milliseconds(100));
    Block(fixture, milliseconds(400), [] {});
    fixture.RunFor(milliseconds(750));
    CHECK(caller.IsClosedByGateway());
  }

  SECTION("is disconnected at the header timeout, byte by byte")
  {
    limits.m_headerTimeout = kTimeout;
    fixture.SetLimits(limits);
    RawSocket caller(fixture.m_callerAddress);
    for (std::size_t i = 0; i < 30 && !caller.IsClosedByGateway(); ++i) {
      caller.Send(request.substr(i, 1));
      fixture.RunFor(milliseconds(10));
    }
    CHECK(caller.IsClosedByGateway());
  }

  SECTION("is disconnected at the body timeout")
  {
    fixture.m_state.m_options.m_bodyTimeout = kTimeout;
    RawSocket caller(fixture.m_callerAddress);
    caller.Send(request.substr(0, request.size() - 1));
    fixture.RunFor(milliseconds(100));
    CHECK_FALSE(caller.IsClosedByGateway());
    fixture.RunFor(milliseconds(200));
    CHECK(caller.IsClosedByGateway());
  }
}

// Regression: a late tick aborted exchanges whose answers were in the kernel.
TEST_CASE("an answer that arrives in time while the event loop is blocked",
          "[forwarding][timeout]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  ManualUpstream upstream(fixture);
  ForwardingOptions& options = fixture.m_state.m_options;
  constexpr milliseconds kTimeout(300);
  constexpr milliseconds kBlocked(500);
  const bool isTickFirst = GENERATE(true, false);
  const auto block = isTickFirst ? BlockBeforeTick : Block;
  INFO((isTickFirst ? "tick before poll" : "tick after poll"));
  RawSocket caller(fixture.m_callerAddress);
  // Small enough for one read, or a few reads.
  const std::string body(GENERATE(4, 20'000), 'b');

  SECTION("is delivered although its deadline passed meanwhile")
  {
    std::string request = KeepAliveRequest("/once/");
    request.replace(request.find("1500"), 4, "300");
    caller.Send(request);
    fixture.RunFor(milliseconds(100));
    RawSocket exchange = upstream.Accept();
    block(fixture, kBlocked, [&] { exchange.Send(AnswerOf(body)); });
    fixture.RunFor(milliseconds(800));
    CHECK(caller.Received().substr(0, 12) == "HTTP/1.1 200");
    CHECK(caller.Received().ends_with("\r\n\r\n" + body));
  }

  SECTION("is delivered and its request not sent again")
  {
    options.m_minResponseTimeout = kTimeout;
    caller.Send(KeepAliveRequest("/again/"));
    fixture.RunFor(milliseconds(100));
    RawSocket exchange = upstream.Accept();
    block(fixture, kBlocked, [&] { exchange.Send(AnswerOf(body)); });
    fixture.RunFor(milliseconds(800));
    CHECK(caller.Received().ends_with("\r\n\r\n" + body));
    CHECK_FALSE(upstream.HasPendingExchange());
  }

  SECTION("is delivered if it is the rest of a stream")
  {
    options.m_streamIdleTimeout = kTimeout;
    caller.Send(KeepAliveRequest("/resume/"));
    fixture.RunFor(milliseconds(100));
    RawSocket exchange = upstream.Accept();
    exchange.Send(StreamHeadOf() + GatewayFixture::Chunk("id: 1\ndata: a\n\n"));
    fixture.RunFor(milliseconds(100));
    block(fixture, kBlocked, [&] {
      exchange.Send(GatewayFixture::Chunk("id: 2\ndata: " + body + "\n\n") +
                    "0\r\n\r\n");
    });
    fixture.RunFor(milliseconds(800));
    CHECK(caller.Received().ends_with("0\r\n\r\n"));
    CHECK_FALSE(upstream.HasPendingExchange());
  }
}

TEST_CASE("an upstream whose answer is late", "[forwarding][timeout]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  ManualUpstream upstream(fixture);
  RawSocket caller(fixture.m_callerAddress);
  std::string request = KeepAliveRequest("/stream/");
  request.replace(request.find("1500"), 4, "300");
  caller.Send(request);
  fixture.RunFor(milliseconds(100));
  RawSocket exchange = upstream.Accept();

  SECTION("is given up soon after a blocked loop resumes")
  {
    Block(fixture, milliseconds(400), [] {});
    fixture.RunFor(milliseconds(500));
    CHECK(caller.Received().substr(0, 12) == "HTTP/1.1 504");
  }

  SECTION("is given up soon after the deadline even if bytes never cease")
  {
    const std::string chunk =
      GatewayFixture::Chunk("data: " + std::string(4000, 'x') + "\n\n");
    std::string unsent = StreamHeadOf();
    const std::function<void()> pump = [&] {
      while (unsent.size() < 200'000) {
        unsent += chunk;
      }
      boost::system::error_code error;
      unsent.erase(0,
                   exchange.Socket().write_some(asio::buffer(unsent), error));
      caller.Received();
      asio::post(fixture.m_io, pump);
    };
    pump();
    fixture.RunFor(milliseconds(650));
    CHECK(caller.IsClosedByGateway());
    CHECK(caller.Received().size() > chunk.size());
    CHECK_FALSE(caller.Received().ends_with("0\r\n\r\n"));
  }
}

// Regression: a rejection was framed like the response to the request before
// it on the same connection.
TEST_CASE("a rejection that ends a kept connection", "[forwarding][reject]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  Answer(fixture);
  RawSocket caller(fixture.m_callerAddress);
  const auto respond = [&](const std::string& aRequest) {
    const std::size_t begin = caller.Received().size();
    caller.Send(aRequest);
    fixture.RunFor(milliseconds(100));
    return caller.Received().substr(begin);
  };
  const std::string malformed = "no request\r\n\r\n";
  const std::string closeField = "Connection: close\r\n";
  const auto hasBody = [](const std::string& aResponse) {
    return aResponse.ends_with("}");
  };

  SECTION("announces the close if too many bodies are in memory")
  {
    REQUIRE(respond(KeepAliveRequest("/once/")).starts_with("HTTP/1.1 200"));
    BufferQuota& bodies = fixture.m_state.m_requestBodies;
    const BufferId complete = bodies.Add([] {});
    bodies.Complete(complete);
    bodies.Resize(
      complete,
      MemoryQuotas::ForProcess(kDefaultMemoryBytes).m_requestBodies + 1);
    const std::string response = respond(KeepAliveRequest("/once/"));
    bodies.Remove(complete);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find(closeField) != std::string::npos);
    CHECK(response.find("Retry-After: ") != std::string::npos);
    CHECK(caller.IsClosedByGateway());
  }

  SECTION("announces the close if a body that is expected is too long")
  {
    const std::string response = respond(KeepAliveRequest(
      "/once/", "Expect: 100-continue\r\n", std::string(2000, 'x')));
    CHECK(response.find("HTTP/1.1 413") != std::string::npos);
    CHECK(response.find(closeField) != std::string::npos);
    CHECK(hasBody(response));
  }

  SECTION("has its body after the response to a HEAD request")
  {
    std::string head = KeepAliveRequest("/none/", "", "");
    head.replace(0, 4, "HEAD");
    const std::string headResponse = respond(head);
    REQUIRE(headResponse.starts_with("HTTP/1.1 404"));
    CHECK_FALSE(hasBody(headResponse));
    const std::string response = respond(malformed);
    CHECK(response.starts_with("HTTP/1.1 400"));
    CHECK(response.find(closeField) != std::string::npos);
    CHECK(hasBody(response));
  }

  SECTION("has no body in response to a HEAD request")
  {
    const std::string response =
      respond("HEAD /once/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 400"));
    CHECK_FALSE(hasBody(response));
  }
}

TEST_CASE("an idle connection when the idle timeout becomes shorter",
          "[forwarding][timeout]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  Answer(fixture);
  CallerLimits limits;
  limits.m_idleTimeout = milliseconds(600);
  fixture.SetLimits(limits);
  RawSocket caller(fixture.m_callerAddress);
  fixture.RunFor(milliseconds(100));
  limits.m_idleTimeout = milliseconds(50);
  fixture.SetLimits(limits);
  fixture.RunFor(milliseconds(300));
  caller.Send(KeepAliveRequest("/once/"));
  fixture.RunFor(milliseconds(30));
  CHECK(caller.Received().starts_with("HTTP/1.1 200"));
  fixture.RunFor(milliseconds(300));
  CHECK(caller.IsClosedByGateway());
}

// Regression: a shutdown closed a connection whose next request had arrived.
TEST_CASE("a request that arrives while a shutdown closes idle connections",
          "[forwarding][stop]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  Answer(fixture);
  bool isStopped = false;
  RawSocket caller(fixture.m_callerAddress);
  RawSocket idleCaller(fixture.m_callerAddress);
  fixture.RunFor(milliseconds(50));
  fixture.m_server.BeginStop([&] { isStopped = true; });
  fixture.RunFor(milliseconds(20));
  const bool isTickFirst = GENERATE(true, false);
  const auto block = isTickFirst ? BlockBeforeTick : Block;
  block(fixture, milliseconds(300), [&] {
    caller.Send(KeepAliveRequest("/once/"));
  });
  fixture.RunFor(milliseconds(600));
  CHECK(caller.Received().starts_with("HTTP/1.1 200"));
  CHECK(caller.Received().find("Connection: close\r\n") != std::string::npos);
  CHECK(idleCaller.IsClosedByGateway());
  fixture.RunFor(milliseconds(600));
  CHECK(isStopped);
}
