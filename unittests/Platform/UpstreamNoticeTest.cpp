/// \file
/// Real exchanges with upstreams that say of themselves that they leave or want
/// no requests.
#include "SilenceFixture.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

std::string
WithField(std::string aResponse, const std::string& aField)
{
  aResponse.insert(aResponse.find("\r\n") + 2, aField + "\r\n");
  return aResponse;
}

std::string
Full(const std::string& aField)
{
  return WithField("HTTP/1.1 503 Full\r\n"
                   "Bergamotpaddle-Attempt-Id: {ID}\r\n"
                   "Bergamotpaddle-Not-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n",
                   aField);
}

/// Calls the gateway \p aCount times; the first upstream gives \p aFirst and
/// the second one a whole response, each time.
void
CallOften(GatewayFixture& aFixture, int aCount, const std::string& aFirst)
{
  for (int call = 0; call < aCount; ++call) {
    aFixture.m_firstUpstream.m_scripts = { { aFirst } };
    aFixture.m_secondUpstream.m_scripts = {
      { GatewayFixture::SealedResponse() }
    };
    const std::string response =
      aFixture.Call(GatewayFixture::Request("/once/"));
    CHECK(response.starts_with("HTTP/1.1 200"));
  }
}

} // namespace

TEST_CASE("an upstream that says that it leaves", "[forwarding][notices]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());

  SECTION("gets no request after the one that told so, which is answered")
  {
    const std::string leaving =
      WithField(GatewayFixture::SealedResponse(), "Server-Leaving: 1");
    CallOften(fixture, 8, leaving);
    CHECK(fixture.m_firstUpstream.m_requests.size() == 1);
    CHECK(fixture.m_state.m_counters.m_upstreamsLeaving == 1);
  }
  SECTION("is believed in a refusal too")
  {
    CallOften(fixture, 8, Full("Server-Leaving: 1"));
    CHECK(fixture.m_firstUpstream.m_requests.size() == 1);
  }
  SECTION("is not believed if the response is another attempt's")
  {
    std::string foreign = Full("Server-Leaving: 1");
    foreign.replace(foreign.find("{ID}"), 4, "ffff");
    fixture.m_firstUpstream.m_scripts = { { foreign } };
    fixture.m_secondUpstream.m_scripts = { { foreign } };
    fixture.Call(GatewayFixture::Request("/once/"));
    CHECK(fixture.m_state.m_counters.m_upstreamsLeaving == 0);
  }
  SECTION("is not believed if another upstream has its address now")
  {
    const std::string misdirected =
      "HTTP/1.1 421 No\r\nBergamotpaddle-Attempt-Id: {ID}\r\n"
      "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
    fixture.m_firstUpstream.m_scripts = { { misdirected } };
    fixture.m_secondUpstream.m_scripts = { { misdirected } };
    fixture.Call(GatewayFixture::Request("/once/"));
    CHECK(fixture.m_state.m_counters.m_upstreamsLeaving == 0);
  }
}

TEST_CASE("an upstream that names a time to stay away", "[forwarding][notices]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());

  SECTION("gets no request before it is over, and then again")
  {
    CallOften(fixture, 8, Full("Retry-After: 1.5"));
    CHECK(fixture.m_firstUpstream.m_requests.size() == 1);
    CHECK(fixture.m_state.m_counters.m_upstreamClosures == 1);
    // The other one takes no requests then, so that placement has no choice.
    UpstreamEntry other =
      fixture.m_state.m_upstreams.Find(UpstreamId("u2"))->m_entry;
    other.m_isDraining = true;
    fixture.m_state.m_upstreams.Upsert(other);
    fixture.m_firstUpstream.m_scripts = {
      { GatewayFixture::SealedResponse() }
    };
    CHECK(fixture.Call(GatewayFixture::Request("/once/"))
            .starts_with("HTTP/1.1 503"));
    CHECK(fixture.m_firstUpstream.m_requests.size() == 1);
    fixture.RunFor(milliseconds(1600));
    CHECK(fixture.Call(GatewayFixture::Request("/once/"))
            .starts_with("HTTP/1.1 200"));
    CHECK(fixture.m_firstUpstream.m_requests.size() == 2);
  }
  SECTION("is ignored if the time can't be read")
  {
    const std::string value =
      GENERATE("soon", "-3", "nan", "1e300", "Mon, 07 Dec 2026 00:00:00 GMT");
    CAPTURE(value);
    CallOften(fixture, 8, Full("Retry-After: " + value));
    CHECK(fixture.m_state.m_counters.m_upstreamClosures == 0);
    CHECK(fixture.m_state.m_counters.m_invalidNotices > 0);
  }
}
