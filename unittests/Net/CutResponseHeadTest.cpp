/// \file
/// Tests of responses whose connection closes within the head, and of those
/// whose head is whole in an unusual way.
#include "EarlyServer.h"
#include "ScriptedServer.h"

#include "bergamotpaddle/Net/HttpClient.h"

#include <catch2/catch.hpp>
#include <future>

using namespace bergamotpaddle;

namespace {

HttpCall
Post(const ScriptedServer& aServer)
{
  HttpCall call;
  call.m_method = "POST";
  call.m_url = aServer.Url() + "/call";
  call.m_body = "body";
  return call;
}

HttpReply
CallAndWait(HttpClient& aClient, HttpCall aCall)
{
  std::promise<HttpReply> promise;
  aClient.Start(std::move(aCall), [&](HttpReply aReply) {
    promise.set_value(std::move(aReply));
  });
  return promise.get_future().get();
}

std::string
StartOf(const std::string& aBytes, std::size_t aSize)
{
  return aBytes.substr(0, aSize);
}

const std::string kWithLength = "HTTP/1.1 200 OK\r\n"
                                "Content-Type: application/json\r\n"
                                "Content-Length: 12\r\n\r\n"
                                "{\"whole\": 1}";
const std::string kChunked = "HTTP/1.1 200 OK\r\n"
                             "Transfer-Encoding: chunked\r\n"
                             "Trailer: X-Sum\r\n\r\n"
                             "c\r\n{\"whole\": 1}\r\n0\r\n"
                             "X-Sum: 1\r\n\r\n";
const std::string kUnframed = "HTTP/1.0 200 OK\r\n"
                              "Content-Type: application/json\r\n\r\n"
                              "{\"whole\": 1}";
const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\n"
                             "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

} // namespace

TEST_CASE("a response that breaks off is no response", "[net][broken]")
{
  HttpClient client([](std::function<void()> aTask) { aTask(); });
  const std::string interim = GENERATE(as<std::string>{}, "", kInterim);
  const auto [response, end] = GENERATE(table<std::string, std::size_t>({
    { kWithLength, kWithLength.size() },
    // Without its last line feed, the body and the trailer are still whole.
    { kChunked, kChunked.size() - 1 },
    // The end of the connection ends an unframed body, so its head counts.
    { kUnframed, kUnframed.find('{') },
  }));
  const std::string whole = interim + response;
  const std::size_t cuts = interim.size() + end;

  SECTION("wherever the connection closes")
  {
    const bool isOnNewConnection = GENERATE(true, false);
    std::vector<ScriptedServer::Script> scripts;
    for (std::size_t size = 0; size < cuts; ++size) {
      scripts.push_back({ StartOf(whole, size) });
    }
    ScriptedServer server(scripts);
    HttpCall call = Post(server);
    call.m_useNewConnection = isOnNewConnection;
    for (std::size_t size = 0; size < cuts; ++size) {
      const HttpReply reply = CallAndWait(client, call);
      INFO(StartOf(whole, size));
      CHECK_FALSE(reply.HasResponse());
      CHECK_FALSE(reply.m_error.empty());
      CHECK_FALSE(reply.m_isUnsent);
    }
    CHECK(server.Requests() == static_cast<int>(cuts));
  }

  SECTION("after another response on the same connection")
  {
    for (std::size_t size = 0; size < cuts; ++size) {
      // libcurl sends a call again if it got nothing on a connection in use.
      ScriptedServer server({ { kWithLength, true },
                              { StartOf(whole, size) },
                              { StartOf(whole, size) } });
      CHECK(CallAndWait(client, Post(server)).HasResponse());
      const HttpReply reply = CallAndWait(client, Post(server));
      INFO(StartOf(whole, size));
      CHECK_FALSE(reply.HasResponse());
      CHECK_FALSE(reply.m_error.empty());
      CHECK_FALSE(reply.m_isUnsent);
    }
  }

  SECTION("and the next call on a new connection gets a whole one")
  {
    for (std::size_t size = 0; size < cuts; ++size) {
      ScriptedServer server({ { kWithLength, true },
                              { StartOf(whole, size) },
                              { whole },
                              { whole } });
      CHECK(CallAndWait(client, Post(server)).HasResponse());
      CallAndWait(client, Post(server));
      const HttpReply reply = CallAndWait(client, Post(server));
      INFO(StartOf(whole, size));
      CHECK(reply.m_status == 200);
      CHECK(reply.m_body == "{\"whole\": 1}");
    }
  }
}

TEST_CASE("a connection that closes within a head is reported", "[net][broken]")
{
  std::promise<TruncatedHead> reported;
  HttpClient client(
    [](std::function<void()> aTask) { aTask(); },
    [&](const TruncatedHead& aHead) { reported.set_value(aHead); });
  auto report = reported.get_future();
  const auto isReported = [&] {
    return report.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  };

  SECTION("with the server, the method and the status")
  {
    const std::string rest = GENERATE(as<std::string>{},
                                      "",
                                      "Content-Ty",
                                      "Content-Length: 12\r\n",
                                      "Content-Length: 1",
                                      "Transfer-Encoding: chunked\r\n\r");
    const auto [line, status] = GENERATE(table<std::string, int>(
      { { "HTTP/1.1 200 OK\r\n", 200 },
        { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\n", 503 },
        { "HTTP/1.1 103 Early Hints\r\n", 103 } }));
    ScriptedServer server({ { line + rest } });
    INFO(line << rest);
    CallAndWait(client, Post(server));
    REQUIRE(isReported());
    CHECK(report.get() == TruncatedHead{ "POST", server.Url(), status });
  }

  SECTION("and a head that arrived whole is not")
  {
    const std::string response =
      GENERATE_COPY(kWithLength, kChunked, kUnframed, kInterim + kWithLength);
    const std::size_t headEnd = response.rfind("\r\n\r\n", response.find('{'));
    const std::size_t size =
      GENERATE_COPY(headEnd + 4, headEnd + 9, response.size());
    ScriptedServer server({ { StartOf(response, size) } });
    INFO(StartOf(response, size));
    CallAndWait(client, Post(server));
    CHECK_FALSE(isReported());
  }

  SECTION("and a head that is invalid before its end is not")
  {
    ScriptedServer server({ { "HTTP/1.1 200 OK\r\nX Y: 1\r\n" } });
    CallAndWait(client, Post(server));
    CHECK_FALSE(isReported());
  }

  SECTION("and a server that says nothing is not")
  {
    ScriptedServer server({ { "" } });
    CallAndWait(client, Post(server));
    CHECK_FALSE(isReported());
  }
}

TEST_CASE("an unframed response whose connection is reset is no response",
          "[net][broken]")
{
  HttpClient client([](std::function<void()> aTask) { aTask(); });
  // The second one is more than the socket buffers of both ends take.
  const std::size_t bodySize = GENERATE(10, 64 * 1024 * 1024);
  const std::string body = GENERATE(as<std::string>{}, "", "part");
  INFO(bodySize << " " << body);
  ScriptedServer server(
    { { "HTTP/1.1 200 OK\r\n\r\n" + body, false, true, true } });
  HttpCall call = Post(server);
  call.m_body.assign(bodySize, 'x');
  const HttpReply reply = CallAndWait(client, call);
  CHECK_FALSE(reply.HasResponse());
  CHECK_FALSE(reply.m_error.empty());
  CHECK_FALSE(reply.m_isUnsent);
}

TEST_CASE("an unframed response that ends while the call is being sent",
          "[net][broken]")
{
  constexpr int kTries = 20;
  HttpClient client([](std::function<void()> aTask) { aTask(); });
  const std::size_t bodySize = GENERATE(3'000'000, 32'000'000);
  const std::size_t readBytes = GENERATE(0, 50'000, 200'000, 1'000'000);
  INFO("of " << bodySize << " bytes the server reads " << readBytes);
  const auto countResponses = [&](EarlyServer::End aEnd, int aTries) {
    EarlyServer server("HTTP/1.1 200 OK\r\n\r\npart", readBytes, aEnd);
    int responses = 0;
    for (int i = 0; i < aTries; ++i) {
      HttpCall call;
      call.m_method = "POST";
      call.m_url = "http://" + server.Address() + "/call";
      call.m_body.assign(bodySize, 'x');
      const HttpReply reply = CallAndWait(client, call);
      responses += reply.HasResponse() ? 1 : 0;
      CHECK(reply.m_body == (reply.HasResponse() ? "part" : ""));
    }
    return responses;
  };

  SECTION("is no response if the connection is reset")
  {
    CHECK(countResponses(EarlyServer::End::kReset, kTries) == 0);
  }

  SECTION("is a response if the server reads on")
  {
    CHECK(countResponses(EarlyServer::End::kReadOn, kTries) == kTries);
    CHECK(countResponses(EarlyServer::End::kReadLate, 3) == 3);
  }
}

TEST_CASE("a response with a whole head is a response", "[net][broken]")
{
  HttpClient client([](std::function<void()> aTask) { aTask(); });
  const std::string interim = GENERATE(as<std::string>{}, "", kInterim);

  SECTION("however its body is framed")
  {
    const std::string whole = GENERATE(kWithLength, kChunked, kUnframed);
    ScriptedServer server({ { interim + whole }, { interim + whole } });
    INFO(whole);
    for (int i = 0; i < 2; ++i) {
      const HttpReply reply = CallAndWait(client, Post(server));
      CHECK(reply.m_status == 200);
      CHECK(reply.m_body == "{\"whole\": 1}");
      CHECK(reply.m_error.empty());
    }
  }

  SECTION("also without a body, on a connection that stays open")
  {
    const std::string head = GENERATE(as<std::string>{},
                                      "HTTP/1.1 204 No Content\r\n\r\n",
                                      "HTTP/1.1 304 Not Modified\r\n\r\n",
                                      "HTTP/1.1 200 OK\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      "HTTP/1.1 503 Busy\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      "HTTP/1.1 200 OK\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "0\r\n\r\n",
                                      "HTTP/1.1 200 OK\nContent-Length: 0\n\n");
    ScriptedServer server({ { interim + head, true }, { interim + head } });
    INFO(head);
    for (int i = 0; i < 2; ++i) {
      const HttpReply reply = CallAndWait(client, Post(server));
      CHECK(reply.m_status == std::stoi(head.substr(9, 3)));
      CHECK(reply.m_body.empty());
      CHECK(reply.m_error.empty());
    }
    CHECK(server.Connections() == 1);
  }
}
