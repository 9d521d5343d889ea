/// \file
/// Fleets of routers beside cold upstreams, in virtual time.
#include "bergamotpaddle/Scheduling/ColdRate.h"
#include "bergamotpaddle/Scheduling/Placement.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

using std::chrono::milliseconds;

const ServiceId kPool("pool");
const UpstreamId kCold("cold");
constexpr double kColdPerSecond = 14;
constexpr double kOver = 1.5;
constexpr double kSlack = 5;
constexpr int kLimit = 26; ///< Requests in any second.

Instant
AtMs(int aMilliseconds)
{
  return Instant(milliseconds(aMilliseconds));
}

std::vector<Service>
Services()
{
  Service service;
  service.m_id = kPool;
  service.m_coldPerSecond = kColdPerSecond;
  service.m_coldTime = std::chrono::seconds(3);
  return { service };
}

ColdRate
MakeRate()
{
  ColdRateOptions options;
  options.m_over = kOver;
  options.m_slack = kSlack;
  ColdRate rate(options);
  rate.SetServices(Services());
  return rate;
}

std::string
Address(int aNumber)
{
  return "10.0.0." + std::to_string(aNumber) + ":7060";
}

std::set<std::string>
Addresses(int aCount, int aFirst = 0)
{
  std::set<std::string> addresses;
  for (int number = aFirst; number < aFirst + aCount; ++number) {
    addresses.insert(Address(number));
  }
  return addresses;
}

/// Routers that all press for the same upstream, every few milliseconds.
class Fleet
{
public:
  void Add(int aNumber, const std::set<std::string>& aKnown, int aMs)
  {
    ColdRate rate = MakeRate();
    rate.SetRouters(Address(aNumber), aKnown, AtMs(aMs));
    m_rates.insert_or_assign(aNumber, std::move(rate));
  }
  void Tell(int aNumber, const std::set<std::string>& aKnown, int aMs)
  {
    m_rates.at(aNumber).SetRouters(Address(aNumber), aKnown, AtMs(aMs));
  }
  void NoteCold(int aMs, milliseconds aLeft, bool aIsNew)
  {
    for (auto& [number, rate] : m_rates) {
      rate.NoteCold(kCold, kPool, aLeft, aIsNew, AtMs(aMs));
    }
  }
  /// Every router places what it may from \p aFromMs to \p aToMs, and each
  /// request leaves up to 40 ms later.
  void Press(int aFromMs, int aToMs)
  {
    for (int ms = aFromMs; ms < aToMs; ms += 5) {
      for (auto& [number, rate] : m_rates) {
        const ColdUpstreams cold = rate.Find(kPool, AtMs(ms));
        if (cold.m_open.contains(kCold)) {
          rate.Reserve(kCold, kPool);
          Leave(rate, ms + (number * 7 + ms) % 40);
        }
      }
    }
  }
  /// One request at each router, as to a warm upstream.
  void SendAtEach(int aMs)
  {
    for (auto& [number, rate] : m_rates) {
      rate.Reserve(kCold, kPool);
      Leave(rate, aMs);
    }
  }
  /// The most requests in any second.
  int MostInASecond() const
  {
    int most = 0;
    for (const int from : m_sentMs) {
      most = std::max(most,
                      static_cast<int>(std::count_if(
                        m_sentMs.begin(), m_sentMs.end(), [from](int aMs) {
                          return aMs >= from && aMs < from + 1000;
                        })));
    }
    return most;
  }
  std::size_t Sent() const { return m_sentMs.size(); }

private:
  void Leave(ColdRate& aRate, int aMs)
  {
    if (aRate.Send(kCold, kPool, AtMs(aMs))) {
      m_sentMs.push_back(aMs);
    }
  }

  std::map<int, ColdRate> m_rates;
  std::vector<int> m_sentMs;
};

constexpr int kStart = 10'000; ///< All routers have run for long.

} // namespace

TEST_CASE("a fleet shares the rate at a cold upstream", "[cold]")
{
  constexpr int kRouters = 21;
  Fleet fleet;
  for (int number = 0; number < kRouters; ++number) {
    fleet.Add(number, Addresses(kRouters), 0);
  }

  SECTION("an upstream that has started gets some, below the limit")
  {
    fleet.NoteCold(kStart, milliseconds(3000), true);
    fleet.Press(kStart, kStart + 3000);
    CHECK(fleet.MostInASecond() <= static_cast<int>(kColdPerSecond));
    CHECK(fleet.Sent() >= 25);
  }
  SECTION("what it got while it was taken for a warm one counts")
  {
    fleet.SendAtEach(kStart - 1);
    fleet.NoteCold(kStart, milliseconds(3000), false);
    fleet.Press(kStart, kStart + 3000);
    CHECK(fleet.MostInASecond() <= kLimit);
  }
  SECTION("requests that were placed before and leave late are withheld")
  {
    ColdRate rate = MakeRate();
    rate.SetRouters(Address(0), Addresses(1), AtMs(0));
    rate.Reserve(kCold, kPool);
    rate.NoteCold(kCold, kPool, milliseconds(3000), false, AtMs(kStart));
    CHECK_FALSE(rate.Send(kCold, kPool, AtMs(kStart + 200)));
  }
  SECTION("it turns cold again at any moment")
  {
    for (int ms = kStart; ms < kStart + 10'000; ms += 1700) {
      fleet.NoteCold(ms, milliseconds(3000), false);
      fleet.Press(ms, ms + 1700);
    }
    CHECK(fleet.MostInASecond() <= kLimit);
  }
  SECTION("routers join, and half of the fleet has not heard of them yet")
  {
    constexpr int kMore = 10;
    for (int number = 0; number < kRouters; number += 2) {
      fleet.Tell(number, Addresses(kRouters + kMore), kStart);
    }
    for (int number = kRouters; number < kRouters + kMore; ++number) {
      fleet.Add(number, Addresses(kRouters + kMore), kStart - 5000);
    }
    fleet.NoteCold(kStart, milliseconds(3000), true);
    fleet.Press(kStart, kStart + 3000);
    CHECK(fleet.MostInASecond() <= kLimit);
  }
  SECTION("a cut router goes on with what it knew, and no more")
  {
    for (int number = 1; number < kRouters; ++number) {
      fleet.Tell(number, Addresses(kRouters + 5), kStart);
    }
    fleet.NoteCold(kStart, milliseconds(3000), true);
    fleet.Press(kStart, kStart + 3000);
    CHECK(fleet.MostInASecond() <= kLimit);
  }
  SECTION("all routers restart within the second")
  {
    fleet.NoteCold(kStart, milliseconds(3000), true);
    fleet.Press(kStart, kStart + 300);
    for (int number = 0; number < kRouters; ++number) {
      fleet.Add(number, Addresses(kRouters), kStart + 300);
    }
    fleet.NoteCold(kStart + 300, milliseconds(2700), true);
    fleet.Press(kStart + 300, kStart + 3000);
    CHECK(fleet.MostInASecond() <= kLimit);
  }
  SECTION("a router that knows no list sends nothing")
  {
    ColdRate rate = MakeRate();
    rate.NoteCold(kCold, kPool, milliseconds(3000), true, AtMs(kStart));
    CHECK(rate.Find(kPool, AtMs(kStart)).m_withheld.contains(kCold));
  }
}

TEST_CASE("fleets of any size use most of the rate", "[cold]")
{
  for (const int count : { 1, 2, 4, 8, 13, 14, 40, 370 }) {
    int owned = 0;
    for (int number = 0; number < count; ++number) {
      ColdRate rate = MakeRate();
      rate.SetRouters(Address(number), Addresses(count), AtMs(0));
      owned += rate.Share(kCold, kPool);
    }
    CAPTURE(count);
    CHECK(owned <= static_cast<int>(kColdPerSecond));
    CHECK(2 * owned >= static_cast<int>(kColdPerSecond));
  }
}

TEST_CASE("a deployment without the bound limits nothing", "[cold]")
{
  ColdRate rate;
  rate.SetServices(Services());
  CHECK_FALSE(
    rate.NoteCold(kCold, kPool, milliseconds(3000), true, AtMs(kStart)));
  CHECK_FALSE(rate.IsCold(kCold, AtMs(kStart)));
  CHECK(rate.Send(kCold, kPool, AtMs(kStart)));
}

TEST_CASE("a zone that was taken back is ramped up", "[cold][evacuation]")
{
  UpstreamView view;
  for (int number = 0; number < 12; ++number) {
    UpstreamEntry entry;
    entry.m_id = UpstreamId("engine-" + std::to_string(number));
    entry.m_service = kPool;
    entry.m_address = "127.0.0.1:9";
    entry.m_zone = number < 4 ? "a" : "b";
    entry.m_slots = 48;
    view.Upsert(entry);
  }
  PlacementOptions options;
  options.m_zone = "a";
  Placement placement(options);
  ColdRate rate = MakeRate();
  rate.SetRouters(Address(0), Addresses(1), AtMs(0));
  view.Evacuation().Set("a", true);
  view.Evacuation().Set("a", false);
  for (int number = 0; number < 4; ++number) {
    rate.AssumeCold(
      UpstreamId("engine-" + std::to_string(number)), kPool, AtMs(kStart));
  }
  std::map<UpstreamId, std::vector<int>> sentMs;
  int refused = 0;
  for (int ms = kStart; ms < kStart + 6000; ms += 4) { // 250 a second.
    PlacementRequest request;
    request.m_service = kPool;
    request.m_timeLeft = std::chrono::seconds(5);
    request.m_cold = rate.Find(kPool, AtMs(ms));
    const PlacementResult result = placement.Choose(view, request, AtMs(ms));
    if (result.m_verdict != PlacementResult::Verdict::kPlaced) {
      ++refused;
      continue;
    }
    const UpstreamId& id = result.m_choice.m_upstream;
    rate.Reserve(id, kPool);
    REQUIRE(rate.Send(id, kPool, AtMs(ms)));
    view.NoteSent(id, false, Duration(0), {}, AtMs(ms));
    if (sentMs[id].size() % 2 == 1) { // Half of them go on for long.
      view.NoteEnded(id, false);
    }
    sentMs[id].push_back(ms);
  }
  for (const auto& [id, sent] : sentMs) {
    if (view.Find(id)->m_entry.m_zone == "a") {
      const auto early = std::count_if(
        sent.begin(), sent.end(), [](int aMs) { return aMs < kStart + 3000; });
      CHECK(early <= 3 * static_cast<int>(kColdPerSecond));
      CHECK(static_cast<int>(sent.size()) > early); // Later more.
    }
  }
}
