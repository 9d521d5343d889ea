/// \file
/// Whether a request may have run, and may be sent again, after its sends.
#include "bergamotpaddle/Scheduling/RequestProgress.h"

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

TEST_CASE("a request that runs at most once", "[progress]")
{
  RequestProgress progress(CallKind::kRunOnce, false, 1);
  CHECK(progress.IsProvedNotRun());

  SECTION("may run, and is not sent again, while it is in flight")
  {
    progress.NoteSending(kFirst);
    CHECK_FALSE(progress.IsProvedNotRun());
    CHECK_FALSE(progress.MaySendAgain());
  }

  SECTION("may be sent again if no connection was established")
  {
    Send(progress, kFirst, SendOutcome::kNeverSent);
    CHECK(progress.MaySendAgain());
    CHECK_FALSE(progress.WouldRepeat());
    CHECK(progress.IsProvedNotRun());
  }

  SECTION("may be sent again if the upstream proved that it did not run")
  {
    Send(progress, kFirst, SendOutcome::kProvedNotRun);
    CHECK(progress.MaySendAgain());
    CHECK(progress.WouldRepeat());
    CHECK(progress.IsProvedNotRun());
  }

  SECTION("has an unknown outcome after a timeout and is not sent again")
  {
    Send(progress, kFirst, SendOutcome::kMayHaveRun);
    CHECK_FALSE(progress.MaySendAgain());
    CHECK_FALSE(progress.IsProvedNotRun());

    SECTION("regardless of later outcomes")
    {
      Send(progress, kSecond, SendOutcome::kProvedNotRun);
      CHECK_FALSE(progress.IsProvedNotRun());
    }
  }

  SECTION("is sent at most four times")
  {
    for (int send = 0; send < 4; ++send) {
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

  SECTION("runs on up to as many upstreams as its route allows")
  {
    CHECK(progress.MaySendAgain());
    Send(progress, kSecond, SendOutcome::kMayHaveRun);
    CHECK_FALSE(progress.MaySendAgain());
  }

  SECTION("may be a resumable stream, but not any other stream")
  {
    RequestProgress resumable(CallKind::kStream, true, 2);
    Send(resumable, kFirst, SendOutcome::kMayHaveRun);
    CHECK(resumable.MaySendAgain());
    RequestProgress other(CallKind::kStream, false, 2);
    Send(other, kFirst, SendOutcome::kMayHaveRun);
    CHECK_FALSE(other.MaySendAgain());
  }
}

TEST_CASE("a request at two upstreams at once", "[progress]")
{
  RequestProgress progress(CallKind::kRepeatable, false, 2);
  CHECK_FALSE(progress.MaySendBeside());
  progress.NoteSending(kFirst);
  REQUIRE(progress.MaySendBeside());
  progress.NoteSending(kSecond);
  CHECK_FALSE(progress.MaySendBeside());
  CHECK_FALSE(progress.MaySendAgain());

  SECTION("may get another one beside the first if the second did not run it")
  {
    progress.NoteOutcome(SendOutcome::kProvedNotRun);
    CHECK(progress.MaySendBeside());
    CHECK_FALSE(progress.MaySendAgain());
    CHECK_FALSE(progress.IsProvedNotRun());
  }

  SECTION("has no attempt left if the second may have run it")
  {
    progress.NoteOutcome(SendOutcome::kMayHaveRun);
    CHECK_FALSE(progress.MaySendBeside());
    progress.NoteOutcome(SendOutcome::kMayHaveRun);
    CHECK_FALSE(progress.MaySendAgain());
  }

  SECTION("is proved not run only when neither ran it")
  {
    progress.NoteOutcome(SendOutcome::kProvedNotRun);
    CHECK_FALSE(progress.IsProvedNotRun());
    progress.NoteOutcome(SendOutcome::kNeverSent);
    CHECK(progress.IsProvedNotRun());
    CHECK(progress.MaySendAgain());
  }

  SECTION("may be at a third one if its route allows three")
  {
    RequestProgress three(CallKind::kRepeatable, false, 3);
    three.NoteSending(kFirst);
    three.NoteSending(kSecond);
    REQUIRE(three.MaySendBeside());
    three.NoteSending(UpstreamId("u3"));
    CHECK_FALSE(three.MaySendBeside());
  }

  SECTION("must not run twice if it may run only once")
  {
    RequestProgress once(CallKind::kRunOnce, false, 2);
    once.NoteSending(kFirst);
    CHECK_FALSE(once.MaySendBeside());
  }
}
