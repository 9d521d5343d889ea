/// \file
/// Routers that draw, spend, die, restart and stop in any order, over a store
/// that loses answers and carries writes out late, against a plain count.
#include "bergamotpaddle/Gateway/CreditBook.h"
#include "bergamotpaddle/Gateway/ReservePledge.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
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
  HolderId m_incarnation;
  std::vector<HolderId> m_earlier;
  ReservePledges m_pledges;
  PledgeWitness m_witness;
  Duration m_suspended{ 0 }; ///< What the steady clock did not count.
  Instant m_bootedAt{};      ///< Where the boot clock begins.
};

/// A datagram between hosts; it may come late, twice, never, or to a later
/// life.
struct Datagram
{
  enum class Kind
  {
    kProbe,
    kPledge,
    kWithdrawal,
    kRelease
  };
  Kind m_kind = Kind::kProbe;
  int m_from = 0;
  int m_to = 0;
  HolderId m_router;  ///< The life that pledges.
  HolderId m_witness; ///< The life that probes.
  Instant m_sentAt{}; ///< By the witness's clock.
  std::uint64_t m_withdrawal = 0;
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
    std::vector<HolderId> earlier = std::move(host.m_earlier);
    if (host.m_book) {
      earlier.push_back(host.m_incarnation);
    }
    const Instant bootedAt = Pick(0, 2) == 0 ? m_now : host.m_bootedAt;
    host = {};
    host.m_earlier = std::move(earlier);
    host.m_bootedAt = bootedAt;
    host.m_incarnation = HolderId(name + "/" + std::to_string(++m_lives));
    host.m_book = std::make_unique<CreditBook>(
      CreditHolder{ name, host.m_incarnation, name }, m_options);
    host.m_book->SetPrepaid(kKitchen, kPrepaid);
    for (int witness = 0; witness < kRouters; ++witness) {
      AskForProof(aHost, witness);
    }
  }

  void Ask(int aHost, std::uint64_t aMost)
  {
    Host& host = m_hosts[aHost];
    if (host.m_book->Allot(kKitchen, aMost, m_now) == AllotResult::kAllotted) {
      host.m_underWay.push_back(aMost);
      m_spent += aMost; // The oracle: a request may use all it was allotted.
      Count(aHost, aMost);
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
    m_net[host.m_incarnation] -= static_cast<std::int64_t>(unused);
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
    for (const auto& [account, tokens] : lent) {
      Move(aFrom, aTo, tokens, aIsLost);
    }
    if (!aIsLost) {
      m_hosts[aTo].m_book->Borrow(lent);
    }
  }

  /// One host is told who draws.
  void SetDrawRole(int aHost, CreditBook::DrawRole aDrawer)
  {
    m_hosts[aHost].m_book->SetDrawRole(kKitchen, aDrawer);
  }

  /// One host borrows of another as its home; the answer may be lost.
  void AskHome(int aFrom, int aHome, bool aIsLost)
  {
    if (aFrom == aHome) {
      return;
    }
    const auto loans = m_hosts[aHome].m_book->LendAsHome(
      { { kKitchen, static_cast<std::uint64_t>(Pick(1, 20'000)) } }, m_now);
    for (const auto& [account, loan] : loans) {
      Move(aHome, aFrom, loan.m_lent, aIsLost);
    }
    if (!aIsLost) {
      m_hosts[aFrom].m_book->BorrowFromHome(loans, m_now);
    }
  }

  /// One host returns what it borrowed to another as its home; the call may be
  /// lost.
  void ReturnExcess(int aFrom, int aHome, bool aIsLost)
  {
    if (aFrom == aHome) {
      return;
    }
    const auto given = m_hosts[aFrom].m_book->ReturnExcess(
      m_now, [](const AccountId&) { return true; });
    for (const auto& [account, tokens] : given) {
      Move(aFrom, aHome, tokens, aIsLost);
    }
    if (!aIsLost) {
      m_hosts[aHome].m_book->AcceptReturned(given);
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

  /// A host is suspended: its steady clock stands still.
  void Suspend(int aHost, int aMilliseconds)
  {
    m_hosts[aHost].m_suspended += std::chrono::milliseconds(aMilliseconds);
    Pass(aMilliseconds);
  }

  void Probe(int aWitness, int aRouter)
  {
    Datagram probe;
    probe.m_from = aWitness;
    probe.m_to = aRouter;
    probe.m_witness = m_hosts[aWitness].m_incarnation;
    probe.m_sentAt = BootTime(aWitness);
    m_datagrams.push_back(probe);
  }

  void Withdraw(int aHost)
  {
    Host& host = m_hosts[aHost];
    host.m_pledges.Withdraw();
    for (const std::string& witness :
         host.m_pledges.UnreleasedWitnesses(SteadyTime(aHost))) {
      Datagram withdrawal;
      withdrawal.m_kind = Datagram::Kind::kWithdrawal;
      withdrawal.m_from = aHost;
      withdrawal.m_to = std::stoi(witness);
      withdrawal.m_router = host.m_incarnation;
      withdrawal.m_withdrawal = host.m_pledges.WithdrawalNumber();
      m_datagrams.push_back(withdrawal);
    }
  }

  /// Opens reserves if no pledge holds, or pledges again once they are closed.
  void OpenOrRenew(int aHost)
  {
    Host& host = m_hosts[aHost];
    if (host.m_pledges.CanOpenReserves(SteadyTime(aHost))) {
      host.m_book->OpenReserves();
    } else if (!host.m_book->HasOpenReserve()) {
      host.m_pledges.AllowPledges();
    }
  }

  /// A pledge is given while reserves are closed only.
  void AllowPledges(int aHost)
  {
    if (!m_hosts[aHost].m_book->HasOpenReserve()) {
      m_hosts[aHost].m_pledges.AllowPledges();
    }
  }

  /// One datagram arrives; perhaps again later.
  void Deliver(bool aIsDoubled)
  {
    if (m_datagrams.empty()) {
      return;
    }
    const auto place =
      m_datagrams.begin() + Pick(0, static_cast<int>(m_datagrams.size()));
    const Datagram datagram = *place;
    if (!aIsDoubled) {
      m_datagrams.erase(place);
    }
    Take(datagram);
  }

  void DeliverNewest()
  {
    if (!m_datagrams.empty()) {
      const Datagram datagram = m_datagrams.back();
      m_datagrams.pop_back();
      Take(datagram);
    }
  }

  void Lose()
  {
    if (!m_datagrams.empty()) {
      m_datagrams.pop_front();
    }
  }

  /// A host asks another about the lives before its own.
  void AskForProof(int aHost, int aWitness)
  {
    if (aHost == aWitness) {
      return;
    }
    for (const HolderId& life : m_hosts[aHost].m_earlier) {
      if (m_hosts[aWitness].m_witness.Holds(life, BootTime(aWitness))) {
        m_hosts[aHost].m_book->NoteReserveClosed(life);
      }
    }
  }

  void Pass(int aMilliseconds)
  {
    m_now += std::chrono::milliseconds(aMilliseconds);
  }

  /// What was spent stands in the record, life by life, and no more than what
  /// was prepaid.
  void Check() const
  {
    const auto account = m_store.m_record.m_accounts.find(kKitchen);
    const AccountCredit credit = account == m_store.m_record.m_accounts.end()
                                   ? AccountCredit{}
                                   : account->second;
    RC_ASSERT(m_spent <= credit.Committed());
    RC_ASSERT(credit.Committed() <= kPrepaid);
    std::uint64_t spentByClosed = 0;
    for (const auto& [life, net] : m_net) {
      const std::uint64_t spent = net > 0 ? static_cast<std::uint64_t>(net) : 0;
      const auto grant = credit.m_grants.find(life);
      if (grant == credit.m_grants.end()) {
        spentByClosed += spent;
      } else {
        RC_ASSERT(spent <= grant->second.m_granted);
      }
    }
    RC_ASSERT(spentByClosed <= credit.m_closed);
  }

private:
  /// What a life spent or lent, less what it borrowed, by a plain count.
  void Count(int aHost, std::uint64_t aTokens)
  {
    m_net[m_hosts[aHost].m_incarnation] += static_cast<std::int64_t>(aTokens);
  }

  void Move(int aFrom, int aTo, std::uint64_t aTokens, bool aIsLost)
  {
    Count(aFrom, aTokens);
    if (!aIsLost) {
      m_net[m_hosts[aTo].m_incarnation] -= static_cast<std::int64_t>(aTokens);
    }
  }

  Instant BootTime(int aHost) const
  {
    return Instant(m_now - m_hosts[aHost].m_bootedAt);
  }

  Instant SteadyTime(int aHost) const
  {
    return BootTime(aHost) - m_hosts[aHost].m_suspended;
  }

  void Take(const Datagram& aDatagram)
  {
    Host& host = m_hosts[aDatagram.m_to];
    Datagram answer = aDatagram;
    std::swap(answer.m_from, answer.m_to);
    switch (aDatagram.m_kind) {
      case Datagram::Kind::kProbe:
        if (host.m_pledges.Pledge(std::to_string(aDatagram.m_from),
                                  SteadyTime(aDatagram.m_to))) {
          answer.m_kind = Datagram::Kind::kPledge;
          answer.m_router = host.m_incarnation;
          m_datagrams.push_back(answer);
        }
        break;
      case Datagram::Kind::kPledge:
        if (aDatagram.m_witness == host.m_incarnation) {
          host.m_witness.NotePledge(aDatagram.m_router, aDatagram.m_sentAt);
        }
        break;
      case Datagram::Kind::kWithdrawal:
        host.m_witness.NoteWithdrawal(aDatagram.m_router,
                                      BootTime(aDatagram.m_to));
        answer.m_kind = Datagram::Kind::kRelease;
        m_datagrams.push_back(answer);
        break;
      case Datagram::Kind::kRelease:
        if (aDatagram.m_router == host.m_incarnation) {
          host.m_pledges.NoteReleased(std::to_string(aDatagram.m_from),
                                      aDatagram.m_withdrawal);
        }
        break;
    }
  }

  CreditOptions m_options;
  Store m_store;
  std::array<Host, kRouters> m_hosts;
  std::deque<LateWrite> m_late;
  std::deque<Datagram> m_datagrams;
  Instant m_now{};
  std::uint64_t m_spent = 0;
  std::map<HolderId, std::int64_t> m_net; ///< By life, see `Count`.
  int m_lives = 0;
};

} // namespace

namespace {

/// One step of requests, draws, loans and ends of lives.
void
StepCredit(World& aWorld, int aHost)
{
  switch (Pick(0, 15)) {
    case 0:
    case 1:
    case 2:
    case 3:
      aWorld.Ask(aHost, Pick(1, 4'000));
      break;
    case 4:
      aWorld.End(aHost, Pick(0, 4'000));
      break;
    case 5:
    case 6:
      aWorld.Draw(
        aHost,
        *rc::gen::weightedElement<int>({ { 6, 0 }, { 1, 1 }, { 1, 2 } }));
      break;
    case 7:
      aWorld.CarryOutLate();
      break;
    case 8:
      aWorld.Pass(Pick(1, 3'000));
      break;
    case 9:
      aWorld.Lend(aHost, Pick(0, kRouters), Pick(0, 4) == 0);
      break;
    case 10:
      aWorld.SetDrawRole(aHost, static_cast<CreditBook::DrawRole>(Pick(0, 3)));
      break;
    case 11:
    case 12:
      aWorld.AskHome(aHost, Pick(0, kRouters), Pick(0, 4) == 0);
      break;
    case 13:
      aWorld.ReturnExcess(aHost, Pick(0, kRouters), Pick(0, 4) == 0);
      break;
    default:
      Pick(0, 4) == 0 ? aWorld.Start(aHost) : aWorld.Stop(aHost);
  }
}

/// One step of spending, with kills of processes that hold reserves.
void
StepSpending(World& aWorld, int aHost)
{
  switch (Pick(0, 12)) {
    case 0:
    case 1:
      aWorld.Draw(aHost, Pick(0, 6) == 0 ? 2 : 0);
      break;
    case 2:
      aWorld.Pass(Pick(1, 1'500));
      break;
    case 3:
      aWorld.Start(aHost);
      break;
    case 4:
      aWorld.End(aHost, Pick(0, 4'000));
      break;
    case 5:
      aWorld.CarryOutLate();
      break;
    default:
      aWorld.Ask(aHost, Pick(1, 4'000));
  }
}

/// One step of pledges and reserves.
void
StepReserve(World& aWorld, int aHost)
{
  switch (Pick(0, 11)) {
    case 0:
      aWorld.Probe(aHost, Pick(0, kRouters));
      break;
    case 1:
      aWorld.Probe(aHost, Pick(0, kRouters));
      aWorld.DeliverNewest(); // The probe, and the answer to it.
      aWorld.DeliverNewest();
      break;
    case 2:
    case 3:
    case 4:
    case 5:
      aWorld.Deliver(Pick(0, 6) == 0);
      break;
    case 6:
      aWorld.Lose();
      break;
    case 7:
      aWorld.Withdraw(aHost);
      break;
    case 8:
      aWorld.OpenOrRenew(aHost);
      break;
    case 9:
      Pick(0, 3) == 0 ? aWorld.Suspend(aHost, Pick(1, 9'000))
                      : aWorld.AllowPledges(aHost);
      break;
    default:
      aWorld.AskForProof(aHost, Pick(0, kRouters));
  }
}

} // namespace

TEST_CASE("no order of losses overspends a budget", "[credit][fuzz]")
{
  rc::prop("spent never exceeds prepaid", [] {
    World world;
    for (int step = 0; step < kSteps; ++step) {
      StepCredit(world, Pick(0, kRouters));
      world.Check();
    }
  });

  rc::prop("nor with reserves that come back by proof", [] {
    World world;
    for (int step = 0; step < 2 * kSteps; ++step) {
      const int host = Pick(0, kRouters);
      switch (Pick(0, 5)) {
        case 0:
          StepCredit(world, host);
          break;
        case 1:
        case 2:
          StepReserve(world, host);
          break;
        default:
          StepSpending(world, host);
      }
      world.Check();
    }
  });
}
