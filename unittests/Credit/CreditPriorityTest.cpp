/// \file
/// Tests of how credit is shared between more and less urgent requests while it
/// is short. They replay an account near the end of its budget, and an outage
/// of the platform, with large requests beside small and more urgent ones.
#include "bergamotpaddle/Credit/CreditBook.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace bergamotpaddle;

namespace {

using DrawRole = CreditBook::DrawRole;

const AccountId kAccount("account");
constexpr CreditRank kLessUrgent = 1;
constexpr std::uint64_t kSmall = 1'000;
constexpr std::uint64_t kLarge = 10'000;
constexpr int kRouters = 8;
constexpr Duration kStep = std::chrono::milliseconds(25);

/// Requests of one rank and what became of them.
struct Tally
{
  int m_served = 0;
  int m_all = 0;
  double Share() const { return static_cast<double>(m_served) / m_all; }
};

/// A home and its borrowers, with one small urgent and one large request in
/// each interval, at any of them.
class Fleet
{
public:
  explicit Fleet(std::uint64_t aPrepaid)
  {
    for (int i = 0; i < kRouters; ++i) {
      const std::string host = "r" + std::to_string(i);
      m_routers.push_back(std::make_unique<CreditBook>(
        CreditHolder{ host, HolderId(host + "/1"), host }, CreditOptions{}));
      m_routers.back()->SetPrepaid(kAccount, aPrepaid);
      m_routers.back()->SetDrawRole(
        kAccount, i == 0 ? DrawRole::kHome : DrawRole::kBorrower);
    }
    Draw();
  }

  /// Plays \p aSteps requests of each rank; the large ones are as many as the
  /// small ones.
  void Play(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      m_now += kStep;
      Request(kSmall, kMostUrgent, m_urgent);
      Request(kLarge, kLessUrgent, m_lessUrgent);
      if (m_isStoreUp) {
        Draw();
      }
    }
  }

  void StopStore()
  {
    m_isStoreUp = false;
    m_routers[0]->OpenReserves();
  }

  Tally m_urgent;
  Tally m_lessUrgent;

private:
  void Draw()
  {
    if (const auto plan = m_routers[0]->Plan(m_record, m_now)) {
      m_record.Apply(*plan);
      m_routers[0]->Confirm();
    }
  }

  void Borrow(CreditBook& aBorrower)
  {
    const auto wanted = aBorrower.TokensToBorrow(m_now);
    if (!wanted.empty()) {
      aBorrower.AcceptHomeLoans(
        m_routers[0]->LendAsHome(wanted, m_now), wanted, m_now);
    }
  }

  void Request(std::uint64_t aTokens, CreditRank aRank, Tally& aTally)
  {
    CreditBook& router = *m_routers[m_next++ * 5 % kRouters];
    bool isAllotted =
      router.Allot(kAccount, aTokens, m_now, aRank) == AllotResult::kAllotted;
    if (!isAllotted && router.CanObtain(kAccount, m_now, aRank)) {
      router.AddWaiter(kAccount, aTokens, aRank);
      router.IsBorrowed(kAccount) ? Borrow(router) : Draw();
      isAllotted = router.AllotWaiter(kAccount, aTokens, m_now, aRank) ==
                   AllotResult::kAllotted;
      if (!isAllotted) {
        router.RemoveWaiter(kAccount, aTokens, aRank);
      }
    }
    if (isAllotted) {
      router.Settle(kAccount, aTokens, aTokens);
    }
    aTally.m_served += isAllotted ? 1 : 0;
    ++aTally.m_all;
  }

  Instant m_now{ std::chrono::seconds(1) };
  bool m_isStoreUp = true;
  CreditRecord m_record;
  std::vector<std::unique_ptr<CreditBook>> m_routers;
  std::size_t m_next = 0;
};

} // namespace

TEST_CASE("credit that runs short", "[credit][priority]")
{
  SECTION("near the end of a budget serves the more urgent requests first")
  {
    // Covers two thirds of the requests of both ranks.
    constexpr int kSteps = 1200;
    Fleet fleet(kSteps * (kSmall + kLarge) * 2 / 3);
    fleet.Play(kSteps);
    INFO(fleet.m_urgent.Share() << " " << fleet.m_lessUrgent.Share());
    CHECK(fleet.m_urgent.Share() >= 0.98);
    CHECK(fleet.m_lessUrgent.Share() >= 0.55);
  }

  SECTION("in an outage of the platform serves the more urgent requests first")
  {
    // An outage that lasts twice as long as the reserve covers.
    constexpr int kSteps = 800;
    Fleet fleet(std::uint64_t{ 100 } * kSteps * (kSmall + kLarge));
    fleet.Play(kSteps);
    REQUIRE(fleet.m_lessUrgent.Share() >= 0.99);
    fleet.StopStore();
    fleet.m_urgent = {};
    fleet.m_lessUrgent = {};
    fleet.Play(kSteps);
    INFO(fleet.m_urgent.Share() << " " << fleet.m_lessUrgent.Share());
    CHECK(fleet.m_urgent.Share() >= 0.95);
    CHECK(fleet.m_lessUrgent.Share() >= 0.3);
  }

  SECTION("but not while there is enough: all are served")
  {
    constexpr int kSteps = 400;
    Fleet fleet(std::uint64_t{ 4 } * kSteps * (kSmall + kLarge));
    fleet.Play(kSteps);
    CHECK(fleet.m_urgent.Share() == 1);
    CHECK(fleet.m_lessUrgent.Share() == 1);
  }
}
