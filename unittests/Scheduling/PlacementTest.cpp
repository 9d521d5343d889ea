/// \file
/// Placement of requests under different load patterns.
#include "bergamotpaddle/Scheduling/Placement.h"

#include <catch2/catch.hpp>
#include <set>

using namespace bergamotpaddle;

namespace {

const ServiceId kPool("pool");
constexpr int kEngines = 18;

Instant
AtMs(int aMilliseconds)
{
  return Instant(std::chrono::milliseconds(aMilliseconds));
}

void
AddEngines(UpstreamView& aView)
{
  for (int number = 0; number < kEngines; ++number) {
    UpstreamEntry entry;
    entry.m_id = UpstreamId("engine-" + std::to_string(number));
    entry.m_service = kPool;
    entry.m_address = "127.0.0.1:9";
    entry.m_zone = "a";
    entry.m_slots = 32;
    aView.Upsert(entry);
  }
}

PlacementRequest
Prompt(std::uint64_t aSharedId,
       std::uint32_t aTokens,
       std::uint64_t aOwnId = 999)
{
  PlacementRequest request;
  request.m_service = kPool;
  request.m_parts = { { 1, 100 }, { aSharedId, aTokens }, { aOwnId, 300 } };
  request.m_firstEventTimeout = std::chrono::seconds(2);
  request.m_timeLeft = std::chrono::seconds(5);
  return request;
}

UpstreamId
Place(Placement& aPlacement,
      UpstreamView& aView,
      const PlacementRequest& aRequest,
      int aMs)
{
  const PlacementResult result = aPlacement.Choose(aView, aRequest, AtMs(aMs));
  REQUIRE(result.m_verdict == PlacementResult::Verdict::kPlaced);
  aView.NoteSent(result.m_choice.m_upstream,
                 result.m_choice.m_isLight,
                 result.m_choice.m_prefill,
                 aRequest.m_parts,
                 AtMs(aMs));
  return result.m_choice.m_upstream;
}

} // namespace

TEST_CASE("placement of requests that share a prompt prefix", "[placement]")
{
  UpstreamView view;
  AddEngines(view);
  Placement placement({});

  SECTION("uses one engine while that is not overloaded")
  {
    const UpstreamId cachingEngine =
      Place(placement, view, Prompt(7, 5000, 1), 0);
    for (int request = 1; request < 10; ++request) {
      const UpstreamId next =
        Place(placement, view, Prompt(7, 5000, 100 + request), request * 300);
      CHECK(next == cachingEngine);
      view.NoteEnded(next, false);
    }
  }

  SECTION("selects the same engine at a router that has not seen them before")
  {
    const UpstreamId cachingEngine = Place(placement, view, Prompt(7, 5000), 0);
    UpstreamView otherView;
    AddEngines(otherView);
    Placement other({});
    CHECK(Place(other, otherView, Prompt(7, 5000), 0) == cachingEngine);
  }

  SECTION("spreads a hot prefix over a few engines, not all")
  {
    std::set<UpstreamId> engines;
    for (int request = 0; request < 60; ++request) {
      engines.insert(
        Place(placement, view, Prompt(7, 5000, 100 + request), request * 5));
    }
    CHECK(engines.size() >= 2);
    CHECK(engines.size() <= 6);
  }
}

TEST_CASE("placement of long prompts concurrent with streams", "[placement]")
{
  UpstreamView view;
  AddEngines(view);
  Placement placement({});
  std::set<UpstreamId> light;
  std::set<UpstreamId> heavy;
  for (int request = 0; request < 70; ++request) {
    light.insert(
      Place(placement, view, Prompt(1000 + request, 200), request * 20));
    heavy.insert(
      Place(placement, view, Prompt(5000 + request, 6000), request * 20));
  }

  SECTION("uses different engines for long and for light prompts")
  {
    for (const UpstreamId& id : light) {
      CHECK_FALSE(heavy.contains(id));
    }
  }

  SECTION("grows the light partition with the streams, up to half of the pool")
  {
    std::vector<const UpstreamState*> pool = view.Usable(kPool);
    const std::size_t before =
      placement.LightPartitionSize(view, kPool, pool, AtMs(1400));
    for (int request = 0; request < 400; ++request) {
      view.NoteSent(
        pool[request % 18]->m_entry.m_id, true, Duration(0), {}, AtMs(1400));
    }
    const std::size_t after =
      placement.LightPartitionSize(view, kPool, pool, AtMs(1400));
    CHECK(after > before);
    CHECK(after <= kEngines / 2);

    SECTION("and shrinks it by one engine at a time after the streams end")
    {
      for (const auto& state : pool) {
        while (state->m_streams > 0) {
          view.NoteEnded(state->m_entry.m_id, true);
        }
      }
      CHECK(placement.LightPartitionSize(view, kPool, pool, AtMs(2000)) ==
            after);
      CHECK(placement.LightPartitionSize(view, kPool, pool, AtMs(10'000)) ==
            after - 1);
    }
  }
}

TEST_CASE("placement avoids an engine that is slowed down temporarily",
          "[placement]")
{
  UpstreamView view;
  AddEngines(view);
  Placement placement({});
  const UpstreamId cachingEngine = Place(placement, view, Prompt(7, 5000), 0);
  view.NoteEnded(cachingEngine, false);
  ReportedLoad slow;
  slow.m_slowness = 2.5;
  slow.m_reportedAt = AtMs(1000);
  view.NoteReport(cachingEngine, slow);
  // An uncached prompt costs more there than on other engines.
  PlacementRequest uncached = Prompt(7, 5000);
  uncached.m_parts[0].m_id = 77;
  CHECK(placement.Choose(view, uncached, AtMs(1010)).m_choice.m_upstream !=
        cachingEngine);
  CHECK(placement.Choose(view, uncached, AtMs(1900)).m_choice.m_upstream ==
        cachingEngine);
}

TEST_CASE("placement rejects more work than the pool serves in time",
          "[placement]")
{
  UpstreamView view;
  AddEngines(view);
  Placement placement({});
  PlacementResult::Verdict verdict = PlacementResult::Verdict::kPlaced;
  int placed = 0;
  while (verdict == PlacementResult::Verdict::kPlaced && placed < 5000) {
    const PlacementResult result =
      placement.Choose(view, Prompt(placed, 8000), AtMs(0));
    verdict = result.m_verdict;
    if (verdict == PlacementResult::Verdict::kPlaced) {
      ++placed;
      view.NoteSent(result.m_choice.m_upstream,
                    result.m_choice.m_isLight,
                    result.m_choice.m_prefill,
                    {},
                    AtMs(0));
      CHECK(result.m_choice.m_expected <= std::chrono::seconds(2));
    }
  }
  CHECK(verdict == PlacementResult::Verdict::kOverloaded);
  CHECK(placed > kEngines);

  SECTION("earlier for a caller with less time left")
  {
    PlacementRequest urgent = Prompt(1, 100);
    urgent.m_timeLeft = std::chrono::milliseconds(1);
    const PlacementResult result = placement.Choose(view, urgent, AtMs(0));
    CHECK(result.m_verdict == PlacementResult::Verdict::kOverloaded);
    CHECK(result.m_retryAfter.count() > 0);
  }

  SECTION("and reports a pool without upstreams")
  {
    UpstreamView empty;
    CHECK(placement.Choose(empty, Prompt(1, 100), AtMs(0)).m_verdict ==
          PlacementResult::Verdict::kNoUpstream);
  }
}

// Regression: a burst with one prefix was refused while most engines were idle.
TEST_CASE("placement of a burst whose preferred engines are overloaded",
          "[placement]")
{
  UpstreamView view;
  AddEngines(view);
  Placement placement({});
  const PlacementRequest popular = Prompt(7, 12000);
  std::set<UpstreamId> preferred;
  for (int i = 0; i < 400; ++i) {
    preferred.insert(Place(placement, view, popular, 0));
  }
  CHECK(preferred.size() > 5);

  SECTION("reports a full pool when no upstream has a place")
  {
    for (const auto& [id, state] : view.All()) {
      view.NotePeerLoad("peer", id, { 64, 0, {} }, AtMs(5000));
    }
    const PlacementResult result =
      placement.Choose(view, Prompt(8, 100), AtMs(5000));
    CHECK(result.m_verdict == PlacementResult::Verdict::kOverloaded);
    CHECK(result.m_isFull);
    const PoolLoad load = placement.Load(view, kPool, AtMs(5000));
    CHECK(load.m_capacity == kEngines * 64);
    CHECK(load.m_free == 0);
    CHECK(load.m_requests >= load.m_capacity);
  }
}
