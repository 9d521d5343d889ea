/// \file
/// A router's estimate of the state of upstreams.
#include "bergamotpaddle/Scheduling/UpstreamView.h"
#include "bergamotpaddle/Gateway/PeerDigest.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

const UpstreamId kEngine("e1");
const ServiceId kPool("pool");

Instant
AtMs(int aMilliseconds)
{
  return Instant(std::chrono::milliseconds(aMilliseconds));
}

UpstreamEntry
Entry(std::int64_t aStartedAtMs = 1)
{
  UpstreamEntry entry;
  entry.m_id = kEngine;
  entry.m_service = kPool;
  entry.m_address = "127.0.0.1:9";
  entry.m_slots = 8;
  entry.m_startedAtMs = aStartedAtMs;
  return entry;
}

} // namespace

TEST_CASE("the view of an upstream", "[upstreams]")
{
  UpstreamView view;
  view.Upsert(Entry());
  const std::vector<PromptPart> parts = { { 1, 500 }, { 2, 700 } };

  SECTION("excludes the upstream from placement while it is draining")
  {
    CHECK(view.Usable(kPool).size() == 1);
    UpstreamEntry draining = Entry();
    draining.m_isDraining = true;
    view.Upsert(draining);
    CHECK(view.Usable(kPool).empty());
  }

  SECTION(
    "assumes that prompt parts are cached until a restart under the same id")
  {
    view.NoteSent(kEngine, false, Duration(0), parts, AtMs(0));
    CHECK(view.UncachedTokens(*view.Find(kEngine), parts, AtMs(10)) == 0);
    view.Upsert(Entry(2));
    CHECK(view.UncachedTokens(*view.Find(kEngine), parts, AtMs(20)) == 1200);
  }

  SECTION("counts a part as cached only if all earlier parts are cached")
  {
    view.NoteSent(kEngine, false, Duration(0), { { 2, 700 } }, AtMs(0));
    CHECK(view.UncachedTokens(*view.Find(kEngine), parts, AtMs(10)) == 1200);
  }

  SECTION("avoids it at once if unreachable, but not after a single error")
  {
    view.NoteOutcome(kEngine, ExchangeOutcome::kFailed, AtMs(0));
    CHECK(view.Find(kEngine)->m_avoidUntil <= AtMs(0));
    view.NoteOutcome(kEngine, ExchangeOutcome::kUnreachable, AtMs(0));
    CHECK(view.Find(kEngine)->m_avoidUntil > AtMs(0));

    SECTION("until an exchange succeeds")
    {
      view.NoteOutcome(kEngine, ExchangeOutcome::kSucceeded, AtMs(1));
      CHECK(view.Find(kEngine)->m_avoidUntil <= AtMs(0));
    }
  }

  SECTION("adds the load reported by peers while it is valid")
  {
    PeerDigest digest;
    digest.m_senderIncarnation = "b/1";
    UpstreamDigest upstream;
    upstream.m_upstream = UpstreamView::ShortHash(kEngine);
    upstream.m_requests = 3;
    upstream.m_streams = 2;
    upstream.m_prefillLeftMs = 40;
    upstream.m_newParts = { 1, 2 };
    digest.m_upstreams.push_back(upstream);
    const auto decoded = PeerDigest::Decode(digest.Encode());
    REQUIRE(decoded.ok());
    CHECK(*decoded == digest);
    ApplyDigest(*decoded, view, AtMs(0));
    const UpstreamState& state = *view.Find(kEngine);
    CHECK(view.Requests(state, AtMs(10)) == 3);
    CHECK(view.PrefillBacklog(state, AtMs(10)) ==
          std::chrono::milliseconds(30));
    CHECK(view.UncachedTokens(state, parts, AtMs(10)) == 0);
    CHECK(view.Requests(state, AtMs(5000)) == 0);
    CHECK_FALSE(PeerDigest::Decode("\xc1garbage").ok());
  }
}
