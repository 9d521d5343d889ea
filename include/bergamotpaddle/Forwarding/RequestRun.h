/// \file
/// Serves one request: admission checks, credit, placement, and the exchanges
/// with upstreams until the caller has its response.
#pragma once

#include "bergamotpaddle/Forwarding/CallerConnection.h"
#include "bergamotpaddle/Forwarding/UpstreamAttempt.h"
#include "bergamotpaddle/Scheduling/RequestProgress.h"

namespace bergamotpaddle {

/// One request in flight.
class RequestRun
{
public:
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  RequestRun(GatewayState& aState,
             CallerConnection& aCaller,
             boost::asio::any_io_executor aExecutor);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  /// Returns when the response was sent or the caller has disconnected.
  Awaitable<void> Serve();

  /// Ends the attempts if the deadline has passed, and sends the request to
  /// another upstream as well if a timeout has, unless bytes have arrived.
  /// \p aStall, a time during which the event loop was blocked, extends the
  /// timeout but not the deadline.
  void Tick(Instant aNow, Duration aStall);

  /// Moves the deadline forward to \p aLatest if it is later.
  void LimitDeadline(Instant aLatest);

  /// Adds to \p aLine which request this is, how long it has been in flight,
  /// whether it was passed on, and whether its response has begun.
  void AppendFlightState(LogLine& aLine) const;

private:
  /// Determines route, account, service and deadline. Returns the response if
  /// the request is rejected.
  std::optional<LocalResponse> Admit();
  /// Determines route and account and checks the API key. Returns the response
  /// if the request is rejected.
  std::optional<LocalResponse> CheckCaller();
  /// The response if the local configuration rejects the request but may be
  /// outdated.
  LocalResponse StaleConfigurationResponse(const char* aProblem) const;
  /// Returns the response if the prompt holds a quarantined part.
  std::optional<LocalResponse> CheckPrompt();
  /// Whether the request must not be sent since a part of its prompt was
  /// quarantined after its admission.
  bool IsPromptQuarantined();
  /// Whether the request, which has not run, must not be sent since a shutdown
  /// leaves it too little time, with the reason in m_code and m_errorMessage.
  bool IsTooLateForStop();
  /// Records the duration of a request that was served or timed out.
  void NoteDuration();
  /// `Retry-After` of a refusal with \p aCode.
  Duration RetryAfter(ResultCode aCode) const;
  /// The deadline by the caller's time limit and the route's timeout alone.
  Instant OwnDeadline() const;
  /// Urgency of the route among those that use tokens.
  CreditRank CreditRankOfRoute() const;
  /// Allots credit for a prepaid request, after the next draw if necessary.
  /// Returns the response if the request is rejected.
  Awaitable<std::optional<LocalResponse>> AllotCredit();
  /// Waits for the next draw of credit, for at most
  /// `ForwardingOptions::m_maxCreditWait` after arrival and until the deadline.
  Awaitable<AllotResult> AwaitCredit(std::uint64_t aMaxTokens);
  /// Records why a request for \p aMaxTokens is refused for lack of credit.
  void NoteCreditShortage(std::uint64_t aMaxTokens);
  Awaitable<void> Forward();
  PlacementRequest MakePlacementRequest(Instant aNow) const;
  /// Chooses the next upstream; nullopt if there is none, with the reason in
  /// m_code and m_errorMessage.
  std::optional<PlacementChoice> ChooseUpstream();
  /// Like ChooseUpstream, but waits for room if the pool is full and room is
  /// expected in time.
  Awaitable<std::optional<PlacementChoice>> AwaitUpstream();
  /// Waits for room in the queue of the pool.
  Awaitable<std::optional<PlacementChoice>> AwaitRoom();
  WaitRequest MakeWaitRequest(Instant aNow) const;
  /// Sets m_code, m_errorMessage and m_retryAfter of a request that is refused
  /// since room is expected only after \p aForecast.
  void NoteNoRoom(Duration aForecast, std::string_view aCause);
  /// Whether to send the request to another upstream after a failure.
  bool ShouldRetry();
  /// Creates an attempt at the upstream of \p aChoice, which is known.
  std::shared_ptr<UpstreamAttempt> MakeAttempt(
    const PlacementChoice& aChoice,
    std::optional<Instant> aRetryConsumedAt);
  /// Makes \p aAttempt the one in use; the one before has ended.
  void Use(std::shared_ptr<UpstreamAttempt> aAttempt);
  /// Awaits the answer of m_attempt, or of the attempt that takes over from it,
  /// and delivers it; false if all have failed or the caller has disconnected.
  Awaitable<bool> DeliverAnswer();
  Awaitable<void> DeliverEvents();
  Awaitable<void> DeliverStreamEnd();
  Awaitable<void> DeliverResponse();
  /// Bytes of the response arrived: if it is that of m_attempt, its silence is
  /// over.
  void NoteHeard(const UpstreamAttempt& aAttempt);
  /// Sends the request to another upstream as well, if one can take it.
  void StartStandby(Instant aNow);
  /// What a standby attempt has, or how it failed, takes effect.
  void NoteStandbyStep(const UpstreamAttempt& aStandby, AttemptStep aStep);
  /// The standby attempt that has an answer, or else the oldest one that was
  /// not aborted; null if there is none.
  std::shared_ptr<UpstreamAttempt> BestStandby() const;
  /// Continues with \p aStandby in place of m_attempt, which has ended.
  void AdoptStandby(const std::shared_ptr<UpstreamAttempt>& aStandby);
  /// Gives all standby attempts up: m_attempt has an answer, or none will.
  void DropStandbys();
  /// Records how an attempt ended.
  void EndAttempt(const std::shared_ptr<UpstreamAttempt>& aAttempt,
                  AttemptStep aStep);
  /// Logs a failed attempt, and records a crash that it may be due to.
  void NoteFailure(const UpstreamAttempt& aAttempt, AttemptStep aStep);
  void LogFailover(const UpstreamAttempt& aStandby, std::string_view aResult);
  /// Calls \p aAction with every attempt that was not given up.
  void ForEachAttempt(const std::function<void(UpstreamAttempt&)>& aAction);
  Awaitable<void> FinishRequest(bool aIsDelivered);
  Awaitable<void> RespondLocally(LocalResponse aResponse);
  std::string UpstreamHead(const UpstreamId& aUpstream) const;
  /// Adds to \p aLine why \p aAttempt ended, how long its upstream had been
  /// silent, what the caller had received, and what was left for a retry.
  void AppendAttemptState(LogLine& aLine,
                          const UpstreamAttempt& aAttempt) const;
  /// Lets the response timeout, if there is one, run from \p aSince.
  void ArmIdleTimeout(Instant aSince);
  /// Time after which the request is sent to another upstream as well if no
  /// response has arrived; nullopt if it must not be repeated.
  std::optional<Duration> ResponseTimeout() const;
  /// Whether two upstreams may work on the request for a short time only, as
  /// it occupies the memory and the slots of inference engines.
  bool MustNotOverlap() const;
  /// Whether the request has been at two upstreams for as long as it may.
  bool IsOverlapOver(Instant aNow) const;
  /// Ends the attempt at one of two upstreams.
  void EndOverlap();
  /// Ends the attempt at an upstream that has paused for too long, and sends
  /// the request once more to the one that it was taken back from, if that is
  /// possible.
  bool MoveToFallback(Instant aNow);
  /// Whether the request may be sent to m_fallback once more.
  bool HasFallback() const;
  /// Lets \p aStandby work on the request beside m_attempt.
  void RunStandby(const std::shared_ptr<UpstreamAttempt>& aStandby);
  /// Charges the tokens used and releases the rest of the allotted ones.
  void SettleCredit();
  void LogEnd() const;
  Duration Elapsed() const { return m_state->Now() - m_arrivedAt; }

  GatewayState* m_state;
  CallerConnection* m_caller;
  boost::asio::any_io_executor m_executor;
  std::shared_ptr<const RouteTable> m_table; ///< Current on arrival.
  CallerRequest m_request;
  const Route* m_route = nullptr;
  const Account* m_account = nullptr;
  ServiceId m_service;
  const Service* m_serviceInfo = nullptr;
  std::optional<RequestProgress> m_progress;
  std::shared_ptr<const std::string> m_body;
  std::string m_method;
  std::string m_target;
  Instant m_arrivedAt;
  Instant m_deadline;
  std::optional<Instant> m_idleDeadline;
  /// First tick that found the deadline or the timeout passed.
  std::optional<Instant> m_overdueSince;
  std::uint64_t m_allotted = 0; ///< Tokens.
  std::uint64_t m_charged = 0;  ///< Part of m_allotted, set by SettleCredit.
  Duration m_creditWaitTime{ 0 };
  /// Why the request was refused for lack of credit, if it was.
  std::optional<CreditShortage> m_creditShortage;
  std::uint64_t m_eventsDelivered = 0;
  Duration m_queueTime{ 0 };       ///< Spent waiting for room.
  std::string_view m_queueResult;  ///< Of the last wait; empty without one.
  bool m_isPoolFull = false;       ///< By the last ChooseUpstream.
  Duration m_lateBy{ 0 };          ///< The same: until room, by the backlogs.
  std::function<void()> m_endWait; ///< Set during a wait for room.
  std::optional<Duration> m_retryAfter; ///< Of a refusal for lack of room.
  bool m_mayHaveRun = false;
  bool m_isPromptTrial = false; ///< Sent despite a quarantined part.
  bool m_isCallerDisconnected = false;
  bool m_isStreamBegun = false;
  std::string m_lastEventId;
  std::shared_ptr<UpstreamAttempt> m_attempt;
  /// At other upstreams, while that of m_attempt is silent; the oldest first.
  std::vector<std::shared_ptr<UpstreamAttempt>> m_standbys;
  /// An upstream that had said nothing when the request was taken back from it,
  /// as the first one had delivered events.
  std::optional<PlacementChoice> m_fallback;
  /// The latest attempt that ended with a complete error response.
  std::shared_ptr<UpstreamAttempt> m_failedAttempt;
  // For the log.
  ResultCode m_code = ResultCode::kInternal;
  int m_status = 0;
  std::string m_errorMessage;
  std::string_view m_firstFailure; ///< Why the first exchange that failed did.
  std::optional<Duration> m_timeToFirstByte;
  std::optional<Instant> m_lastEventAt;
  Duration m_longestPause{ 0 };
};

} // namespace bergamotpaddle
