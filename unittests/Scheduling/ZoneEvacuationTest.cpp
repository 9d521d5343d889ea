/// \file
/// A zone is emptied and taken back while requests are placed.
#include "bergamotpaddle/Scheduling/Placement.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

const ServiceId kPool("pool");

Instant
AtMs(int aMilliseconds)
{
  return Instant(std::chrono::milliseconds(aMilliseconds));
}

void
AddUpstreams(UpstreamView& aView, const std::string& aZone, int aCount)
{
  for (int number = 0; number < aCount; ++number) {
    UpstreamEntry entry;
    entry.m_id = UpstreamId(aZone + "-" + std::to_string(number));
    entry.m_service = kPool;
    entry.m_address = "127.0.0.1:9";
    entry.m_zone = aZone;
    entry.m_slots = 8;
    aView.Upsert(entry);
  }
}

PlacementRequest
Request()
{
  PlacementRequest request;
  request.m_service = kPool;
  request.m_timeLeft = std::chrono::seconds(5);
  return request;
}

PlacementRequest
Prompt(std::uint64_t aSharedId)
{
  PlacementRequest request = Request();
  request.m_parts = { { aSharedId, 500 }, { 999, 100 } };
  return request;
}

} // namespace

TEST_CASE("a zone is evacuated", "[evacuation]")
{
  UpstreamView view;
  AddUpstreams(view, "a", 4);
  AddUpstreams(view, "b", 4);
  PlacementOptions options;
  options.m_zone = "a";
  Placement placement(options);
  const auto zoneOf = [&](const PlacementRequest& aRequest) {
    const PlacementResult result = placement.Choose(view, aRequest, AtMs(0));
    REQUIRE(result.m_verdict == PlacementResult::Verdict::kPlaced);
    return view.Find(result.m_choice.m_upstream)->m_entry.m_zone;
  };
  CHECK(zoneOf(Request()) == "a");
  CHECK(view.Evacuation().Set("a", true));

  SECTION("nothing is placed there, also with a prompt that is cached there")
  {
    CHECK(zoneOf(Request()) == "b");
    for (std::uint64_t part = 1; part <= 100; ++part) {
      for (const auto& [id, state] : view.All()) {
        if (state.m_entry.m_zone == "a") {
          view.NotePeerParts(id, { part }, AtMs(0));
        }
      }
      CHECK(zoneOf(Prompt(part)) == "b");
    }
  }
  SECTION("nor when every upstream elsewhere had the request")
  {
    PlacementRequest request = Request();
    for (int number = 0; number < 4; ++number) {
      request.m_excluded.insert(UpstreamId("b-" + std::to_string(number)));
    }
    CHECK(placement.Choose(view, request, AtMs(0)).m_verdict ==
          PlacementResult::Verdict::kNoUpstream);
  }
  SECTION("an upstream that starts in the zone meanwhile gets nothing")
  {
    AddUpstreams(view, "a", 6);
    CHECK(view.Usable(kPool).size() == 4);
  }
  SECTION("with every zone evacuated, requests are refused at once")
  {
    view.Evacuation().Set("b", true);
    CHECK(placement.Choose(view, Request(), AtMs(0)).m_verdict ==
          PlacementResult::Verdict::kNoUpstream);
  }
  SECTION("it is taken back")
  {
    CHECK_FALSE(view.Evacuation().Set("a", true));
    CHECK(view.Evacuation().Set("a", false));
    CHECK_FALSE(view.Evacuation().Set("a", false));
    CHECK(zoneOf(Request()) == "a");
  }
  SECTION("names of zones that don't exist are bounded")
  {
    for (std::size_t i = 0; i < 2 * ZoneEvacuation::kMaxZones; ++i) {
      view.Evacuation().Set("odd-" + std::to_string(i), true);
    }
    CHECK(view.Evacuation().Size() == ZoneEvacuation::kMaxZones);
    CHECK(zoneOf(Request()) == "b");
  }
}
