/// \file
/// What all requests of one router share.
#pragma once

#include "bergamotpaddle/Forwarding/WireDialect.h"
#include "bergamotpaddle/Gateway/ConnectPatience.h"
#include "bergamotpaddle/Gateway/CreditBook.h"
#include "bergamotpaddle/Gateway/Placement.h"
#include "bergamotpaddle/Gateway/RetryBudget.h"
#include "bergamotpaddle/Gateway/StoreContact.h"
#include "bergamotpaddle/Logging/EventLog.h"
#include "bergamotpaddle/Metrics/Traffic.h"
#include "bergamotpaddle/Support/ResultCode.h"

#include <array>
#include <memory>

namespace bergamotpaddle {

/// A latency histogram with fixed bounds.
class LatencyHistogram
{
public:
  /// Upper bounds in milliseconds; the last class has none.
  static constexpr std::array<int, 12> kBoundsMs = { 1,   2,   5,    10,
                                                     20,  50,  100,  200,
                                                     300, 500, 1000, 5000 };
  void Note(Duration aValue);
  std::uint64_t Count() const { return m_count; }
  double SumSeconds() const { return m_sumSeconds; }
  /// Values at or below each bound.
  std::array<std::uint64_t, kBoundsMs.size()> Cumulative() const;

private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> m_counts{};
  std::uint64_t m_count = 0;
  double m_sumSeconds = 0;
};

/// Counters for the metrics address.
struct GatewayCounters
{
  std::map<ResultCode, std::uint64_t> m_ends; ///< Requests by how they ended.
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumed = 0;
  std::uint64_t m_spoiledAnswers = 0;
  std::uint64_t m_events = 0;
  LatencyHistogram m_firstByte;   ///< From a request's head to its answer's.
  LatencyHistogram m_whole;       ///< To the end of the answer.
  LatencyHistogram m_connectTime; ///< Connections to upstreams that were made.
  std::uint64_t m_connectTimeouts = 0;
  TrafficCounters m_traffic;
  std::uint64_t m_connectionsAccepted = 0; ///< Connections of callers.
  /// How late the event loop came to its ticks: what waits for it is as late.
  LatencyHistogram m_loopDelay;
  Duration m_maxLoopDelay{ 0 }; ///< Since it was told last.
};

/// Bounds of the forwarding path.
struct ForwardingOptions
{
  /// A connection to an upstream takes a round trip and about 1 ms; beyond
  /// this the request, of which nothing was sent, goes elsewhere.
  Duration m_connectTimeout = std::chrono::milliseconds(250);
  /// Least wait for the answer of a call that may be repeated before another
  /// upstream is tried, and the part of its objective that it waits.
  Duration m_leastSilence = std::chrono::milliseconds(400);
  double m_silenceInObjectives = 2;
  /// Pause in a resumable stream after which another upstream goes on: before
  /// callers leave, which they do after two seconds.
  Duration m_streamSilence = std::chrono::milliseconds(1200);
  /// Callers leave a stream after such a pause at the least.
  Duration m_streamPatience = std::chrono::milliseconds(2000);
  /// Time left below which nothing is sent any more.
  Duration m_leastTimeLeft = std::chrono::milliseconds(5);
  /// Bodies of requests in memory at once, over all callers.
  std::uint64_t m_maxBufferedBodies = 64ULL * 1024 * 1024;
  /// Longest answer, as it is framed, that is collected before it is passed
  /// on: the bound that the users' operators set for requests.
  std::uint64_t m_maxAnswerBytes = 4ULL * 1024 * 1024;
  /// All answers being collected: a fifth of the least memory on the users'
  /// sheets, 160 MB.
  std::uint64_t m_maxBufferedAnswers = 32ULL * 1024 * 1024;
  /// Longest event of a stream; events on the users' sheets are below 1 KB.
  std::size_t m_maxEventBytes = 256UL * 1024;
  /// A whole request body has to come in within this time.
  Duration m_bodyTimeout = std::chrono::seconds(15);
  /// Longest wait of a request for a draw of credit: a few writes, and short
  /// beside the least aim of a first event, 100 ms for plain calls and 250 ms
  /// for streams, which alone need credit.
  Duration m_creditWait = std::chrono::milliseconds(160);
  Duration m_creditPoll = std::chrono::milliseconds(10);
  /// When callers are told to come back for what passes by itself within
  /// moments.
  Duration m_retrySoon = std::chrono::milliseconds(400);
  /// When they are told to come back for credit, which is drawn about once a
  /// second.
  Duration m_retryAfterDraw = std::chrono::milliseconds(1000);
  /// Resolution of all time-outs.
  Duration m_tick = std::chrono::milliseconds(20);
};

/// The shared state. One thread uses it.
struct GatewayState
{
  GatewayState(WireDialect aDialect,
               PlacementOptions aPlacement,
               CreditHolder aSelf,
               RetryBudgetOptions aRetries,
               EventLog& aLog);

  Instant Now() const;
  /// Time of day for the log, in milliseconds.
  std::int64_t UnixMs() const;
  void Log(const LogLine& aLine, bool aIsVital = false);

  WireDialect m_dialect;
  ForwardingOptions m_options;
  std::shared_ptr<const RouteTable> m_routes; ///< Null until one is known.
  UpstreamView m_upstreams;
  Placement m_placement;
  CreditBook m_credit;
  RetryBudget m_retries;
  StoreContact m_storeContact;
  ConnectPatience m_connectPatience; ///< Over upstreams and the store alike.
  GatewayCounters m_counters;
  EventLog* m_log;
  bool m_isStopping = false;
  std::size_t m_requestsInFlight = 0;
  std::uint64_t m_bufferedBodies = 0;
  std::uint64_t m_bufferedAnswers = 0; ///< Bytes of answers being collected.
  /// Asks for a draw of credit at once; false if the platform is out of reach
  /// and none will come.
  std::function<bool()> m_drawCredit = [] { return false; };
  /// Whether a newer configuration may have to be in force already: a peer told
  /// of one, or the store has not confirmed ours for as long as a change may
  /// take.
  std::function<bool()> m_isConfigurationPossiblyStale = [] { return false; };
  /// Called when our load on an upstream changes, with the prompt parts that
  /// were sent there, so that peers can be told.
  std::function<void(const UpstreamId&, const std::vector<PromptPart>&)>
    m_onLoadChanged = [](const UpstreamId&, const std::vector<PromptPart>&) {};
};

} // namespace bergamotpaddle
