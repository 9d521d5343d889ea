/// \file
/// Time-outs of connections on a link with a queue, in virtual time.
#include "bergamotpaddle/Gateway/AdaptiveConnectTimeout.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

constexpr Duration kUsual = milliseconds(250);
constexpr Duration kRoundTrip = milliseconds(1);

/// Tries to connect over a link whose queue holds bytes for \p aQueue; true if
/// the connection is made in time.
bool
TryConnect(AdaptiveConnectTimeout& aPatience, Duration aQueue)
{
  const Duration took = aQueue + kRoundTrip;
  const Duration wait = aPatience.TimeoutFor(kUsual);
  if (took > wait) {
    aPatience.NoteTimedOut(wait);
    return false;
  }
  aPatience.NoteConnected(took);
  return true;
}

} // namespace

TEST_CASE("the wait for a connection", "[connect]")
{
  AdaptiveConnectTimeout patience;

  SECTION("is the usual one on a free link")
  {
    for (int i = 0; i < 20; ++i) {
      CHECK(TryConnect(patience, milliseconds(2)));
    }
    CHECK(patience.TimeoutFor(kUsual) == kUsual);
  }

  SECTION("outlasts the queue of a full link after a few attempts")
  {
    int failed = 0;
    for (int i = 0; i < 50; ++i) {
      failed += TryConnect(patience, milliseconds(600)) ? 0 : 1;
    }
    CHECK(failed <= 4);

    SECTION("and comes down when the queue is gone")
    {
      for (int i = 0; i < 20; ++i) {
        TryConnect(patience, milliseconds(0));
      }
      CHECK(patience.TimeoutFor(kUsual) == kUsual);
    }
  }

  SECTION("follows a queue that grows before anything times out")
  {
    for (int queue = 10; queue <= 700; queue += queue / 2) {
      CHECK(TryConnect(patience, milliseconds(queue)));
    }
  }

  SECTION("is not lengthened by far ends that are down while others answer")
  {
    for (int i = 0; i < 50; ++i) {
      patience.NoteTimedOut(patience.TimeoutFor(kUsual));
      patience.NoteTimedOut(patience.TimeoutFor(kUsual));
      patience.NoteConnected(kRoundTrip);
    }
    CHECK(patience.TimeoutFor(kUsual) == kUsual);
  }

  SECTION("has a bound when nothing can be reached at all")
  {
    for (int i = 0; i < 50; ++i) {
      patience.NoteTimedOut(patience.TimeoutFor(kUsual));
    }
    CHECK(patience.TimeoutFor(kUsual) == ConnectPatienceOptions().m_longest);
  }
}
