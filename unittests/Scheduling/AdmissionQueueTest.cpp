/// \file
/// Waiting and refusing under different load patterns, in virtual time.
#include "bergamotpaddle/Scheduling/AdmissionQueue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <queue>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

const ServiceId kPool("registry");
/// A registry's figures: four servers of six slots, 15 ms of work, answers
/// wanted within 120 ms. It serves 1,600 requests a second.
constexpr int kSlots = 24;
constexpr Duration kWork = milliseconds(15);
constexpr Duration kObjective = milliseconds(120);
constexpr Duration kTick = milliseconds(20);

Instant
AtMs(int aMilliseconds)
{
  return Instant(milliseconds(aMilliseconds));
}

/// What became of the requests of one kind.
struct Tally
{
  int m_sent = 0;
  int m_inTime = 0;
  int m_late = 0;
  int m_refused = 0;
  Duration m_longestHeld{ 0 }; ///< Of those refused.
};

/// One router and its pool, which works first come, first served.
class Site
{
public:
  /// Called when a request is refused.
  using RefusedHook = std::function<void(const std::string& aAccount)>;

  explicit Site(RefusedHook aOnRefused = nullptr)
    : m_onRefused(std::move(aOnRefused))
  {
    m_queue.NoteEnded(kPool, kWork);
  }

  void SetSlots(int aSlots) { m_slots = aSlots; }

  /// A request of \p aAccount arrives now.
  void Arrive(const std::string& aAccount, int aUrgency = 0, double aWeight = 1)
  {
    Tally& tally = m_tallies[aAccount];
    ++tally.m_sent;
    const Request request{ aAccount, m_now };
    if (Load().m_free > 0 && !m_queue.MustWaitBehind(kPool, aUrgency)) {
      Send(request);
      return;
    }
    const WaitDecision decision = m_queue.Offer(
      { kPool, AccountId(aAccount), aUrgency, aWeight, m_now + kObjective },
      Load(),
      m_now);
    if (decision.m_isQueued) {
      m_waiting[decision.m_id] = request;
    }
    for (const WaitId id : decision.m_pushedOut) {
      Refuse(id);
    }
    if (!decision.m_isQueued) {
      NoteRefused(request);
    }
  }

  /// The callers of \p aAccount that wait leave.
  void LeaveAll(const std::string& aAccount)
  {
    std::erase_if(m_waiting, [&](const auto& aEntry) {
      const bool isLeaving = aEntry.second.m_account == aAccount;
      if (isLeaving) {
        m_queue.Leave(aEntry.first);
      }
      return isLeaving;
    });
  }

  /// Runs to \p aUntilMs; \p aArrivals is called each millisecond.
  void Run(int aUntilMs, const std::function<void(int aMs)>& aArrivals)
  {
    for (; m_now < AtMs(aUntilMs); m_now += milliseconds(1)) {
      while (!m_ends.empty() && m_ends.top() <= m_now) {
        m_ends.pop();
        m_queue.NoteEnded(kPool, kWork * std::max(1, Queued()));
        Release();
      }
      if (m_now.time_since_epoch() % kTick == Duration(0)) {
        Release();
        for (const WaitId id : m_queue.PushOut(kPool, Load(), m_now)) {
          Refuse(id);
        }
      }
      aArrivals(static_cast<int>(
        std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch())
          .count()));
    }
  }

  const Tally& Of(const std::string& aAccount) { return m_tallies[aAccount]; }
  std::size_t Waiting() const { return m_queue.Waiting(); }

private:
  struct Request
  {
    std::string m_account;
    Instant m_arrivedAt;
  };

  PoolLoad Load() const
  {
    const int inFlight = static_cast<int>(m_ends.size());
    return { 2 * m_slots, inFlight, std::max(2 * m_slots - inFlight, 0) };
  }

  /// Turns that a request sent now takes, its own included.
  int Queued() const { return 1 + static_cast<int>(m_ends.size()) / m_slots; }

  void Send(const Request& aRequest)
  {
    const Instant endsAt = m_now + kWork * Queued();
    m_ends.push(endsAt);
    Tally& tally = m_tallies[aRequest.m_account];
    ++(endsAt - aRequest.m_arrivedAt <= kObjective + kWork * 2 ? tally.m_inTime
                                                               : tally.m_late);
  }

  void Release()
  {
    for (const WaitId id : m_queue.Release(kPool, Load(), m_now)) {
      Send(m_waiting.at(id));
      m_waiting.erase(id);
      m_queue.NoteAdmitted(id, m_now);
    }
  }

  void Refuse(WaitId aId)
  {
    const Request request = m_waiting.at(aId);
    m_waiting.erase(aId);
    NoteRefused(request);
  }

  void NoteRefused(const Request& aRequest)
  {
    Tally& tally = m_tallies[aRequest.m_account];
    ++tally.m_refused;
    tally.m_longestHeld =
      std::max(tally.m_longestHeld, m_now - aRequest.m_arrivedAt);
    if (m_onRefused) {
      m_onRefused(aRequest.m_account);
    }
  }

  RefusedHook m_onRefused;
  AdmissionQueue m_queue;
  Instant m_now{};
  int m_slots = kSlots;
  std::priority_queue<Instant, std::vector<Instant>, std::greater<>> m_ends;
  std::map<WaitId, Request> m_waiting;
  std::map<std::string, Tally> m_tallies;
};

double
ShareInTime(const Tally& aTally)
{
  return static_cast<double>(aTally.m_inTime) / std::max(aTally.m_sent, 1);
}

} // namespace

TEST_CASE("A burst of all requests")
{
  Site site;
  SECTION("that the pool can serve in time waits instead of being refused")
  {
    site.Run(400, [&site](int aMs) {
      for (int i = 0; aMs == 100 && i < 150; ++i) {
        site.Arrive("a");
      }
    });
    CHECK(site.Of("a").m_inTime == 150);
    CHECK(site.Waiting() == 0);
  }
  SECTION("beyond the pool's room is refused at once, and the pool stays busy")
  {
    site.Run(2200, [&site](int aMs) {
      for (int i = 0; aMs < 2000 && i < 5; ++i) {
        site.Arrive("a"); // Three times what the pool can serve.
      }
    });
    const Tally& tally = site.Of("a");
    CHECK(tally.m_inTime > 2 * 1600 * 0.9);
    CHECK(tally.m_late == 0);
    CHECK(tally.m_inTime + tally.m_refused == tally.m_sent);
    // Callers that are refused within an eighth of their objective lose
    // nothing by it.
    CHECK(tally.m_longestHeld <= kObjective / 8);
  }
}

TEST_CASE("A burst of one kind")
{
  Site site;
  site.Run(3000, [&site](int aMs) {
    if (aMs % 2 == 0) {
      site.Arrive("urgent", 0); // A third of the room.
    }
    for (int i = 0; i < 5; ++i) {
      site.Arrive("bulk", 3);
    }
  });
  SECTION("doesn't keep more urgent requests from being served in time")
  {
    CHECK(ShareInTime(site.Of("urgent")) > 0.95);
  }
  SECTION("gets the room that they leave")
  {
    CHECK(site.Of("bulk").m_inTime > 3 * 1100 * 0.85);
  }
  SECTION("of urgent requests leaves the others a quarter of the room")
  {
    Site reverse;
    reverse.Run(3000, [&reverse](int) {
      for (int i = 0; i < 5; ++i) {
        reverse.Arrive("urgent", 0);
      }
      reverse.Arrive("bulk", 3);
    });
    const double shareOfAll =
      static_cast<double>(reverse.Of("urgent").m_inTime +
                          reverse.Of("bulk").m_inTime) /
      (reverse.Of("urgent").m_sent + reverse.Of("bulk").m_sent);
    CHECK(ShareInTime(reverse.Of("bulk")) > shareOfAll / 4);
  }
}

TEST_CASE("A hot client account")
{
  const auto run = [](Site& aSite, double aHotWeight) {
    aSite.Run(3000, [&aSite, aHotWeight](int aMs) {
      for (int i = 0; i < 6; ++i) {
        aSite.Arrive("hot", 0, aHotWeight);
      }
      aSite.Arrive("b" + std::to_string(aMs % 10)); // A tenth of the rest each.
    });
  };
  SECTION("can't take the room of the others")
  {
    Site site;
    run(site, 1);
    for (int i = 0; i < 10; ++i) {
      CHECK(ShareInTime(site.Of("b" + std::to_string(i))) > 0.95);
    }
    CHECK(site.Of("hot").m_inTime > 3 * 600 * 0.85);
  }
  SECTION("gets more than an equal one by its weight")
  {
    Site site;
    site.Run(3000, [&site](int) {
      for (int i = 0; i < 3; ++i) {
        site.Arrive("heavy", 0, 3);
        site.Arrive("plain", 0, 1);
      }
    });
    CHECK(site.Of("heavy").m_inTime > site.Of("plain").m_inTime * 2);
  }
}

TEST_CASE("Callers that repeat at once")
{
  std::vector<std::string> repeats;
  Site site([&repeats](const std::string& aAccount) {
    if (aAccount == "abuser") {
      repeats.push_back(aAccount);
    }
  });
  site.Run(2000, [&](int aMs) {
    for (const std::string& account :
         std::exchange(repeats, std::vector<std::string>())) {
      site.Arrive(account);
    }
    site.Arrive("abuser");
    site.Arrive("abuser");
    if (aMs % 3 != 0) {
      site.Arrive("sound"); // 667 a second: less than half of the room.
    }
  });
  CHECK(site.Of("abuser").m_sent > 3 * 2000);
  CHECK(ShareInTime(site.Of("sound")) > 0.9);
}

TEST_CASE("Callers that leave while they wait")
{
  Site site;
  site.Run(200, [&site](int aMs) {
    if (aMs == 100) {
      for (int i = 0; i < 60; ++i) {
        site.Arrive("stays");
        site.Arrive("leaves");
      }
    }
    if (aMs == 101) {
      site.LeaveAll("leaves");
      for (int i = 0; i < 60; ++i) {
        site.Arrive("late");
      }
    }
  });
  SECTION("make room for others at once")
  {
    CHECK(site.Of("stays").m_inTime == 60);
    CHECK(site.Of("late").m_inTime == 60);
    CHECK(site.Waiting() == 0);
  }
}

TEST_CASE("Half of the upstreams are gone")
{
  Site site;
  site.Run(1500, [&site](int aMs) {
    if (aMs == 500) {
      site.SetSlots(kSlots / 2);
    }
    site.Arrive("a"); // 1,000 a second: more than half of the room.
  });
  const Tally& tally = site.Of("a");
  SECTION("and no request is held that can't be served in time")
  {
    CHECK(tally.m_late == 0);
    CHECK(tally.m_longestHeld <= kObjective / 2);
  }
  SECTION("and the other half stays busy")
  {
    CHECK(tally.m_inTime > 500 + 800 * 0.9);
  }
}

TEST_CASE("Routers that share a pool")
{
  AdmissionQueue queue;
  queue.NoteEnded(kPool, kWork);
  const PoolLoad full{ 48, 48, 0 };
  std::vector<WaitId> ids;
  for (int i = 0; i < 4; ++i) {
    const WaitDecision decision =
      queue.Offer({ kPool, AccountId("a"), 0, 1, AtMs(120) }, full, AtMs(0));
    REQUIRE(decision.m_isQueued);
    ids.push_back(decision.m_id);
  }
  queue.NotePeerWaiting("peer", kPool, 12, AtMs(0));
  SECTION("take their share of the room that others left")
  {
    CHECK(queue.Release(kPool, { 48, 40, 8 }, AtMs(10)).size() == 2);
    // The rest belongs to the peer, which has not announced its use yet.
    CHECK(queue.Release(kPool, { 48, 42, 6 }, AtMs(30)).empty());
  }
  SECTION("take the room that their own requests left")
  {
    queue.NoteEnded(kPool, kWork);
    CHECK(queue.Release(kPool, { 48, 47, 1 }, AtMs(10)).size() == 1);
  }
  SECTION("take all room when they are cut off from their peers")
  {
    CHECK(queue.Release(kPool, { 48, 40, 8 }, AtMs(1600)).size() == 4);
  }
  SECTION("expect a longer wait for the others' waiting requests")
  {
    for (int i = 0; i < 10; ++i) {
      queue.NotePeerWaiting("peer-" + std::to_string(i), kPool, 100, AtMs(0));
    }
    const WaitDecision decision =
      queue.Offer({ kPool, AccountId("a"), 0, 1, AtMs(120) }, full, AtMs(0));
    CHECK_FALSE(decision.m_isQueued);
    CHECK(decision.m_forecast > milliseconds(120));
  }
  SECTION("keep the place of a request that found no room after all")
  {
    queue.NotePeerWaiting("peer", kPool, 0, AtMs(0));
    const auto released = queue.Release(kPool, { 48, 47, 1 }, AtMs(10));
    REQUIRE(released == std::vector<WaitId>{ ids[0] });
    queue.PutBack(ids[0]);
    CHECK(queue.Release(kPool, { 48, 47, 1 }, AtMs(20)) == released);
    queue.Leave(ids[0]);
    CHECK(queue.Waiting() == 3);
  }
}

TEST_CASE("Room that other routers take")
{
  AdmissionQueue queue;
  queue.NoteEnded(kPool, kWork);
  const PoolLoad full{ 36, 36, 0 };
  const auto offer = [&](int aMs) {
    return queue.Offer(
      { kPool, AccountId("a"), 0, 1, AtMs(aMs) + kObjective }, full, AtMs(aMs));
  };
  REQUIRE(offer(1000).m_isQueued);
  std::vector<WaitId> pushedOut;
  int ms = 1000;
  for (; pushedOut.empty() && ms < 1200; ms += 20) {
    pushedOut = queue.PushOut(kPool, full, AtMs(ms));
  }
  SECTION("is waited for in vain only once, and not to the end")
  {
    CHECK(ms <= 1100);
    CHECK_FALSE(offer(1150).m_isQueued);
    CHECK_FALSE(offer(2000).m_isQueued);
  }
  SECTION("is waited for again some time later")
  {
    REQUIRE(offer(4000).m_isQueued);
    const auto released = queue.Release(kPool, { 36, 35, 1 }, AtMs(4010));
    REQUIRE(released.size() == 1);
    queue.NoteAdmitted(released.front(), AtMs(4010));
    CHECK(queue.Waiting() == 0);
    CHECK(offer(4011).m_isQueued);
  }
}

TEST_CASE("The Retry-After of refused requests")
{
  const AdmissionQueue queue;
  SECTION("isn't before the forecast and differs among callers")
  {
    const auto forecast = milliseconds(300);
    std::set<Duration> values;
    for (int i = 0; i <= 10; ++i) {
      values.insert(queue.RetryAfter(forecast, milliseconds(6000), i / 10.0));
    }
    CHECK(values.size() == 11);
    CHECK(*values.begin() == forecast);
    CHECK(*values.rbegin() == 2 * forecast);
  }
  SECTION("stays within the third of their time for which callers wait")
  {
    for (const double spread : { 0.0, 0.5, 1.0 }) {
      CHECK(queue.RetryAfter(milliseconds(5000), milliseconds(600), spread) <=
            milliseconds(200));
    }
  }
}
