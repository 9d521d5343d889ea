/// \file
/// Rate limiting of watches, in virtual time.
#include "bergamotpaddle/Feed/WatchRateLimiter.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

TEST_CASE("the rate limiter of a watch", "[watch]")
{
  const WatchRateLimiterOptions options;
  WatchRateLimiter limiter;
  Instant now = Instant(std::chrono::seconds(100));

  // Guards against versions that are received twice, because a list that is
  // requested after a delay returns them again.
  SECTION("does not delay after a single change of any size")
  {
    for (const std::size_t bytes : { 200, 50'000, 3'000'000 }) {
      limiter.NoteChanges(bytes, now);
      CHECK(limiter.NextAllowedAt() <= now);
      CHECK_FALSE(limiter.IsBurst(now));
      now += options.m_maxDelay;
    }
  }

  SECTION("delays after a second change, then requests the newest state")
  {
    limiter.NoteChanges(50'000, now);
    now += milliseconds(50);
    limiter.NoteChanges(50'000, now);
    CHECK(limiter.NextAllowedAt() == now + milliseconds(350));
    CHECK(limiter.IsBurst(now));
    CHECK_FALSE(limiter.IsBurst(limiter.NextAllowedAt()));
  }

  SECTION("delays by the minimum after small changes and requests each of them")
  {
    limiter.NoteChanges(200, now);
    limiter.NoteChanges(200, now);
    CHECK(limiter.NextAllowedAt() == now + options.m_minDelay);
    CHECK_FALSE(limiter.IsBurst(now));
  }

  SECTION("never exceeds the maximum delay after one response")
  {
    for (int i = 0; i < 20; ++i) {
      limiter.NoteChanges(3'000'000, now);
      CHECK(limiter.NextAllowedAt() <= now + options.m_maxDelay);
      now = std::max(now, limiter.NextAllowedAt());
    }
  }

  SECTION("keeps a burst of versions within the allowed rate")
  {
    constexpr std::size_t kDocumentBytes = 60'000;
    constexpr auto kBurst = std::chrono::seconds(10);
    std::size_t bytes = 0;
    const Instant end = now + kBurst;
    while (now < end) {
      bytes += kDocumentBytes; // There is always a newer version.
      limiter.NoteChanges(kDocumentBytes, now);
      now = std::max(now, limiter.NextAllowedAt());
    }
    CHECK(static_cast<double>(bytes) <=
          options.m_bytesPerSecond * 10 + 2 * kDocumentBytes);
  }
}
