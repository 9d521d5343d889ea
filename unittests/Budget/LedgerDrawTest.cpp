/// \file
/// Draws of credit beside requests that arrive while a draw is being written.
///
/// Load pattern replayed here: a rolling restart moves all callers of an
/// account to one router within milliseconds, whose draw for the first of them
/// is on its way while the others arrive.
#include "bergamotpaddle/Budget/Ledger.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const AccountId kAccount("butcher");
constexpr std::uint64_t kBudget = 200'000;
constexpr std::uint64_t kTokens = 25;

/// A router's process and ledger, and the results of its allotments.
struct HolderFixture
{
  HolderFixture(VirtualTime& aTime,
                FakeKeyValue& aKeyValue,
                const std::string& aHolder,
                std::uint64_t aInitialBudget = kBudget)
    : m_process(aTime)
    , m_ledger({},
               HolderId(aHolder),
               aKeyValue.MakeHooks(m_process, [] { return true; }),
               m_process.Timers(),
               MakeHooks(aInitialBudget))
  {
  }

  LedgerHooks MakeHooks(std::uint64_t aInitialBudget)
  {
    LedgerHooks hooks;
    hooks.m_initialBudget = [aInitialBudget](const AccountId&) {
      return std::optional(aInitialBudget);
    };
    hooks.m_requestCredit = [this](const AccountId&,
                                   std::uint64_t,
                                   std::vector<HolderId>,
                                   LedgerHooks::CreditRepliesHook aDone) {
      ++m_creditRequests;
      aDone(true);
    };
    hooks.m_settled = [](const AgentId&, std::uint64_t) {};
    hooks.m_sealed = [] {};
    return hooks;
  }

  void Allot(std::uint64_t aTokens = kTokens)
  {
    const AttemptId attempt = ++m_lastAttempt;
    m_ledger.Allot(attempt,
                   kAccount,
                   RequestKey("k" + std::to_string(attempt)),
                   aTokens,
                   [this](ResultCode aCode) { m_results.push_back(aCode); });
  }

  FakeProcess m_process;
  std::vector<ResultCode> m_results;
  int m_creditRequests = 0;
  AttemptId m_lastAttempt = 0;
  Ledger m_ledger;
};

} // namespace

TEST_CASE("a request that arrives during a draw gets credit if there is any",
          "[promise]")
{
  VirtualTime time;
  FakeKeyValue keyValue(time, 7);
  HolderFixture router(time, keyValue, "r1");

  const auto checkAllGranted = [&](std::size_t aCount) {
    time.Advance(seconds(2));
    REQUIRE(router.m_results.size() == aCount);
    for (const ResultCode code : router.m_results) {
      CHECK(code == ResultCode::kOk);
    }
  };

  SECTION("beside the first draw of a router that has just started")
  {
    // The draw for the first request is computed 6 ms after it arrived and
    // written 2 ms later.
    const int delayMs = GENERATE(range(0, 10));
    CAPTURE(delayMs);
    router.Allot();
    time.Advance(milliseconds(delayMs));
    constexpr int kOtherCallers = 5;
    for (int i = 0; i < kOtherCallers; ++i) {
      router.Allot();
    }
    checkAllGranted(1 + kOtherCallers);
  }

  SECTION("beside a later draw")
  {
    router.Allot();
    time.Advance(seconds(20));
    router.m_results.clear();
    const int delayMs = GENERATE(range(0, 6));
    CAPTURE(delayMs);
    router.Allot(kTokens * 10);
    time.Advance(milliseconds(delayMs));
    constexpr int kOtherCallers = 5;
    for (int i = 0; i < kOtherCallers; ++i) {
      router.Allot(kTokens * 10);
    }
    checkAllGranted(1 + kOtherCallers);
  }

  SECTION("a budget that is spent is refused at once, and only then")
  {
    router.Allot(kBudget - kTokens);
    time.Advance(milliseconds(7));
    for (int i = 0; i < 3; ++i) {
      router.Allot();
    }
    time.Advance(seconds(2));
    CHECK(router.m_results == std::vector{ ResultCode::kOk,
                                           ResultCode::kOk,
                                           ResultCode::kBudgetExhausted,
                                           ResultCode::kBudgetExhausted });
  }

  SECTION("a request larger than the rest does not delay smaller ones")
  {
    router.Allot();
    time.Advance(milliseconds(7));
    router.Allot(kBudget);
    router.Allot();
    time.Advance(seconds(2));
    REQUIRE(router.m_results.size() == 3);
    CHECK(std::count(router.m_results.begin(),
                     router.m_results.end(),
                     ResultCode::kOk) == 2);
    CHECK(std::count(router.m_results.begin(),
                     router.m_results.end(),
                     ResultCode::kBudgetExhausted) == 1);
  }

  SECTION("another holder is asked only for what the budget lacks")
  {
    HolderFixture other(time, keyValue, "r2");
    other.Allot();
    time.Advance(seconds(1));
    for (int i = 0; i < 16; ++i) {
      router.Allot();
      time.Advance(milliseconds(1));
    }
    checkAllGranted(16);
    CHECK(router.m_creditRequests == 0);
  }
}
