/// \file
/// Connect timeouts on a link with a queue, in virtual time.
#include "bergamotpaddle/Gateway/AdaptiveConnectTimeout.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

constexpr Duration kBaseTimeout = milliseconds(250);
constexpr Duration kRoundTrip = milliseconds(1);

/// Attempts to connect over a link with the queueing delay \p aQueueDelay;
/// returns whether the connection is established before the timeout.
bool
TryConnect(AdaptiveConnectTimeout& aTimeout, Duration aQueueDelay)
{
  const Duration took = aQueueDelay + kRoundTrip;
  const Duration wait = aTimeout.TimeoutFor(kBaseTimeout);
  if (took > wait) {
    aTimeout.NoteTimedOut(wait);
    return false;
  }
  aTimeout.NoteConnected(took);
  return true;
}

} // namespace

TEST_CASE("the adaptive connect timeout", "[connect]")
{
  AdaptiveConnectTimeout timeout;

  SECTION("equals the base timeout on an idle link")
  {
    for (int i = 0; i < 20; ++i) {
      CHECK(TryConnect(timeout, milliseconds(2)));
    }
    CHECK(timeout.TimeoutFor(kBaseTimeout) == kBaseTimeout);
  }

  SECTION("exceeds the queueing delay of a full link after a few attempts")
  {
    int failed = 0;
    for (int i = 0; i < 50; ++i) {
      failed += TryConnect(timeout, milliseconds(600)) ? 0 : 1;
    }
    CHECK(failed <= 4);

    SECTION("and returns to the base timeout when the queue has drained")
    {
      for (int i = 0; i < 20; ++i) {
        TryConnect(timeout, milliseconds(0));
      }
      CHECK(timeout.TimeoutFor(kBaseTimeout) == kBaseTimeout);
    }
  }

  SECTION("follows a growing queue without any timeout")
  {
    for (int queue = 10; queue <= 700; queue += queue / 2) {
      CHECK(TryConnect(timeout, milliseconds(queue)));
    }
  }

  SECTION("is not raised by unreachable endpoints while others respond")
  {
    for (int i = 0; i < 50; ++i) {
      timeout.NoteTimedOut(timeout.TimeoutFor(kBaseTimeout));
      timeout.NoteTimedOut(timeout.TimeoutFor(kBaseTimeout));
      timeout.NoteConnected(kRoundTrip);
    }
    CHECK(timeout.TimeoutFor(kBaseTimeout) == kBaseTimeout);
  }

  SECTION("is bounded when no endpoint is reachable")
  {
    for (int i = 0; i < 50; ++i) {
      timeout.NoteTimedOut(timeout.TimeoutFor(kBaseTimeout));
    }
    CHECK(timeout.TimeoutFor(kBaseTimeout) ==
          AdaptiveConnectTimeoutOptions().m_maxTimeout);
  }
}
