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

// The baselines differ from the measured options only in the balancer or the
// queue.

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
WithLeastReportedLoad(FakeFleetOptions aOptions)
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
WithSingleQueue(FakeFleetOptions aOptions)
{
  aOptions.m_admission.m_slotsKeptForShort = 0;
  aOptions.m_admission.m_shortTokens = 0;
  aOptions.m_admission.m_isFifo = true;
  return aOptions;
}

/// Replays a trace at a constant load, then runs on for kDrainTime so that its
/// requests can finish.
std::vector<TraceResult>
RunSteady(const Deployment& aDeployment,
          const FakeFleetOptions& aOptions,
          double aLoad,
          bool aIncludesLong,
          const std::function<Faults(FakeFleet&)>& aMakeFaults = nullptr)
{
  constexpr Duration kTraceDuration = seconds(40);
  constexpr Duration kDrainTime = seconds(60);
  Replay replay(aDeployment, aOptions);
  const auto trace = MakeTrace(aDeployment,
                               { { kTraceDuration, aLoad } },
                               CapacityOf(aOptions),
                               aIncludesLong,
                               kTraceSeed);
  const Faults faults = aMakeFaults ? aMakeFaults(replay.Fleet()) : Faults{};
  return replay.Run(trace, faults, kTraceDuration + kDrainTime);
}

double
ShortRequestP99(const std::vector<TraceResult>& aResults)
{
  return Quantile(FirstByteMilliseconds(aResults, IsShort), 0.99);
}

/// Returns the p99 time to first byte of short requests in a trace with long
/// requests, divided by that without them.
double
HeadOfLineRatio(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  constexpr double kLoad = 0.9;
  const double withLong =
    ShortRequestP99(RunSteady(aDeployment, aOptions, kLoad, true));
  const double withoutLong =
    ShortRequestP99(RunSteady(aDeployment, aOptions, kLoad, false));
  return withLong / withoutLong;
}

MeasureRow
MeasureHeadOfLineBlocking(const Deployment& aDeployment)
{
  const FakeFleetOptions options = Replay::DefaultOptions(aDeployment);
  return { aDeployment.m_name,
           "short behind long: p99 to first byte, with long / without",
           "ratio",
           1.15,
           false,
           "one queue",
           HeadOfLineRatio(aDeployment, WithSingleQueue(options)),
           HeadOfLineRatio(aDeployment, options) };
}

double
SlowdownRatio(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  constexpr double kLoad = 0.5;
  constexpr double kSlowdown = 10;
  auto slowTwoUpstreams = [](FakeFleet& aFleet) {
    return Faults{ { Duration(0), [&aFleet] {
                      aFleet.SetSlowdown(0, kSlowdown);
                      aFleet.SetSlowdown(1, kSlowdown);
                    } } };
  };
  const double slowed = ShortRequestP99(
    RunSteady(aDeployment, aOptions, kLoad, true, slowTwoUpstreams));
  return slowed /
         ShortRequestP99(RunSteady(aDeployment, aOptions, kLoad, true));
}

MeasureRow
MeasureSlowUpstreams(const Deployment& aDeployment, bool aAgainstReportedLoad)
{
  const FakeFleetOptions options = Replay::DefaultOptions(aDeployment);
  const FakeFleetOptions baseline = aAgainstReportedLoad
                                      ? WithLeastReportedLoad(options)
                                      : WithRoundRobin(options);
  return { aDeployment.m_name,
           "two upstreams slowed tenfold: p99 to first byte, slowed / not",
           "ratio",
           1.3,
           false,
           aAgainstReportedLoad ? "least reported load" : "round robin",
           SlowdownRatio(aDeployment, baseline),
           SlowdownRatio(aDeployment, options) };
}

/// Result of a phase with more load than capacity.
struct OverloadOutcome
{
  double m_completedRatio = 0; ///< Completed requests / most possible.
  double m_minFairness = 0;    ///< Lowest share of an account / its fair share.
};

constexpr Duration kNormalPhase = seconds(10);
constexpr Duration kOverloadPhase = seconds(20);

/// Returns the maximum number of requests with the sizes \p aTokens that
/// \p aCapacity tokens suffice for.
double
MaxCompletedRequests(std::vector<double> aTokens, double aCapacity)
{
  std::sort(aTokens.begin(), aTokens.end());
  double remaining = aCapacity;
  double count = 0;
  for (double tokens : aTokens) {
    if (tokens > remaining) {
      break;
    }
    remaining -= tokens;
    count += 1;
  }
  return count;
}

/// Returns the weighted max-min fair shares of \p aCapacity for the accounts'
/// demands, in tokens.
std::map<std::string, double>
FairShares(const std::map<std::string, double>& aDemand, double aCapacity)
{
  std::map<std::string, double> shares;
  std::map<std::string, std::uint32_t> unsatisfied = BenchAccounts();
  double remaining = aCapacity;
  bool hasChanged = true;
  while (hasChanged && !unsatisfied.empty()) {
    hasChanged = false;
    double weights = 0;
    for (const auto& [account, weight] : unsatisfied) {
      weights += weight;
    }
    for (auto it = unsatisfied.begin(); it != unsatisfied.end();) {
      const double demand =
        aDemand.count(it->first) != 0 ? aDemand.at(it->first) : 0;
      if (demand <= remaining * it->second / weights) {
        shares[it->first] = demand;
        remaining -= demand;
        weights -= it->second;
        it = unsatisfied.erase(it);
        hasChanged = true;
        continue;
      }
      ++it;
    }
  }
  double weights = 0;
  for (const auto& [account, weight] : unsatisfied) {
    weights += weight;
  }
  for (const auto& [account, weight] : unsatisfied) {
    shares[account] = remaining * weight / weights;
  }
  return shares;
}

OverloadOutcome
RunOverload(const Deployment& aDeployment, const FakeFleetOptions& aOptions)
{
  Replay replay(aDeployment, aOptions);
  const double capacity = CapacityOf(aOptions);
  const auto trace =
    MakeTrace(aDeployment,
              { { kNormalPhase, 0.6 }, { kOverloadPhase, 3.0 } },
              capacity,
              true,
              kTraceSeed);
  const auto results = replay.Run(trace, {}, kNormalPhase + kOverloadPhase);
  std::vector<double> offered;
  std::map<std::string, double> demand;
  std::map<std::string, double> completedTokens;
  double completedCount = 0;
  for (const TraceResult& result : results) {
    const auto tokens = static_cast<double>(result.m_request.m_tokens);
    if (result.m_request.m_arrivalTime >= kNormalPhase) {
      offered.push_back(tokens);
      demand[result.m_request.m_account] += tokens;
    }
    if (result.m_isCompleted && result.m_endTime >= kNormalPhase) {
      completedCount += 1;
      completedTokens[result.m_request.m_account] += tokens;
    }
  }
  const double overloadCapacity =
    capacity * std::chrono::duration<double>(kOverloadPhase).count();
  OverloadOutcome outcome;
  outcome.m_completedRatio =
    completedCount / MaxCompletedRequests(offered, overloadCapacity);
  double totalTokens = 0;
  for (const auto& [account, tokens] : completedTokens) {
    totalTokens += tokens;
  }
  outcome.m_minFairness = 1e9;
  for (const auto& [account, share] : FairShares(demand, totalTokens)) {
    if (share > 0) {
      outcome.m_minFairness =
        std::min(outcome.m_minFairness, completedTokens[account] / share);
    }
  }
  return outcome;
}

void
MeasureOverload(const Deployment& aDeployment, std::vector<MeasureRow>& aRows)
{
  const FakeFleetOptions options = Replay::DefaultOptions(aDeployment);
  const OverloadOutcome ours = RunOverload(aDeployment, options);
  const OverloadOutcome baseline =
    RunOverload(aDeployment, WithSingleQueue(WithRoundRobin(options)));
  aRows.push_back({ aDeployment.m_name,
                    "crest at 3 times the capacity: completed / most possible",
                    "share",
                    0.95,
                    true,
                    "round robin, one queue",
                    baseline.m_completedRatio,
                    ours.m_completedRatio });
  aRows.push_back({ aDeployment.m_name,
                    "crest: least served account / its fair share",
                    "share",
                    0.9,
                    true,
                    "round robin, one queue",
                    baseline.m_minFairness,
                    ours.m_minFairness });
}

double
CountLostRequests(const Deployment& aDeployment,
                  const FakeFleetOptions& aOptions)
{
  auto killAgent = [](FakeFleet& aFleet) {
    return Faults{ { seconds(10), [&aFleet] { aFleet.KillAgent(2); } } };
  };
  const auto results = RunSteady(aDeployment, aOptions, 0.6, true, killAgent);
  return static_cast<double>(std::count_if(
    results.begin(), results.end(), [](const TraceResult& aResult) {
      return !aResult.m_isCompleted;
    }));
}

MeasureRow
MeasureUpstreamLoss(const Deployment& aDeployment)
{
  const FakeFleetOptions options = Replay::DefaultOptions(aDeployment);
  return { aDeployment.m_name,
           "an upstream's host lost under load: requests not answered",
           "requests",
           0,
           false,
           "round robin",
           CountLostRequests(aDeployment, WithRoundRobin(options)),
           CountLostRequests(aDeployment, options) };
}

/// Returns the number of runs at an upstream that fails after it returns to
/// service, as a share of all requests.
double
FaultyUpstreamShare(const Deployment& aDeployment,
                    const FakeFleetOptions& aOptions)
{
  Replay replay(aDeployment, aOptions);
  FakeFleet& fleet = replay.Fleet();
  const auto trace = MakeTrace(aDeployment,
                               { { seconds(40), 0.5 } },
                               CapacityOf(aOptions),
                               true,
                               kTraceSeed);
  const std::string faulty = fleet.AgentName(0);
  fleet.ApplyConfig({ faulty });
  const Faults faults = { { seconds(5), [&fleet] {
                             fleet.SetFailing(0, true);
                             fleet.ApplyConfig({});
                           } } };
  replay.Run(trace, faults, seconds(90));
  const auto& runs = fleet.Runs();
  const auto affected =
    std::count_if(runs.begin(), runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_upstream == faulty;
    });
  return static_cast<double>(affected) / static_cast<double>(trace.size());
}

MeasureRow
MeasureFaultyReturn(const Deployment& aDeployment)
{
  const FakeFleetOptions options = Replay::DefaultOptions(aDeployment);
  return { aDeployment.m_name,
           "an upstream returns bad: requests it touched",
           "share",
           0.01,
           false,
           "round robin",
           FaultyUpstreamShare(aDeployment, WithRoundRobin(options)),
           FaultyUpstreamShare(aDeployment, options) };
}

/// Result of a run with scarce budgets, with or without a partition.
struct BudgetOutcome
{
  double m_overspend = 0;         ///< Tokens.
  double m_falseRefusals = 0;     ///< Share of requests refused despite budget.
  double m_evenSplitRefusals = 0; ///< The same if budgets were split evenly.
};

constexpr std::uint64_t kScarceBudget = 400'000;
constexpr std::uint64_t kUnspentAtStart = kScarceBudget / 10; ///< Per account.

/// Returns the share of requests that would be refused if each budget were
/// split evenly over the routers, although the account has enough unspent
/// budget.
double
EvenSplitFalseRefusals(const std::vector<TraceRequest>& aTrace,
                       std::size_t aRouters)
{
  std::map<std::pair<std::string, std::size_t>, std::uint64_t> spent;
  std::map<std::string, std::uint64_t> spentByAccount;
  std::size_t refused = 0;
  for (std::size_t i = 0; i < aTrace.size(); ++i) {
    const std::uint64_t cost = 10 + aTrace[i].m_tokens;
    // Three quarters of an account's requests go to one router, as callers
    // stick to the choice of one load balancer.
    const std::size_t router =
      (std::hash<std::string>{}(aTrace[i].m_account) + (i % 4 == 0 ? i : 0)) %
      aRouters;
    std::uint64_t& spentAtRouter = spent[{ aTrace[i].m_account, router }];
    std::uint64_t& accountSpent = spentByAccount[aTrace[i].m_account];
    if (spentAtRouter + cost <= kUnspentAtStart / aRouters) {
      spentAtRouter += cost;
      accountSpent += cost;
      continue;
    }
    refused += accountSpent + cost <= kUnspentAtStart ? 1 : 0;
  }
  return static_cast<double>(refused) / static_cast<double>(aTrace.size());
}

BudgetOutcome
RunBudgets(const Deployment& aDeployment, bool aWithPartition)
{
  FakeFleetOptions options = Replay::DefaultOptions(aDeployment);
  for (auto& [account, tokens] : options.m_budgets) {
    tokens = kScarceBudget;
  }
  Replay replay(aDeployment, options);
  FakeFleet& fleet = replay.Fleet();
  for (const auto& [account, tokens] : options.m_budgets) {
    // Nine tenths are already spent.
    BudgetValue budget;
    budget.m_topUps["initial"] = tokens;
    budget.m_charged = tokens - kUnspentAtStart;
    static_cast<void>(fleet.KeyValue().Store().CompareAndSwap(
      BudgetKey(AccountId(account)), 0, budget.ToJson()));
  }
  // Over ten minutes, this load would spend slightly more than the unspent
  // budget.
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
  std::map<std::string, std::uint64_t> completedTokens;
  for (const TraceResult& result : results) {
    const std::uint64_t cost = 10 + result.m_request.m_tokens;
    if (result.m_isCompleted) {
      completedTokens[result.m_request.m_account] += cost;
    }
  }
  for (const auto& [account, tokens] : completedTokens) {
    outcome.m_overspend += tokens > kUnspentAtStart
                             ? static_cast<double>(tokens - kUnspentAtStart)
                             : 0;
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
                     return aLeft->m_endTime < aRight->m_endTime;
                   });
  for (const TraceResult* result : byEnd) {
    const std::uint64_t cost = 10 + result->m_request.m_tokens;
    std::uint64_t& accountSpent = spent[result->m_request.m_account];
    accountSpent += result->m_isCompleted ? cost : 0;
    const bool isBudgetRefusal =
      result->m_code == ResultCode::kBudgetExhausted ||
      result->m_code == ResultCode::kCreditUnreachable;
    if (result->m_hasFailed && isBudgetRefusal &&
        accountSpent + cost <= kUnspentAtStart) {
      outcome.m_falseRefusals += 1;
    }
  }
  outcome.m_falseRefusals /= static_cast<double>(results.size());
  outcome.m_evenSplitRefusals =
    EvenSplitFalseRefusals(trace, fleet.RouterCount());
  return outcome;
}

void
MeasureBudgets(const Deployment& aDeployment, std::vector<MeasureRow>& aRows)
{
  const BudgetOutcome connected = RunBudgets(aDeployment, false);
  const BudgetOutcome partitioned = RunBudgets(aDeployment, true);
  aRows.push_back({ aDeployment.m_name,
                    "overspend, with a ten-minute partition",
                    "tokens",
                    0,
                    false,
                    "even split",
                    0,
                    partitioned.m_overspend });
  aRows.push_back({ aDeployment.m_name,
                    "false refusals, everything in reach",
                    "share",
                    0,
                    false,
                    "even split",
                    connected.m_evenSplitRefusals,
                    connected.m_falseRefusals });
  aRows.push_back({ aDeployment.m_name,
                    "false refusals, one router cut off for ten minutes",
                    "share",
                    0.001,
                    false,
                    "even split",
                    partitioned.m_evenSplitRefusals,
                    partitioned.m_falseRefusals });
}

} // namespace

std::vector<MeasureRow>
MeasureAll(const Deployment& aDeployment)
{
  std::vector<MeasureRow> rows;
  MeasureBudgets(aDeployment, rows);
  MeasureOverload(aDeployment, rows);
  rows.push_back(MeasureHeadOfLineBlocking(aDeployment));
  rows.push_back(MeasureSlowUpstreams(aDeployment, false));
  rows.push_back(MeasureSlowUpstreams(aDeployment, true));
  rows.push_back(MeasureUpstreamLoss(aDeployment));
  rows.push_back(MeasureFaultyReturn(aDeployment));
  return rows;
}

} // namespace bergamotpaddle
