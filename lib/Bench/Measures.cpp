#include "bergamotpaddle/Bench/Measures.h"

#include <algorithm>
#include <numeric>

namespace bergamotpaddle {

namespace {

using std::chrono::seconds;
using Faults = std::vector<std::pair<Duration, std::function<void()>>>;

constexpr std::uint64_t kTraceSeed = 20261204;

bool
IsShort(const TraceResult& aResult)
{
  return !aResult.m_request.m_isLong;
}

/// Baselines differ from ours in the balancer or the queue alone.
FakeFleetOptions
WithRoundRobin(FakeFleetOptions aOptions)
{
  aOptions.m_balancer.m_slowFactor = 1e18;
  aOptions.m_balancer.m_failuresBeforeEject = 1 << 30;
  aOptions.m_balancer.m_score = [](const AgentView& aAgent, Instant) {
    return static_cast<double>(aAgent.m_totalAttempts);
  };
  return aOptions;
}

FakeFleetOptions
WithReportedLoad(FakeFleetOptions aOptions)
{
  aOptions.m_balancer.m_slowFactor = 1e18;
  aOptions.m_balancer.m_failuresBeforeEject = 1 << 30;
  aOptions.m_balancer.m_score = [](const AgentView& aAgent, Instant) {
    return static_cast<double>(aAgent.m_heartbeat.m_running +
                               aAgent.m_heartbeat.m_waiting);
  };
  return aOptions;
}

FakeFleetOptions
WithOneQueue(FakeFleetOptions aOptions)
{
  aOptions.m_admission.m_slotsKeptForShort = 0;
  aOptions.m_admission.m_shortTokens = 0;
  aOptions.m_admission.m_isFifo = true;
  return aOptions;
}

/// Trace and length of a plain run at a steady load.
std::vector<TraceResult>
RunSteady(const Deployment& aDeployment,
          const FakeFleetOptions& aOptions,
          double aLoad,
          bool aWithLong,
          const std::function<Faults(FakeFleet&)>& aMakeFaults = nullptr)
{
  constexpr Duration kLength = seconds(40);
  constexpr Duration kTail = seconds(60);
  Replay replay(aDeployment, aOptions);
  const auto trace = MakeTrace(aDeployment,
                               { { kLength, aLoad } },
                               CapacityOf(aOptions),
                               aWithLong,
                               kTraceSeed);
  const Faults faults = aMakeFaults ? aMakeFaults(replay.Fleet()) : Faults{};
  return replay.Run(trace, faults, kLength + kTail);
}

double
ShortP99(const std::vector<TraceResult>& aResults)
{
  return Quantile(FirstByteMilliseconds(aResults, IsShort), 0.99);
}

double
WaitRatio(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  constexpr double kLoad = 0.9;
  const double with = ShortP99(RunSteady(aDeployment, aOptions, kLoad, true));
  const double without =
    ShortP99(RunSteady(aDeployment, aOptions, kLoad, false));
  return with / without;
}

MeasureRow
HeadOfLine(const Deployment& aDeployment)
{
  const FakeFleetOptions options = Replay::OptionsFor(aDeployment);
  return { aDeployment.m_name,
           "short behind long: p99 to first byte, with long / without",
           "ratio",
           1.15,
           false,
           "one queue",
           WaitRatio(aDeployment, WithOneQueue(options)),
           WaitRatio(aDeployment, options) };
}

double
SlowedRatio(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  constexpr double kLoad = 0.5;
  constexpr double kSlowdown = 10;
  auto slow = [](FakeFleet& aFleet) {
    return Faults{ { Duration(0), [&aFleet] {
                      aFleet.SetSlowdown(0, kSlowdown);
                      aFleet.SetSlowdown(1, kSlowdown);
                    } } };
  };
  const double slowed =
    ShortP99(RunSteady(aDeployment, aOptions, kLoad, true, slow));
  return slowed / ShortP99(RunSteady(aDeployment, aOptions, kLoad, true));
}

MeasureRow
SlowedTail(const Deployment& aDeployment, bool aAgainstReports)
{
  const FakeFleetOptions options = Replay::OptionsFor(aDeployment);
  const FakeFleetOptions baseline =
    aAgainstReports ? WithReportedLoad(options) : WithRoundRobin(options);
  return { aDeployment.m_name,
           "two upstreams slowed tenfold: p99 to first byte, slowed / not",
           "ratio",
           1.3,
           false,
           aAgainstReports ? "least reported load" : "round robin",
           SlowedRatio(aDeployment, baseline),
           SlowedRatio(aDeployment, options) };
}

/// What a crest brought.
struct CrestOutcome
{
  double m_service = 0;   ///< Completed requests over the most that fit.
  double m_leastFair = 0; ///< Least share of an account over its fair share.
};

constexpr Duration kCalm = seconds(10);
constexpr Duration kCrest = seconds(20);

/// The most requests that the engines could complete of those offered.
double
BestPossible(std::vector<double> aTokens, double aCapacity)
{
  std::sort(aTokens.begin(), aTokens.end());
  double left = aCapacity;
  double count = 0;
  for (double tokens : aTokens) {
    if (tokens > left) {
      break;
    }
    left -= tokens;
    count += 1;
  }
  return count;
}

/// Weighted max-min shares of \p aCapacity under the accounts' demands.
std::map<std::string, double>
FairShares(const std::map<std::string, double>& aDemand, double aCapacity)
{
  std::map<std::string, double> shares;
  std::map<std::string, std::uint32_t> open = BenchAccounts();
  double left = aCapacity;
  bool changed = true;
  while (changed && !open.empty()) {
    changed = false;
    double weights = 0;
    for (const auto& [account, weight] : open) {
      weights += weight;
    }
    for (auto it = open.begin(); it != open.end();) {
      const double demand =
        aDemand.count(it->first) != 0 ? aDemand.at(it->first) : 0;
      if (demand <= left * it->second / weights) {
        shares[it->first] = demand;
        left -= demand;
        weights -= it->second;
        it = open.erase(it);
        changed = true;
        continue;
      }
      ++it;
    }
  }
  double weights = 0;
  for (const auto& [account, weight] : open) {
    weights += weight;
  }
  for (const auto& [account, weight] : open) {
    shares[account] = left * weight / weights;
  }
  return shares;
}

CrestOutcome
RunCrest(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  Replay replay(aDeployment, aOptions);
  const double capacity = CapacityOf(aOptions);
  const auto trace = MakeTrace(aDeployment,
                               { { kCalm, 0.6 }, { kCrest, 3.0 } },
                               capacity,
                               true,
                               kTraceSeed);
  const auto results = replay.Run(trace, {}, kCalm + kCrest);
  std::vector<double> offered;
  std::map<std::string, double> demand;
  std::map<std::string, double> completed;
  double service = 0;
  for (const TraceResult& result : results) {
    const auto tokens = static_cast<double>(result.m_request.m_tokens);
    if (result.m_request.m_at >= kCalm) {
      offered.push_back(tokens);
      demand[result.m_request.m_account] += tokens;
    }
    if (result.m_isDone && result.m_end >= kCalm) {
      service += 1;
      completed[result.m_request.m_account] += tokens;
    }
  }
  const double crestCapacity =
    capacity * std::chrono::duration<double>(kCrest).count();
  CrestOutcome outcome;
  outcome.m_service = service / BestPossible(offered, crestCapacity);
  double all = 0;
  for (const auto& [account, tokens] : completed) {
    all += tokens;
  }
  outcome.m_leastFair = 1e9;
  for (const auto& [account, share] : FairShares(demand, all)) {
    if (share > 0) {
      outcome.m_leastFair =
        std::min(outcome.m_leastFair, completed[account] / share);
    }
  }
  return outcome;
}

void
Crest(const Deployment& aDeployment, std::vector<MeasureRow>& aRows)
{
  const FakeFleetOptions options = Replay::OptionsFor(aDeployment);
  const CrestOutcome ours = RunCrest(aDeployment, options);
  const CrestOutcome baseline =
    RunCrest(aDeployment, WithOneQueue(WithRoundRobin(options)));
  aRows.push_back({ aDeployment.m_name,
                    "crest at 3 times the capacity: completed / most possible",
                    "share",
                    0.95,
                    true,
                    "round robin, one queue",
                    baseline.m_service,
                    ours.m_service });
  aRows.push_back({ aDeployment.m_name,
                    "crest: least served account / its fair share",
                    "share",
                    0.9,
                    true,
                    "round robin, one queue",
                    baseline.m_leastFair,
                    ours.m_leastFair });
}

double
LostRequests(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  auto kill = [](FakeFleet& aFleet) {
    return Faults{ { seconds(10), [&aFleet] { aFleet.KillAgent(2); } } };
  };
  const auto results = RunSteady(aDeployment, aOptions, 0.6, true, kill);
  return static_cast<double>(std::count_if(
    results.begin(), results.end(), [](const TraceResult& aResult) {
      return !aResult.m_isDone;
    }));
}

MeasureRow
UpstreamLost(const Deployment& aDeployment)
{
  const FakeFleetOptions options = Replay::OptionsFor(aDeployment);
  return { aDeployment.m_name,
           "an upstream's host lost under load: requests not answered",
           "requests",
           0,
           false,
           "round robin",
           LostRequests(aDeployment, WithRoundRobin(options)),
           LostRequests(aDeployment, options) };
}

/// Share of requests that a bad upstream touched after its return.
double
TouchedByReturn(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  Replay replay(aDeployment, aOptions);
  FakeFleet& fleet = replay.Fleet();
  const auto trace = MakeTrace(aDeployment,
                               { { seconds(40), 0.5 } },
                               CapacityOf(aOptions),
                               true,
                               kTraceSeed);
  const std::string bad = fleet.AgentName(0);
  fleet.ApplyConfig({ bad });
  const Faults faults = { { seconds(5), [&fleet] {
                             fleet.SetFailing(0, true);
                             fleet.ApplyConfig({});
                           } } };
  replay.Run(trace, faults, seconds(90));
  const auto& runs = fleet.Runs();
  const auto touched =
    std::count_if(runs.begin(), runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_upstream == bad;
    });
  return static_cast<double>(touched) / static_cast<double>(trace.size());
}

MeasureRow
BadReturn(const Deployment& aDeployment)
{
  const FakeFleetOptions options = Replay::OptionsFor(aDeployment);
  return { aDeployment.m_name,
           "an upstream returns bad: requests it touched",
           "share",
           0.01,
           false,
           "round robin",
           TouchedByReturn(aDeployment, WithRoundRobin(options)),
           TouchedByReturn(aDeployment, options) };
}

/// Budgets under a partition: what a run with scarce budgets gave.
struct BudgetOutcome
{
  double m_overspend = 0;
  double m_falseRefusals = 0; ///< Share of requests.
  double m_evenSplit = 0; ///< The same for a budget split evenly at the start.
};

constexpr std::uint64_t kScarceBudget = 400'000;
constexpr std::uint64_t kLeft = kScarceBudget / 10; ///< At the partition.

/// Requests that an even split over routers would refuse with budget left.
double
EvenSplitRefusals(const std::vector<TraceRequest>& aTrace, std::size_t aRouters)
{
  std::map<std::pair<std::string, std::size_t>, std::uint64_t> spent;
  std::map<std::string, std::uint64_t> spentInAll;
  std::size_t refused = 0;
  for (std::size_t i = 0; i < aTrace.size(); ++i) {
    const std::uint64_t cost = 10 + aTrace[i].m_tokens;
    // Accounts have a home here, as callers stick to one balancer's choice.
    const std::size_t router =
      (std::hash<std::string>{}(aTrace[i].m_account) + (i % 4 == 0 ? i : 0)) %
      aRouters;
    std::uint64_t& mine = spent[{ aTrace[i].m_account, router }];
    std::uint64_t& all = spentInAll[aTrace[i].m_account];
    if (mine + cost <= kLeft / aRouters) {
      mine += cost;
      all += cost;
      continue;
    }
    refused += all + cost <= kLeft ? 1 : 0;
  }
  return static_cast<double>(refused) / static_cast<double>(aTrace.size());
}

BudgetOutcome
RunBudgets(const Deployment& aDeployment, bool aWithPartition)
{
  FakeFleetOptions options = Replay::OptionsFor(aDeployment);
  for (auto& [account, tokens] : options.m_budgets) {
    tokens = kScarceBudget;
  }
  Replay replay(aDeployment, options);
  FakeFleet& fleet = replay.Fleet();
  for (const auto& [account, tokens] : options.m_budgets) {
    // Nine tenths are spent already.
    BudgetValue budget;
    budget.m_topUps["initial"] = tokens;
    budget.m_charged = tokens - kLeft;
    static_cast<void>(fleet.KeyValue().Store().CompareAndSwap(
      BudgetKey(AccountId(account)), 0, budget.ToJson()));
  }
  // Ten minutes at a rate that would spend a little more than what is left.
  const auto trace = MakeTrace(aDeployment,
                               { { seconds(600), 0.12 } },
                               CapacityOf(options) / 8,
                               true,
                               kTraceSeed);
  Faults faults;
  if (aWithPartition) {
    faults.emplace_back(seconds(30), [&fleet] {
      fleet.SetKeyValueReachable(fleet.RouterName(0), false);
    });
    faults.emplace_back(seconds(580), [&fleet] {
      fleet.SetKeyValueReachable(fleet.RouterName(0), true);
    });
  }
  const auto results = replay.Run(trace, faults, seconds(720));
  BudgetOutcome outcome;
  std::map<std::string, std::uint64_t> answered;
  for (const TraceResult& result : results) {
    const std::uint64_t cost = 10 + result.m_request.m_tokens;
    if (result.m_isDone) {
      answered[result.m_request.m_account] += cost;
    }
  }
  for (const auto& [account, tokens] : answered) {
    outcome.m_overspend +=
      tokens > kLeft ? static_cast<double>(tokens - kLeft) : 0;
  }
  std::map<std::string, std::uint64_t> spent;
  std::vector<const TraceResult*> byEnd;
  byEnd.reserve(results.size());
  for (const TraceResult& result : results) {
    byEnd.push_back(&result);
  }
  std::stable_sort(byEnd.begin(),
                   byEnd.end(),
                   [](const TraceResult* aLeft, const TraceResult* aRight) {
                     return aLeft->m_end < aRight->m_end;
                   });
  for (const TraceResult* result : byEnd) {
    const std::uint64_t cost = 10 + result->m_request.m_tokens;
    std::uint64_t& sum = spent[result->m_request.m_account];
    sum += result->m_isDone ? cost : 0;
    const bool isForBudget = result->m_code == ResultCode::kBudgetExhausted ||
                             result->m_code == ResultCode::kCreditUnreachable;
    if (result->m_isRefused && isForBudget && sum + cost <= kLeft) {
      outcome.m_falseRefusals += 1;
    }
  }
  outcome.m_falseRefusals /= static_cast<double>(results.size());
  outcome.m_evenSplit = EvenSplitRefusals(trace, fleet.RouterCount());
  return outcome;
}

void
Budgets(const Deployment& aDeployment, std::vector<MeasureRow>& aRows)
{
  const BudgetOutcome calm = RunBudgets(aDeployment, false);
  const BudgetOutcome cut = RunBudgets(aDeployment, true);
  aRows.push_back({ aDeployment.m_name,
                    "overspend, with a ten-minute partition",
                    "tokens",
                    0,
                    false,
                    "even split",
                    0,
                    cut.m_overspend });
  aRows.push_back({ aDeployment.m_name,
                    "false refusals, everything in reach",
                    "share",
                    0,
                    false,
                    "even split",
                    calm.m_evenSplit,
                    calm.m_falseRefusals });
  aRows.push_back({ aDeployment.m_name,
                    "false refusals, one router cut off for ten minutes",
                    "share",
                    0.001,
                    false,
                    "even split",
                    cut.m_evenSplit,
                    cut.m_falseRefusals });
}

} // namespace

std::vector<MeasureRow>
MeasureAll(const Deployment& aDeployment)
{
  std::vector<MeasureRow> rows;
  Budgets(aDeployment, rows);
  Crest(aDeployment, rows);
  rows.push_back(HeadOfLine(aDeployment));
  rows.push_back(SlowedTail(aDeployment, false));
  rows.push_back(SlowedTail(aDeployment, true));
  rows.push_back(UpstreamLost(aDeployment));
  rows.push_back(BadReturn(aDeployment));
  return rows;
}

} // namespace bergamotpaddle
