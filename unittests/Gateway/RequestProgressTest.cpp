/// \file
/// What may truthfully be said of a request after its sends.
#include "bergamotpaddle/Gateway/RequestProgress.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

const UpstreamId kFirst("u1");
const UpstreamId kSecond("u2");

void
Send(RequestProgress& aProgress, const UpstreamId& aTo, SendOutcome aOutcome)
{
  aProgress.NoteSending(aTo);
  aProgress.NoteOutcome(aOutcome);
}

} // namespace

TEST_CASE("a request that runs once at the most", "[progress]")
{
  RequestProgress progress(CallKind::kRunOnce, false, 1);
  CHECK(progress.IsProvedNotRun());

  SECTION("is not said to be not run while it is under way")
  {
    progress.NoteSending(kFirst);
    CHECK_FALSE(progress.IsProvedNotRun());
    CHECK_FALSE(progress.MaySendAgain());
  }

  SECTION("goes elsewhere if no connection was made")
  {
    Send(progress, kFirst, SendOutcome::kNeverSent);
    CHECK(progress.MaySendAgain());
    CHECK_FALSE(progress.WouldRepeat());
    CHECK(progress.IsProvedNotRun());
  }

  SECTION("goes elsewhere if the upstream proved that it did not run")
  {
    Send(progress, kFirst, SendOutcome::kProvedNotRun);
    CHECK(progress.MaySendAgain());
    CHECK(progress.WouldRepeat());
    CHECK(progress.IsProvedNotRun());
  }

  SECTION("goes nowhere else after silence, and nothing is promised")
  {
    Send(progress, kFirst, SendOutcome::kMayHaveRun);
    CHECK_FALSE(progress.MaySendAgain());
    CHECK_FALSE(progress.IsProvedNotRun());

    SECTION("whatever comes after")
    {
      Send(progress, kSecond, SendOutcome::kProvedNotRun);
      CHECK_FALSE(progress.IsProvedNotRun());
    }
  }

  SECTION("is offered a bounded number of times")
  {
    for (int sends = 0; sends < 4; ++sends) {
      REQUIRE(progress.MaySendAgain());
      Send(progress, kFirst, SendOutcome::kProvedNotRun);
    }
    CHECK_FALSE(progress.MaySendAgain());
  }
}

TEST_CASE("a request that may run again", "[progress]")
{
  RequestProgress progress(CallKind::kRepeatable, false, 2);
  Send(progress, kFirst, SendOutcome::kMayHaveRun);

  SECTION("runs on as many upstreams as its route allows")
  {
    CHECK(progress.MaySendAgain());
    Send(progress, kSecond, SendOutcome::kMayHaveRun);
    CHECK_FALSE(progress.MaySendAgain());
  }

  SECTION("a resumable stream does too, another one does not")
  {
    RequestProgress resumable(CallKind::kStream, true, 2);
    Send(resumable, kFirst, SendOutcome::kMayHaveRun);
    CHECK(resumable.MaySendAgain());
    RequestProgress other(CallKind::kStream, false, 2);
    Send(other, kFirst, SendOutcome::kMayHaveRun);
    CHECK_FALSE(other.MaySendAgain());
  }
}
