/// \file
/// A prompt part on which upstreams crash, over real sockets.
#include "Loopback.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

std::string
RequestWithParts(const std::string& aPath, const std::string& aParts)
{
  return GatewayFixture::Request(
    aPath, "Bergamotpaddle-Prompt-Prefix: " + aParts + "\r\n");
}

std::string
StatusOf(const std::string& aResponse)
{
  return aResponse.substr(0, std::min<std::size_t>(aResponse.size(), 12));
}

} // namespace

// Regression: requests with one prompt part crashed upstreams, one after the
// other.
TEST_CASE("upstreams crash on a prompt part", "[forwarding][quarantine]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  const PromptQuarantineOptions options;
  std::int64_t startedAtMs = 1;
  const auto sentCount = [&fixture] {
    return fixture.m_firstUpstream.m_requests.size() +
           fixture.m_secondUpstream.m_requests.size();
  };
  const auto script = [&fixture](const ScriptedUpstream::Script& aScript) {
    fixture.m_firstUpstream.m_scripts.assign(2, aScript);
    fixture.m_secondUpstream.m_scripts.assign(2, aScript);
  };
  const auto restartUpstreams = [&] {
    ++startedAtMs;
    for (const char* id : { "u1", "u2" }) {
      UpstreamEntry entry =
        fixture.m_state.m_upstreams.Find(UpstreamId(id))->m_entry;
      entry.m_startedAtMs = startedAtMs;
      fixture.m_state.m_upstreams.Upsert(entry);
    }
  };
  const std::string wholeStream = GatewayFixture::StreamHead() +
                                  GatewayFixture::Chunk("id: 1\ndata: a\n\n") +
                                  "0\r\n\r\n";
  const std::string beganStream =
    GatewayFixture::StreamHead() + GatewayFixture::Chunk("id: 1\ndata: a\n\n");

  SECTION("before the response begins")
  {
    for (std::size_t i = 0; i < options.m_minCrashes; ++i) {
      script({ GatewayFixture::StreamHead() + "9\r\nid: 1", false, true });
      CHECK(StatusOf(fixture.Call(RequestWithParts(
              "/stream/", "a:9,dead:9," + std::to_string(i) + ":9"))) ==
            "HTTP/1.1 502");
      script({ wholeStream });
      CHECK(StatusOf(fixture.Call(RequestWithParts("/stream/", "a:9,b:9"))) ==
            "HTTP/1.1 200");
      restartUpstreams();
      fixture.RunFor(std::chrono::milliseconds(250));
    }
    fixture.RunFor(std::chrono::duration_cast<std::chrono::milliseconds>(
      options.m_objectionTime + std::chrono::milliseconds(50)));
    const std::size_t sentBefore = sentCount();
    script({ wholeStream });

    SECTION("requests with the part are refused and never sent")
    {
      for (const char* path : { "/stream/", "/resume/" }) {
        const std::string response =
          fixture.Call(RequestWithParts(path, "a:9,dead:9,f:9"));
        CHECK(StatusOf(response) == "HTTP/1.1 503");
        CHECK(response.find("Retry-After: ") != std::string::npos);
        CHECK(response.find("prompt_quarantined") != std::string::npos);
      }
      CHECK(sentCount() == sentBefore);
    }

    SECTION("sound requests with the other parts are served")
    {
      CHECK(StatusOf(fixture.Call(RequestWithParts("/stream/", "a:9,c:9"))) ==
            "HTTP/1.1 200");
    }
  }

  SECTION("or after it began, which does not depend on the prompt")
  {
    for (std::size_t i = 0; i < 2 * options.m_minCrashes; ++i) {
      script({ beganStream, false, true });
      CHECK(StatusOf(fixture.Call(
              RequestWithParts("/stream/", "a:9,b:9,c:9"))) == "HTTP/1.1 200");
      restartUpstreams();
      fixture.RunFor(std::chrono::milliseconds(250));
    }
    CHECK(
      fixture.m_state.m_quarantine.Quarantined(fixture.m_state.Now()).empty());
  }
}
