/// \file
/// Tests of the HTTP client and its users with servers that send what is no
/// response, without end or with an arbitrary length.
#include "EndlessServer.h"

#include "bergamotpaddle/Net/HttpClient.h"
#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <optional>
#include <unistd.h>

using namespace bergamotpaddle;

namespace {

struct EndlessCase
{
  const char* m_name;
  std::string m_start;
  std::string m_filler;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";
/// Memory that one response may take beside its body, in bytes: buffers of the
/// sockets and of the allocator.
constexpr std::uint64_t kMaxOverheadBytes = 8ULL << 20U;
constexpr std::uint64_t kMaxBodyBytes = 16ULL << 20U;

std::uint64_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t all = 0;
  std::uint64_t resident = 0;
  file >> all >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

/// Makes a call of \p aUrl; nullopt if it does not end within 5 s.
std::optional<HttpReply>
Get(const std::string& aUrl)
{
  HttpClient client([](std::function<void()> aTask) { aTask(); });
  HttpCall call;
  call.m_url = aUrl;
  call.m_totalTimeout = std::chrono::seconds(20);
  auto reply = std::make_shared<std::promise<HttpReply>>();
  client.Start(
    call, [reply](HttpReply aReply) { reply->set_value(std::move(aReply)); });
  auto future = reply->get_future();
  return future.wait_for(std::chrono::seconds(5)) == std::future_status::ready
           ? std::optional(future.get())
           : std::nullopt;
}

struct RunResult
{
  bool m_hasEnded = false;
  std::string m_data;
  UpstreamOutcome m_outcome;
};

RunResult
RunEngine(const std::string& aUrl, std::uint64_t aMaxOutput)
{
  HttpClient http([](std::function<void()> aTask) { aTask(); });
  RunResult result;
  std::promise<void> ended;
  UpstreamHooks hooks;
  hooks.m_data = [&](RunId, const std::string& aBytes, std::uint64_t) {
    result.m_data += aBytes;
  };
  hooks.m_end = [&](RunId, const UpstreamOutcome& aOutcome) {
    result.m_outcome = aOutcome;
    ended.set_value();
  };
  const auto client = MakeEngineClient(http, aUrl, hooks);
  Dispatch dispatch;
  dispatch.m_key = RequestKey("key");
  dispatch.m_account = AccountId("account");
  dispatch.m_body = R"({"model":"m"})";
  dispatch.m_maxOutput = aMaxOutput;
  client->Start(RunId{ 1 }, dispatch);
  result.m_hasEnded = ended.get_future().wait_for(std::chrono::seconds(5)) ==
                      std::future_status::ready;
  return result;
}

std::string
Chunk(const std::string& aText)
{
  std::ostringstream chunk;
  chunk << std::hex << aText.size() << "\r\n" << aText << "\r\n";
  return chunk.str();
}

} // namespace

TEST_CASE("a call whose server sends without end", "[net][endless]")
{
  const EndlessCase endless = GENERATE(
    EndlessCase{ "noise", "", "\x01 noise" },
    EndlessCase{ "a status line", "HTTP/1.1 200 ", "O" },
    EndlessCase{ "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "one field", kOk + "X: ", "y" },
    EndlessCase{ "fields", kOk, "X: y\r\n" },
    EndlessCase{ "a body", kOk + "\r\n", "no answer" },
    EndlessCase{ "a body of a huge length",
                 kOk + "Content-Length: 900000000000\r\n\r\n",
                 "no answer" },
    EndlessCase{ "a body of a length beyond 64 bits",
                 kOk + "Content-Length: 99999999999999999999999\r\n\r\n",
                 "no answer" },
    EndlessCase{
      "chunks", kChunked, "1000\r\n" + std::string(0x1000, 'x') + "\r\n" },
    EndlessCase{ "a huge chunk", kChunked + "ffffffffff\r\n", "no answer" },
    EndlessCase{ "trailers", kChunked + "1\r\na\r\n0\r\n", "X: y\r\n" });
  INFO(endless.m_name);
  EndlessServer server(endless.m_start, endless.m_filler);
  const std::uint64_t before = ResidentBytes();

  const std::optional<HttpReply> reply = Get(server.Url());

  SECTION("ends early, without a response")
  {
    REQUIRE(reply);
    CHECK_FALSE(reply->HasResponse());
    CHECK(server.BytesSent() <= kMaxBodyBytes + kMaxOverheadBytes);
  }

  // A string that grows is in memory twice, the second time up to twice as
  // long.
  SECTION("takes no more memory than the longest response")
  {
    const std::uint64_t after = ResidentBytes();
    CHECK((after < before || after - before <= kMaxBodyBytes * 3));
  }
}

TEST_CASE("a run whose engine sends what is no output", "[net][endless]")
{
  SECTION("fails on a malformed event and keeps what came before")
  {
    const std::string malformed =
      GENERATE(as<std::string>(),
               "no JSON",
               "[]",
               "7",
               R"({"choices":7})",
               R"({"choices":"text"})",
               R"({"choices":[7]})",
               R"({"choices":[{"delta":"text"}]})",
               R"({"choices":[{"delta":{"content":7}}]})",
               R"({"choices":[{"delta":{},"finish_reason":{}}]})",
               R"({"choices":[],"usage":7})",
               R"({"choices":[],"usage":{"completion_tokens":"many"}})",
               R"({"choices":[],"usage":{"prompt_tokens":-1}})");
    INFO(malformed);
    const std::string whole = R"(data: {"choices":[{"delta":{"content":"a"}}]})"
                              "\n\n";
    const std::string end =
      R"(data: {"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]})"
      "\n\ndata: [DONE]\n\n";
    EndlessServer engine(kChunked +
                           Chunk(whole + "data: " + malformed + "\n\n" + end) +
                           "0\r\n\r\n",
                         "");
    const RunResult result = RunEngine(engine.Url(), 100);
    REQUIRE(result.m_hasEnded);
    CHECK(result.m_data == "a");
    CHECK(result.m_outcome.m_code == ResultCode::kUpstreamFailed);
  }

  SECTION("ends if an event has no end")
  {
    EndlessServer engine(kChunked, Chunk("data: no answer"));
    const RunResult result = RunEngine(engine.Url(), 100);
    REQUIRE(result.m_hasEnded);
    CHECK(result.m_data.empty());
    CHECK(result.m_outcome.m_code == ResultCode::kUpstreamFailed);
  }

  SECTION("ends if events come without end")
  {
    EndlessServer engine(
      kChunked,
      Chunk("data: {\"choices\":[{\"delta\":{\"content\":\"text\"}}]}\n\n"));
    const RunResult result = RunEngine(engine.Url(), 100);
    REQUIRE(result.m_hasEnded);
    CHECK(result.m_data.size() <= 128UL * 1024);
    CHECK(result.m_outcome.m_code == ResultCode::kUpstreamFailed);
  }
}
