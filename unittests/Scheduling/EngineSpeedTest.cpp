/// \file
/// Learning the speeds of upstreams, and placement by them.
#include "bergamotpaddle/Scheduling/EngineSpeed.h"
#include "bergamotpaddle/Scheduling/SpeedSamples.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace bergamotpaddle;

namespace {

const ServiceId kPool("pool");
constexpr int kEngines = 12;
constexpr int kSlots = 48;

UpstreamEntry
Engine(int aNumber, std::int64_t aStartedAtMs = 1000)
{
  UpstreamEntry entry;
  entry.m_id = UpstreamId("engine-" + std::to_string(aNumber));
  entry.m_service = kPool;
  entry.m_address = "127.0.0.1:9";
  entry.m_zone = "a";
  entry.m_slots = kSlots;
  entry.m_startedAtMs = aStartedAtMs;
  return entry;
}

/// Engines of different true speeds in virtual time: each prefills one prompt
/// after another. Long prompts arrive at random.
class UnequalPool
{
public:
  explicit UnequalPool(unsigned aSeed)
    : m_random(aSeed)
  {
    std::uniform_real_distribution<double> spread(0.8, 1.2);
    for (int number = 0; number < kEngines; ++number) {
      // Of three engines, one takes 2.4 times as long as the others.
      m_trueFactors.push_back((number % 3 == 0 ? 2.4 : 1) * 1.5 *
                              spread(m_random));
    }
  }

  enum class Knowledge
  {
    kNominal, ///< All engines are taken to be nominal.
    kLearnt,
    kExact,
  };

  /// Returns the mean time to the first event in milliseconds, in the second
  /// half of the run.
  double MeanFirstEvent(Knowledge aKnowledge)
  {
    UpstreamView view;
    for (int number = 0; number < kEngines; ++number) {
      view.Upsert(Engine(number));
      if (aKnowledge == Knowledge::kExact) {
        view.Find(Engine(number).m_id)->m_speed = {
          m_trueFactors.at(number), m_trueFactors.at(number) / 1.5
        };
      }
    }
    Placement placement({});
    std::map<UpstreamId, Instant> busyUntil;
    std::multimap<Instant, std::function<void(Instant)>> events;
    std::mt19937 random(m_random);
    std::exponential_distribution<double> gap(1 / kMeanGapMs);
    std::uniform_int_distribution<std::uint32_t> tokens(2000, 8000);
    double sumMs = 0;
    int counted = 0;
    double atMs = 0;
    for (int number = 0; number < kRequests; ++number) {
      atMs += gap(random);
      const Instant now(
        std::chrono::microseconds(static_cast<std::int64_t>(atMs * 1000)));
      while (!events.empty() && events.begin()->first <= now) {
        const auto event = events.extract(events.begin());
        event.mapped()(event.key());
      }
      PlacementRequest request;
      request.m_service = kPool;
      const auto own = static_cast<std::uint64_t>(number);
      request.m_parts = { { 10'000 + own, tokens(random) } };
      request.m_timeLeft = std::chrono::seconds(30);
      const PlacementResult result = placement.Choose(view, request, now);
      REQUIRE(result.m_verdict == PlacementResult::Verdict::kPlaced);
      const PlacementChoice choice = result.m_choice;
      view.NoteSent(choice.m_upstream, false, choice.m_prefill, {}, now);
      const int engine = std::stoi(choice.m_upstream.Str().substr(7));
      Instant& busy = busyUntil[choice.m_upstream];
      busy = std::max(busy, now) +
             Duration(static_cast<Duration::rep>(
               static_cast<double>(choice.m_nominalPrefill.count()) *
               m_trueFactors.at(static_cast<std::size_t>(engine))));
      const Instant firstEventAt = busy + std::chrono::milliseconds(10);
      if (number >= kRequests / 2) {
        sumMs += static_cast<double>((firstEventAt - now).count()) / 1000;
        ++counted;
      }
      events.emplace(firstEventAt, [&, choice, now](Instant aAt) {
        if (aKnowledge == Knowledge::kLearnt) {
          if (const auto ratio = PrefillSample(choice, kSlots, aAt - now, 1)) {
            view.NoteSpeed(choice.m_upstream, SpeedKind::kPrefill, *ratio);
          }
        }
        view.NoteFirstEvent(choice.m_upstream, aAt);
        view.NoteEnded(choice.m_upstream, false);
      });
    }
    return sumMs / counted;
  }

private:
  static constexpr int kRequests = 3000;
  static constexpr double kMeanGapMs = 20;
  std::mt19937 m_random;
  std::vector<double> m_trueFactors;
};

} // namespace

TEST_CASE("placement learns that the engines of a pool are unequal", "[speed]")
{
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U }) {
    UnequalPool pool(seed);
    const double exact = pool.MeanFirstEvent(UnequalPool::Knowledge::kExact);
    const double learnt = pool.MeanFirstEvent(UnequalPool::Knowledge::kLearnt);
    const double nominal =
      pool.MeanFirstEvent(UnequalPool::Knowledge::kNominal);
    CAPTURE(seed, exact, learnt, nominal);
    CHECK(learnt <= exact * 1.1);
    CHECK(nominal > learnt * 1.1);
  }
}

TEST_CASE("estimates of speed", "[speed]")
{
  EngineSpeed speeds;
  for (std::uint32_t id = 1; id <= 6; ++id) {
    speeds.Upsert(id, kPool, 1000);
  }

  SECTION("are nominal before anything is known")
  {
    CHECK(speeds.Factors(1) == SpeedFactors());
    CHECK(speeds.Factors(99) == SpeedFactors());
  }

  SECTION("are hardly moved by one odd response")
  {
    speeds.Note(1, SpeedKind::kPrefill, 50);
    CHECK(speeds.Factors(1).m_relative < 1.2);
    speeds.Note(1, SpeedKind::kPrefill, 0);
    speeds.Note(1, SpeedKind::kPrefill, std::nan(""));
    CHECK(speeds.Samples() == 1);

    SECTION("and less so when more is known")
    {
      for (int sample = 0; sample < 30; ++sample) {
        speeds.Note(2, SpeedKind::kPrefill, 1);
      }
      speeds.Note(2, SpeedKind::kPrefill, 50);
      CHECK(speeds.Factors(2).m_relative < 1.03);
    }
  }

  SECTION("of a pool apply to its upstreams that have no samples")
  {
    for (int sample = 0; sample < 40; ++sample) {
      for (std::uint32_t id = 1; id <= 5; ++id) {
        speeds.Note(id, SpeedKind::kPrefill, 2.2);
      }
    }
    CHECK(speeds.Factors(6).m_prefill == Approx(2.2).epsilon(0.05));
    CHECK(speeds.Factors(6).m_relative == Approx(1).epsilon(0.01));

    SECTION("and one that differs from its pool is told apart")
    {
      for (int sample = 0; sample < 40; ++sample) {
        speeds.Note(6, SpeedKind::kPrefill, 5.5);
      }
      CHECK(speeds.Factors(6).m_relative > 2);
      CHECK(speeds.Factors(1).m_relative == Approx(1).epsilon(0.05));

      SECTION("until it restarts")
      {
        speeds.Upsert(6, kPool, 90'000);
        CHECK(speeds.Factors(6).m_relative == Approx(1).epsilon(0.01));
      }
    }
  }

  SECTION("are shared between routers")
  {
    for (int sample = 0; sample < 20; ++sample) {
      speeds.Note(3, SpeedKind::kStep, 2);
    }
    const std::vector<SpeedReport> reports = speeds.NextReports();
    REQUIRE(reports.size() == 1);
    CHECK(speeds.NextReports().empty());
    EngineSpeed other;
    other.Upsert(3, kPool, 1000);
    other.Apply("router-1", reports);
    CHECK(other.Factors(3).m_relative ==
          Approx(speeds.Factors(3).m_relative).epsilon(0.02));

    SECTION("unless they are of an earlier life of the upstream")
    {
      EngineSpeed later;
      later.Upsert(3, kPool, 50'000);
      later.Apply("router-1", reports);
      CHECK(later.Factors(3) == SpeedFactors());
    }

    SECTION("unless they are out of range")
    {
      std::vector<SpeedReport> invalid = reports;
      invalid[0].m_logPercent[0] = 100'000;
      other.Apply("router-2", invalid);
      CHECK(other.InvalidReports() == 1);
    }

    SECTION("a few in each datagram, in turn")
    {
      for (std::uint32_t id = 1; id <= 6; ++id) {
        speeds.Note(id, SpeedKind::kStep, 1);
      }
      CHECK(speeds.NextReports().size() == 4);
      CHECK(speeds.NextReports().size() == 2);
    }
  }
}
