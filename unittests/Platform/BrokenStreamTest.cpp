/// \file
/// Tests of responses that break off, and of streams that continue, or do not,
/// at another upstream.
#include "Loopback.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

enum class Framing
{
  kChunks,
  kLength,
  kClose
};

const std::string kErrorText = "error text";
const std::string kFirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kLastEvent = "id: 3\ndata: c\n\n";
const std::string kSeal = "Bergamotpaddle-Response-Seal: s\r\n";
const std::string kStreamType = "Content-Type: text/event-stream\r\n";

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// A response of status \p aStatus that ends after \p aBody. If it is not
/// complete, more bytes were announced, and a connection that marks its end is
/// reset.
ScriptedUpstream::Script
Response(const std::string& aStatus,
         const std::string& aFields,
         const std::string& aBody,
         Framing aFraming,
         bool aIsComplete = true)
{
  std::string bytes =
    "HTTP/1.1 " + aStatus + "\r\nBergamotpaddle-Attempt-Id: {ID}\r\n" + aFields;
  constexpr std::size_t kMissingBytes = 9;
  switch (aFraming) {
    case Framing::kChunks:
      bytes += "Transfer-Encoding: chunked\r\n\r\n";
      bytes += aBody.empty() ? "" : GatewayFixture::Chunk(aBody);
      bytes += aIsComplete ? "0\r\n\r\n" : "";
      break;
    case Framing::kLength:
      bytes +=
        "Content-Length: " +
        std::to_string(aBody.size() + (aIsComplete ? 0 : kMissingBytes)) +
        "\r\n\r\n" + aBody;
      break;
    case Framing::kClose:
      bytes += "\r\n" + aBody;
      break;
  }
  return { bytes, false, aFraming == Framing::kClose && !aIsComplete };
}

/// Calls on \p aPath: the upstream that is chosen first gives \p aFirst, the
/// other one \p aSecond. Returns what the caller receives.
std::string
CallWithFailover(GatewayFixture& aFixture,
                 const std::string& aPath,
                 const std::string& aVersion,
                 const ScriptedUpstream::Script& aFirst,
                 const ScriptedUpstream::Script& aSecond)
{
  aFixture.ScriptAttempts(aFirst, aSecond);
  std::string request = GatewayFixture::Request(aPath);
  request.replace(request.find("HTTP/1.1"), 8, aVersion);
  return aFixture.Call(request);
}

} // namespace

TEST_CASE("a stream that broke off after its first events",
          "[forwarding][broken]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
  const Framing firstFraming =
    GENERATE(Framing::kChunks, Framing::kLength, Framing::kClose);
  const Framing framing =
    GENERATE(Framing::kChunks, Framing::kLength, Framing::kClose);
  const bool isInsideEvent = GENERATE(false, true);
  INFO(version << ", " << static_cast<int>(firstFraming) << ", then "
               << static_cast<int>(framing) << ", inside an event "
               << isInsideEvent);
  const auto first = Response("200 OK",
                              kSeal + kStreamType,
                              kFirstEvents + (isInsideEvent ? "id: 3\nda" : ""),
                              firstFraming,
                              firstFraming == Framing::kClose && isInsideEvent);
  const auto call = [&](const ScriptedUpstream::Script& aSecond) {
    return CallWithFailover(fixture, "/resume/", version, first, aSecond);
  };

  SECTION("is completed by the remaining events of another upstream")
  {
    const std::string response = call(Response(
      "200 OK", kSeal + kStreamType, kFirstEvents + kLastEvent, framing));
    CHECK(Contains(response, kFirstEvents));
    CHECK(Contains(response, kLastEvent));
    CHECK(response.find("data: a") == response.rfind("data: a"));
    CHECK_FALSE(fixture.m_wasResetByGateway);
    CHECK(response.ends_with("0\r\n\r\n") == (version == "HTTP/1.1"));
  }

  SECTION("stays incomplete, without a byte of the other upstream's error")
  {
    const auto second = GENERATE_COPY(
      Response("500 Failed", kSeal, kErrorText, framing),
      Response("503 Failed", "", kErrorText, framing),
      Response("404 Not Found", kSeal, kErrorText, framing),
      Response("302 Found", kSeal, kErrorText, framing),
      Response("200 OK", kSeal, kErrorText, framing),
      Response("200 OK", kStreamType, kErrorText, framing),
      Response("200 OK", kSeal + kStreamType, "", framing, false),
      Response(
        "200 OK", kSeal + kStreamType, "", framing, framing == Framing::kClose),
      Response("200 OK", kSeal + kStreamType, kErrorText, framing),
      Response("500 Failed",
               kSeal + kStreamType,
               "data: " + kErrorText + "\n\n",
               framing));
    INFO(second.m_response);
    const std::string response = call(second);
    CHECK(Contains(response, kFirstEvents));
    CHECK_FALSE(Contains(response, kErrorText));
    CHECK(response.find("HTTP/") == response.rfind("HTTP/"));
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    CHECK(fixture.m_wasClosedByGateway);
    CHECK(fixture.m_wasResetByGateway == (version == "HTTP/1.0"));
    CHECK(fixture.m_firstUpstream.m_requests.size() +
            fixture.m_secondUpstream.m_requests.size() ==
          2);
  }
}

TEST_CASE("a response that ends with its connection", "[forwarding][broken]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const auto call = [&fixture](const std::string& aPath,
                               const ScriptedUpstream::Script& aScript) {
    return CallWithFailover(fixture, aPath, "HTTP/1.1", aScript, aScript);
  };

  SECTION("is forwarded if the connection was closed")
  {
    const std::string response =
      call("/once/", Response("200 OK", kSeal, "done", Framing::kClose));
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("Content-Length: 4\r\n\r\ndone"));
  }

  SECTION("is not forwarded if the connection was reset")
  {
    const std::string response =
      call("/once/", Response("200 OK", kSeal, "do", Framing::kClose, false));
    CHECK(response.starts_with("HTTP/1.1 502"));
  }

  SECTION("is forwarded as a complete stream if it ends after an event")
  {
    const std::string response = call(
      "/stream/",
      Response("200 OK", kSeal + kStreamType, kFirstEvents, Framing::kClose));
    CHECK(Contains(response, kFirstEvents));
    CHECK(response.ends_with("0\r\n\r\n"));
  }

  SECTION("is an incomplete stream if it ends inside an event")
  {
    const std::string response = call("/stream/",
                                      Response("200 OK",
                                               kSeal + kStreamType,
                                               kFirstEvents + "id: 3\ndata: c",
                                               Framing::kClose));
    CHECK(Contains(response, kFirstEvents));
    CHECK_FALSE(Contains(response, "id: 3"));
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  }

  SECTION("is an incomplete stream if the connection was reset")
  {
    const std::string response = call(
      "/stream/",
      Response(
        "200 OK", kSeal + kStreamType, kFirstEvents, Framing::kClose, false));
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  }
}

TEST_CASE("a response without a body or framing", "[forwarding][broken]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const std::string fields =
    kSeal + GENERATE(as<std::string>{}, "", kStreamType);
  const std::string path = GENERATE(as<std::string>{}, "/once/", "/stream/");
  INFO(path << " " << fields);
  const auto call = [&](Framing aFraming) {
    const auto script = Response("200 OK", fields, "", aFraming);
    return CallWithFailover(fixture, path, "HTTP/1.1", script, script);
  };

  // Regression: an upstream that crashed after its header left an empty
  // response that was forwarded as a success.
  SECTION("is not forwarded if the connection was closed")
  {
    CHECK(call(Framing::kClose).substr(0, 12) == "HTTP/1.1 502");
  }

  SECTION("is forwarded if its framing shows that it is empty")
  {
    const Framing framing = GENERATE(Framing::kChunks, Framing::kLength);
    CHECK(call(framing).substr(0, 12) == "HTTP/1.1 200");
  }
}
