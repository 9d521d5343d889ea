/// \file
/// Detection of outages of the store, in virtual time.
#include "bergamotpaddle/Feed/StoreAvailability.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

Instant
AtMs(int aMs)
{
  return Instant(milliseconds(aMs));
}

} // namespace

TEST_CASE("the availability of the store", "[contact]")
{
  StoreAvailability availability;

  SECTION("is unaffected if only this router receives no response")
  {
    for (int ms = 0; ms < 5'000; ms += 500) {
      availability.NotePeerResponse(AtMs(ms), milliseconds(300));
      availability.NoteFailure(AtMs(ms + 100));
    }
    CHECK_FALSE(availability.WasRecentlyUnavailable(AtMs(5'000)));
    CHECK_FALSE(availability.IsUnavailable(AtMs(5'000)));
  }

  SECTION("is lost if no router receives a response")
  {
    availability.NotePeerResponse(AtMs(0), milliseconds(0));
    for (int ms = 0; ms < 5'000; ms += 500) {
      // The same response is reported each time, with its current age.
      availability.NotePeerResponse(AtMs(ms), milliseconds(ms));
      availability.NoteFailure(AtMs(ms + 100));
    }
    CHECK(availability.WasRecentlyUnavailable(AtMs(5'000)));
    CHECK(availability.IsUnavailable(AtMs(5'000)));

    SECTION("and a later response to a peer does not end the outage")
    {
      availability.NotePeerResponse(AtMs(5'100), milliseconds(10));
      CHECK(availability.WasRecentlyUnavailable(AtMs(5'200)));
    }

    SECTION("but a response later than the last failure shows that it is back")
    {
      availability.NotePeerResponse(AtMs(5'100), milliseconds(10));
      CHECK_FALSE(availability.IsUnavailable(AtMs(5'200)));
    }

    SECTION("but the outage is over some time after the last failure")
    {
      CHECK_FALSE(availability.WasRecentlyUnavailable(AtMs(9'500)));
    }
  }

  SECTION("depends only on the router's own calls if it has no peers")
  {
    availability.NoteFailure(AtMs(0));
    CHECK(availability.WasRecentlyUnavailable(AtMs(100)));
    CHECK(availability.IsUnavailable(AtMs(100)));
  }
}
