/// \file
/// Connect timeouts on a link with queueing delay, in virtual time.
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
  const Duration connectTime = aQueueDelay + kRoundTrip;
  const Duration timeout = aTimeout.TimeoutFor(kBaseTimeout);
  if (connectTime > timeout) {
    aTimeout.NoteTimedOut(timeout);
    return false;
  }
  aTimeout.NoteConnected(connectTime);
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

  SECTION("exceeds the queueing delay of a saturated link within four attempts")
  {
    int timeouts = 0;
    for (int i = 0; i < 50; ++i) {
      timeouts += TryConnect(timeout, milliseconds(600)) ? 0 : 1;
    }
    CHECK(timeouts <= 4);

    SECTION("and returns to the base timeout when the queue has drained")
    {
      for (int i = 0; i < 20; ++i) {
        TryConnect(timeout, milliseconds(0));
      }
      CHECK(timeout.TimeoutFor(kBaseTimeout) == kBaseTimeout);
    }
  }

  SECTION("follows a growing queueing delay without any timeout")
  {
    for (int delayMs = 10; delayMs <= 700; delayMs += delayMs / 2) {
      CHECK(TryConnect(timeout, milliseconds(delayMs)));
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

  SECTION("is limited to the maximum when no endpoint is reachable")
  {
    for (int i = 0; i < 50; ++i) {
      timeout.NoteTimedOut(timeout.TimeoutFor(kBaseTimeout));
    }
    CHECK(timeout.TimeoutFor(kBaseTimeout) ==
          AdaptiveConnectTimeoutOptions().m_maxTimeout);
  }
}
