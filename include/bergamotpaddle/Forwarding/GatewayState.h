/// \file
/// State that all requests of one router share.
#pragma once

#include "bergamotpaddle/Credit/CreditBook.h"
#include "bergamotpaddle/Feed/StoreAvailability.h"
#include "bergamotpaddle/Forwarding/TaskSupervisor.h"
#include "bergamotpaddle/Forwarding/WaitingRoom.h"
#include "bergamotpaddle/Forwarding/WireDialect.h"
#include "bergamotpaddle/Gateway/AdaptiveConnectTimeout.h"
#include "bergamotpaddle/Gateway/BufferQuota.h"
#include "bergamotpaddle/Logging/EventLog.h"
#include "bergamotpaddle/Metrics/Traffic.h"
#include "bergamotpaddle/Scheduling/Failover.h"
#include "bergamotpaddle/Scheduling/Placement.h"
#include "bergamotpaddle/Scheduling/PromptQuarantine.h"
#include "bergamotpaddle/Scheduling/RetryBudget.h"
#include "bergamotpaddle/Scheduling/RouterLevelling.h"
#include "bergamotpaddle/Scheduling/StopAdmission.h"
#include "bergamotpaddle/Support/ResultCode.h"

#include <array>
#include <memory>

namespace bergamotpaddle {

/// A latency histogram with fixed bucket bounds.
class LatencyHistogram
{
public:
  /// Inclusive upper bounds of the buckets, in milliseconds; one more bucket
  /// has no upper bound.
  static constexpr std::array<int, 12> kBoundsMs = { 1,   2,   5,    10,
                                                     20,  50,  100,  200,
                                                     300, 500, 1000, 5000 };
  void Record(Duration aValue);
  std::uint64_t Count() const { return m_count; }
  double SumSeconds() const { return m_sumSeconds; }
  /// Number of values at or below each bound.
  std::array<std::uint64_t, kBoundsMs.size()> Cumulative() const;

private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> m_counts{};
  std::uint64_t m_count = 0;
  double m_sumSeconds = 0;
};

/// Counters for the metrics endpoint.
struct GatewayCounters
{
  std::map<ResultCode, std::uint64_t> m_requestsByCode; ///< Requests by result.
  std::uint64_t m_retries = 0; ///< After a send that reached an upstream.
  std::uint64_t m_streamsResumed = 0;
  /// Sends to a second upstream beside a silent one, by what became of them.
  std::uint64_t m_failoversReplaced = 0; ///< The second upstream took over.
  std::uint64_t m_failoversKept = 0;     ///< The silent upstream continued.
  std::uint64_t m_failoversFailed = 0;   ///< The second upstream failed.
  /// Requests that were not sent since a part of their prompt is quarantined.
  std::uint64_t m_quarantineRefusals = 0;
  /// Requests refused since all upstreams that could take them were cold.
  std::uint64_t m_coldRefusals = 0;
  /// Requests whose upstream was evacuated or cold when they should have left.
  std::uint64_t m_sendsWithheld = 0;
  std::uint64_t m_evacuations = 0;  ///< Of zones.
  std::uint64_t m_unknownZones = 0; ///< Evacuations of zones without upstreams.
  std::uint64_t m_coldUpstreams = 0; ///< Times that an upstream was found cold.
  /// Requests refused for lack of credit, by `CreditShortage`.
  std::array<std::uint64_t, kCreditShortageCount> m_creditRefusals{};
  std::uint64_t m_upstreamsLeaving = 0; ///< Told by themselves or by a peer.
  std::uint64_t m_upstreamClosures = 0; ///< 503 with a time to stay away.
  std::uint64_t m_invalidNotices = 0;   ///< Of upstreams, about themselves.
  std::uint64_t m_invalidResponses = 0; ///< Of upstreams; not forwarded.
  std::uint64_t m_events = 0;           ///< Stream events sent to callers.
  LatencyHistogram m_firstEventTime;    ///< From a request to its first event.
  LatencyHistogram m_requestTime; ///< From a request to the response's end.
  LatencyHistogram m_connectTime; ///< Of connections made to upstreams.
  std::uint64_t m_connectTimeouts = 0;   ///< Of connections to upstreams.
  std::uint64_t m_otherZoneRequests = 0; ///< Sent to upstreams there.
  std::uint64_t m_otherZoneBytes = 0;    ///< To and from upstreams there.
  /// Requests, some of them still being read, whose connections the forced end
  /// of a shutdown closed.
  std::uint64_t m_requestsCut = 0;
  /// Requests that were not passed on since a shutdown left too little time.
  std::uint64_t m_stopRefusals = 0;
  /// Requests that were not passed on since they would have been late here
  /// while other routers of the zone had room.
  std::uint64_t m_levellingRefusals = 0;
  TrafficCounters m_traffic;
  std::uint64_t m_connectionsAccepted = 0; ///< From callers.
  /// How late the event loop ran its ticks; all other handlers of the loop are
  /// delayed alike.
  LatencyHistogram m_loopDelay;
  Duration m_maxLoopDelay{ 0 }; ///< Since the last report.
};

/// Time limits and size limits of request forwarding.
struct ForwardingOptions
{
  /// Timeout of a connection to an upstream, which takes a round trip and about
  /// 1 ms. Afterwards the request, of which nothing was sent yet, is sent to
  /// another upstream.
  Duration m_connectTimeout = std::chrono::milliseconds(250);
  /// A repeatable call without a stream is sent to another upstream as well, if
  /// one can take it, when its response has not arrived within the greater of
  /// this time and its latency objective multiplied by
  /// `m_responseTimeoutFactor`.
  Duration m_minResponseTimeout = std::chrono::milliseconds(400);
  double m_responseTimeoutFactor = 2;
  /// Pause in a resumable stream after which it is resumed at another upstream,
  /// if one can take it.
  /// Below the two seconds after which callers disconnect.
  Duration m_streamIdleTimeout = std::chrono::milliseconds(1200);
  /// Pause in a stream that has begun after which it leaves its upstream for
  /// one that has said nothing yet: just below the two seconds after which
  /// callers disconnect.
  Duration m_maxStreamPause = std::chrono::milliseconds(1900);
  /// How long a silent upstream keeps a request for an inference engine that
  /// was sent to another one as well. The users' rules allow that both work on
  /// it for 400 ms; the rest is for a late tick and the way to the upstream.
  Duration m_maxOverlap = std::chrono::milliseconds(320);
  /// Interval at which a request whose upstream is silent checks whether
  /// another one can take it: short compared with the time that callers wait
  /// after a pause.
  Duration m_failoverCheckInterval = std::chrono::milliseconds(100);
  /// Shortest pause in a stream after which callers disconnect.
  Duration m_minCallerStreamTimeout = std::chrono::milliseconds(2000);
  /// With less time than this left to the deadline, no further attempt is made.
  Duration m_minTimeLeft = std::chrono::milliseconds(5);
  /// Largest response, framing included, that is buffered before it is
  /// forwarded: the same limit that the users' operators set for requests.
  std::uint64_t m_maxResponseBytes = 4ULL * 1024 * 1024;
  /// Largest event of a stream; events in the users' specifications are below
  /// 1 KB.
  std::size_t m_maxEventBytes = 256UL * 1024;
  /// A request body has to be received completely within this time.
  Duration m_bodyTimeout = std::chrono::seconds(15);
  /// Longest wait of a request for a draw of credit: time for a few writes, and
  /// less than the smallest objective for the first event of streams, 250 ms.
  /// Calls without a stream, whose objective may be 100 ms, need no credit.
  Duration m_maxCreditWait = std::chrono::milliseconds(160);
  Duration m_creditPollInterval = std::chrono::milliseconds(10);
  /// `Retry-After` of transient conditions.
  Duration m_retryAfterTransient = std::chrono::milliseconds(400);
  /// `Retry-After` for lack of credit, which is drawn about once a second.
  Duration m_retryAfterDraw = std::chrono::milliseconds(1000);
  /// `Retry-After` of requests that come too late in a shutdown or that would
  /// be late here: another router can take them at once.
  Duration m_retryAfterStop = std::chrono::milliseconds(100);
  /// Shortest `Retry-After` of a request with a quarantined prompt part.
  Duration m_minQuarantineRetry = std::chrono::seconds(1);
  /// Resolution of all timeouts.
  Duration m_tickInterval = std::chrono::milliseconds(20);
};

/// Quotas for messages being received, in bytes, over all connections.
struct MemoryQuotas
{
  std::uint64_t m_requestBodies = 0;
  std::uint64_t m_responses = 0; ///< Bodies, and events that are incomplete.
  std::uint64_t m_requestHeads = 0;
  std::uint64_t m_storeResponse = 0; ///< One response of the platform's store.
  auto operator<=>(const MemoryQuotas&) const = default;

  /// Quotas for a process that may use \p aMemoryBytes. Together they leave
  /// more than a quarter to everything else.
  static MemoryQuotas ForProcess(std::uint64_t aMemoryBytes);
};

/// Memory of a process whose settings don't tell it: the smallest of the users'
/// specifications, in bytes.
constexpr std::uint64_t kDefaultMemoryBytes = 160ULL * 1024 * 1024;

/// The shared state. Not thread-safe: one thread uses it.
struct GatewayState
{
  GatewayState(WireDialect aDialect,
               PlacementOptions aPlacement,
               CreditHolder aSelf,
               RetryBudgetOptions aRetries,
               EventLog& aLog);

  Instant Now() const;
  /// Wall-clock time for the log, in milliseconds since the Unix epoch.
  std::int64_t UnixMs() const;
  void SetMemoryQuotas(const MemoryQuotas& aQuotas);
  /// Writes a line; with \p aIsVital it is kept where others are dropped.
  void Log(const LogLine& aLine, bool aIsVital = false);
  /// Logs what changed in m_quarantine since the last call.
  void LogQuarantineChanges();
  /// Why the upstream must get no request now that has not left yet; counts the
  /// request if there is no reason.
  std::string_view WithholdsFrom(const UpstreamId& aId,
                                 const ServiceId& aService,
                                 Instant aNow);
  /// Records that the upstream will be cold for \p aLeft. \p aIsNew: it had no
  /// requests before.
  void NoteCold(const UpstreamEntry& aEntry, Duration aLeft, bool aIsNew);
  /// Logs how the shares of requests that leave the zone have changed.
  void LogOverflowChanges();

  WireDialect m_dialect;
  ForwardingOptions m_options;
  std::shared_ptr<const RouteTable> m_routes; ///< Null until one is known.
  UpstreamView m_upstreams;
  Placement m_placement;
  ColdRate m_coldRate;
  WaitingRoom m_waiting;
  PromptQuarantine m_quarantine;
  CreditBook m_credit;
  RetryBudget m_retries;
  StoreAvailability m_storeAvailability;
  AdaptiveConnectTimeout
    m_adaptiveConnectTimeout; ///< For upstreams and the store alike.
  GatewayCounters m_counters;
  EventLog* m_log;
  TaskSupervisor m_tasks;
  bool m_isStopping = false;
  /// During a graceful shutdown: when every request must have its answer.
  std::optional<Instant> m_answersDueBy;
  StopAdmission m_stopAdmission;
  RouterLevelling m_levelling;
  std::size_t m_requestsInFlight = 0;
  BufferQuota m_requestBodies;
  BufferQuota m_responses;
  BufferQuota m_requestHeads;
  /// Requests an immediate draw of credit; false if the platform is unreachable
  /// and there will be none.
  std::function<bool()> m_drawCredit = [] { return false; };
  /// Whether a newer configuration may already have to be in force: a peer
  /// announced one, or the store has not confirmed the current version for as
  /// long as a change may take to propagate.
  std::function<bool()> m_isConfigurationPossiblyStale = [] { return false; };
  /// Called when this router's load on an upstream changes, with the prompt
  /// parts that were sent there, so that peers can be informed.
  std::function<void(const UpstreamId&, const std::vector<PromptPart>&)>
    m_onLoadChanged = [](const UpstreamId&, const std::vector<PromptPart>&) {};
};

} // namespace bergamotpaddle
