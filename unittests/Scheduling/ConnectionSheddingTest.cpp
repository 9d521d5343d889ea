/// \file
/// Tests of handing connections over. They replay a zone in which one router
/// with a small share of a core got most of the callers.
#include "bergamotpaddle/Scheduling/ConnectionShedding.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kTick{ 20 };
/// Interval at which the load balancer checks readiness; a router leaves after
/// two failures.
constexpr seconds kCheckInterval{ 1 };

/// One router and its callers.
struct Router
{
  double m_capacity = 0; ///< Callers that it serves without delay.
  int m_callers = 0;
  ConnectionShedding m_shedding{};
  int m_failedChecks = 0;
  bool m_isInRotation = true;
  int m_ticksNotReady = 0;

  /// The event loop's delay grows with the load and without bound near 1.
  Duration Delay() const
  {
    const double load = std::min(m_callers / m_capacity, 0.97);
    return Duration(static_cast<Duration::rep>(1000 * load / (1 - load)));
  }
};

/// A zone whose balancer assigns a closed connection to another router in
/// rotation.
class Zone
{
public:
  explicit Zone(std::vector<Router> aRouters)
    : m_routers(std::move(aRouters))
  {
  }

  void Play(Duration aTime)
  {
    for (Duration end = m_elapsed + aTime; m_elapsed < end;
         m_elapsed += kTick) {
      const Instant now = Instant(seconds(100)) + m_elapsed;
      for (Router& router : m_routers) {
        router.m_shedding.NoteLoopDelay(
          router.Delay(), static_cast<std::size_t>(router.m_callers), now);
        router.m_ticksNotReady += router.m_shedding.IsReady() ? 0 : 1;
        // Each caller gets a response in each tick.
        for (int i = router.m_callers; i > 0; --i) {
          if (router.m_shedding.TakeClose()) {
            --router.m_callers;
            Assign();
          }
        }
      }
      if (m_elapsed % kCheckInterval < kTick) {
        for (Router& router : m_routers) {
          router.m_failedChecks =
            router.m_shedding.IsReady() ? 0 : router.m_failedChecks + 1;
          router.m_isInRotation = router.m_failedChecks < 2;
        }
      }
    }
  }

  int AllCallers() const
  {
    return std::accumulate(
      m_routers.begin(),
      m_routers.end(),
      0,
      [](int aSum, const Router& aRouter) { return aSum + aRouter.m_callers; });
  }

  std::vector<Router> m_routers;

private:
  void Assign()
  {
    // With no router in rotation the balancer uses all of them.
    const bool hasRotation =
      std::any_of(m_routers.begin(),
                  m_routers.end(),
                  [](const Router& aRouter) { return aRouter.m_isInRotation; });
    do {
      m_next = (m_next + 1) % m_routers.size();
    } while (hasRotation && !m_routers[m_next].m_isInRotation);
    ++m_routers[m_next].m_callers;
  }

  Duration m_elapsed{ 0 };
  std::size_t m_next = 0;
};

} // namespace

TEST_CASE("connections in a zone", "[shedding]")
{
  SECTION("leave a small router that most callers were assigned to")
  {
    Zone zone({ { 40, 6 }, { 40, 5 }, { 40, 4 }, { 18, 3 }, { 18, 18 } });
    const int callers = zone.AllCallers();
    zone.Play(seconds(6));
    const Router& small = zone.m_routers.back();
    CHECK(small.m_callers <= 9);
    CHECK(small.Delay() < milliseconds(8));
    CHECK(small.m_isInRotation);
    CHECK(zone.AllCallers() == callers);

    SECTION("and the router stays ready from then on")
    {
      zone.Play(seconds(60));
      CHECK(zone.m_routers.back().m_shedding.Count() == 1);
    }
  }

  SECTION("stay where all routers keep up")
  {
    Zone zone({ { 40, 20 }, { 40, 30 }, { 18, 9 } });
    zone.Play(seconds(60));
    for (const Router& router : zone.m_routers) {
      CHECK(router.m_shedding.Count() == 0);
    }
  }

  SECTION("move rarely if all routers are overloaded: these stay ready")
  {
    Zone zone({ { 18, 18 }, { 18, 18 }, { 18, 18 } });
    constexpr int kSeconds = 120;
    zone.Play(seconds(kSeconds));
    const int ticks = static_cast<int>(seconds(kSeconds) / kTick);
    for (const Router& router : zone.m_routers) {
      CHECK(router.m_ticksNotReady <= ticks / 8);
    }
  }

  SECTION("stay beside a single pause of the event loop")
  {
    ConnectionShedding shedding;
    Instant now{ seconds(100) };
    for (int i = 0; i < 500; ++i) {
      now += kTick;
      const bool isPause = i == 200;
      shedding.NoteLoopDelay(
        isPause ? milliseconds(300) : Duration(0), 10, now);
    }
    CHECK(shedding.Count() == 0);
  }
}
