/// \file
/// Conclusions on the store's health, in virtual time.
#include "bergamotpaddle/Gateway/StoreAvailability.h"

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

TEST_CASE("the contact with the store", "[contact]")
{
  StoreAvailability contact;

  SECTION("is not lost for all when this router alone gets no answer")
  {
    for (int ms = 0; ms < 5'000; ms += 500) {
      contact.NotePeerResponse(AtMs(ms), milliseconds(300));
      contact.NoteFailure(AtMs(ms + 100));
    }
    CHECK_FALSE(contact.WasRecentlyUnavailable(AtMs(5'000)));
  }

  SECTION("is lost when nobody gets one")
  {
    contact.NotePeerResponse(AtMs(0), milliseconds(0));
    for (int ms = 0; ms < 5'000; ms += 500) {
      contact.NotePeerResponse(AtMs(ms),
                               milliseconds(ms)); // Ever the same answer.
      contact.NoteFailure(AtMs(ms + 100));
    }
    CHECK(contact.WasRecentlyUnavailable(AtMs(5'000)));

    SECTION("and peers that are back do not undo it")
    {
      contact.NotePeerResponse(AtMs(5'100), milliseconds(10));
      CHECK(contact.WasRecentlyUnavailable(AtMs(5'200)));
    }

    SECTION("but it is forgotten in time")
    {
      CHECK_FALSE(contact.WasRecentlyUnavailable(AtMs(9'500)));
    }
  }

  SECTION("of a router without peers goes by its own calls")
  {
    contact.NoteFailure(AtMs(0));
    CHECK(contact.WasRecentlyUnavailable(AtMs(100)));
  }
}
