/// \file
/// Simulates routers that share one client account, in virtual time: one home
/// draws and the others borrow, at the intervals of the production loops. An
/// independent count of spending determines which refused requests the budget
/// would have covered.
#pragma once

#include "bergamotpaddle/Credit/CreditBook.h"
#include "bergamotpaddle/Credit/ReservePledge.h"

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
  int m_refusedCovered = 0; ///< Refused although the budget covered them.
  auto operator<=>(const CreditFleetCounts&) const = default;
};

/// A fleet of routers and their shared record.
class CreditFleet
{
public:
  static constexpr Duration kStep = std::chrono::milliseconds(20);

  /// If \p aHasHome is false, each router draws for itself.
  CreditFleet(std::size_t aRouters,
              std::uint64_t aPrepaid,
              unsigned aSeed,
              bool aHasHome = true)
    : m_hasHome(aHasHome)
    , m_prepaid(aPrepaid)
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

  /// Sends a request to a random running router. It needs \p aMaxTokens to
  /// start, uses \p aUsedTokens of them and ends after \p aDuration.
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
    const CreditRequest request{
      number,      m_routers[number].m_incarnation, aMaxTokens,
      aUsedTokens, m_now + kMaxCreditWait,          aDuration
    };
    if (book.Allot(kSharedAccount, aMaxTokens, m_now) ==
        AllotResult::kAllotted) {
      StartRequest(request);
    } else if (book.CanObtain(kSharedAccount, m_now)) {
      book.AddWaiter(kSharedAccount, aMaxTokens);
      m_waiting.push_back(request);
    } else {
      Refuse(request);
    }
  }

  /// Ends the processes of \p aRouters, which restart after \p aRestartDelay.
  void LosePower(const std::vector<std::size_t>& aRouters,
                 Duration aRestartDelay)
  {
    for (const std::size_t number : aRouters) {
      m_routers[number].m_book.reset();
      m_routers[number].m_restartAt = m_now + aRestartDelay;
    }
  }

  void AdvanceTime(Duration aDuration)
  {
    for (const Instant end = m_now + aDuration; m_now < end; m_now += kStep) {
      AdvanceStep();
    }
  }

private:
  static constexpr Duration kMaxCreditWait = std::chrono::milliseconds(160);
  static constexpr Duration kBorrowInterval = std::chrono::milliseconds(340);
  static constexpr Duration kDrawInterval = std::chrono::milliseconds(1000);
  /// Draw interval while less than half of the working headroom is left.
  static constexpr Duration kUrgentDrawInterval =
    std::chrono::milliseconds(150);
  /// Draw interval while requests wait for credit.
  static constexpr Duration kWaiterDrawInterval = std::chrono::milliseconds(50);
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
  /// Draw intervals grow in proportion to the fleet, from twice this size on.
  static constexpr std::size_t kRoutersPerInterval = 5;

  struct Router
  {
    std::unique_ptr<CreditBook> m_book; ///< Null while powered off.
    ReservePledges m_pledges;
    PledgeWitness m_witness;
    int m_incarnation = 0;
    Instant m_restartAt{};
    Instant m_borrowDue{};
    Instant m_drawDue{};
    Instant m_urgentDrawDue{};
    Instant m_waiterDrawDue{};
  };

  /// A request that waits for credit or is in flight.
  struct CreditRequest
  {
    std::size_t m_router = 0;
    int m_incarnation = 0;
    std::uint64_t m_maxTokens = 0;
    std::uint64_t m_usedTokens = 0;
    Instant m_until{}; ///< End of the wait for credit, or of the request.
    Duration m_duration{};
  };

  /// Whether the process that received the request still runs.
  bool IsAlive(const CreditRequest& aRequest) const
  {
    const Router& router = m_routers[aRequest.m_router];
    return router.m_book && router.m_incarnation == aRequest.m_incarnation;
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

  /// Every witness probes its routers, which respond with pledges.
  void ProbeRouters()
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
        const std::size_t probed = numbers.at(router);
        if (m_routers[probed].m_pledges.Pledge(witness, m_now)) {
          m_routers[number].m_witness.NotePledge(IncarnationOf(probed), m_now);
        }
      }
    }
    m_probeDue = m_now + kProbeInterval;
  }

  void ChooseHome()
  {
    if (!m_hasHome) {
      return;
    }
    const auto home = std::find_if(
      m_routers.begin(), m_routers.end(), [](const Router& aRouter) {
        return aRouter.m_book != nullptr;
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

  void StartRequest(const CreditRequest& aRequest)
  {
    ++m_counts.m_served;
    m_spent += aRequest.m_usedTokens;
    m_inFlightUnused += aRequest.m_maxTokens - aRequest.m_usedTokens;
    CreditRequest running = aRequest;
    running.m_until = m_now + aRequest.m_duration;
    m_running.push_back(running);
  }

  void Refuse(const CreditRequest& aRequest)
  {
    ++m_counts.m_refused;
    const std::uint64_t needed =
      m_spent + m_inFlightUnused + aRequest.m_maxTokens;
    // Requests that would use part of the last 3% of the budget don't count.
    m_counts.m_refusedCovered += needed * 100 <= m_prepaid * 97 ? 1 : 0;
  }

  void Draw(Router& aRouter)
  {
    if (const auto plan = aRouter.m_book->Plan(m_record, m_now)) {
      aRouter.m_book->Confirm();
      m_record.Apply(*plan);
    }
    const auto factor =
      static_cast<int>(m_routers.size() / kRoutersPerInterval);
    aRouter.m_drawDue = m_now + kDrawInterval * std::max(1, factor);
    aRouter.m_urgentDrawDue = m_now + kUrgentDrawInterval * std::max(1, factor);
    aRouter.m_waiterDrawDue = m_now + kWaiterDrawInterval;
  }

  /// Returns excess credit of \p aRouter to the home and borrows what it needs.
  void ExchangeWithHome(Router& aRouter)
  {
    CreditBook& home = *m_routers[m_home].m_book;
    home.AcceptReturned(aRouter.m_book->ReturnExcess(
      m_now, [](const AccountId&) { return true; }));
    const std::map<AccountId, CreditWant> wanted =
      aRouter.m_book->TokensToBorrow(m_now);
    aRouter.m_book->AcceptHomeLoans(
      home.LendAsHome(wanted, m_now), wanted, m_now);
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
      ProbeRouters();
    }
    std::erase_if(m_running, [this](const CreditRequest& aRequest) {
      const bool hasEnded = m_now >= aRequest.m_until || !IsAlive(aRequest);
      if (hasEnded) {
        m_inFlightUnused -= aRequest.m_maxTokens - aRequest.m_usedTokens;
        if (IsAlive(aRequest)) {
          m_routers[aRequest.m_router].m_book->Settle(
            kSharedAccount, aRequest.m_maxTokens, aRequest.m_usedTokens);
        }
      }
      return hasEnded;
    });
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      if (m_routers[i].m_book) {
        StepRouter(i);
      }
    }
    std::erase_if(m_waiting, [this](const CreditRequest& aRequest) {
      if (!IsAlive(aRequest)) {
        return true;
      }
      CreditBook& book = *m_routers[aRequest.m_router].m_book;
      if (book.AllotWaiter(kSharedAccount, aRequest.m_maxTokens, m_now) ==
          AllotResult::kAllotted) {
        StartRequest(aRequest);
        return true;
      }
      if (m_now < aRequest.m_until && book.CanObtain(kSharedAccount, m_now)) {
        return false;
      }
      book.RemoveWaiter(kSharedAccount, aRequest.m_maxTokens);
      Refuse(aRequest);
      return true;
    });
  }

  void StepRouter(std::size_t aNumber)
  {
    Router& router = m_routers[aNumber];
    const bool hasWaiter =
      std::any_of(m_waiting.begin(),
                  m_waiting.end(),
                  [aNumber](const CreditRequest& aRequest) {
                    return aRequest.m_router == aNumber;
                  });
    if (m_hasHome && aNumber != m_home &&
        (hasWaiter || m_now >= router.m_borrowDue)) {
      ExchangeWithHome(router);
    }
    CreditBook& book = *router.m_book;
    if (m_now >= router.m_drawDue ||
        (m_now >= router.m_urgentDrawDue && book.NeedsDraw(m_now)) ||
        (m_now >= router.m_waiterDrawDue && book.HasWaiters())) {
      Draw(router);
    }
  }

  bool m_hasHome;
  std::uint64_t m_prepaid;
  std::mt19937 m_random;
  std::vector<Router> m_routers;
  CreditRecord m_record;
  Instant m_now{};
  Instant m_probeDue{};
  std::size_t m_home = 0;
  std::vector<CreditRequest> m_waiting;
  std::vector<CreditRequest> m_running;
  std::uint64_t m_spent = 0;
  /// Tokens allotted to requests in flight that these will not use.
  std::uint64_t m_inFlightUnused = 0;
  CreditFleetCounts m_counts;
};

} // namespace bergamotpaddle
