/// \file
/// Calls to the store in an outage, in virtual time.
#include "bergamotpaddle/Feed/WatchBackoff.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A failing call takes as long as a refused connection that is tried again
/// through another router.
constexpr Duration kFailedCall = milliseconds(250);

/// Number of calls of one feed that fail in an outage of \p aOutage.
int
CallsIn(Duration aOutage, bool aIsReader)
{
  WatchBackoff backoff;
  int calls = 0;
  for (Duration at(0); at < aOutage; ++calls) {
    at += kFailedCall + backoff.NextDelay(aIsReader);
  }
  return calls;
}

} // namespace

TEST_CASE("in an outage of the store", "[feed][outage]")
{
  SECTION("the calls of a large fleet stay near those of its readers")
  {
    constexpr int kRouters = 370;
    constexpr int kReaders = 8;
    constexpr int kFeeds = 2;
    constexpr int kOutageSeconds = 8;
    const int readers = CallsIn(seconds(kOutageSeconds), true);
    const int followers = CallsIn(seconds(kOutageSeconds), false);
    CHECK(followers * 2 < readers);
    // The store of the large fleet answers 16,000 reading calls a second.
    constexpr int kMaxCallsPerSecond = 16'000 / 20;
    CHECK((readers * kReaders + followers * (kRouters - kReaders)) * kFeeds /
            kOutageSeconds <
          kMaxCallsPerSecond);
  }

  SECTION("readers notice soon that the store is back")
  {
    WatchBackoff backoff;
    for (int i = 0; i < 100; ++i) {
      CHECK(backoff.NextDelay(true) <= milliseconds(400));
    }
  }

  SECTION("a follower that alone reaches the store again notices in time")
  {
    // Within the contact of 3 s after which changes have to be in force.
    WatchBackoff backoff;
    for (int i = 0; i < 100; ++i) {
      CHECK(backoff.NextDelay(false) + kFailedCall < seconds(3));
    }
  }

  SECTION("a success starts anew")
  {
    WatchBackoff backoff;
    const Duration first = backoff.NextDelay(true);
    CHECK(backoff.NextDelay(true) > first);
    backoff.Reset();
    CHECK(backoff.NextDelay(true) == first);
  }
}
