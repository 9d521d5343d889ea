/// \file
/// Generation of request traces from a seed, and their replay in a fake fleet.
#pragma once

#include "bergamotpaddle/Testing/FakeFleet.h"

#include <string>
#include <vector>

namespace bergamotpaddle {

/// Size and workload of a deployment as its users run it.
struct Deployment
{
  std::string m_name;
  int m_chatUpstreams = 0;
  int m_serviceUpstreams = 0;
  std::vector<std::string> m_zones;
  std::uint64_t m_shortTokens = 0; ///< Mean size of a short request.
  std::uint64_t m_longTokens = 0;  ///< Size of a long request.
  double m_longShare = 0;          ///< Fraction of requests that are long.
};

Deployment
Fernvale();
Deployment
Landesamt();

/// One request of a trace.
struct TraceRequest
{
  Duration m_arrivalTime{}; ///< Since the trace began.
  std::string m_account;
  std::uint64_t m_tokens = 0;
  bool m_isLong = false;
};

/// A period of constant load in a trace.
struct LoadPhase
{
  Duration m_duration{};
  double m_load = 0; ///< As a fraction of the deployment's capacity.
};

/// Returns the client accounts of the traces with their weights, which range
/// from small to large accounts.
std::map<std::string, std::uint32_t>
BenchAccounts();

/// Returns the maximum number of tokens per second that the engines of a
/// deployment generate.
double
CapacityOf(const FakeFleetOptions& aOptions);

/// Generates requests with random interarrival times at the load of each phase.
/// \p aCapacity is in tokens per second.
std::vector<TraceRequest>
MakeTrace(const Deployment& aDeployment,
          const std::vector<LoadPhase>& aPhases,
          double aCapacity,
          bool aIncludesLong,
          std::uint64_t aSeed);

/// A request and its outcome. It is unfinished if neither completed nor failed.
struct TraceResult
{
  TraceRequest m_request;
  bool m_isCompleted = false;
  bool m_hasFailed = false;
  ResultCode m_code = ResultCode::kOk;
  Duration m_timeToFirstByte{}; ///< Since its arrival.
  Duration m_endTime{};         ///< Since the trace began.
};

/// A fleet that replays one trace.
class Replay
{
public:
  Replay(const Deployment& aDeployment, FakeFleetOptions aOptions);

  /// Returns the fleet options for \p aDeployment that the benchmarks start
  /// from.
  static FakeFleetOptions DefaultOptions(const Deployment& aDeployment);

  FakeFleet& Fleet() { return m_fleet; }

  /// Replays \p aTrace for \p aDuration. \p aFaults holds closures that inject
  /// faults and their times since the trace began.
  std::vector<TraceResult> Run(
    const std::vector<TraceRequest>& aTrace,
    const std::vector<std::pair<Duration, std::function<void()>>>& aFaults,
    Duration aDuration);

private:
  void Start(const TraceRequest& aRequest, TraceResult& aResult);

  FakeFleetOptions m_options;
  FakeFleet m_fleet;
  Instant m_startTime{};
  std::uint64_t m_requestCount = 0;
};

/// Returns the \p aQuantile quantile (0 to 1) of \p aValues, or 0 if there are
/// none. It does not interpolate, but returns the next lower value.
double
Quantile(std::vector<double> aValues, double aQuantile);

/// Returns the time to first byte, in milliseconds, of the completed requests
/// that \p aFilter accepts.
std::vector<double>
FirstByteMilliseconds(const std::vector<TraceResult>& aResults,
                      const std::function<bool(const TraceResult&)>& aFilter);

} // namespace bergamotpaddle
