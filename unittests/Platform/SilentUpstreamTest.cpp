/// \file
/// Tests with upstreams that fall silent in the middle of an exchange.
#include "Loopback.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
BegunStream()
{
  return GatewayFixture::StreamHead() +
         GatewayFixture::Chunk("id: 1\ndata: a\n\n");
}

} // namespace

TEST_CASE("the log of a stream that the router closes", "[forwarding][log]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const auto script = [&fixture](const ScriptedUpstream::Script& aScript) {
    fixture.m_firstUpstream.m_scripts = { aScript };
    fixture.m_secondUpstream.m_scripts = { aScript };
  };
  const auto logLine = [&fixture](const std::string& aEvent) {
    fixture.m_log.Flush();
    return fixture.m_logPipe.LineOf(aEvent);
  };

  SECTION("names an upstream that broke off, and what was left for a retry")
  {
    script({ BegunStream() });
    fixture.Call(GatewayFixture::Request("/stream/"));
    const std::string line = logLine("caller.closed");
    CAPTURE(line);
    CHECK(Contains(line, "\"cause\":\"upstream\""));
    CHECK(Contains(line, "\"silent_ms\":"));
    CHECK(Contains(line, "\"events\":1"));
    CHECK(Contains(line, "\"attempt_left\":false"));
    CHECK(Contains(line, "\"retry_left\":true"));
    CHECK(Contains(line, "\"upstream_left\":true"));
  }

  SECTION("names the deadline")
  {
    script({ BegunStream(), true });
    fixture.Call(GatewayFixture::Request("/stream/"));
    CHECK(Contains(logLine("caller.closed"), "\"cause\":\"deadline\""));
  }

  SECTION("names a caller that disconnected")
  {
    script({ BegunStream(), true });
    fixture.Call(GatewayFixture::Request("/stream/"), milliseconds(100));
    CHECK(Contains(logLine("caller.closed"), "\"cause\":\"caller\""));
  }

  SECTION("has the same fields for a failed exchange")
  {
    script({ "", false, true });
    fixture.Call(GatewayFixture::Request("/once/"));
    const std::string line = logLine("exchange.failed");
    CHECK(Contains(line, "\"cause\":\"upstream\""));
    CHECK(Contains(line, "\"upstream_left\":true"));
  }
}
