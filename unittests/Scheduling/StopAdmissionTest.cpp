/// \file
/// Which requests a router still passes on while it is being stopped.
#include "bergamotpaddle/Scheduling/StopAdmission.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// From the stop request until every request must have its answer.
constexpr milliseconds kStop(7000);
constexpr milliseconds kTimeout(15000);

Route
MakeRoute(CallKind aKind, bool aIsResumable = false)
{
  Route route;
  route.m_name = "desk";
  route.m_kind = aKind;
  route.m_isResumable = aIsResumable;
  route.m_objective = milliseconds(300);
  route.m_timeout = kTimeout;
  return route;
}

/// Nine of ten requests take 300 ms, the tenth takes 5 s.
milliseconds
WorkOf(int aRequest)
{
  return aRequest % 10 == 0 ? milliseconds(5000) : milliseconds(300);
}

/// What became of the requests of one route at a router that is stopped.
struct Replay
{
  int m_served = 0;
  int m_lost = 0;
  int m_refused = 0;
  milliseconds m_firstRefusalAt = kStop;
};

/// Stops a router that has served \p aRoute for a while, and sends it a request
/// every 10 ms until \p aLastAt in virtual time.
Replay
ReplayStop(const Route& aRoute, milliseconds aLastAt)
{
  constexpr milliseconds kInterval(10);
  constexpr int kServedBefore = 200;
  StopAdmission admission;
  int request = 0;
  for (; request < kServedBefore; ++request) {
    admission.NoteDuration(aRoute.m_name, WorkOf(request));
  }
  Replay replay;
  for (milliseconds now(0); now < aLastAt; now += kInterval) {
    const milliseconds work = WorkOf(request++);
    if (!admission.MayPassOn(aRoute, { kTimeout, kStop - now })) {
      replay.m_firstRefusalAt = std::min(replay.m_firstRefusalAt, now);
      ++replay.m_refused;
    } else {
      ++(now + work < kStop ? replay.m_served : replay.m_lost);
    }
  }
  return replay;
}

} // namespace

TEST_CASE("a router that is stopped under load", "[stop]")
{
  SECTION("loses no request that may run only once and refuses none early")
  {
    for (const CallKind kind : { CallKind::kRunOnce, CallKind::kStream }) {
      const Replay replay = ReplayStop(MakeRoute(kind), kStop);
      CHECK(replay.m_lost == 0);
      CHECK(replay.m_firstRefusalAt == milliseconds(2000));
      CHECK(replay.m_served == 200);
    }
  }

  SECTION("passes on what callers repeat for as long as most of it is served")
  {
    const Replay replay = ReplayStop(MakeRoute(CallKind::kRepeatable), kStop);
    CHECK(replay.m_firstRefusalAt == milliseconds(6700));
    CHECK(replay.m_lost < replay.m_served / 10);
  }
}

TEST_CASE("a request at a router that is being stopped", "[stop]")
{
  StopAdmission admission;
  const Route once = MakeRoute(CallKind::kRunOnce);
  const auto note = [&admission](int aCount, milliseconds aDuration) {
    for (int i = 0; i < aCount; ++i) {
      admission.NoteDuration("desk", aDuration);
    }
  };

  SECTION("is passed on if its own time limit ends before the stop")
  {
    note(40, seconds(3));
    CHECK(admission.MayPassOn(once, { seconds(1), seconds(1) }));
    CHECK_FALSE(admission.MayPassOn(once, { milliseconds(1001), seconds(1) }));
  }

  SECTION("is refused if its body was complete too late for the usual work")
  {
    note(40, seconds(3));
    CHECK_FALSE(admission.MayPassOn(once, { kTimeout, seconds(1) }));
    CHECK(admission.MayPassOn(once, { kTimeout, milliseconds(4100) }));
  }

  SECTION("is refused once no time is left")
  {
    CHECK_FALSE(admission.MayPassOn(MakeRoute(CallKind::kRepeatable),
                                    { kTimeout, milliseconds(0) }));
    CHECK_FALSE(admission.MayPassOn(once, { kTimeout, milliseconds(-500) }));
  }

  SECTION("is judged by the latest requests only")
  {
    note(40, seconds(9));
    CHECK_FALSE(admission.MayPassOn(once, { kTimeout, seconds(5) }));
    note(40, milliseconds(200));
    CHECK(admission.MayPassOn(once, { kTimeout, seconds(5) }));
  }

  SECTION("is judged by the latency objective while little is known")
  {
    note(7, seconds(9));
    CHECK(admission.MayPassOn(once, { kTimeout, milliseconds(1200) }));
    CHECK_FALSE(admission.MayPassOn(once, { kTimeout, milliseconds(1199) }));
    note(1, seconds(9));
    CHECK_FALSE(admission.MayPassOn(once, { kTimeout, milliseconds(1200) }));
  }

  SECTION("is refused if it is a stream of unknown length, unless resumable")
  {
    CHECK_FALSE(admission.MayPassOn(MakeRoute(CallKind::kStream),
                                    { kTimeout, seconds(7) }));
    CHECK(admission.MayPassOn(MakeRoute(CallKind::kStream, true),
                              { kTimeout, seconds(7) }));
  }
}

TEST_CASE("the durations that a router keeps are bounded", "[stop]")
{
  constexpr std::size_t kMaxRoutes = 3;
  StopAdmissionOptions options;
  options.m_maxRoutes = kMaxRoutes;
  StopAdmission admission(options);
  const auto note = [&admission](const std::string& aRoute) {
    for (int i = 0; i < 8; ++i) {
      admission.NoteDuration(aRoute, seconds(9));
    }
  };
  note("desk");
  for (const char* route : { "a", "b", "c", "d" }) {
    note(route);
    note("desk");
  }
  CHECK(admission.Routes() == kMaxRoutes);
  CHECK_FALSE(admission.MayPassOn(MakeRoute(CallKind::kRunOnce),
                                  { kTimeout, seconds(8) }));
}
