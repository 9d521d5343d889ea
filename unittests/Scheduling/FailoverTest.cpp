/// \file
/// When a request moves from a silent upstream to another one.
#include "bergamotpaddle/Scheduling/Failover.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using Verdict = FailoverResult::Verdict;

namespace {

constexpr int kRetries = 3;
constexpr milliseconds kWindow(2000);
constexpr milliseconds kMinTimeLeft(5);

/// A service with two upstreams, the first of which is silent.
class SilentService
{
public:
  SilentService()
  {
    for (const UpstreamId& id : { kSilent, kOther }) {
      UpstreamEntry entry;
      entry.m_id = id;
      entry.m_service = kService;
      entry.m_slots = 1;
      m_upstreams.Upsert(entry);
    }
  }

  /// A request in flight to the silent upstream.
  RequestProgress InFlight(CallKind aKind, int aMaxAttempts) const
  {
    RequestProgress progress(aKind, aKind == CallKind::kStream, aMaxAttempts);
    progress.NoteSending(kSilent);
    return progress;
  }

  FailoverResult Reserve(const RequestProgress& aProgress,
                         Duration aTimeLeft = milliseconds(1000))
  {
    PlacementRequest request;
    request.m_service = kService;
    request.m_timeLeft = aTimeLeft;
    request.m_excluded = aProgress.Tried();
    Failover failover(m_upstreams, m_placement, m_retries);
    return failover.Reserve(aProgress, request, kMinTimeLeft, m_now);
  }

  int RetriesLeft()
  {
    int left = 0;
    while (m_retries.Consume(kService, m_now)) {
      ++left;
    }
    return left;
  }

  const UpstreamId kSilent{ "u1" };
  const UpstreamId kOther{ "u2" };
  const ServiceId kService{ "desk" };
  Instant m_now{ std::chrono::hours(1) };
  UpstreamView m_upstreams;
  Placement m_placement{ {} };
  RetryBudget m_retries{ { 0, kRetries, kWindow, 1 } };
};

} // namespace

TEST_CASE("a request at a silent upstream", "[failover]")
{
  SilentService service;

  SECTION("moves to another upstream at the cost of one retry")
  {
    const FailoverResult result =
      service.Reserve(service.InFlight(CallKind::kStream, 2));
    CHECK(result.m_verdict == Verdict::kReserved);
    CHECK(result.m_choice.m_upstream == service.kOther);
    CHECK(service.RetriesLeft() == kRetries - 1);
  }

  SECTION("stays, and consumes no retry")
  {
    SECTION("if its route allows no further attempt")
    {
      const RequestProgress progress =
        service.InFlight(CallKind::kRepeatable, 1);
      CHECK(service.Reserve(progress).m_verdict == Verdict::kNoAttempt);
    }
    SECTION("if it may run only once")
    {
      const RequestProgress progress = service.InFlight(CallKind::kRunOnce, 2);
      CHECK(service.Reserve(progress).m_verdict == Verdict::kNoAttempt);
    }
    SECTION("if its deadline is close")
    {
      const RequestProgress progress =
        service.InFlight(CallKind::kRepeatable, 2);
      CHECK(service.Reserve(progress, milliseconds(4)).m_verdict ==
            Verdict::kNoTime);
    }
    SECTION("if the other upstream is overloaded")
    {
      for (int sent = 0; sent < 2; ++sent) {
        service.m_upstreams.NoteSent(
          service.kOther, false, {}, {}, service.m_now);
      }
      const RequestProgress progress =
        service.InFlight(CallKind::kRepeatable, 2);
      CHECK(service.Reserve(progress).m_verdict == Verdict::kNoUpstream);
    }
    SECTION("if the other upstream has left")
    {
      service.m_upstreams.Remove(service.kOther);
      const RequestProgress progress =
        service.InFlight(CallKind::kRepeatable, 2);
      CHECK(service.Reserve(progress).m_verdict == Verdict::kNoUpstream);
    }
    CHECK(service.RetriesLeft() == kRetries);
  }
}

TEST_CASE("many requests at an upstream that pauses", "[failover]")
{
  // A pause of one upstream reaches more requests than the retry budget covers.
  constexpr int kRequests = 20;
  SilentService service;
  const RequestProgress progress = service.InFlight(CallKind::kStream, 2);
  int moved = 0;
  const auto check = [&] {
    for (int i = moved; i < kRequests; ++i) {
      const Verdict verdict = service.Reserve(progress).m_verdict;
      REQUIRE((verdict == Verdict::kReserved || verdict == Verdict::kNoRetry));
      moved += verdict == Verdict::kReserved ? 1 : 0;
    }
  };

  SECTION("move as far as the budget allows, and the others stay")
  {
    check();
    CHECK(moved == kRetries);

    SECTION("until the budget allows more")
    {
      service.m_now += kWindow / 2;
      check();
      CHECK(moved == kRetries);
      service.m_now += kWindow;
      check();
      CHECK(moved == 2 * kRetries);
    }
  }
}

TEST_CASE("a request in its last attempt at a silent upstream", "[failover]")
{
  SilentService service;
  RequestProgress progress = service.InFlight(CallKind::kStream, 2);
  progress.NoteOutcome(SendOutcome::kMayHaveRun);
  progress.NoteSending(UpstreamId("u3"));
  CHECK(service.Reserve(progress).m_verdict == Verdict::kNoAttempt);

  SECTION("unless an earlier attempt provably did not run")
  {
    RequestProgress other = service.InFlight(CallKind::kStream, 2);
    other.NoteOutcome(SendOutcome::kProvedNotRun);
    other.NoteSending(UpstreamId("u3"));
    CHECK(service.Reserve(other).m_verdict == Verdict::kReserved);
  }
}
