/// \file
/// Tests of refusals by upstreams: which ones prove that a call did not run.
#include "Loopback.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

const std::string kOwnId = "Bergamotpaddle-Attempt-Id: {ID}\r\n";
const std::string kOtherId = "Bergamotpaddle-Attempt-Id: ffff\r\n";

std::string
Refusal(const std::string& aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + aStatus + "\r\nBergamotpaddle-Not-Executed: 1\r\n" +
         aFields + "Content-Length: 4\r\n\r\nbusy";
}

/// A response of an upstream.
struct Response
{
  const char* m_name;
  std::string m_bytes;
};

} // namespace

TEST_CASE("a call that an upstream refuses", "[forwarding][refusal]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const auto call = [&fixture](const std::string& aResponse) {
    fixture.m_firstUpstream.m_scripts = { { aResponse } };
    fixture.m_secondUpstream.m_scripts = { { aResponse } };
    return fixture.Call(GatewayFixture::Request("/once/")).substr(0, 12);
  };
  const auto upstreamRequestCount = [&fixture] {
    return fixture.m_firstUpstream.m_requests.size() +
           fixture.m_secondUpstream.m_requests.size();
  };

  SECTION("is sent to another upstream if the refusal is for this attempt")
  {
    const Response response = GENERATE(
      Response{ "its id", Refusal("503 Busy", kOwnId) },
      Response{
        "its id twice",
        Refusal("503 Busy", kOwnId + "Bergamotpaddle-Attempt-Id: a1b2\r\n") },
      Response{ "no id", Refusal("429 Busy", "") },
      Response{ "another upstream",
                "HTTP/1.1 421 No\r\n" + kOwnId + "Content-Length: 0\r\n\r\n" },
      Response{ "an interim response before it",
                "HTTP/1.1 100 Continue\r\n\r\n" + Refusal("503 Busy", kOwnId) },
      Response{ "another response after it",
                Refusal("503 Busy", kOwnId) +
                  GatewayFixture::SealedResponse() });
    INFO(response.m_name);
    CHECK(call(response.m_bytes) == "HTTP/1.1 503");
    CHECK(upstreamRequestCount() == 2);
  }

  // Regression: the refusal of an earlier attempt, sent once more, counted as
  // proof that the current attempt had not run.
  SECTION("has an unknown outcome if the refusal may be for another attempt")
  {
    const Response response = GENERATE(
      Response{ "another id", Refusal("503 Busy", kOtherId) },
      Response{ "another id with status 400", Refusal("400 No", kOtherId) },
      Response{ "two ids", Refusal("503 Busy", kOwnId + kOtherId) },
      Response{ "two ids, its own last",
                Refusal("503 Busy", kOtherId + kOwnId) },
      Response{ "another upstream and another id",
                "HTTP/1.1 421 No\r\n" + kOtherId +
                  "Content-Length: 0\r\n\r\n" },
      Response{ "an interim response before it",
                "HTTP/1.1 100 Continue\r\n\r\n" +
                  Refusal("503 Busy", kOtherId) });
    INFO(response.m_name);
    CHECK(call(response.m_bytes) == "HTTP/1.1 502");
    CHECK(upstreamRequestCount() == 1);
  }

  SECTION("has an unknown outcome if a response has begun")
  {
    const std::string begun =
      "HTTP/1.1 200 OK\r\n" + kOwnId + "Bergamotpaddle-Response-Seal: s\r\n";
    const Response response = GENERATE_COPY(
      Response{ "a success that claims to be a refusal",
                begun + "Bergamotpaddle-Not-Executed: 1\r\n"
                        "Content-Length: 4\r\n\r\ndone" },
      Response{ "a refusal between chunks",
                begun + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n" +
                  Refusal("503 Busy", kOwnId) },
      Response{ "a refusal within the header",
                begun + Refusal("503 Busy", "") });
    INFO(response.m_name);
    CHECK(call(response.m_bytes) == "HTTP/1.1 502");
    CHECK(upstreamRequestCount() == 1);
  }
}
