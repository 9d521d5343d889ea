/// \file
/// Routers that draw, spend, die, restart and stop in any order, over a store
/// that loses answers and carries writes out late, against a plain count.
#include "bergamotpaddle/Gateway/CreditBook.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

namespace {

const AccountId kKitchen("kitchen");
constexpr std::uint64_t kPrepaid = 100'000;
constexpr int kRouters = 3;
constexpr int kSteps = 300;

/// A number from \p aFrom up to below \p aTo. RapidCheck narrows ranges in its
/// first runs, and most of those would not spend anything.
int
Pick(int aFrom, int aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aFrom, aTo));
}

/// The platform's store, reduced to one key.
struct Store
{
  CreditRecord m_record;
  std::uint64_t m_revision = 1;

  bool Write(const CreditPlan& aPlan, std::uint64_t aExpected)
  {
    if (aExpected != m_revision) {
      return false;
    }
    m_record.Apply(aPlan);
    ++m_revision;
    return true;
  }
};

/// One host and its present process.
struct Host
{
  std::unique_ptr<CreditBook> m_book;
  CreditRecord m_known;
  std::uint64_t m_knownRevision = 0;
  std::deque<std::uint64_t> m_underWay;
};

/// A write that the store may still carry out.
struct LateWrite
{
  CreditPlan m_plan;
  std::uint64_t m_expected = 0;
};

class World
{
public:
  explicit World(CreditOptions aOptions = {})
    : m_options(aOptions)
  {
    for (int number = 0; number < kRouters; ++number) {
      Start(number);
    }
  }

  void Start(int aHost)
  {
    Host& host = m_hosts[aHost];
    const std::string name = "host" + std::to_string(aHost);
    host = {};
    host.m_book = std::make_unique<CreditBook>(
      CreditHolder{
        name, HolderId(name + "/" + std::to_string(++m_lives)), name },
      m_options);
    host.m_book->SetPrepaid(kKitchen, kPrepaid);
  }

  void Ask(int aHost, std::uint64_t aMost)
  {
    Host& host = m_hosts[aHost];
    if (host.m_book->Allot(kKitchen, aMost, m_now) ==
        CreditVerdict::kAllotted) {
      host.m_underWay.push_back(aMost);
      m_spent += aMost; // The oracle: a request may use all it was allotted.
    }
  }

  void End(int aHost, std::uint64_t aUnused)
  {
    Host& host = m_hosts[aHost];
    if (host.m_underWay.empty()) {
      return;
    }
    const std::uint64_t most = host.m_underWay.front();
    host.m_underWay.pop_front();
    const std::uint64_t unused = std::min(aUnused, most);
    host.m_book->Settle(kKitchen, most, most - unused);
    m_spent -= unused;
  }

  /// 0: answered; 1: done, the answer lost; 2: lost, perhaps done later.
  void Draw(int aHost, int aFault)
  {
    Host& host = m_hosts[aHost];
    const auto planned = host.m_book->Plan(host.m_known, m_now);
    if (!planned) {
      return;
    }
    const CreditPlan& plan = *planned;
    if (aFault == 2) {
      m_late.push_back({ plan, host.m_knownRevision });
      host.m_book->Drop();
      return;
    }
    const bool isWritten = m_store.Write(plan, host.m_knownRevision);
    if (aFault == 1) {
      host.m_book->Drop();
      return;
    }
    host.m_knownRevision = m_store.m_revision;
    if (isWritten) {
      host.m_book->Confirm();
      host.m_known.Apply(plan);
      return;
    }
    host.m_book->Drop();
    host.m_known = m_store.m_record;
    Draw(aHost, aFault);
  }

  /// One host lends to another; the message may be lost.
  void Lend(int aFrom, int aTo, bool aIsLost)
  {
    if (aFrom == aTo) {
      return;
    }
    const auto lent =
      m_hosts[aFrom].m_book->Lend(m_hosts[aFrom].m_book->AllSpendable(), 0.5);
    if (!aIsLost) {
      m_hosts[aTo].m_book->Borrow(lent);
    }
  }

  /// One host is told who draws.
  void SetDrawer(int aHost, CreditBook::Drawer aDrawer)
  {
    m_hosts[aHost].m_book->SetDrawer(kKitchen, aDrawer);
  }

  /// One host borrows of another as its home; the answer may be lost.
  void AskHome(int aFrom, int aHome, bool aIsLost)
  {
    if (aFrom == aHome) {
      return;
    }
    const auto loans = m_hosts[aHome].m_book->LendAsHome(
      { { kKitchen, static_cast<std::uint64_t>(Pick(1, 20'000)) } }, m_now);
    if (!aIsLost) {
      m_hosts[aFrom].m_book->BorrowFromHome(loans, m_now);
    }
  }

  /// One host returns what it borrowed to another as its home; the call may be
  /// lost.
  void GiveBack(int aFrom, int aHome, bool aIsLost)
  {
    if (aFrom == aHome) {
      return;
    }
    const auto given = m_hosts[aFrom].m_book->GiveBack(
      m_now, [](const AccountId&) { return true; });
    if (!aIsLost) {
      m_hosts[aHome].m_book->TakeBack(given);
    }
  }

  void Stop(int aHost)
  {
    Host& host = m_hosts[aHost];
    if (host.m_underWay.empty()) {
      host.m_known = m_store.m_record;
      m_store.Write(host.m_book->PlanStop(host.m_known), m_store.m_revision);
    }
    Start(aHost);
  }

  void CarryOutLate()
  {
    if (!m_late.empty()) {
      m_store.Write(m_late.front().m_plan, m_late.front().m_expected);
      m_late.pop_front();
    }
  }

  void Pass(int aMilliseconds)
  {
    m_now += std::chrono::milliseconds(aMilliseconds);
  }

  /// What was spent stands in the record, and no more than what was prepaid.
  void Check() const
  {
    const auto account = m_store.m_record.m_accounts.find(kKitchen);
    const std::uint64_t committed = account == m_store.m_record.m_accounts.end()
                                      ? 0
                                      : account->second.Committed();
    RC_ASSERT(m_spent <= committed);
    RC_ASSERT(committed <= kPrepaid);
  }

private:
  CreditOptions m_options;
  Store m_store;
  std::array<Host, kRouters> m_hosts;
  std::deque<LateWrite> m_late;
  Instant m_now{};
  std::uint64_t m_spent = 0;
  int m_lives = 0;
};

} // namespace

TEST_CASE("no order of losses overspends a budget", "[credit][fuzz]")
{
  rc::prop("spent never exceeds prepaid", [] {
    World world;
    for (int step = 0; step < kSteps; ++step) {
      const int host = Pick(0, kRouters);
      switch (Pick(0, 15)) {
        case 0:
        case 1:
        case 2:
        case 3:
          world.Ask(host, Pick(1, 4'000));
          break;
        case 4:
          world.End(host, Pick(0, 4'000));
          break;
        case 5:
        case 6:
          world.Draw(
            host,
            *rc::gen::weightedElement<int>({ { 6, 0 }, { 1, 1 }, { 1, 2 } }));
          break;
        case 7:
          world.CarryOutLate();
          break;
        case 8:
          world.Pass(Pick(1, 3'000));
          break;
        case 9:
          world.Lend(host, Pick(0, kRouters), Pick(0, 4) == 0);
          break;
        case 10:
          world.SetDrawer(host, static_cast<CreditBook::Drawer>(Pick(0, 3)));
          break;
        case 11:
        case 12:
          world.AskHome(host, Pick(0, kRouters), Pick(0, 4) == 0);
          break;
        case 13:
          world.GiveBack(host, Pick(0, kRouters), Pick(0, 4) == 0);
          break;
        default:
          Pick(0, 4) == 0 ? world.Start(host) : world.Stop(host);
      }
      world.Check();
    }
  });
}
