#include "bergamotpaddle/Bench/Workload.h"

#include <algorithm>
#include <random>

namespace bergamotpaddle {

namespace {

constexpr int kRouters = 3;
/// Time between the start of the fleet and that of the trace.
constexpr Duration kSettleTime = std::chrono::seconds(8);

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

Deployment
Fernvale()
{
  return {
    "fernvale", 18, 4, { "qs-a", "qs-b", "qs-c", "qs-d" }, 40, 800, 0.03
  };
}

Deployment
Landesamt()
{
  return { "landesamt", 12,   3,   { "muenchen", "augsburg", "regensburg" },
           60,          1200, 0.05 };
}

std::map<std::string, std::uint32_t>
BenchAccounts()
{
  return { { "big-1", 4 }, { "big-2", 4 }, { "mid-1", 2 }, { "mid-2", 2 },
           { "mid-3", 2 }, { "low-1", 1 }, { "low-2", 1 }, { "low-3", 1 },
           { "low-4", 1 }, { "low-5", 1 } };
}

double
CapacityOf(const FakeFleetOptions& aOptions)
{
  const double slotTokensPerSecond =
    1.0 /
    std::chrono::duration<double>(aOptions.m_upstream.m_tokenInterval).count();
  return slotTokensPerSecond *
         static_cast<double>(aOptions.m_admission.m_slots) *
         aOptions.m_chatUpstreams;
}

std::vector<TraceRequest>
MakeTrace(const Deployment& aDeployment,
          const std::vector<LoadPhase>& aPhases,
          double aCapacity,
          bool aIncludesLong,
          std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto shortTokens = static_cast<double>(aDeployment.m_shortTokens);
  const auto longTokens = static_cast<double>(aDeployment.m_longTokens);
  const double meanTokens = (1 - aDeployment.m_longShare) * shortTokens +
                            aDeployment.m_longShare * longTokens;
  std::vector<std::string> weightedAccounts;
  for (const auto& [account, weight] : BenchAccounts()) {
    weightedAccounts.insert(weightedAccounts.end(), weight, account);
  }
  std::vector<TraceRequest> trace;
  Duration arrivalTime{};
  Duration phaseEnd{};
  for (const LoadPhase& phase : aPhases) {
    phaseEnd += phase.m_duration;
    const double rate = phase.m_load * aCapacity / meanTokens;
    std::exponential_distribution<double> interarrivalTime(rate);
    while (true) {
      arrivalTime += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(interarrivalTime(random)));
      if (arrivalTime >= phaseEnd) {
        arrivalTime = phaseEnd;
        break;
      }
      TraceRequest request;
      request.m_arrivalTime = arrivalTime;
      request.m_account = weightedAccounts[random() % weightedAccounts.size()];
      request.m_isLong = uniform(random) < aDeployment.m_longShare;
      request.m_tokens =
        request.m_isLong
          ? aDeployment.m_longTokens
          : static_cast<std::uint64_t>(shortTokens * (0.5 + uniform(random)));
      // Long requests are drawn even if they are dropped, so that the traces
      // with and without them contain the same short requests.
      if (request.m_isLong && !aIncludesLong) {
        continue;
      }
      trace.push_back(std::move(request));
    }
  }
  return trace;
}

FakeFleetOptions
Replay::DefaultOptions(const Deployment& aDeployment)
{
  FakeFleetOptions options;
  options.m_routers = kRouters;
  options.m_chatUpstreams = aDeployment.m_chatUpstreams;
  options.m_serviceUpstreams = aDeployment.m_serviceUpstreams;
  options.m_zones = aDeployment.m_zones;
  options.m_admission.m_shortTokens = 256;
  options.m_admission.m_maxWaiting = 32;
  for (const auto& [account, weight] : BenchAccounts()) {
    options.m_budgets[account] = 1'000'000'000;
    options.m_weights[account] = weight;
  }
  return options;
}

Replay::Replay(const Deployment&, FakeFleetOptions aOptions)
  : m_options(std::move(aOptions))
  , m_fleet(m_options)
{
  m_fleet.Time().Advance(kSettleTime);
  for (int i = 0; i < static_cast<int>(m_fleet.AgentCount()); ++i) {
    m_fleet.Agent(i)->Core().SetAdmission(m_options.m_admission);
  }
  m_startTime = m_fleet.Time().Now();
}

void
Replay::Start(const TraceRequest& aRequest, TraceResult& aResult)
{
  const int router = static_cast<int>(++m_requestCount % m_fleet.RouterCount());
  NewRequest request = m_fleet.MakeChat(aRequest.m_account,
                                        "~b" + std::to_string(m_requestCount),
                                        aRequest.m_tokens);
  const Instant startTime = m_fleet.Time().Now();
  request.m_caller.m_data = [this, startTime, &aResult](const std::string&) {
    if (aResult.m_timeToFirstByte == Duration::zero()) {
      aResult.m_timeToFirstByte = m_fleet.Time().Now() - startTime;
    }
  };
  request.m_caller.m_end = [this, &aResult](const ResponseEnd&) {
    aResult.m_isCompleted = true;
    aResult.m_endTime = m_fleet.Time().Now() - m_startTime;
  };
  request.m_caller.m_fail = [this, &aResult](const RequestFailure& aFailure) {
    aResult.m_hasFailed = true;
    aResult.m_code = aFailure.m_code;
    aResult.m_endTime = m_fleet.Time().Now() - m_startTime;
  };
  m_fleet.Begin(router, std::move(request));
}

std::vector<TraceResult>
Replay::Run(
  const std::vector<TraceRequest>& aTrace,
  const std::vector<std::pair<Duration, std::function<void()>>>& aFaults,
  Duration aDuration)
{
  std::vector<TraceResult> results(aTrace.size());
  for (std::size_t i = 0; i < aTrace.size(); ++i) {
    results[i].m_request = aTrace[i];
    m_fleet.Time().After(aTrace[i].m_arrivalTime, [this, &results, i] {
      Start(results[i].m_request, results[i]);
    });
  }
  for (const auto& [at, fault] : aFaults) {
    m_fleet.Time().After(at, fault);
  }
  m_fleet.Time().Advance(aDuration);
  return results;
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    aQuantile * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

std::vector<double>
FirstByteMilliseconds(const std::vector<TraceResult>& aResults,
                      const std::function<bool(const TraceResult&)>& aFilter)
{
  std::vector<double> values;
  for (const TraceResult& result : aResults) {
    if (result.m_isCompleted && aFilter(result)) {
      values.push_back(Milliseconds(result.m_timeToFirstByte));
    }
  }
  return values;
}

} // namespace bergamotpaddle
