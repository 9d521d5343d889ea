/// \file
/// The pace of watches, in virtual time.
#include "bergamotpaddle/Gateway/WatchRateLimiter.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

TEST_CASE("the pace of a watch", "[watch]")
{
  const WatchPaceOptions options;
  WatchRateLimiter pace;
  Instant now = Instant(std::chrono::seconds(100));

  // Each version once came twice: the list after the rest brought it again.
  SECTION("goes on at once after a single change, large or small")
  {
    for (const std::size_t bytes : { 200, 50'000, 3'000'000 }) {
      pace.NoteChanges(bytes, now);
      CHECK(pace.NextAllowedAt() <= now);
      CHECK_FALSE(pace.IsBurst(now));
      now += options.m_longestRest;
    }
  }

  SECTION("rests after a second change, and then asks for the newest state")
  {
    pace.NoteChanges(50'000, now);
    now += milliseconds(50);
    pace.NoteChanges(50'000, now);
    CHECK(pace.NextAllowedAt() == now + milliseconds(350));
    CHECK(pace.IsBurst(now));
    CHECK_FALSE(pace.IsBurst(pace.NextAllowedAt()));
  }

  SECTION("rests little after small changes, and is sent each of them")
  {
    pace.NoteChanges(200, now);
    pace.NoteChanges(200, now);
    CHECK(pace.NextAllowedAt() == now + options.m_leastRest);
    CHECK_FALSE(pace.IsBurst(now));
  }

  SECTION("never rests for longer than its bound after one answer")
  {
    for (int i = 0; i < 20; ++i) {
      pace.NoteChanges(3'000'000, now);
      CHECK(pace.NextAllowedAt() <= now + options.m_longestRest);
      now = std::max(now, pace.NextAllowedAt());
    }
  }

  SECTION("keeps a storm of versions to its rate")
  {
    constexpr std::size_t kDocument = 60'000;
    constexpr auto kStorm = std::chrono::seconds(10);
    std::size_t bytes = 0;
    const Instant end = now + kStorm;
    while (now < end) {
      bytes += kDocument; // There is always a newer version.
      pace.NoteChanges(kDocument, now);
      now = std::max(now, pace.NextAllowedAt());
    }
    CHECK(static_cast<double>(bytes) <=
          options.m_bytesPerSecond * 10 + 2 * kDocument);
  }
}
