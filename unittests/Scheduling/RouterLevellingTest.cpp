/// \file
/// Tests of the levelling of a fleet. They replay, in virtual time, a zone of
/// unequal routers behind a load balancer that assigns callers by a hash.
#include "bergamotpaddle/Scheduling/RouterLevelling.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kTick{ 20 };
/// Interval at which the load balancer checks readiness; a router leaves after
/// two failures.
constexpr seconds kCheckInterval{ 1 };
constexpr milliseconds kDigestInterval{ 100 };
/// A caller opens a new connection this often, whatever the router does.
constexpr seconds kReconnectInterval{ 10 };
/// Processor that one caller takes, in millicores.
constexpr int kCostOfCaller = 2;

struct Router
{
  int m_millicores = 0;
  int m_callersByHash = 0; ///< Callers whose hash selects this router.
  RouterLevelling m_levelling{};
  int m_callers = 0;
  int m_failedChecks = 0;
  bool m_isInRotation = true;
  bool m_isCutOff = false;
  int m_ticksAway = 0;
  int m_ticksLate = 0;
  int m_ticks = 0;

  /// The event loop's delay grows with the load and without bound near 1.
  Duration Delay() const
  {
    const double load = std::min(
      static_cast<double>(m_callers * kCostOfCaller) / m_millicores, 0.97);
    return Duration(static_cast<Duration::rep>(1000 * load / (1 - load)));
  }
  double LateShare() const { return double(m_ticksLate) / m_ticks; }
  double AwayShare() const { return double(m_ticksAway) / m_ticks; }
};

class Zone
{
public:
  /// With \p aHasReports false each router follows the rule of one router.
  Zone(std::vector<Router> aRouters, bool aHasReports = true)
    : m_routers(std::move(aRouters))
  {
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      RouterLevellingOptions options;
      options.m_zone = "a";
      options.m_roomMillicores = aHasReports ? m_routers[i].m_millicores : 0;
      m_routers[i].m_levelling = RouterLevelling(options);
      m_routers[i].m_levelling.SetName(Name(i));
      m_routers[i].m_callers = m_routers[i].m_callersByHash;
      for (int n = 0; n < m_routers[i].m_callersByHash; ++n) {
        m_callers.push_back({ i, i });
      }
    }
  }

  void Play(Duration aTime)
  {
    for (Duration end = m_elapsed + aTime; m_elapsed < end;
         m_elapsed += kTick) {
      m_now = Instant(seconds(100)) + m_elapsed;
      PlayTick();
    }
  }

  std::size_t InRotation() const
  {
    return static_cast<std::size_t>(
      std::count_if(m_routers.begin(), m_routers.end(), [](const Router& aOne) {
        return aOne.m_isInRotation;
      }));
  }

  /// Over the routers of the zone.
  double AwayShare() const
  {
    double sum = 0;
    for (const Router& router : m_routers) {
      sum += router.AwayShare();
    }
    return sum / static_cast<double>(m_routers.size());
  }

  std::vector<Router> m_routers;
  std::size_t m_leastInRotation = 1000;

private:
  struct Caller
  {
    std::size_t m_hash = 0; ///< The router that its hash selects.
    std::size_t m_router = 0;
  };

  static std::string Name(std::size_t aRouter)
  {
    return std::string(1, static_cast<char>('a' + aRouter));
  }

  void PlayTick()
  {
    for (Router& router : m_routers) {
      const Duration delay = router.Delay();
      router.m_levelling.NoteTick(
        delay, static_cast<std::size_t>(router.m_callers), 0, m_now);
      router.m_ticksAway += router.m_levelling.IsReady() ? 0 : 1;
      router.m_ticksLate += delay > milliseconds(8) ? 1 : 0;
      ++router.m_ticks;
    }
    if (m_elapsed % kDigestInterval < kTick) {
      SendDigests();
    }
    if (m_elapsed % kCheckInterval < kTick) {
      for (Router& router : m_routers) {
        router.m_failedChecks =
          router.m_levelling.IsReady() ? 0 : router.m_failedChecks + 1;
        router.m_isInRotation = router.m_failedChecks < 2;
      }
      m_leastInRotation = std::min(m_leastInRotation, InRotation());
    }
    const auto ticks = static_cast<std::size_t>(m_elapsed / kTick);
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
      Caller& caller = m_callers[i];
      // Each caller gets a response in each tick.
      const bool isReconnect =
        (ticks + i) %
          static_cast<std::size_t>(Duration(kReconnectInterval) / kTick) ==
        0;
      if (m_routers[caller.m_router].m_levelling.TakeClose() || isReconnect) {
        --m_routers[caller.m_router].m_callers;
        caller.m_router = Assign(caller, i);
        ++m_routers[caller.m_router].m_callers;
      }
    }
  }

  /// Every router also hears of ten idle routers of another zone.
  void SendDigests()
  {
    const auto alive = static_cast<std::uint32_t>(m_elapsed / milliseconds(1));
    for (char name = 'm'; name < 'w'; ++name) {
      for (Router& router : m_routers) {
        if (!router.m_isCutOff) {
          router.m_levelling.NoteReport(
            std::string(1, name), "b", { 500, 0, false, 0, alive }, m_now);
        }
      }
    }
    for (std::size_t from = 0; from < m_routers.size(); ++from) {
      const RouterLoad load = m_routers[from].m_levelling.Report(m_now);
      for (std::size_t to = 0; to < m_routers.size(); ++to) {
        if (from != to && !m_routers[from].m_isCutOff &&
            !m_routers[to].m_isCutOff) {
          m_routers[to].m_levelling.NoteReport(Name(from), "a", load, m_now);
        }
      }
    }
  }

  std::size_t Assign(const Caller& aCaller, std::size_t aNumber) const
  {
    const bool usesAll = 2 * InRotation() < m_routers.size();
    if (usesAll || m_routers[aCaller.m_hash].m_isInRotation) {
      return aCaller.m_hash;
    }
    std::size_t router = aNumber % m_routers.size();
    while (!m_routers[router].m_isInRotation) {
      router = (router + 1) % m_routers.size();
    }
    return router;
  }

  std::vector<Caller> m_callers;
  Duration m_elapsed{ 0 };
  Instant m_now{};
};

} // namespace

TEST_CASE("a zone of unequal routers", "[levelling]")
{
  SECTION("whose smallest router is hashed half of the callers")
  {
    const std::vector<Router> routers = {
      { 500, 12 }, { 500, 10 }, { 200, 10 }, { 90, 8 }, { 80, 50 }
    };
    SECTION("is late there under the rule of one router")
    {
      Zone zone(routers, false);
      zone.Play(seconds(60));
      CHECK(zone.m_routers.back().LateShare() > 0.5);
    }

    SECTION("moves these callers to routers with room")
    {
      Zone zone(routers);
      zone.Play(seconds(60));
      Router& small = zone.m_routers.back();
      CHECK(small.LateShare() < 0.25);
      CHECK(small.m_levelling.Count() >= 1);
      for (std::size_t i = 0; i + 1 < zone.m_routers.size(); ++i) {
        CHECK(zone.m_routers[i].LateShare() < 0.05);
      }
      // The users ask for less than an eighth of the time of all 15 routers.
      CHECK(zone.AwayShare() * 5 / 15 < 0.125);
    }
  }

  SECTION("whose routers are all overloaded stays in rotation")
  {
    Zone zone({ { 90, 60 }, { 90, 60 }, { 90, 60 }, { 90, 60 } });
    zone.Play(seconds(60));
    CHECK(zone.m_leastInRotation == 4);
    CHECK_FALSE(zone.m_routers[0].m_levelling.ShouldRefuse(milliseconds(100)));
  }

  SECTION("of which many are overloaded keeps two thirds in rotation")
  {
    Zone zone({ { 500, 5 },
                { 500, 5 },
                { 90, 60 },
                { 90, 60 },
                { 80, 60 },
                { 80, 60 } });
    zone.Play(seconds(60));
    CHECK(zone.m_leastInRotation == 4);
  }

  SECTION("with one that hears of no other: it follows its own rule")
  {
    Zone zone({ { 500, 10 }, { 500, 10 }, { 80, 60 } });
    zone.m_routers.back().m_isCutOff = true;
    zone.Play(seconds(60));
    const Router& small = zone.m_routers.back();
    CHECK(small.m_levelling.Count() == 2); // Once in 40 s.
    CHECK(small.AwayShare() < 0.2);
    CHECK_FALSE(small.m_levelling.ShouldRefuse(milliseconds(100)));
  }

  SECTION("that all keep up hands nothing over")
  {
    Zone zone({ { 500, 50 }, { 200, 40 }, { 90, 20 } });
    zone.Play(seconds(60));
    CHECK(zone.m_leastInRotation == 3);
  }
}

TEST_CASE("a router's pressure", "[levelling]")
{
  RouterLevellingOptions options;
  options.m_zone = "a";
  options.m_roomMillicores = 90;
  options.m_linkBytesPerSecond = 1'250'000;
  RouterLevelling levelling(options);
  Instant now{ seconds(100) };
  std::uint64_t bytes = 0;
  const auto play = [&](Duration aTime, Duration aDelay, std::uint64_t aRate) {
    for (const Instant end = now + aTime; now < end; now += kTick) {
      bytes += aRate / 50;
      levelling.NoteReport("b", "a", { 500, 100, false, 0, 600'000 }, now);
      levelling.NoteTick(aDelay, 10, bytes, now);
    }
  };

  SECTION("rises with its link, though its event loop runs in time")
  {
    play(seconds(5), Duration(0), 1'200'000);
    CHECK(levelling.Pressure() > 1000);
    CHECK_FALSE(levelling.IsReady());
    CHECK_FALSE(levelling.ShouldRefuse(milliseconds(100)));

    SECTION("and the router returns when that has room again")
    {
      play(seconds(10), Duration(0), 100'000);
      CHECK(levelling.IsReady());
    }
  }

  SECTION("does not count a single pause of the event loop")
  {
    play(seconds(3), Duration(0), 0);
    play(kTick, milliseconds(300), 0);
    play(seconds(3), Duration(0), 0);
    CHECK(levelling.Count() == 0);
  }

  SECTION("has requests refused that would be late, while others have room")
  {
    play(seconds(5), milliseconds(40), 0);
    CHECK(levelling.ShouldRefuse(milliseconds(120)));
    CHECK_FALSE(levelling.ShouldRefuse(milliseconds(1200)));
  }

  SECTION("has nothing refused if the settings don't tell its room")
  {
    options.m_roomMillicores = 0;
    levelling = RouterLevelling(options);
    play(seconds(5), milliseconds(40), 0);
    CHECK_FALSE(levelling.ShouldRefuse(milliseconds(120)));
  }

  SECTION("is told without room by earlier releases, and then ignored")
  {
    levelling.NoteReport("c", "a", RouterLoad{}, now);
    levelling.NoteReport("d", "a", { -5, 0, true, 7, 3 }, now);
    levelling.NoteTick(Duration(0), 0, 0, now);
    CHECK(levelling.ZoneSize() == 1);
  }
}
