/// \file
/// Routers that draw, spend, fail, restart and stop in random order, with a
/// store that loses responses and applies writes late. The record is checked
/// against an independent count of spending.
#include "bergamotpaddle/Credit/CreditBook.h"
#include "bergamotpaddle/Credit/ReservePledge.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

namespace {

const AccountId kAccount("kitchen");
constexpr std::uint64_t kPrepaid = 100'000;
constexpr int kRouters = 3;
constexpr int kSteps = 300;

/// Returns a random number in [\p aFrom, \p aTo). The size is fixed because
/// RapidCheck narrows ranges in its first runs, most of which would then not
/// spend anything.
int
RandomInt(int aFrom, int aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aFrom, aTo));
}

/// The platform's store, reduced to a single key with one revision.
struct Store
{
  CreditRecord m_record;
  std::uint64_t m_revision = 1;

  /// Applies \p aPlan if the store is still at \p aExpectedRevision.
  bool Write(const CreditPlan& aPlan, std::uint64_t aExpectedRevision)
  {
    if (aExpectedRevision != m_revision) {
      return false;
    }
    m_record.Apply(aPlan);
    ++m_revision;
    return true;
  }
};

/// A host and its current process.
struct Host
{
  std::unique_ptr<CreditBook> m_book;
  CreditRecord m_knownRecord;
  std::uint64_t m_knownRevision = 0;
  std::deque<std::uint64_t> m_inFlight; ///< Maximum tokens of each request.
  HolderId m_incarnation;
  std::vector<HolderId> m_earlierIncarnations;
  ReservePledges m_pledges;
  PledgeWitness m_witness;
  Duration m_suspendedTime{ 0 }; ///< Not counted by the steady clock.
  Instant m_bootedAt{};          ///< Origin of the boot clock.
};

/// A datagram between hosts. It may be delayed, duplicated or lost, or reach a
/// later incarnation.
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
  HolderId m_router;  ///< The incarnation that pledges.
  HolderId m_witness; ///< The incarnation that probes.
  Instant m_sentAt{}; ///< By the witness's boot clock.
  std::uint64_t m_withdrawalNumber = 0;
};

/// A write that the store may still apply.
struct DelayedWrite
{
  CreditPlan m_plan;
  std::uint64_t m_expectedRevision = 0;
};

/// All hosts, the store and the datagrams in transit, with an independent count
/// of spending as the oracle.
class Simulation
{
public:
  explicit Simulation(CreditOptions aOptions = {})
    : m_options(aOptions)
  {
    for (int number = 0; number < kRouters; ++number) {
      StartIncarnation(number);
    }
  }

  /// Starts a new process on \p aHost; a previous one is killed. The host may
  /// have rebooted in between.
  void StartIncarnation(int aHost)
  {
    Host& host = m_hosts[aHost];
    const std::string name = "host" + std::to_string(aHost);
    std::vector<HolderId> earlier = std::move(host.m_earlierIncarnations);
    if (host.m_book) {
      earlier.push_back(host.m_incarnation);
    }
    const Instant bootedAt = RandomInt(0, 2) == 0 ? m_now : host.m_bootedAt;
    host = {};
    host.m_earlierIncarnations = std::move(earlier);
    host.m_bootedAt = bootedAt;
    host.m_incarnation =
      HolderId(name + "/" + std::to_string(++m_incarnationCount));
    host.m_book = std::make_unique<CreditBook>(
      CreditHolder{ name, host.m_incarnation, name }, m_options);
    host.m_book->SetPrepaid(kAccount, kPrepaid);
    for (int witness = 0; witness < kRouters; ++witness) {
      RequestProof(aHost, witness);
    }
  }

  void StartRequest(int aHost, std::uint64_t aMaxTokens)
  {
    Host& host = m_hosts[aHost];
    if (host.m_book->Allot(kAccount, aMaxTokens, m_now) ==
        AllotResult::kAllotted) {
      host.m_inFlight.push_back(aMaxTokens);
      m_spent += aMaxTokens; // The request may use all that it was allotted.
      AddSpending(aHost, aMaxTokens);
    }
  }

  /// Ends the oldest request, which leaves up to \p aUnused tokens unused.
  void EndRequest(int aHost, std::uint64_t aUnused)
  {
    Host& host = m_hosts[aHost];
    if (host.m_inFlight.empty()) {
      return;
    }
    const std::uint64_t maxTokens = host.m_inFlight.front();
    host.m_inFlight.pop_front();
    const std::uint64_t unused = std::min(aUnused, maxTokens);
    host.m_book->Settle(kAccount, maxTokens, maxTokens - unused);
    m_spent -= unused;
    m_netSpending[host.m_incarnation] -= static_cast<std::int64_t>(unused);
  }

  /// Draws credit. If \p aFault is 0, the write is applied and confirmed; if 1,
  /// it is applied but the response is lost; if 2, it is lost or applied later.
  void Draw(int aHost, int aFault)
  {
    Host& host = m_hosts[aHost];
    const auto planned = host.m_book->Plan(host.m_knownRecord, m_now);
    if (!planned) {
      return;
    }
    const CreditPlan& plan = *planned;
    if (aFault == 2) {
      m_delayedWrites.push_back({ plan, host.m_knownRevision });
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
      host.m_knownRecord.Apply(plan);
      return;
    }
    host.m_book->Drop();
    host.m_knownRecord = m_store.m_record;
    Draw(aHost, aFault);
  }

  /// One host lends to another; the message may be lost.
  void Lend(int aFrom, int aTo, bool aIsLost)
  {
    if (aFrom == aTo) {
      return;
    }
    const auto loans =
      m_hosts[aFrom].m_book->Lend(m_hosts[aFrom].m_book->AllSpendable(), 0.5);
    for (const auto& [account, tokens] : loans) {
      TransferSpending(aFrom, aTo, tokens, aIsLost);
    }
    if (!aIsLost) {
      m_hosts[aTo].m_book->AddBorrowed(loans);
    }
  }

  /// Sets the role of one host in draws.
  void SetDrawRole(int aHost, CreditBook::DrawRole aRole)
  {
    m_hosts[aHost].m_book->SetDrawRole(kAccount, aRole);
  }

  /// One host borrows from another as its home; the response may be lost.
  void BorrowFromHome(int aFrom, int aHome, bool aIsLost)
  {
    if (aFrom == aHome) {
      return;
    }
    const auto tokens = static_cast<std::uint64_t>(RandomInt(1, 20'000));
    const auto urgent = static_cast<std::uint64_t>(RandomInt(0, 20'000));
    const std::map<AccountId, CreditWant> wanted = {
      { kAccount, CreditWant(tokens, std::min(tokens, urgent)) }
    };
    const auto loans = m_hosts[aHome].m_book->LendAsHome(wanted, m_now);
    for (const auto& [account, loan] : loans) {
      TransferSpending(aHome, aFrom, loan.m_lent, aIsLost);
    }
    if (!aIsLost) {
      m_hosts[aFrom].m_book->AcceptHomeLoans(loans, wanted, m_now);
    }
  }

  /// One host returns borrowed credit to another as its home; the call may be
  /// lost.
  void ReturnExcess(int aFrom, int aHome, bool aIsLost)
  {
    if (aFrom == aHome) {
      return;
    }
    const auto returned = m_hosts[aFrom].m_book->ReturnExcess(
      m_now, [](const AccountId&) { return true; });
    for (const auto& [account, tokens] : returned) {
      TransferSpending(aFrom, aHome, tokens, aIsLost);
    }
    if (!aIsLost) {
      m_hosts[aHome].m_book->AcceptReturned(returned);
    }
  }

  /// Stops a process as planned if no request is in flight, otherwise kills it;
  /// then starts a new one.
  void Stop(int aHost)
  {
    Host& host = m_hosts[aHost];
    if (host.m_inFlight.empty()) {
      host.m_knownRecord = m_store.m_record;
      m_store.Write(host.m_book->PlanStop(host.m_knownRecord),
                    m_store.m_revision);
    }
    StartIncarnation(aHost);
  }

  void ApplyDelayedWrite()
  {
    if (!m_delayedWrites.empty()) {
      m_store.Write(m_delayedWrites.front().m_plan,
                    m_delayedWrites.front().m_expectedRevision);
      m_delayedWrites.pop_front();
    }
  }

  /// Suspends a host, which stops its steady clock but not its boot clock. The
  /// time passes for all hosts.
  void Suspend(int aHost, int aMilliseconds)
  {
    m_hosts[aHost].m_suspendedTime += std::chrono::milliseconds(aMilliseconds);
    AdvanceTime(aMilliseconds);
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
      withdrawal.m_withdrawalNumber = host.m_pledges.WithdrawalNumber();
      m_datagrams.push_back(withdrawal);
    }
  }

  /// Opens the reserves if pledges are withdrawn and none is valid any more;
  /// otherwise allows pledges again if the reserves are closed.
  void OpenReservesOrAllowPledges(int aHost)
  {
    Host& host = m_hosts[aHost];
    if (host.m_pledges.CanOpenReserves(SteadyTime(aHost))) {
      host.m_book->OpenReserves();
    } else if (!host.m_book->HasOpenReserve()) {
      host.m_pledges.AllowPledges();
    }
  }

  /// Allows pledges again if the reserves are closed.
  void AllowPledges(int aHost)
  {
    if (!m_hosts[aHost].m_book->HasOpenReserve()) {
      m_hosts[aHost].m_pledges.AllowPledges();
    }
  }

  /// Delivers a random datagram. If \p aIsDuplicate, it stays in transit and
  /// may arrive again.
  void Deliver(bool aIsDuplicate)
  {
    if (m_datagrams.empty()) {
      return;
    }
    const auto position =
      m_datagrams.begin() + RandomInt(0, static_cast<int>(m_datagrams.size()));
    const Datagram datagram = *position;
    if (!aIsDuplicate) {
      m_datagrams.erase(position);
    }
    Receive(datagram);
  }

  void DeliverNewest()
  {
    if (!m_datagrams.empty()) {
      const Datagram datagram = m_datagrams.back();
      m_datagrams.pop_back();
      Receive(datagram);
    }
  }

  void LoseDatagram()
  {
    if (!m_datagrams.empty()) {
      m_datagrams.pop_front();
    }
  }

  /// A host asks a witness whether it holds valid pledges of the host's earlier
  /// incarnations, as proof that their reserves stayed closed.
  void RequestProof(int aHost, int aWitness)
  {
    if (aHost == aWitness) {
      return;
    }
    for (const HolderId& incarnation : m_hosts[aHost].m_earlierIncarnations) {
      if (m_hosts[aWitness].m_witness.HasValidPledge(incarnation,
                                                     BootTime(aWitness))) {
        m_hosts[aHost].m_book->NoteReserveClosed(incarnation);
      }
    }
  }

  void AdvanceTime(int aMilliseconds)
  {
    m_now += std::chrono::milliseconds(aMilliseconds);
  }

  /// Checks that the record covers what each incarnation spent, and that it
  /// commits no more than was prepaid.
  void Check() const
  {
    const auto account = m_store.m_record.m_accounts.find(kAccount);
    const AccountCredit credit = account == m_store.m_record.m_accounts.end()
                                   ? AccountCredit{}
                                   : account->second;
    RC_ASSERT(m_spent <= credit.Committed());
    RC_ASSERT(credit.Committed() <= kPrepaid);
    std::uint64_t spentByClosed = 0;
    for (const auto& [incarnation, netSpending] : m_netSpending) {
      const std::uint64_t spent =
        netSpending > 0 ? static_cast<std::uint64_t>(netSpending) : 0;
      const auto grant = credit.m_grants.find(incarnation);
      if (grant == credit.m_grants.end()) {
        spentByClosed += spent;
      } else {
        RC_ASSERT(spent <= grant->second.m_granted);
      }
    }
    RC_ASSERT(spentByClosed <= credit.m_closed);
  }

private:
  /// Counts what an incarnation spent or lent, less what it borrowed.
  void AddSpending(int aHost, std::uint64_t aTokens)
  {
    m_netSpending[m_hosts[aHost].m_incarnation] +=
      static_cast<std::int64_t>(aTokens);
  }

  void TransferSpending(int aFrom, int aTo, std::uint64_t aTokens, bool aIsLost)
  {
    AddSpending(aFrom, aTokens);
    if (!aIsLost) {
      m_netSpending[m_hosts[aTo].m_incarnation] -=
        static_cast<std::int64_t>(aTokens);
    }
  }

  Instant BootTime(int aHost) const
  {
    return Instant(m_now - m_hosts[aHost].m_bootedAt);
  }

  Instant SteadyTime(int aHost) const
  {
    return BootTime(aHost) - m_hosts[aHost].m_suspendedTime;
  }

  void Receive(const Datagram& aDatagram)
  {
    Host& host = m_hosts[aDatagram.m_to];
    Datagram response = aDatagram;
    std::swap(response.m_from, response.m_to);
    switch (aDatagram.m_kind) {
      case Datagram::Kind::kProbe:
        if (host.m_pledges.Pledge(std::to_string(aDatagram.m_from),
                                  SteadyTime(aDatagram.m_to))) {
          response.m_kind = Datagram::Kind::kPledge;
          response.m_router = host.m_incarnation;
          m_datagrams.push_back(response);
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
        response.m_kind = Datagram::Kind::kRelease;
        m_datagrams.push_back(response);
        break;
      case Datagram::Kind::kRelease:
        if (aDatagram.m_router == host.m_incarnation) {
          host.m_pledges.NoteReleased(std::to_string(aDatagram.m_from),
                                      aDatagram.m_withdrawalNumber);
        }
        break;
    }
  }

  CreditOptions m_options;
  Store m_store;
  std::array<Host, kRouters> m_hosts;
  std::deque<DelayedWrite> m_delayedWrites;
  std::deque<Datagram> m_datagrams;
  Instant m_now{};
  std::uint64_t m_spent = 0;
  std::map<HolderId, std::int64_t> m_netSpending; ///< See `AddSpending`.
  int m_incarnationCount = 0;
};

} // namespace

namespace {

/// Performs one random step of requests, draws, loans, stops and restarts.
void
StepCredit(Simulation& aSimulation, int aHost)
{
  switch (RandomInt(0, 15)) {
    case 0:
    case 1:
    case 2:
    case 3:
      aSimulation.StartRequest(aHost, RandomInt(1, 4'000));
      break;
    case 4:
      aSimulation.EndRequest(aHost, RandomInt(0, 4'000));
      break;
    case 5:
    case 6:
      aSimulation.Draw(
        aHost,
        *rc::gen::weightedElement<int>({ { 6, 0 }, { 1, 1 }, { 1, 2 } }));
      break;
    case 7:
      aSimulation.ApplyDelayedWrite();
      break;
    case 8:
      aSimulation.AdvanceTime(RandomInt(1, 3'000));
      break;
    case 9:
      aSimulation.Lend(aHost, RandomInt(0, kRouters), RandomInt(0, 4) == 0);
      break;
    case 10:
      aSimulation.SetDrawRole(
        aHost, static_cast<CreditBook::DrawRole>(RandomInt(0, 3)));
      break;
    case 11:
    case 12:
      aSimulation.BorrowFromHome(
        aHost, RandomInt(0, kRouters), RandomInt(0, 4) == 0);
      break;
    case 13:
      aSimulation.ReturnExcess(
        aHost, RandomInt(0, kRouters), RandomInt(0, 4) == 0);
      break;
    default:
      RandomInt(0, 4) == 0 ? aSimulation.StartIncarnation(aHost)
                           : aSimulation.Stop(aHost);
  }
}

/// Performs one random step of spending, with kills of processes that hold
/// reserves.
void
StepSpending(Simulation& aSimulation, int aHost)
{
  switch (RandomInt(0, 12)) {
    case 0:
    case 1:
      aSimulation.Draw(aHost, RandomInt(0, 6) == 0 ? 2 : 0);
      break;
    case 2:
      aSimulation.AdvanceTime(RandomInt(1, 1'500));
      break;
    case 3:
      aSimulation.StartIncarnation(aHost);
      break;
    case 4:
      aSimulation.EndRequest(aHost, RandomInt(0, 4'000));
      break;
    case 5:
      aSimulation.ApplyDelayedWrite();
      break;
    default:
      aSimulation.StartRequest(aHost, RandomInt(1, 4'000));
  }
}

/// Performs one random step of pledges and reserves.
void
StepReserve(Simulation& aSimulation, int aHost)
{
  switch (RandomInt(0, 11)) {
    case 0:
      aSimulation.Probe(aHost, RandomInt(0, kRouters));
      break;
    case 1:
      aSimulation.Probe(aHost, RandomInt(0, kRouters));
      aSimulation.DeliverNewest(); // The probe and its response.
      aSimulation.DeliverNewest();
      break;
    case 2:
    case 3:
    case 4:
    case 5:
      aSimulation.Deliver(RandomInt(0, 6) == 0);
      break;
    case 6:
      aSimulation.LoseDatagram();
      break;
    case 7:
      aSimulation.Withdraw(aHost);
      break;
    case 8:
      aSimulation.OpenReservesOrAllowPledges(aHost);
      break;
    case 9:
      RandomInt(0, 3) == 0 ? aSimulation.Suspend(aHost, RandomInt(1, 9'000))
                           : aSimulation.AllowPledges(aHost);
      break;
    default:
      aSimulation.RequestProof(aHost, RandomInt(0, kRouters));
  }
}

} // namespace

TEST_CASE("no sequence of faults overspends a budget", "[credit][fuzz]")
{
  rc::prop("while all reserves stay closed", [] {
    Simulation simulation;
    for (int step = 0; step < kSteps; ++step) {
      StepCredit(simulation, RandomInt(0, kRouters));
      simulation.Check();
    }
  });

  rc::prop("while reserves are opened, or proven closed and freed", [] {
    Simulation simulation;
    for (int step = 0; step < 2 * kSteps; ++step) {
      const int host = RandomInt(0, kRouters);
      switch (RandomInt(0, 5)) {
        case 0:
          StepCredit(simulation, host);
          break;
        case 1:
        case 2:
          StepReserve(simulation, host);
          break;
        default:
          StepSpending(simulation, host);
      }
      simulation.Check();
    }
  });
}
