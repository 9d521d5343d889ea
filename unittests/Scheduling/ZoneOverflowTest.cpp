/// \file
/// When and how much of a zone's load leaves it.
#include "bergamotpaddle/Scheduling/Placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace bergamotpaddle;

namespace {

const ServiceId kService("registry");
constexpr int kServersPerZone = 4;
constexpr int kSlots = 8;
constexpr int kRoutersPerZone = 3;
constexpr double kWorkMs = 40;
constexpr auto kWorkTime = std::chrono::milliseconds(40);
const std::vector<std::string> kZones = { "a", "b", "c" };

UpstreamEntry
Server(const std::string& aZone, int aNumber)
{
  UpstreamEntry entry;
  entry.m_id = UpstreamId("server-" + aZone + std::to_string(aNumber));
  entry.m_service = kService;
  entry.m_address = "127.0.0.1:9";
  entry.m_zone = aZone;
  entry.m_slots = kSlots;
  return entry;
}

PlacementOptions
Options(const std::string& aZone, double aMsPerKilobyte)
{
  PlacementOptions options;
  options.m_zone = aZone;
  options.m_overflow.m_msPerKilobyte = aMsPerKilobyte;
  return options;
}

/// Utilization of a zone's servers that its callers cause, by time.
using Demand = std::function<double(const std::string&, double)>;

struct ZoneResult
{
  int m_placed = 0;
  int m_left = 0;     ///< Of these, sent to other zones.
  int m_leftLate = 0; ///< Of these, in the last two seconds.
  int m_refused = 0;
  int m_switches = 0; ///< Times the share of a router became 0 or left it.
};

/// Three zones with a few routers and servers each, in virtual time. Routers
/// report their load to each other every 100 ms.
class Fleet
{
public:
  explicit Fleet(double aMsPerKilobyte,
                 const std::set<std::string>& aEmpty = {})
  {
    for (const std::string& zone : kZones) {
      for (int number = 0; number < kRoutersPerZone; ++number) {
        m_routers.push_back({ zone,
                              zone + std::to_string(number),
                              {},
                              Placement(Options(zone, aMsPerKilobyte)) });
        for (const std::string& other : kZones) {
          for (int server = 0; server < kServersPerZone; ++server) {
            if (!aEmpty.contains(other)) {
              m_routers.back().m_view.Upsert(Server(other, server));
            }
          }
        }
      }
    }
  }

  /// Connections to \p aZone fail.
  void Cut(const std::string& aZone) { m_cutZone = aZone; }

  std::map<std::string, ZoneResult> Run(const Demand& aDemand,
                                        std::uint64_t aBytes,
                                        int aSeconds)
  {
    std::map<std::string, ZoneResult> results;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::multimap<Instant, std::pair<std::size_t, UpstreamId>> ends;
    const Instant end{ std::chrono::seconds(aSeconds) };
    for (Instant now{}; now < end; now += std::chrono::milliseconds(1)) {
      while (!ends.empty() && ends.begin()->first <= now) {
        const auto [router, upstream] = ends.begin()->second;
        m_routers.at(router).m_view.NoteEnded(upstream, false);
        ends.erase(ends.begin());
      }
      const double seconds =
        std::chrono::duration<double>(now.time_since_epoch()).count();
      if (now.time_since_epoch() % std::chrono::milliseconds(100) ==
          Duration(0)) {
        ExchangeDigests(now);
      }
      for (std::size_t i = 0; i < m_routers.size(); ++i) {
        Router& router = m_routers.at(i);
        const double perMs = aDemand(router.m_zone, seconds) * kSlots *
                             kServersPerZone / kWorkMs / kRoutersPerZone;
        ZoneResult& result = results[router.m_zone];
        if (uniform(random) >= perMs) {
          continue;
        }
        PlacementRequest request;
        request.m_service = kService;
        request.m_bytes = aBytes;
        request.m_timeLeft = std::chrono::seconds(1);
        const PlacementResult placed =
          router.m_placement.Choose(router.m_view, request, now);
        result.m_switches += static_cast<int>(CountSwitches(router));
        if (placed.m_verdict != PlacementResult::Verdict::kPlaced) {
          ++result.m_refused;
          continue;
        }
        const UpstreamId& id = placed.m_choice.m_upstream;
        const std::string zone = router.m_view.Find(id)->m_entry.m_zone;
        if (zone == m_cutZone && zone != router.m_zone) {
          router.m_view.NoteOutcome(id, ExchangeOutcome::kUnreachable, now);
          ++result.m_refused;
          continue;
        }
        ++result.m_placed;
        const bool hasLeft = zone != router.m_zone;
        CHECK(placed.m_choice.m_isOtherZone == hasLeft);
        result.m_left += hasLeft ? 1 : 0;
        result.m_leftLate += hasLeft && seconds > aSeconds - 2 ? 1 : 0;
        router.m_view.NoteSent(id, false, Duration(0), {}, now);
        // Work beyond the slots waits for the first that is free.
        std::vector<Instant>& slots = m_slotsUntil[id];
        slots.resize(kSlots);
        Instant& slot = *std::min_element(slots.begin(), slots.end());
        slot = std::max(slot, now) + kWorkTime;
        ends.emplace(slot, std::pair(i, id));
      }
    }
    return results;
  }

private:
  struct Router
  {
    std::string m_zone;
    std::string m_name;
    UpstreamView m_view;
    Placement m_placement;
    bool m_isLeaving = false;
  };

  static bool CountSwitches(Router& aRouter)
  {
    const auto shares = aRouter.m_placement.Overflow().Shares();
    const auto share = shares.find(kService);
    const bool isLeaving = share != shares.end() && share->second > 0;
    return std::exchange(aRouter.m_isLeaving, isLeaving) != isLeaving;
  }

  void ExchangeDigests(Instant aNow)
  {
    for (const Router& from : m_routers) {
      for (Router& to : m_routers) {
        if (to.m_name == from.m_name) {
          continue;
        }
        for (const auto& [id, state] : from.m_view.All()) {
          to.m_view.NotePeerLoad(
            from.m_name, id, from.m_view.OwnLoad(state, aNow), aNow);
        }
      }
    }
  }

  std::vector<Router> m_routers;
  std::map<UpstreamId, std::vector<Instant>> m_slotsUntil;
  std::string m_cutZone;
};

/// A burst in zone a from 2 s to 6 s; the other zones are little used.
double
BurstInA(const std::string& aZone, double aSeconds)
{
  if (aZone != "a") {
    return 0.2;
  }
  return aSeconds >= 2 && aSeconds < 6 ? 1.8 : 0.2;
}

} // namespace

TEST_CASE("a burst in one zone", "[zone]")
{
  constexpr std::uint64_t kBytes = 600;

  SECTION("leaves by as much as the zone lacks, and comes home")
  {
    Fleet fleet(1);
    auto results = fleet.Run(BurstInA, kBytes, 12);
    const ZoneResult& burst = results["a"];
    CAPTURE(burst.m_placed, burst.m_left, burst.m_refused, burst.m_switches);
    // 0.8 of a zone's capacity for four seconds is 0.4 of all its requests.
    CHECK(burst.m_left > burst.m_placed / 4);
    CHECK(burst.m_left < burst.m_placed * 3 / 5);
    CHECK(burst.m_refused < burst.m_placed / 50);
    CHECK(burst.m_leftLate == 0);
    CHECK(results["b"].m_left + results["c"].m_left <
          (results["b"].m_placed + results["c"].m_placed) / 50);

    SECTION("without flapping")
    {
      // Each router begins to leave and ends it; Poisson arrivals may repeat
      // that once.
      CHECK(burst.m_switches <= kRoutersPerZone * 4);
    }
  }

  SECTION("stays home longer with long bodies")
  {
    const Demand demand = [](const std::string& aZone, double) {
      return aZone == "a" ? 0.9 : 0.2;
    };
    Fleet fleetOfShort(1);
    Fleet fleetOfLong(1);
    auto shortBodies = fleetOfShort.Run(demand, kBytes, 8);
    auto longBodies = fleetOfLong.Run(demand, 25'000, 8);
    CAPTURE(shortBodies["a"].m_left, longBodies["a"].m_left);
    CHECK(shortBodies["a"].m_left > 0);
    CHECK(longBodies["a"].m_left < shortBodies["a"].m_left / 2);
  }

  SECTION("goes to the zone that isn't cut off")
  {
    Fleet fleet(1);
    fleet.Cut("b");
    auto results = fleet.Run(
      [](const std::string& aZone, double) { return aZone == "a" ? 1.3 : 0.2; },
      kBytes,
      8);
    CAPTURE(results["a"].m_placed, results["a"].m_refused);
    CHECK(results["a"].m_left > results["a"].m_placed / 6);
    CHECK(results["a"].m_refused < results["a"].m_placed / 10);
  }
}

TEST_CASE("zones that are all overloaded don't exchange their load", "[zone]")
{
  Fleet fleet(1);
  auto results =
    fleet.Run([](const std::string&, double) { return 1.3; }, 600, 6);
  for (const std::string& zone : kZones) {
    CAPTURE(zone, results[zone].m_placed, results[zone].m_left);
    CHECK(results[zone].m_left < results[zone].m_placed / 20);
  }
}

TEST_CASE("zones of equal load keep it", "[zone]")
{
  Fleet fleet(1);
  auto results =
    fleet.Run([](const std::string&, double) { return 0.6; }, 600, 6);
  for (const std::string& zone : kZones) {
    CAPTURE(zone, results[zone].m_placed, results[zone].m_left);
    CHECK(results[zone].m_left < results[zone].m_placed / 20);
  }
}

TEST_CASE("a zone without upstreams is served by the others", "[zone]")
{
  Fleet fleet(1, { "a" });
  auto results =
    fleet.Run([](const std::string&, double) { return 0.4; }, 600, 4);
  CHECK(results["a"].m_refused == 0);
  CHECK(results["a"].m_left == results["a"].m_placed);
  CHECK(results["b"].m_left < results["b"].m_placed / 20);
}

TEST_CASE("prompts whose shared part takes longer than the way", "[zone]")
{
  const auto choose = [](const std::string& aZone, std::uint32_t aShared) {
    UpstreamView view;
    for (const std::string& zone : kZones) {
      for (int server = 0; server < kServersPerZone; ++server) {
        view.Upsert(Server(zone, server));
      }
    }
    Placement placement(Options(aZone, 1));
    PlacementRequest request;
    request.m_service = kService;
    request.m_parts = { { 5, aShared }, { 77, 6000 } };
    request.m_bytes = 9000;
    request.m_timeLeft = std::chrono::seconds(5);
    return placement.Choose(view, request, Instant{}).m_choice;
  };

  SECTION("share engines with other zones")
  {
    CHECK_FALSE(choose("a", 50).m_isOtherZone);
    CHECK_FALSE(choose("b", 50).m_isOtherZone);
    std::set<std::string> zones;
    int others = 0;
    for (const std::string& zone : kZones) {
      others += choose(zone, 6000).m_isOtherZone ? 1 : 0;
    }
    CHECK(others > 0);
  }
}

TEST_CASE("without a price requests leave as before", "[zone]")
{
  Fleet fleet(0);
  auto results = fleet.Run(BurstInA, 600, 4);
  CHECK(results["a"].m_left > 0);
  CHECK(results["a"].m_switches == 0);
}
