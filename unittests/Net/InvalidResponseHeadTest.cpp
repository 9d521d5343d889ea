/// \file
/// Tests of responses whose head is invalid, and of what the users of the HTTP
/// client do with them.
#include "ScriptedServer.h"
#include "UpstreamRun.h"

#include "bergamotpaddle/Operator/Session.h"
#include "bergamotpaddle/Platform/HttpKeyValue.h"

#include <catch2/catch.hpp>
#include <future>

using namespace bergamotpaddle;
using namespace std::string_literals;

namespace {

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kInterim = "HTTP/1.1 103 Early Hints\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\n{}";

/// Calls a server that sends \p aBytes.
HttpReply
CallServer(const std::string& aBytes)
{
  HttpClient client([](std::function<void()> aTask) { aTask(); });
  ScriptedServer server({ { aBytes } });
  HttpCall call;
  call.m_method = "POST";
  call.m_url = server.Url() + "/call";
  call.m_body = "body";
  std::promise<HttpReply> promise;
  client.Start(std::move(call),
               [&](HttpReply aReply) { promise.set_value(std::move(aReply)); });
  return promise.get_future().get();
}

std::string
InvalidField()
{
  return GENERATE(as<std::string>{},
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
                  "Content-Length : 2",
                  "Transfer-Encoding : chunked",
                  "X",
                  "X: a\x01",
                  "X: a\0"s,
                  "X: a\x7f",
                  "X: a\rb") +
         "\r\n";
}

} // namespace

TEST_CASE("a response with an invalid field is no response", "[net][broken]")
{
  const std::string field = InvalidField();
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string response =
    GENERATE_COPY(kStatusLine + field + kBody,
                  kStatusLine + "Date: today\r\n" + field + kBody,
                  kInterim + field + "\r\n" + kStatusLine + kBody,
                  // In a trailer.
                  kStatusLine + chunked + "2\r\n{}\r\n0\r\n" + field + "\r\n");
  INFO(response);
  const HttpReply reply = CallServer(response);
  CHECK_FALSE(reply.HasResponse());
  CHECK_FALSE(reply.m_error.empty());
  CHECK_FALSE(reply.m_isUnsent);
  CHECK(reply.m_body.empty());
}

TEST_CASE("a response that continues a field before its first one",
          "[net][broken]")
{
  CHECK_FALSE(CallServer(kStatusLine + " X: 1\r\n" + kBody).HasResponse());
}

// Regression: libcurl took one of different lengths, and the digits at the
// start of a malformed one.
TEST_CASE("a response with a malformed or ambiguous length is no response",
          "[net][broken]")
{
  const std::string fields =
    GENERATE(as<std::string>{},
             "Content-Length: 2\r\nContent-Length: 1\r\n",
             "Content-Length: 1\r\nContent-Length: 2\r\n",
             "Content-Length: 2,1\r\n",
             "Content-Length: +2\r\n",
             "Content-Length: -2\r\n",
             "Content-Length: 0x2\r\n",
             "Content-Length: 2 2\r\n",
             "Content-Length: 2x\r\n",
             "Content-Length:\r\n",
             "Content-Length: 2\r\n 0\r\n",
             "Content-Length: 99999999999999999999\r\n",
             "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
             "Transfer-Encoding: other\r\n",
             "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
             "Transfer-Encoding: chunked\r\n , gzip\r\n");
  INFO(fields);
  const std::string response = kStatusLine + fields + "\r\n{}";
  CHECK_FALSE(CallServer(response).HasResponse());

  ScriptedServer server({ { response } });
  Dispatch dispatch = Call();
  dispatch.m_repeatable = false;
  const RunResult result = Run(MakeServiceClient, server.Url(), dispatch);
  CHECK(result.m_outcome.m_code == ResultCode::kOutcomeUnknown);
  CHECK(result.m_data.empty());
}

TEST_CASE("a response with an unusual but valid head", "[net][broken]")
{
  const std::string field = GENERATE(as<std::string>{},
                                     "X!#$%&'*+-.^_`|~9: 1\r\n",
                                     "X:\r\n",
                                     "X:1\r\n",
                                     "X: \t 1 \t\r\n",
                                     "X: a\tb\r\n",
                                     "X: \xc3\xa9\r\n",
                                     "X: a:b\r\n",
                                     "X: a\r\n b\r\n",
                                     "X: a\r\n\tb\r\n\t\tc\r\n",
                                     "HTTP: 1\r\n",
                                     "Content-Length: 2\r\n",
                                     "content-length:\t2 \r\n",
                                     "X: 1\n");
  INFO(field);
  const std::string interim =
    GENERATE_COPY(as<std::string>{}, "", kInterim + field + "\r\n");
  // A length counts for the head that has it only.
  const std::string other =
    interim.empty() ? "" : kInterim + "Content-Length: 5\r\n\r\n";
  const HttpReply reply =
    CallServer(interim + other + kStatusLine + field + kBody);
  CHECK(reply.m_status == 200);
  CHECK(reply.m_body == "{}");
}

// Regression: a service's answer with a blank in the name of a field reached
// the caller as a success.
TEST_CASE("a service whose response has an invalid field", "[upstream][broken]")
{
  const std::string field = InvalidField();
  ScriptedServer server({ { kStatusLine + field + kBody } });
  Dispatch dispatch = Call();
  dispatch.m_repeatable = GENERATE(true, false);
  const RunResult result = Run(MakeServiceClient, server.Url(), dispatch);
  CHECK(result.m_outcome.m_code == (dispatch.m_repeatable
                                      ? ResultCode::kUpstreamFailed
                                      : ResultCode::kOutcomeUnknown));
  CHECK(result.m_outcome.m_ran == Ran::kUnknown);
  CHECK(result.m_data.empty());
}

TEST_CASE("an engine whose response has an invalid field", "[upstream][broken]")
{
  const std::string field = InvalidField();
  ScriptedServer server(
    { { kStatusLine + field +
        "\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"text\"},"
        "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n" } });
  const RunResult result = Run(MakeEngineClient, server.Url(), Call());
  CHECK(result.m_outcome.m_code == ResultCode::kUpstreamFailed);
  CHECK(result.m_data.empty());
}

TEST_CASE("a key-value service whose response has an invalid field",
          "[kv][broken]")
{
  const std::string field = InvalidField();
  ScriptedServer server(
    { { kStatusLine + field + "Content-Length: 14\r\n\r\n{\"revision\":7}" } });
  HttpClient http([](std::function<void()> aTask) { aTask(); });
  KeyValueCallCounts counts;
  const KeyValueHooks service = MakeHttpKeyValue(http, server.Url(), counts);
  std::promise<absl::Status> promise;
  service.m_compareAndSwap("k", 6, "v", [&promise](const auto& aResult) {
    promise.set_value(aResult.status());
  });
  CHECK(absl::IsUnavailable(promise.get_future().get()));
}

TEST_CASE("a process whose response has an invalid field", "[operator][broken]")
{
  const std::string field = InvalidField();
  ScriptedServer server({ { kStatusLine + field + kBody } });
  Session session({ server.Url(), "secret", { server.Url() } });
  const auto responses = session.QueryAll("/admin/status");
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].is_null());
}
