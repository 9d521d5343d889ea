/// \file
/// A trace of requests from a seed, and what became of each in a fake fleet.
#pragma once

#include "bergamotpaddle/Testing/FakeFleet.h"

#include <string>
#include <vector>

namespace bergamotpaddle {

/// The shape of a deployment, as the users have it today.
struct Deployment
{
  std::string m_name;
  int m_chatUpstreams = 0;
  int m_serviceUpstreams = 0;
  std::vector<std::string> m_zones;
  std::uint64_t m_shortTokens = 0; ///< Middle size of a short request.
  std::uint64_t m_longTokens = 0;  ///< Size of a long one.
  double m_longShare = 0;          ///< Of requests.
};

Deployment
Fernvale();
Deployment
Landesamt();

/// One request of a trace.
struct TraceRequest
{
  Duration m_at{}; ///< Since the trace began.
  std::string m_account;
  std::uint64_t m_tokens = 0;
  bool m_isLong = false;
};

/// How the load of a trace swings, in shares of the deployment's capacity.
struct LoadPhase
{
  Duration m_length{};
  double m_load = 0;
};

/// Client accounts of the traces with their weights; some are large.
std::map<std::string, std::uint32_t>
BenchAccounts();

/// Tokens a second that a deployment's engines generate at most.
double
CapacityOf(const FakeFleetOptions& aOptions);

/// Requests with random gaps that bring the load of each phase.
std::vector<TraceRequest>
MakeTrace(const Deployment& aDeployment,
          const std::vector<LoadPhase>& aPhases,
          double aCapacity,
          bool aWithLong,
          std::uint64_t aSeed);

/// A request and what became of it.
struct TraceResult
{
  TraceRequest m_request;
  bool m_isDone = false;
  bool m_isRefused = false;
  ResultCode m_code = ResultCode::kOk;
  Duration m_firstByte{}; ///< After it came in.
  Duration m_end{};       ///< Since the trace began.
};

/// A fleet that replays one trace.
class Replay
{
public:
  Replay(const Deployment& aDeployment, FakeFleetOptions aOptions);

  /// The options that a deployment's replays start from.
  static FakeFleetOptions OptionsFor(const Deployment& aDeployment);

  FakeFleet& Fleet() { return m_fleet; }

  /// Runs a trace; \p aFaults holds closures and when they happen.
  std::vector<TraceResult> Run(
    const std::vector<TraceRequest>& aTrace,
    const std::vector<std::pair<Duration, std::function<void()>>>& aFaults,
    Duration aLength);

private:
  void Start(const TraceRequest& aRequest, TraceResult& aResult);

  FakeFleetOptions m_options;
  FakeFleet m_fleet;
  Instant m_begin{};
  std::uint64_t m_number = 0;
};

/// The value below which \p aShare of \p aValues lie; 0 if there are none.
double
Quantile(std::vector<double> aValues, double aShare);

/// Milliseconds to the first byte of the finished requests that \p aWanted
/// picks.
std::vector<double>
FirstByteMilliseconds(const std::vector<TraceResult>& aResults,
                      const std::function<bool(const TraceResult&)>& aWanted);

} // namespace bergamotpaddle
