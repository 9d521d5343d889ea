/// \file
/// Prompt parts that crash upstreams, over a fleet of routers in virtual time.
#include "bergamotpaddle/Scheduling/PromptQuarantine.h"

#include <catch2/catch.hpp>
#include <random>

using namespace bergamotpaddle;

namespace {

constexpr std::uint64_t kDeadlyPart = 0xdead;
/// All deadly requests are about this subject, as a few sound ones are.
constexpr std::uint64_t kDeadlySubject = 1'000;
constexpr int kFirstParts = 4; ///< First parts that sound requests share.
constexpr int kSubjects = 200; ///< Second parts of sound requests.

Instant
At(int aMilliseconds)
{
  return Instant{ std::chrono::milliseconds(aMilliseconds) };
}

std::vector<PromptPart>
Prompt(std::vector<std::uint64_t> aIds)
{
  std::vector<PromptPart> parts;
  for (const std::uint64_t id : aIds) {
    parts.push_back({ id, 100 });
  }
  return parts;
}

struct FleetOptions
{
  std::vector<double> m_trafficShares{ 0.46, 0.26, 0.18, 0.1 };
  std::size_t m_upstreams = 18;
  double m_requestsPerSecond = 56;
  double m_deadlyShare = 0; ///< Of the requests.
  int m_deadlyFromMs = 20'000;
  int m_beginMs = 120;  ///< From a request to its response's first event.
  int m_downMs = 3'000; ///< From a crash to the return.
  double m_datagramLoss = 0.1;
  unsigned m_seed = 1;
};

/// Routers that exchange digests, and upstreams that crash.
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions)
    : m_options(std::move(aOptions))
    , m_random(m_options.m_seed)
    , m_routers(m_options.m_trafficShares.size())
    , m_downUntil(m_options.m_upstreams, 0)
    , m_lifetime(m_options.m_upstreams, 0)
  {
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
      OwnTrials(router);
    }
  }

  /// Advances the time to \p aMilliseconds.
  void RunTo(int aMilliseconds)
  {
    constexpr int kStepMs = 10;
    for (; m_now < aMilliseconds; m_now += kStepMs) {
      std::poisson_distribution<int> arrivals(m_options.m_requestsPerSecond *
                                              kStepMs / 1000);
      for (int left = arrivals(m_random); left > 0; --left) {
        Arrive();
      }
      Progress();
      DeliverCrashes();
      ExchangeDigests();
      for (PromptQuarantine& router : m_routers) {
        for (const QuarantineChange& change : router.TakeChanges()) {
          m_changes.push_back(change);
        }
      }
    }
  }

  /// Ends an upstream for a reason that no request caused.
  void Crash(std::size_t aUpstream)
  {
    if (m_downUntil[aUpstream] > m_now) {
      return;
    }
    std::uniform_int_distribution<int> noticeMs(0, 60);
    for (auto request = m_inFlight.begin(); request != m_inFlight.end();) {
      if (request->m_upstream == aUpstream) {
        m_notices.push_back({ m_now + noticeMs(m_random),
                              request->m_router,
                              CrashId(aUpstream),
                              request->m_parts });
        request = m_inFlight.erase(request);
      } else {
        ++request;
      }
    }
    m_downUntil[aUpstream] = m_now + m_options.m_downMs;
    ++m_lifetime[aUpstream];
  }

  /// Breaks off one request at \p aUpstream that has not begun, if any.
  void BreakOff(std::size_t aUpstream)
  {
    const auto request = std::find_if(
      m_inFlight.begin(), m_inFlight.end(), [aUpstream](const auto& aRequest) {
        return aRequest.m_upstream == aUpstream;
      });
    if (request != m_inFlight.end()) {
      m_notices.push_back(
        { m_now, request->m_router, CrashId(aUpstream), request->m_parts });
      m_inFlight.erase(request);
    }
  }

  /// A response to a request at \p aRouter begins.
  void Begin(std::size_t aRouter, const std::vector<PromptPart>& aParts)
  {
    m_routers[aRouter].NoteBegun(aParts, At(m_now));
  }

  /// A router that starts anew and knows nothing.
  void Restart(std::size_t aRouter)
  {
    m_routers[aRouter] = PromptQuarantine();
    OwnTrials(aRouter);
  }

  int NowMs() const { return m_now; }
  std::size_t Upstreams() const { return m_options.m_upstreams; }
  /// Times at which a deadly request crashed an upstream.
  const std::vector<int>& DeadlyCrashes() const { return m_deadlyCrashes; }
  /// Deadly requests sent to an upstream after \p aMilliseconds.
  long DeadlySentAfter(int aMilliseconds) const
  {
    return std::count_if(
      m_deadlySends.begin(), m_deadlySends.end(), [aMilliseconds](int aAt) {
        return aAt > aMilliseconds;
      });
  }
  std::size_t SoundRefused() const { return m_soundRefused; }
  std::size_t SoundSent() const { return m_soundSent; }
  const std::vector<QuarantineChange>& Changes() const { return m_changes; }

private:
  struct Request
  {
    std::size_t m_router;
    std::size_t m_upstream;
    std::vector<PromptPart> m_parts;
    int m_beginsAt;
    bool m_isDeadly;
  };
  struct Notice
  {
    int m_at;
    std::size_t m_router;
    std::uint32_t m_crash;
    std::vector<PromptPart> m_parts;
  };

  /// The first router owns the trials of all parts.
  void OwnTrials(std::size_t aRouter)
  {
    m_routers[aRouter].SetTrialOwner(
      [aRouter](std::uint64_t) { return aRouter == 0; });
  }

  std::uint32_t CrashId(std::size_t aUpstream) const
  {
    return PromptQuarantine::CrashId(
      UpstreamId("u" + std::to_string(aUpstream)), m_lifetime[aUpstream]);
  }

  void Arrive()
  {
    std::discrete_distribution<std::size_t> pickRouter(
      m_options.m_trafficShares.begin(), m_options.m_trafficShares.end());
    const std::size_t router = pickRouter(m_random);
    std::bernoulli_distribution isDeadly(
      m_now >= m_options.m_deadlyFromMs ? m_options.m_deadlyShare : 0);
    std::uniform_int_distribution<std::uint64_t> firstPart(1, kFirstParts);
    std::uniform_int_distribution<std::uint64_t> subject(1'000,
                                                         1'000 + kSubjects);
    std::vector<std::uint64_t> ids = { firstPart(m_random), subject(m_random) };
    const bool carriesDeadlyPart = isDeadly(m_random);
    if (carriesDeadlyPart) {
      ids = { 1, kDeadlySubject, kDeadlyPart };
    }
    ids.push_back(m_nextOwnPart++);
    const std::vector<PromptPart> parts = Prompt(ids);
    if (m_routers[router].Admit(parts, At(m_now)).m_refusedFor) {
      m_soundRefused += carriesDeadlyPart ? 0 : 1;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_downUntil.size(); ++i) {
      if (m_downUntil[i] <= m_now) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, up.size() - 1);
    std::uniform_int_distribution<int> beginMs(m_options.m_beginMs / 2,
                                               m_options.m_beginMs * 2);
    m_inFlight.push_back({ router,
                           up[pick(m_random)],
                           parts,
                           m_now + beginMs(m_random),
                           carriesDeadlyPart });
    m_soundSent += carriesDeadlyPart ? 0 : 1;
    if (carriesDeadlyPart) {
      m_deadlySends.push_back(m_now);
    }
  }

  void Progress()
  {
    for (std::size_t i = 0; i < m_inFlight.size();) {
      const Request request = m_inFlight[i];
      if (request.m_beginsAt > m_now) {
        ++i;
      } else if (request.m_isDeadly) {
        m_deadlyCrashes.push_back(m_now);
        Crash(request.m_upstream);
        i = 0;
      } else {
        m_routers[request.m_router].NoteBegun(request.m_parts, At(m_now));
        m_inFlight.erase(m_inFlight.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
  }

  void DeliverCrashes()
  {
    std::erase_if(m_notices, [this](const Notice& aNotice) {
      if (aNotice.m_at > m_now) {
        return false;
      }
      m_routers[aNotice.m_router].NoteCrash(
        aNotice.m_crash, aNotice.m_parts, At(m_now));
      return true;
    });
  }

  void ExchangeDigests()
  {
    constexpr int kDigestIntervalMs = 300;
    std::bernoulli_distribution isLost(m_options.m_datagramLoss);
    for (std::size_t sender = 0; sender < m_routers.size(); ++sender) {
      if ((m_now + 70 * static_cast<int>(sender)) % kDigestIntervalMs != 0) {
        continue;
      }
      const QuarantineReport report = m_routers[sender].NextReport(At(m_now));
      for (std::size_t to = 0; to < m_routers.size(); ++to) {
        if (to != sender && !isLost(m_random)) {
          m_routers[to].Apply(report, At(m_now));
        }
      }
    }
  }

  FleetOptions m_options;
  std::mt19937 m_random;
  std::vector<PromptQuarantine> m_routers;
  std::vector<int> m_downUntil;
  std::vector<std::int64_t> m_lifetime;
  std::vector<Request> m_inFlight;
  std::vector<Notice> m_notices;
  std::uint64_t m_nextOwnPart = 1'000'000;
  int m_now = 0;
  std::vector<int> m_deadlyCrashes;
  std::vector<int> m_deadlySends;
  std::size_t m_soundRefused = 0;
  std::size_t m_soundSent = 0;
  std::vector<QuarantineChange> m_changes;
};

bool
HasQuarantinedOther(const Fleet& aFleet)
{
  return std::any_of(aFleet.Changes().begin(),
                     aFleet.Changes().end(),
                     [](const QuarantineChange& aChange) {
                       return aChange.m_part != kDeadlyPart;
                     });
}

} // namespace

TEST_CASE("requests with one prompt part crash upstreams, one after the other",
          "[quarantine]")
{
  constexpr int kContactMs = 3'000;
  FleetOptions options;
  options.m_deadlyShare = GENERATE(0.01, 0.05, 0.3);
  options.m_seed = GENERATE(1U, 2U, 3U, 4U);
  const bool isGrown = GENERATE(false, true);
  if (isGrown) {
    options.m_trafficShares.assign(28, 1.0 / 28);
    options.m_upstreams = 52;
    options.m_requestsPerSecond = 161;
  }
  Fleet fleet(options);
  fleet.RunTo(5'000);
  fleet.Begin(1, Prompt({ 1, kDeadlySubject, 7 }));
  fleet.RunTo(46'000);
  REQUIRE(fleet.DeadlyCrashes().size() >= 4);

  SECTION("until the part is quarantined at all routers")
  {
    if (fleet.DeadlyCrashes().size() >= 5) {
      CHECK(fleet.DeadlySentAfter(fleet.DeadlyCrashes()[4] + kContactMs) <= 3);
    }
    CAPTURE(options.m_deadlyShare, options.m_seed, isGrown);
    CHECK_FALSE(HasQuarantinedOther(fleet));
    CHECK(fleet.SoundRefused() == 0);

    SECTION("also at one that started since")
    {
      for (std::size_t i = 0; i < options.m_trafficShares.size(); ++i) {
        fleet.Restart(i);
        const int restartedAt = fleet.NowMs();
        fleet.RunTo(restartedAt + 600);
      }
      const int end = fleet.NowMs();
      fleet.RunTo(end + 5'000);
      CHECK(fleet.DeadlySentAfter(end) <= 2);
    }

    SECTION("and is tried again rarely")
    {
      const int end = fleet.NowMs();
      fleet.RunTo(end + 120'000);
      CHECK(fleet.DeadlySentAfter(end) <= 3);
      CHECK(fleet.SoundRefused() == 0);
    }
  }
}

TEST_CASE("upstreams that end for other reasons quarantine no prompt part",
          "[quarantine]")
{
  FleetOptions options;
  options.m_seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
  Fleet fleet(options);
  fleet.RunTo(2'000);

  SECTION("a domain of upstreams at once, again and again")
  {
    for (int round = 0; round < 6; ++round) {
      for (std::size_t i = 0; i < fleet.Upstreams(); i += 2) {
        fleet.Crash(i);
      }
      fleet.RunTo(fleet.NowMs() + 4'000);
    }
  }

  SECTION("all upstreams at once, again and again")
  {
    for (int round = 0; round < 6; ++round) {
      for (std::size_t i = 0; i < fleet.Upstreams(); ++i) {
        fleet.Crash(i);
      }
      fleet.RunTo(fleet.NowMs() + 4'500);
    }
  }

  SECTION("one after the other")
  {
    for (std::size_t i = 0; i < 40; ++i) {
      fleet.Crash(i % fleet.Upstreams());
      fleet.RunTo(fleet.NowMs() + 400);
    }
  }

  SECTION("some break off requests for a while")
  {
    for (int i = 0; i < 400; ++i) {
      fleet.BreakOff(static_cast<std::size_t>(i) % 4);
      fleet.RunTo(fleet.NowMs() + 50);
    }
  }
  fleet.RunTo(fleet.NowMs() + 2'000);
  CHECK(fleet.Changes().empty());
  CHECK(fleet.SoundRefused() == 0);
  CHECK(fleet.SoundSent() > 500);
}

TEST_CASE("a prompt part that was sound becomes deadly", "[quarantine]")
{
  FleetOptions options;
  options.m_deadlyShare = 0.05;
  options.m_seed = GENERATE(1U, 2U, 3U, 4U);
  Fleet fleet(options);
  fleet.RunTo(15'000);
  for (std::size_t router = 0; router < options.m_trafficShares.size();
       ++router) {
    fleet.Begin(router, Prompt({ 1, kDeadlySubject, kDeadlyPart, 7 }));
  }
  fleet.RunTo(46'000);
  REQUIRE(fleet.DeadlyCrashes().size() >= 4);
  if (fleet.DeadlyCrashes().size() >= 5) {
    CHECK(fleet.DeadlySentAfter(fleet.DeadlyCrashes()[4] + 3'000) <= 3);
  }
}

TEST_CASE("a late objection ends a quarantine", "[quarantine]")
{
  PromptQuarantine router;
  PromptQuarantine other;
  const auto prompt = Prompt({ 1, 2, 3 });
  for (std::uint32_t crash = 0; crash < 4; ++crash) {
    router.NoteCrash(crash, prompt, At(1'000 + 300 * static_cast<int>(crash)));
  }
  other.NoteBegun(prompt, At(2'000));
  REQUIRE(router.RefusedFor(prompt, At(2'950)));
  other.Apply(router.NextReport(At(3'000)), At(3'000));
  CHECK_FALSE(other.RefusedFor(prompt, At(3'000)));
  router.Apply(other.NextReport(At(3'100)), At(3'100));
  CHECK_FALSE(router.RefusedFor(prompt, At(3'100)));
}

TEST_CASE("crashes that are long past quarantine nothing", "[quarantine]")
{
  PromptQuarantine router;
  const auto prompt = Prompt({ 1, 2, 3 });
  for (std::uint32_t crash = 0; crash < 4; ++crash) {
    router.NoteCrash(crash, prompt, At(1'000 + 300 * static_cast<int>(crash)));
  }
  CHECK_FALSE(router.RefusedFor(prompt, At(600'000)));
}

TEST_CASE("a long prompt does not hold up the reports of a crash",
          "[quarantine]")
{
  PromptQuarantine router;
  std::vector<std::uint64_t> ids;
  for (std::uint64_t id = 1; id <= 2'500; ++id) {
    ids.push_back(id);
  }
  router.NoteCrash(1, Prompt(ids), At(1'000));
  router.NoteCrash(2, Prompt({ 9'000, kDeadlyPart, 9 }), At(1'000));
  bool isReported = false;
  for (int digest = 1; digest <= 4; ++digest) {
    const int now = 1'000 + 100 * digest;
    for (const CrashReport& crash : router.NextReport(At(now)).m_crashes) {
      isReported = isReported || crash.m_crash == 2;
    }
  }
  CHECK(isReported);
}

TEST_CASE("a quarantined prompt part", "[quarantine]")
{
  PromptQuarantineOptions options;
  PromptQuarantine router(options);
  const auto prompt = Prompt({ 1, kDeadlyPart, 77 });
  int now = 1'000;
  for (std::uint32_t crash = 1; crash <= options.m_minCrashes; ++crash) {
    router.NoteCrash(crash, prompt, At(now));
    router.NoteBegun(Prompt({ 1, 5, 6 }), At(now + 100));
    now += 400;
  }
  CHECK_FALSE(router.RefusedFor(prompt, At(now)));
  now += 700;
  REQUIRE(router.RefusedFor(prompt, At(now)));

  SECTION("refuses requests that hold it before the last part only")
  {
    CHECK_FALSE(router.RefusedFor(Prompt({ 1, 2, kDeadlyPart }), At(now)));
    CHECK_FALSE(router.RefusedFor(Prompt({ 1, 2, 3 }), At(now)));
    CHECK(router.RefusedFor(Prompt({ kDeadlyPart, 3 }), At(now)));
  }

  SECTION("is tried by its owner when the interval has passed")
  {
    now += 30'000;
    SECTION("not by another router")
    {
      router.SetTrialOwner([](std::uint64_t) { return false; });
      CHECK(router.Admit(prompt, At(now)).m_refusedFor);
    }
    CHECK(router.RefusedFor(prompt, At(now)));
    router.SetTrialOwner([](std::uint64_t) { return true; });
    CHECK(router.Admit(prompt, At(now)) == PromptAdmission{ {}, true });
    CHECK(router.Admit(prompt, At(now)).m_refusedFor ==
          2 * options.m_firstTrialAfter);

    SECTION("and is cleared by a response that begins, at all routers")
    {
      PromptQuarantine other;
      other.Apply(router.NextReport(At(now)), At(now));
      REQUIRE(other.RefusedFor(prompt, At(now)));
      router.NoteBegun(prompt, At(now + 100));
      CHECK_FALSE(router.RefusedFor(prompt, At(now + 100)));
      other.Apply(router.NextReport(At(now + 200)), At(now + 200));
      CHECK_FALSE(other.RefusedFor(prompt, At(now + 200)));
    }
  }

  SECTION("takes bounded memory, whatever prompts callers choose")
  {
    for (std::uint64_t i = 0; i < 50'000; ++i) {
      const auto other = Prompt({ 1'000'000 + 2 * i, 1'000'001 + 2 * i, 9 });
      router.NoteCrash(static_cast<std::uint32_t>(1'000 + i), other, At(now));
      CHECK_FALSE(router.RefusedFor(other, At(now)));
    }
    const QuarantineReport report = router.NextReport(At(now));
    CHECK(report.m_crashes.size() <= 24);
    CHECK(report.m_quarantined.size() == 1);
  }
}
