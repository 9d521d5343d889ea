/// \file
/// What upstreams say of themselves decides where requests go while the list of
/// upstreams lags.
#include "bergamotpaddle/Scheduling/Placement.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

const ServiceId kPool("pool");
const UpstreamId kFirst("i-1");
const UpstreamId kSecond("i-2");

Instant
AtMs(int aMilliseconds)
{
  return Instant(milliseconds(aMilliseconds));
}

UpstreamEntry
Entry(const UpstreamId& aId, std::int64_t aStartedAtMs = 100)
{
  UpstreamEntry entry;
  entry.m_id = aId;
  entry.m_service = kPool;
  entry.m_address = "127.0.0.1:9";
  entry.m_slots = 8;
  entry.m_startedAtMs = aStartedAtMs;
  return entry;
}

PlacementResult
Place(Placement& aPlacement, const UpstreamView& aView, Instant aNow)
{
  PlacementRequest request;
  request.m_service = kPool;
  request.m_timeLeft = milliseconds(1500);
  return aPlacement.Choose(aView, request, aNow);
}

} // namespace

TEST_CASE("a pool of which one upstream leaves", "[notices]")
{
  UpstreamView view;
  view.Upsert(Entry(kFirst));
  view.Upsert(Entry(kSecond));
  Placement placement({});
  const auto usesFirst = [&](int aMs) {
    // With the second one loaded, the first is chosen if it may be.
    view.NoteSent(kSecond, false, {}, {}, AtMs(aMs));
    const PlacementResult placed = Place(placement, view, AtMs(aMs));
    view.NoteEnded(kSecond, false);
    return placed.m_choice.m_upstream == kFirst;
  };
  REQUIRE(usesFirst(0));

  SECTION("gets nothing there from the moment of the response on")
  {
    CHECK(view.NoteNotice({ kFirst, 100 }, { true, {}, false }, AtMs(10)));
    CHECK_FALSE(
      view.NoteNotice({ kFirst, 100 }, { true, {}, false }, AtMs(20)));
    CHECK_FALSE(usesFirst(30));
    CHECK_FALSE(view.IsUsable(kFirst, AtMs(30)));

    SECTION("nor when its entry lapses with the store and comes back")
    {
      view.Remove(kFirst);
      view.Upsert(Entry(kFirst));
      CHECK_FALSE(usesFirst(9000));
    }
    SECTION("but it does when the upstream starts again under its id")
    {
      view.Upsert(Entry(kFirst, 5000));
      CHECK(usesFirst(6000));
    }
    SECTION("and other routers are told of it for some time")
    {
      const std::vector<UpstreamIncarnation> expected = { { kFirst, 100 } };
      CHECK(view.Notices().ToldLeavingSince(AtMs(0)) == expected);
      CHECK(view.Notices().ToldLeavingSince(AtMs(10)).empty());
    }
  }

  SECTION("gets nothing there once another router has told so")
  {
    CHECK(view.NotePeerLeaving({ kFirst, 100 }, AtMs(10)));
    CHECK_FALSE(usesFirst(30));
    CHECK(view.Notices().ToldLeavingSince(AtMs(0)).empty());
  }

  SECTION("is not mistaken when the report is about an earlier incarnation")
  {
    CHECK(view.NotePeerLeaving({ kFirst, 50 }, AtMs(10)));
    CHECK(usesFirst(30));
  }
}

TEST_CASE("a full upstream that names a time to stay away", "[notices]")
{
  UpstreamView view;
  view.Upsert(Entry(kFirst));
  Placement placement({});
  view.NoteNotice(
    { kFirst, 100 }, { false, milliseconds(3000), false }, AtMs(0));

  SECTION("gets no request for so long, not as the only one either")
  {
    for (int ms = 0; ms < 3000; ms += 50) {
      CHECK(Place(placement, view, AtMs(ms)).m_verdict ==
            PlacementResult::Verdict::kOverloaded);
    }
    CHECK(Place(placement, view, AtMs(3000)).m_verdict ==
          PlacementResult::Verdict::kPlaced);
  }
  SECTION("does not open earlier because of a shorter time")
  {
    view.NoteNotice(
      { kFirst, 100 }, { false, milliseconds(100), false }, AtMs(10));
    CHECK_FALSE(view.IsUsable(kFirst, AtMs(2900)));
  }
  SECTION("is open again when it has started anew")
  {
    view.Upsert(Entry(kFirst, 700));
    CHECK(view.IsUsable(kFirst, AtMs(800)));
  }
}

TEST_CASE("notices of very many upstreams are bounded", "[notices]")
{
  UpstreamNotices notices;
  const int count = static_cast<int>(UpstreamNotices::kMaxNotices) + 10;
  for (int number = 0; number < count; ++number) {
    notices.NoteLeaving({ UpstreamId("i-" + std::to_string(number)), 1 },
                        UpstreamNotices::Source::kPeer,
                        AtMs(number));
  }
  CHECK(notices.Size() == UpstreamNotices::kMaxNotices);
  CHECK_FALSE(notices.IsLeaving({ UpstreamId("i-0"), 1 }));
  CHECK(notices.IsLeaving({ UpstreamId("i-" + std::to_string(count - 1)), 1 }));
}
