/// \file
/// Tests of what the users of the HTTP client do with a response whose
/// connection closed within the head.
#include "ScriptedServer.h"
#include "UpstreamRun.h"

#include "bergamotpaddle/Operator/Session.h"
#include "bergamotpaddle/Platform/HttpKeyValue.h"

#include <catch2/catch.hpp>
#include <future>

using namespace bergamotpaddle;

namespace {

/// Heads of \p aStatus that break off after the status line.
std::vector<std::string>
CutHeads(const std::string& aStatus)
{
  const std::string line = "HTTP/1.1 " + aStatus + "\r\n";
  return { line,
           line + "Content-Ty",
           line + "Content-Type: application/json\r\n",
           line + "Content-Length: 1",
           line + "Content-Length: 12\r\n",
           line + "Transfer-Encoding: chunked\r\n",
           line + "\r",
           "HTTP/1.1 100 Continue\r\n\r\n" + line };
}

std::string
AnyCutHead()
{
  return GENERATE_COPY(from_range(CutHeads("200 OK")),
                       from_range(CutHeads("404 Not Found")),
                       from_range(CutHeads("409 Conflict")),
                       from_range(CutHeads("503 Busy")));
}

} // namespace

TEST_CASE("a service whose connection closes within the head",
          "[upstream][broken]")
{
  const std::string head = AnyCutHead();
  INFO(head);
  ScriptedServer server({ { head } });
  Dispatch dispatch = Call();

  SECTION("has failed, and a call that may run again may have run")
  {
    const RunResult result = Run(MakeServiceClient, server.Url(), dispatch);
    CHECK(result.m_outcome.m_code == ResultCode::kUpstreamFailed);
    CHECK(result.m_outcome.m_ran == Ran::kUnknown);
  }

  SECTION("leaves the outcome of a call that must run once unknown")
  {
    dispatch.m_repeatable = false;
    const RunResult result = Run(MakeServiceClient, server.Url(), dispatch);
    CHECK(result.m_outcome.m_code == ResultCode::kOutcomeUnknown);
    CHECK(result.m_outcome.m_ran == Ran::kUnknown);
    CHECK(server.Requests() == 1);
  }
}

TEST_CASE("a service whose connection closes after the head",
          "[upstream][broken]")
{
  const std::string line = GENERATE(as<std::string>{},
                                    "HTTP/1.1 200 OK\r\n",
                                    "HTTP/1.1 201 Created\r\n",
                                    "HTTP/1.0 200 OK\r\n");
  const std::string fields = GENERATE(as<std::string>{},
                                      "",
                                      "Content-Type: application/json\r\n",
                                      "Connection: close\r\n");
  Dispatch dispatch = Call();
  dispatch.m_repeatable = GENERATE(true, false);
  const int status = std::stoi(line.substr(9, 3));
  const auto call = [&](const std::string& aResponse) {
    INFO(aResponse);
    ScriptedServer server({ { aResponse } });
    return Run(MakeServiceClient, server.Url(), dispatch);
  };

  // Regression: a service that crashed after its head left an empty success.
  SECTION("has failed if only the connection's end can end the body")
  {
    const UpstreamOutcome outcome = call(line + fields + "\r\n").m_outcome;
    CHECK(outcome.m_code == (dispatch.m_repeatable
                               ? ResultCode::kUpstreamFailed
                               : ResultCode::kOutcomeUnknown));
    CHECK(outcome.m_ran == Ran::kUnknown);
  }

  SECTION("has answered if the body has begun")
  {
    const RunResult result = call(line + fields + "\r\nbody");
    CHECK(result.m_outcome.m_code == ResultCode::kOk);
    CHECK(result.m_outcome.m_httpStatus == status);
    CHECK(result.m_data == "body");
  }

  SECTION("has answered if the head shows that the body is empty")
  {
    const std::string framing =
      GENERATE(as<std::string>{},
               "Content-Length: 0\r\n\r\n",
               "content-length:0\r\n\r\n",
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    const RunResult result = call(line + fields + framing);
    CHECK(result.m_outcome.m_code == ResultCode::kOk);
    CHECK(result.m_outcome.m_httpStatus == status);
    CHECK(result.m_data.empty());
  }

  SECTION("has answered if the status never has a body, or is an error")
  {
    const auto [other, otherStatus] = GENERATE(
      table<std::string, int>({ { "HTTP/1.1 204 No Content\r\n", 204 },
                                { "HTTP/1.1 302 Found\r\n", 302 },
                                { "HTTP/1.1 404 Not Found\r\n", 404 } }));
    const RunResult result = call(other + fields + "\r\n");
    CHECK(result.m_outcome.m_code == ResultCode::kOk);
    CHECK(result.m_outcome.m_httpStatus == otherStatus);
  }
}

TEST_CASE("an engine whose connection closes within the head",
          "[upstream][broken]")
{
  const std::string head = AnyCutHead();
  INFO(head);
  ScriptedServer server({ { head } });
  const RunResult result = Run(MakeEngineClient, server.Url(), Call());
  CHECK(result.m_outcome.m_code == ResultCode::kUpstreamFailed);
  CHECK(result.m_data.empty());
}

TEST_CASE("a key-value service whose connection closes within the head",
          "[kv][broken]")
{
  const std::string head = AnyCutHead();
  INFO(head);
  ScriptedServer server({ { head } });
  HttpClient http([](std::function<void()> aTask) { aTask(); });
  KeyValueCallCounts counts;
  const KeyValueHooks service = MakeHttpKeyValue(http, server.Url(), counts);
  std::promise<absl::Status> promise;
  const auto done = [&promise](const auto& aResult) {
    promise.set_value(aResult.status());
  };

  SECTION("may have written")
  {
    SECTION("a value")
    {
      service.m_compareAndSwap("k", 6, "v", done);
    }
    SECTION("a removal")
    {
      service.m_compareAndSwap("k", 6, std::nullopt, done);
    }
    SECTION("a lease")
    {
      service.m_keepAlive("k", "v", std::chrono::seconds(1), done);
    }
  }
  SECTION("has not answered")
  {
    SECTION("a read")
    {
      service.m_get("k", done);
    }
    SECTION("a list")
    {
      service.m_list("k/", done);
    }
    SECTION("a watch")
    {
      service.m_watch("k", 6, done);
    }
  }
  const absl::Status status = promise.get_future().get();
  CHECK(absl::IsUnavailable(status));
  CHECK(counts.m_unavailable == 1);
}

TEST_CASE("processes whose connections close within the head",
          "[operator][broken]")
{
  const std::string head = AnyCutHead();
  INFO(head);
  ScriptedServer cut({ { head } });
  ScriptedServer whole(
    { { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" } });
  Session session({ cut.Url(), "secret", { cut.Url(), whole.Url() } });

  SECTION("do not respond")
  {
    const auto responses = session.QueryAll("/admin/status");
    REQUIRE(responses.size() == 2);
    CHECK(responses[0].is_null());
    CHECK(responses[1].is_object());
  }

  SECTION("have not read a key")
  {
    absl::Status status;
    CHECK(session.Get("k", status) == KeyValueEntry{});
    CHECK(absl::IsUnavailable(status));
  }
}
