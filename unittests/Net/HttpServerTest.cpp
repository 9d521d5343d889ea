/// \file
/// Tests of the HTTP server with the HTTP client over loopback.
#include "bergamotpaddle/Net/HttpServer.h"
#include "bergamotpaddle/Net/HttpClient.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <random>
#include <thread>

using namespace bergamotpaddle;

namespace {

constexpr int kChunks = 40;

HttpReply
CallAndWait(HttpClient& aClient, HttpCall aCall)
{
  std::promise<HttpReply> promise;
  aClient.Start(std::move(aCall), [&](HttpReply aReply) {
    promise.set_value(std::move(aReply));
  });
  return promise.get_future().get();
}

void
StreamFromAnotherThread(HttpResponderPtr aResponder)
{
  std::thread([responder = std::move(aResponder)] {
    responder->Start(200, "text/event-stream", {});
    for (int i = 0; i < kChunks; ++i) {
      responder->Write("data: piece\n\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    responder->End();
  }).detach();
}

} // namespace

TEST_CASE("an HTTP server", "[net]")
{
  HttpServerOptions options;
  options.m_maxRequestBytes = 64 * 1024;
  HttpServer server(
    options, [](HttpRequest aRequest, HttpResponderPtr aResponder) {
      if (aRequest.m_path == "/stream") {
        StreamFromAnotherThread(std::move(aResponder));
        return;
      }
      aResponder->SendJson(200,
                           aRequest.m_method + aRequest.Query("q") +
                             aRequest.Header("x-name") + aRequest.m_body);
    });
  REQUIRE(server.Start().ok());
  const std::string base = "http://127.0.0.1:" + std::to_string(server.Port());
  HttpClient client([](std::function<void()> aTask) { aTask(); });

  SECTION("passes the body, headers and query parameters to its handler")
  {
    HttpCall call;
    call.m_method = "POST";
    call.m_url = base + "/echo?q=1";
    call.m_headers = { { "X-Name", "n" } };
    call.m_body = "body";
    CHECK(CallAndWait(client, call).m_body == "POST1nbody");
  }

  SECTION("rejects a body over the limit and serves the next request")
  {
    HttpCall call;
    call.m_method = "POST";
    call.m_url = base + "/echo";
    call.m_body = std::string(200 * 1024, 'x');
    CHECK(CallAndWait(client, call).m_status != 200);
    call.m_body = "small";
    CHECK(CallAndWait(client, call).m_status == 200);
  }

  // Guards against writes to a caller that has just disconnected, on which
  // Pistache aborts.
  SECTION("serves a request after hundreds of callers disconnected in a stream")
  {
    std::mt19937 random(7);
    std::atomic<int> ended = 0;
    constexpr int kRounds = 10;
    constexpr int kCallers = 40;
    for (int round = 0; round < kRounds; ++round) {
      for (int i = 0; i < kCallers; ++i) {
        HttpCall call;
        call.m_url = base + "/stream";
        call.m_totalTimeout = std::chrono::milliseconds(1 + random() % 50);
        client.Start(call, [&](const HttpReply&) { ++ended; });
      }
      while (ended < (round + 1) * kCallers) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
    HttpCall call;
    call.m_url = base + "/stream";
    HttpReply reply = CallAndWait(client, call);
    CHECK(reply.m_status == 200);
    CHECK(reply.m_body.size() ==
          kChunks * std::string("data: piece\n\n").size());
  }
}
