/// \file
/// Simulates routers that share one client account, in virtual time: one home
/// draws and the others borrow, at the intervals of the production loops. A
/// separate count of spending tells which refused requests the budget covered.
#pragma once

#include "bergamotpaddle/Gateway/CreditBook.h"
#include "bergamotpaddle/Gateway/ReservePledge.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// The account of all requests.
inline const AccountId kSharedAccount("cafe");

/// Requests by outcome.
struct CreditFleetCounts
{
  int m_requested = 0;
  int m_served = 0;
  int m_refused = 0;
  int m_refusedCovered = 0; ///< The budget covered their maximum.
  auto operator<=>(const CreditFleetCounts&) const = default;
};

/// A fleet of routers and their shared record.
class CreditFleet
{
public:
  static constexpr Duration kStep = std::chrono::milliseconds(20);

  CreditFleet(std::size_t aRouters, std::uint64_t aPrepaid, unsigned aSeed)
    : m_prepaid(aPrepaid)
    , m_random(aSeed)
    , m_routers(aRouters)
  {
    for (std::size_t i = 0; i < aRouters; ++i) {
      StartRouter(i);
    }
    ChooseHome();
  }

  std::mt19937& Random() { return m_random; }
  const CreditFleetCounts& Counts() const { return m_counts; }
  const CreditRecord& Record() const { return m_record; }
  std::uint64_t Spent() const { return m_spent; }
  std::uint64_t Prepaid() const { return m_prepaid; }
  std::size_t Size() const { return m_routers.size(); }

  /// Sends a request to a random running router. It asks for \p aMaxTokens and
  /// uses \p aUsedTokens of them.
  void Request(std::uint64_t aMaxTokens,
               std::uint64_t aUsedTokens,
               Duration aDuration)
  {
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (m_routers[i].m_book) {
        running.push_back(i);
      }
    }
    if (running.empty()) {
      return;
    }
    const std::size_t number = running[m_random() % running.size()];
    CreditBook& book = *m_routers[number].m_book;
    ++m_counts.m_requested;
    const Pending pending{ number,
                           m_routers[number].m_incarnation,
                           aMaxTokens,
                           aUsedTokens,
                           m_now + kCreditWait,
                           aDuration };
    if (book.Allot(kSharedAccount, aMaxTokens, m_now) ==
        AllotResult::kAllotted) {
      StartRequest(pending);
    } else if (book.CanObtain(kSharedAccount, m_now)) {
      book.AddWaiter(kSharedAccount, aMaxTokens);
      m_waiting.push_back(pending);
    } else {
      Refuse(pending);
    }
  }

  /// Routers lose power and restart after \p aRestartDelay.
  void LosePower(const std::vector<std::size_t>& aRouters,
                 Duration aRestartDelay)
  {
    for (const std::size_t number : aRouters) {
      m_routers[number].m_book.reset();
      m_routers[number].m_restartAt = m_now + aRestartDelay;
    }
  }

  /// Advances the virtual time.
  void AdvanceTime(Duration aDuration)
  {
    for (const Instant end = m_now + aDuration; m_now < end; m_now += kStep) {
      AdvanceStep();
    }
  }

private:
  static constexpr Duration kCreditWait = std::chrono::milliseconds(160);
  static constexpr Duration kBorrowInterval = std::chrono::milliseconds(340);
  static constexpr Duration kDrawInterval = std::chrono::milliseconds(1000);
  static constexpr Duration kShortInterval = std::chrono::milliseconds(150);
  static constexpr Duration kAwaitedInterval = std::chrono::milliseconds(50);
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
  static constexpr std::size_t kUnpacedRouters = 5;

  struct Router
  {
    std::unique_ptr<CreditBook> m_book; ///< Null while powered off.
    ReservePledges m_pledges;
    PledgeWitness m_witness;
    int m_incarnation = 0;
    Instant m_restartAt{};
    Instant m_borrowDue{};
    Instant m_drawDue{};
    Instant m_shortDue{};
    Instant m_awaitedDue{};
  };

  /// A request that waits for credit or is in flight.
  struct Pending
  {
    std::size_t m_router = 0;
    int m_incarnation = 0;
    std::uint64_t m_maxTokens = 0;
    std::uint64_t m_usedTokens = 0;
    Instant m_until{};
    Duration m_duration{};
  };

  bool IsAlive(const Pending& aPending) const
  {
    const Router& router = m_routers[aPending.m_router];
    return router.m_book && router.m_incarnation == aPending.m_incarnation;
  }

  void StartRouter(std::size_t aNumber)
  {
    Router& router = m_routers[aNumber];
    const HolderId previous = IncarnationOf(aNumber);
    ++router.m_incarnation;
    router.m_pledges = {};
    router.m_witness = {};
    router.m_book = std::make_unique<CreditBook>(
      CreditHolder{ NameOf(aNumber), IncarnationOf(aNumber), NameOf(aNumber) },
      CreditOptions{});
    router.m_book->SetPrepaid(kSharedAccount, m_prepaid);
    const bool isProven = std::any_of(
      m_routers.begin(), m_routers.end(), [&](const Router& aOther) {
        return aOther.m_book &&
               aOther.m_witness.HasValidPledge(previous, m_now);
      });
    if (isProven) {
      router.m_book->NoteReserveClosed(previous);
    }
    Draw(router);
  }

  static std::string NameOf(std::size_t aNumber)
  {
    return "r" + std::to_string(aNumber);
  }

  HolderId IncarnationOf(std::size_t aNumber) const
  {
    return HolderId(NameOf(aNumber) + "/" +
                    std::to_string(m_routers[aNumber].m_incarnation));
  }

  /// Every router responds to the probes of its witnesses.
  void Probe()
  {
    std::vector<std::string> names;
    std::map<std::string, std::size_t> numbers;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (m_routers[i].m_book) {
        names.push_back(NameOf(i));
        numbers[names.back()] = i;
      }
    }
    for (const auto& [witness, number] : numbers) {
      for (const std::string& router : RoutersToWitness(witness, names)) {
        const std::size_t other = numbers.at(router);
        if (m_routers[other].m_pledges.Pledge(witness, m_now)) {
          m_routers[number].m_witness.NotePledge(IncarnationOf(other), m_now);
        }
      }
    }
    m_probeDue = m_now + kProbeInterval;
  }

  void ChooseHome()
  {
    const auto home =
      std::find_if(m_routers.begin(), m_routers.end(), [](const Router& aOne) {
        return aOne.m_book != nullptr;
      });
    m_home = static_cast<std::size_t>(home - m_routers.begin());
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (m_routers[i].m_book) {
        m_routers[i].m_book->SetDrawRole(kSharedAccount,
                                         i == m_home
                                           ? CreditBook::DrawRole::kHome
                                           : CreditBook::DrawRole::kBorrower);
      }
    }
  }

  void StartRequest(const Pending& aPending)
  {
    ++m_counts.m_served;
    m_spent += aPending.m_usedTokens;
    m_inFlightUnused += aPending.m_maxTokens - aPending.m_usedTokens;
    Pending running = aPending;
    running.m_until = m_now + aPending.m_duration;
    m_running.push_back(running);
  }

  void Refuse(const Pending& aPending)
  {
    ++m_counts.m_refused;
    const std::uint64_t needed =
      m_spent + m_inFlightUnused + aPending.m_maxTokens;
    // Refusals of requests that reach into the last 3% of the budget are
    // allowed.
    m_counts.m_refusedCovered += needed * 100 <= m_prepaid * 97 ? 1 : 0;
  }

  void Draw(Router& aRouter)
  {
    if (const auto plan = aRouter.m_book->Plan(m_record, m_now)) {
      aRouter.m_book->Confirm();
      m_record.Apply(*plan);
    }
    const auto routers = static_cast<int>(m_routers.size() / kUnpacedRouters);
    aRouter.m_drawDue = m_now + kDrawInterval * std::max(1, routers);
    aRouter.m_shortDue = m_now + kShortInterval * std::max(1, routers);
    aRouter.m_awaitedDue = m_now + kAwaitedInterval;
  }

  void AskHome(Router& aRouter)
  {
    CreditBook& home = *m_routers[m_home].m_book;
    home.AcceptReturned(aRouter.m_book->ReturnExcess(
      m_now, [](const AccountId&) { return true; }));
    aRouter.m_book->AcceptHomeLoans(
      home.LendAsHome(aRouter.m_book->TokensToBorrow(m_now), m_now), m_now);
    aRouter.m_borrowDue = m_now + kBorrowInterval;
  }

  void AdvanceStep()
  {
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (!m_routers[i].m_book && m_now >= m_routers[i].m_restartAt) {
        StartRouter(i);
      }
    }
    ChooseHome();
    if (m_now >= m_probeDue) {
      Probe();
    }
    std::erase_if(m_running, [this](const Pending& aPending) {
      const bool isOver = m_now >= aPending.m_until || !IsAlive(aPending);
      if (isOver) {
        m_inFlightUnused -= aPending.m_maxTokens - aPending.m_usedTokens;
        if (IsAlive(aPending)) {
          m_routers[aPending.m_router].m_book->Settle(
            kSharedAccount, aPending.m_maxTokens, aPending.m_usedTokens);
        }
      }
      return isOver;
    });
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (m_routers[i].m_book) {
        StepRouter(i);
      }
    }
    std::erase_if(m_waiting, [this](const Pending& aPending) {
      if (!IsAlive(aPending)) {
        return true;
      }
      CreditBook& book = *m_routers[aPending.m_router].m_book;
      if (book.AllotWaiter(kSharedAccount, aPending.m_maxTokens) ==
          AllotResult::kAllotted) {
        StartRequest(aPending);
        return true;
      }
      if (m_now < aPending.m_until && book.CanObtain(kSharedAccount, m_now)) {
        return false;
      }
      book.RemoveWaiter(kSharedAccount, aPending.m_maxTokens);
      Refuse(aPending);
      return true;
    });
  }

  void StepRouter(std::size_t aNumber)
  {
    Router& router = m_routers[aNumber];
    const bool isAwaiting = std::any_of(
      m_waiting.begin(), m_waiting.end(), [aNumber](const Pending& aPending) {
        return aPending.m_router == aNumber;
      });
    if (aNumber != m_home && (isAwaiting || m_now >= router.m_borrowDue)) {
      AskHome(router);
    }
    CreditBook& book = *router.m_book;
    if (m_now >= router.m_drawDue ||
        (m_now >= router.m_shortDue && book.NeedsDraw(m_now)) ||
        (m_now >= router.m_awaitedDue && book.HasWaiters())) {
      Draw(router);
    }
  }

  std::uint64_t m_prepaid;
  std::mt19937 m_random;
  std::vector<Router> m_routers;
  CreditRecord m_record;
  Instant m_now{};
  Instant m_probeDue{};
  std::size_t m_home = 0;
  std::vector<Pending> m_waiting;
  std::vector<Pending> m_running;
  std::uint64_t m_spent = 0;
  std::uint64_t m_inFlightUnused = 0; ///< Allotted but not to be used.
  CreditFleetCounts m_counts;
};

} // namespace bergamotpaddle
