/// \file
/// Placement under the load patterns that it answers.
#include "bergamotpaddle/Gateway/Placement.h"

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
Prompt(std::uint64_t aShared, std::uint32_t aTokens, std::uint64_t aOwn = 999)
{
  PlacementRequest request;
  request.m_service = kPool;
  request.m_parts = { { 1, 100 }, { aShared, aTokens }, { aOwn, 300 } };
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

TEST_CASE("many requests share the first parts of a prompt", "[placement]")
{
  UpstreamView view;
  AddEngines(view);
  Placement placement({});

  SECTION("they meet at one engine while it keeps up")
  {
    const UpstreamId home = Place(placement, view, Prompt(7, 5000, 1), 0);
    for (int request = 1; request < 10; ++request) {
      const UpstreamId next =
        Place(placement, view, Prompt(7, 5000, 100 + request), request * 300);
      CHECK(next == home);
      view.NoteEnded(next, false);
    }
  }

  SECTION("a router that saw none of them finds the same engine")
  {
    const UpstreamId home = Place(placement, view, Prompt(7, 5000), 0);
    UpstreamView otherView;
    AddEngines(otherView);
    Placement other({});
    CHECK(Place(other, otherView, Prompt(7, 5000), 0) == home);
  }

  SECTION("a hot one spreads over a few engines, not all")
  {
    std::set<UpstreamId> used;
    for (int request = 0; request < 60; ++request) {
      used.insert(
        Place(placement, view, Prompt(7, 5000, 100 + request), request * 5));
    }
    CHECK(used.size() >= 2);
    CHECK(used.size() <= 6);
  }
}

TEST_CASE("long prompts come beside running streams", "[placement]")
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

  SECTION("the two go to different engines")
  {
    for (const UpstreamId& id : light) {
      CHECK_FALSE(heavy.contains(id));
    }
  }

  SECTION("the light part grows with the streams and stays below half")
  {
    std::vector<const UpstreamState*> pool = view.Usable(kPool);
    const std::size_t before =
      placement.LightPart(view, kPool, pool, AtMs(1400));
    for (int request = 0; request < 400; ++request) {
      view.NoteSent(
        pool[request % 18]->m_entry.m_id, true, Duration(0), {}, AtMs(1400));
    }
    const std::size_t after =
      placement.LightPart(view, kPool, pool, AtMs(1400));
    CHECK(after > before);
    CHECK(after <= kEngines / 2);

    SECTION("and gives engines back slowly")
    {
      for (const auto& state : pool) {
        while (state->m_streams > 0) {
          view.NoteEnded(state->m_entry.m_id, true);
        }
      }
      CHECK(placement.LightPart(view, kPool, pool, AtMs(2000)) == after);
      CHECK(placement.LightPart(view, kPool, pool, AtMs(10'000)) == after - 1);
    }
  }
}

TEST_CASE("a neighbour slows an engine for moments", "[placement]")
{
  UpstreamView view;
  AddEngines(view);
  Placement placement({});
  const UpstreamId home = Place(placement, view, Prompt(7, 5000), 0);
  view.NoteEnded(home, false);
  ReportedLoad slow;
  slow.m_slowness = 2.5;
  slow.m_at = AtMs(1000);
  view.NoteReport(home, slow);
  // A prompt that nobody has read costs more there than elsewhere.
  PlacementRequest fresh = Prompt(7, 5000);
  fresh.m_parts[0].m_id = 77;
  CHECK(placement.Choose(view, fresh, AtMs(1010)).m_choice.m_upstream != home);
  CHECK(placement.Choose(view, fresh, AtMs(1900)).m_choice.m_upstream == home);
}

TEST_CASE("more work than the pool serves in time", "[placement]")
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

  SECTION("sooner, for a caller with less time left")
  {
    PlacementRequest hurried = Prompt(1, 100);
    hurried.m_timeLeft = std::chrono::milliseconds(1);
    const PlacementResult result = placement.Choose(view, hurried, AtMs(0));
    CHECK(result.m_verdict == PlacementResult::Verdict::kOverloaded);
    CHECK(result.m_retryAfter.count() > 0);
  }

  SECTION("and a pool without upstreams says so")
  {
    UpstreamView empty;
    CHECK(placement.Choose(empty, Prompt(1, 100), AtMs(0)).m_verdict ==
          PlacementResult::Verdict::kNoUpstream);
  }
}
