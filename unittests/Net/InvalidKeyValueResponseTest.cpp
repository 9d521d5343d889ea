/// \file
/// Tests of responses of the key-value service that are JSON of another form
/// than documented.
#include "ScriptedServer.h"

#include "bergamotpaddle/Platform/HttpKeyValue.h"

#include <catch2/catch.hpp>
#include <future>

using namespace bergamotpaddle;

namespace {

ScriptedServer::Script
Response(const std::string& aBody)
{
  return { "HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody };
}

} // namespace

TEST_CASE("a response of the key-value service without what was asked for",
          "[kv][broken]")
{
  const std::string body = GENERATE(as<std::string>{},
                                    "{}",
                                    R"({"value": "v"})",
                                    R"({"revision": -7, "value": "v"})",
                                    "null",
                                    "[]",
                                    "12",
                                    "\"text\"",
                                    R"({"revision": "7"})",
                                    R"({"revision": null, "value": "v"})",
                                    R"({"revision": 7.5, "value": "v"})",
                                    R"({"entries": null})",
                                    R"({"entries": [7]})",
                                    R"({"entries": {"k/1": 7}})",
                                    R"({"entries": {"k/1": {}}})");
  INFO(body);
  ScriptedServer server({ Response(body) });
  HttpClient http([](std::function<void()> aTask) { aTask(); });
  KeyValueCallCounts counts;
  const KeyValueHooks service = MakeHttpKeyValue(http, server.Url(), counts);
  std::promise<absl::Status> promise;
  const auto done = [&promise](const auto& aResult) {
    promise.set_value(aResult.status());
  };

  SECTION("to a read")
  {
    service.m_get("k", done);
  }
  SECTION("to a watch")
  {
    service.m_watch("k", 6, done);
  }
  SECTION("to a list")
  {
    service.m_list("k/", done);
  }
  SECTION("to a write")
  {
    service.m_compareAndSwap("k", 6, "v", done);
  }
  SECTION("to a lease")
  {
    service.m_keepAlive("k", "v", std::chrono::seconds(1), done);
  }
  CHECK(absl::IsUnavailable(promise.get_future().get()));
  CHECK(counts.m_unavailable == 1);
}
