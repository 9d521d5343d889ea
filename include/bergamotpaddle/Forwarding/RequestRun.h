/// \file
/// Serves one request: admission checks, credit, placement, and the exchanges
/// with upstreams until the caller has its response.
#pragma once

#include "bergamotpaddle/Forwarding/CallerConnection.h"
#include "bergamotpaddle/Forwarding/UpstreamExchange.h"
#include "bergamotpaddle/Gateway/EventSplitter.h"
#include "bergamotpaddle/Gateway/RequestProgress.h"

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

  /// Aborts the exchange if a deadline or a timeout has passed and no bytes
  /// have arrived. \p aStall, a time during which the event loop was blocked,
  /// extends the timeout but not the deadline.
  void Tick(Instant aNow, Duration aStall);

  /// Moves the deadline forward to \p aLatest if it is later.
  void LimitDeadline(Instant aLatest);

  /// Adds to \p aLine which request this is, how long it has been in flight,
  /// whether it was passed on, and whether its response has begun.
  void AppendFlightState(LogLine& aLine) const;

private:
  /// Result of an exchange with an upstream.
  enum class ExchangeResult
  {
    kNeverSent,
    kNotRun,     ///< The upstream proved that it did not run the request.
    kFailed,     ///< A complete error response, kept in m_failedResponse.
    kDelivered,  ///< The caller was sent the complete response.
    kIncomplete, ///< No complete response; the request may have run.
    kCallerDisconnected,
  };

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
  /// Records that the response of the exchange in flight began.
  void NoteResponseBegun();
  /// Allots credit for a prepaid request, after the next draw if necessary.
  /// Returns the response if the request is rejected.
  Awaitable<std::optional<LocalResponse>> AllotCredit();
  /// Waits for the next draw of credit, for at most
  /// `ForwardingOptions::m_maxCreditWait` after arrival and until the deadline.
  Awaitable<AllotResult> AwaitCredit(std::uint64_t aMaxTokens);
  Awaitable<void> Forward();
  PlacementRequest MakePlacementRequest(Instant aNow) const;
  /// Uses the reserved upstream or chooses the next one; false if there is
  /// none, with the reason in m_code and m_errorMessage.
  bool ChooseUpstream();
  /// Whether to send the request to another upstream after \p aResult.
  bool ShouldRetry(ExchangeResult aResult);
  Awaitable<ExchangeResult> RunExchange();
  Awaitable<ExchangeResult> ReadResponse(bool aIsHeadRequest);
  /// Buffers the complete response, then sends it to the caller unless it
  /// reports a server error.
  Awaitable<ExchangeResult> CollectResponse(const UpstreamResponse& aResponse);
  /// Forwards events as they arrive; events that the caller already has are
  /// skipped.
  Awaitable<ExchangeResult> ForwardStream(const UpstreamResponse& aResponse);
  /// Records that bytes arrived from the upstream.
  void NoteUpstreamHeard();
  Awaitable<void> FinishRequest(ExchangeResult aResult);
  Awaitable<void> RespondLocally(LocalResponse aResponse);
  std::string UpstreamHead() const;
  /// Whether the response names an attempt, but not this one.
  bool IsForOtherAttempt(const UpstreamResponse& aResponse) const;
  bool IsInvalidResponse(const UpstreamResponse& aResponse) const;
  void NoteExchange(ExchangeResult aResult);
  /// Adds to \p aLine why the latest exchange ended, how long the upstream had
  /// been silent, what the caller had received, and what was left for a retry.
  void AppendExchangeState(LogLine& aLine) const;
  void ArmIdleTimeout(Duration aTimeout);
  /// Time after which the request is sent to another upstream if no response
  /// has arrived; nullopt if it must not be repeated.
  std::optional<Duration> ResponseTimeout() const;
  /// Reserves a retry at another upstream, which replaces the exchange in
  /// flight; false if the request has to stay where it is for now.
  bool ReserveFailover(Instant aNow);
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
  std::uint64_t m_eventsDelivered = 0;
  bool m_mayHaveRun = false;
  bool m_isPromptTrial = false;           ///< Sent despite a quarantined part.
  bool m_hasResponseBegun = false;        ///< In the exchange in flight.
  std::int64_t m_upstreamStartedAtMs = 0; ///< Start of the chosen upstream.
  bool m_isCallerDisconnected = false;
  bool m_isStreamBegun = false;
  std::string m_lastEventId;
  PlacementChoice m_choice;
  /// The upstream of the next exchange; its retry is consumed already.
  std::optional<PlacementChoice> m_reservedChoice;
  bool m_isRequestSent = false; ///< In the latest exchange, at least in part.
  /// Whether the current silence was recorded as a failure of the upstream.
  bool m_isSilenceNoted = false;
  std::string m_upstreamAddress;
  std::shared_ptr<UpstreamExchange> m_exchange;
  UpstreamResponse m_failedResponse; ///< The latest complete error response.
  std::string m_failedResponseBody;
  std::uint64_t m_countedResponseBytes =
    0; ///< Counted in m_bufferedResponseBytes.
  bool m_hasFailedResponse = false;
  // For the log.
  ResultCode m_code = ResultCode::kInternal;
  int m_status = 0;
  std::string m_errorMessage;
  std::optional<Duration> m_timeToFirstByte;
  Instant m_upstreamHeardAt{}; ///< Start of the exchange, or bytes since.
  std::optional<Instant> m_lastEventAt;
  Duration m_longestPause{ 0 };
};

} // namespace bergamotpaddle
