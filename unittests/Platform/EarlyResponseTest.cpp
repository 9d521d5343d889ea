/// \file
/// Tests of responses without a length that end while the caller's long request
/// is still being sent to the upstream.
#include "Loopback.h"
#include "unittests/Net/EarlyServer.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::size_t kBodyBytes = 3'000'000;
constexpr int kTries = 20;

const std::string kHead = "HTTP/1.1 200 OK\r\n"
                          "Bergamotpaddle-Attempt-Id: a1b2\r\n"
                          "Bergamotpaddle-Response-Seal: s\r\n";
const std::string kStreamHead = kHead + "Content-Type: text/event-stream\r\n";
const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

} // namespace

TEST_CASE("a caller whose long request is answered early, without a length",
          "[forwarding][broken]")
{
  GatewayFixture fixture;
  REQUIRE(fixture.m_startStatus.ok());
  CallerLimits limits;
  limits.m_maxBodyBytes = kBodyBytes;
  fixture.SetLimits(limits);
  const std::string body(kBodyBytes, 'x');
  const std::size_t readBytes = GENERATE(0, 200'000, 1'000'000);
  INFO("the upstream reads " << readBytes << " bytes");
  const auto call = [&](const std::string& aPath, const std::string& aAddress) {
    for (const char* id : { "u1", "u2" }) {
      UpstreamEntry entry;
      entry.m_id = UpstreamId(id);
      entry.m_service = ServiceId("desk");
      entry.m_address = aAddress;
      entry.m_slots = 8;
      fixture.m_state.m_upstreams.Upsert(entry);
    }
    return fixture.Call(GatewayFixture::Request(aPath, {}, body));
  };

  SECTION("gets an error if the upstream resets the connection")
  {
    const std::string path = GENERATE(as<std::string>{}, "/once/", "/again/");
    EarlyServer upstream(
      kHead + "\r\npart", readBytes, EarlyServer::End::kReset);
    for (int i = 0; i < kTries; ++i) {
      const std::string response = call(path, upstream.Address());
      CHECK(response.starts_with("HTTP/1.1 502"));
    }
  }

  SECTION("gets no end of a stream that is reset")
  {
    const std::string path =
      GENERATE(as<std::string>{}, "/stream/", "/resume/");
    EarlyServer upstream(
      kStreamHead + "\r\n" + kEvents, readBytes, EarlyServer::End::kReset);
    for (int i = 0; i < kTries; ++i) {
      const std::string response = call(path, upstream.Address());
      CHECK_FALSE(response.ends_with("0\r\n\r\n"));
      CHECK(fixture.m_wasClosedByGateway);
    }
  }

  SECTION("gets the whole answer if the upstream reads on")
  {
    const auto end =
      GENERATE(EarlyServer::End::kReadOn, EarlyServer::End::kReadLate);
    const bool isStream = GENERATE(false, true);
    EarlyServer upstream(isStream ? kStreamHead + "\r\n" + kEvents
                                  : kHead + "\r\nwhole",
                         readBytes,
                         end);
    const std::string response =
      call(isStream ? "/stream/" : "/once/", upstream.Address());
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with(isStream ? "0\r\n\r\n" : "whole"));
    CHECK((response.find(kEvents) != std::string::npos) == isStream);
  }
}
