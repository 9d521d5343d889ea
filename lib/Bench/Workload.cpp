#include "bergamotpaddle/Bench/Workload.h"

#include <algorithm>
#include <random>

namespace bergamotpaddle {

namespace {

constexpr int kRouters = 3;
constexpr Duration kSettle = std::chrono::seconds(8);

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
  const double perSlot =
    1.0 /
    std::chrono::duration<double>(aOptions.m_upstream.m_tokenInterval).count();
  return perSlot * static_cast<double>(aOptions.m_admission.m_slots) *
         aOptions.m_chatUpstreams;
}

std::vector<TraceRequest>
MakeTrace(const Deployment& aDeployment,
          const std::vector<LoadPhase>& aPhases,
          double aCapacity,
          bool aWithLong,
          std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> unit(0, 1);
  const auto shortTokens = static_cast<double>(aDeployment.m_shortTokens);
  const auto longTokens = static_cast<double>(aDeployment.m_longTokens);
  const double mean = (1 - aDeployment.m_longShare) * shortTokens +
                      aDeployment.m_longShare * longTokens;
  std::vector<std::string> tickets;
  for (const auto& [account, weight] : BenchAccounts()) {
    tickets.insert(tickets.end(), weight, account);
  }
  std::vector<TraceRequest> trace;
  Duration at{};
  Duration phaseEnd{};
  for (const LoadPhase& phase : aPhases) {
    phaseEnd += phase.m_length;
    const double rate = phase.m_load * aCapacity / mean;
    std::exponential_distribution<double> gap(rate);
    while (true) {
      at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
      if (at >= phaseEnd) {
        at = phaseEnd;
        break;
      }
      TraceRequest request;
      request.m_at = at;
      request.m_account = tickets[random() % tickets.size()];
      request.m_isLong = unit(random) < aDeployment.m_longShare;
      request.m_tokens =
        request.m_isLong
          ? aDeployment.m_longTokens
          : static_cast<std::uint64_t>(shortTokens * (0.5 + unit(random)));
      // Drawn all the same, so that both traces agree in their short requests.
      if (request.m_isLong && !aWithLong) {
        continue;
      }
      trace.push_back(std::move(request));
    }
  }
  return trace;
}

FakeFleetOptions
Replay::OptionsFor(const Deployment& aDeployment)
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
  m_fleet.Time().Advance(kSettle);
  for (int i = 0; i < static_cast<int>(m_fleet.AgentCount()); ++i) {
    m_fleet.Agent(i)->Core().SetAdmission(m_options.m_admission);
  }
  m_begin = m_fleet.Time().Now();
}

void
Replay::Start(const TraceRequest& aRequest, TraceResult& aResult)
{
  const int router = static_cast<int>(++m_number % m_fleet.RouterCount());
  NewRequest request = m_fleet.MakeChat(
    aRequest.m_account, "~b" + std::to_string(m_number), aRequest.m_tokens);
  const Instant begun = m_fleet.Time().Now();
  request.m_caller.m_data = [this, begun, &aResult](const std::string&) {
    if (aResult.m_firstByte == Duration::zero()) {
      aResult.m_firstByte = m_fleet.Time().Now() - begun;
    }
  };
  request.m_caller.m_end = [this, &aResult](const ResponseEnd&) {
    aResult.m_isDone = true;
    aResult.m_end = m_fleet.Time().Now() - m_begin;
  };
  request.m_caller.m_fail = [this, &aResult](const RequestFailure& aFailure) {
    aResult.m_isRefused = true;
    aResult.m_code = aFailure.m_code;
    aResult.m_end = m_fleet.Time().Now() - m_begin;
  };
  m_fleet.Begin(router, std::move(request));
}

std::vector<TraceResult>
Replay::Run(
  const std::vector<TraceRequest>& aTrace,
  const std::vector<std::pair<Duration, std::function<void()>>>& aFaults,
  Duration aLength)
{
  std::vector<TraceResult> results(aTrace.size());
  for (std::size_t i = 0; i < aTrace.size(); ++i) {
    results[i].m_request = aTrace[i];
    m_fleet.Time().After(aTrace[i].m_at, [this, &results, i] {
      Start(results[i].m_request, results[i]);
    });
  }
  for (const auto& [at, fault] : aFaults) {
    m_fleet.Time().After(at, fault);
  }
  m_fleet.Time().Advance(aLength);
  return results;
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

std::vector<double>
FirstByteMilliseconds(const std::vector<TraceResult>& aResults,
                      const std::function<bool(const TraceResult&)>& aWanted)
{
  std::vector<double> values;
  for (const TraceResult& result : aResults) {
    if (result.m_isDone && aWanted(result)) {
      values.push_back(Milliseconds(result.m_firstByte));
    }
  }
  return values;
}

} // namespace bergamotpaddle
