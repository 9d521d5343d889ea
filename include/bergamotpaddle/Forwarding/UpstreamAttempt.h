/// \file
/// One attempt to have a request answered by one upstream: connection, request,
/// and the response as far as it can be delivered.
#pragma once

#include "bergamotpaddle/Forwarding/UpstreamExchange.h"
#include "bergamotpaddle/Gateway/EventSplitter.h"

#include <boost/asio/steady_timer.hpp>

namespace bergamotpaddle {

/// What an attempt has for the caller, or how it failed.
enum class AttemptStep
{
  kEvents,     ///< Events of a stream, to be taken with `TakeEvents`.
  kStreamEnd,  ///< The stream is complete.
  kResponse,   ///< A complete response, in `Response` and `Body`.
  kNeverSent,  ///< No connection was established.
  kNotRun,     ///< The upstream proved that it did not run the request.
  kFailed,     ///< A complete error response, in `Response` and `Body`.
  kIncomplete, ///< No complete response; the request may have run.
};

/// Names \p aStep for the log.
std::string_view
Describe(AttemptStep aStep);

/// Whether \p aStep ends an attempt without an answer for the caller.
bool
IsFailure(AttemptStep aStep);

/// The request of an attempt and the upstream that gets it.
struct AttemptRequest
{
  PlacementChoice m_choice;
  ServiceId m_service;            ///< Of the upstream.
  std::string m_address;          ///< Of the upstream, as IP:PORT.
  std::int64_t m_startedAtMs = 0; ///< Start of the upstream.
  std::string m_attemptId;        ///< That responses have to echo.
  std::vector<PromptPart> m_parts;
  std::shared_ptr<const std::string> m_body;
  bool m_isStream = false;      ///< A successful response may be a stream.
  bool m_isHeadRequest = false; ///< Responses have no body.
  /// Whether the caller has events already, so that only a stream can follow.
  bool m_isResumed = false;
  /// The last event that the caller has, if it has any with a numeric id.
  std::optional<std::uint64_t> m_resumeAfterId;
  /// When a retry was consumed for this attempt.
  std::optional<Instant> m_retryConsumedAt;
};

/// An attempt; it belongs to one request, which tells it of the time.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt>
{
public:
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;
  using HeadWriter = std::function<std::string(const UpstreamAttempt&)>;
  using HeardHook = std::function<void(const UpstreamAttempt&)>;
  using StepHook = std::function<void(AttemptStep)>;

  /// \p aWriteHead returns the request's head when the connection is
  /// established; \p aOnHeard is called when bytes of the response arrive.
  UpstreamAttempt(GatewayState& aState,
                  const boost::asio::any_io_executor& aExecutor,
                  AttemptRequest aRequest,
                  HeadWriter aWriteHead,
                  HeardHook aOnHeard);
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  /// Goes on until there is something to deliver or the attempt has failed;
  /// not to be called again after a failure or the end of the response.
  Awaitable<AttemptStep> Advance();

  /// Takes the first step without being awaited and passes it to \p aOnStep.
  /// The next `Advance` returns this step.
  void AdvanceInBackground(StepHook aOnStep);
  /// From now on the first step is only returned by `Advance`.
  void ClearStepHook() { m_onStep = nullptr; }

  /// Whether the first step was taken in the background and is an answer.
  bool HasAnswer() const
  {
    return m_backgroundStep && !IsFailure(*m_backgroundStep);
  }

  /// Ends an attempt to connect that has taken too long. \p aStall, a time
  /// during which the event loop was blocked, does not count.
  void Tick(Instant aNow, Duration aStall);

  /// Ends every pending operation; the first reason is kept.
  void Abort(AbortReason aReason) { m_exchange->Abort(aReason); }
  /// Closes the connection and calls no hook any more. The response stays.
  void Finish();
  /// Like `Finish`, but tells nobody: the request is being destroyed.
  void Abandon();
  /// Frees the body of the response.
  void ReleaseBody();

  const AttemptRequest& Request() const { return m_request; }
  const PlacementChoice& Choice() const { return m_request.m_choice; }
  const UpstreamId& Upstream() const { return Choice().m_upstream; }
  const UpstreamExchange& Exchange() const { return *m_exchange; }
  const UpstreamResponse& Response() const { return m_response; }
  const std::string& Body() const { return m_body; }
  /// Returns the events that arrived, unmodified.
  std::string TakeEvents();
  /// Number of events that the last `TakeEvents` returned.
  std::uint64_t TakenEvents() const { return m_takenEvents; }
  /// The id of the last event; empty if there was none.
  const std::string& LastEventId() const { return m_splitter.LastId(); }
  /// When sending the request began; nullopt before.
  std::optional<Instant> SentAt() const { return m_sentAt; }
  /// When the last bytes arrived, or the request was sent, or the attempt
  /// began.
  Instant HeardAt() const { return m_heardAt; }
  /// Whether any bytes of the response arrived.
  bool HasResponded() const { return m_hasResponded; }
  /// Whether a part of the response could be delivered.
  bool HasBegun() const { return m_hasBegun; }
  /// Records that the upstream is silent; returns whether that is new.
  bool NoteSilence() { return !std::exchange(m_isSilent, true); }
  /// Whether the upstream is silent since `NoteSilence`.
  bool IsSilent() const { return m_isSilent; }
  /// Whether the request did not leave since its upstream takes none now.
  bool IsWithheld() const { return m_isWithheld; }
  /// Why the attempt failed, if more is known than the connection's error.
  const std::string& ErrorMessage() const { return m_errorMessage; }

private:
  static Awaitable<void> RunInBackground(
    std::shared_ptr<UpstreamAttempt> aSelf);
  Awaitable<AttemptStep> TakeStep();
  Awaitable<bool> Connect();
  /// Reads the response's head; returns the failure that it means, if any.
  Awaitable<std::optional<AttemptStep>> ReadHead();
  Awaitable<AttemptStep> ReadEvents();
  Awaitable<AttemptStep> CollectResponse();
  /// Whether the response names an attempt, but not this one.
  bool IsForOtherAttempt() const;
  bool IsInvalidResponse() const;
  /// Ends the exchange since its response uses too much memory.
  void OnEvicted();
  void NoteHeard();
  /// Records what the response says of its upstream.
  void NoteNotice();
  /// Records that the upstream answers the request.
  void NoteBegun();
  /// Records that events have arrived, and how fast the upstream is if they are
  /// the first ones.
  void NoteEventTimes();
  /// Records how fast the upstream is, as a complete response tells.
  void NoteStreamSpeed();
  void NoteCallSpeed();
  bool IsLightStream() const
  {
    return m_request.m_isStream && Choice().m_isLight;
  }

  GatewayState* m_state;
  AttemptRequest m_request;
  HeadWriter m_writeHead;
  HeardHook m_onHeard;
  StepHook m_onStep;
  std::shared_ptr<UpstreamExchange> m_exchange;
  UpstreamResponse m_response;
  std::string m_body;
  BufferId m_bufferId = 0; ///< In `GatewayState::m_responses`.
  /// Expires with this object, which the hook of the buffer may outlive.
  std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
  EventSplitter m_splitter;
  std::string m_events;
  std::uint64_t m_takenEvents = 0;
  Instant m_startedAt;
  Instant m_heardAt;
  std::optional<Instant> m_connectDeadline;
  Duration m_connectTimeout{ 0 };
  std::optional<Instant> m_sentAt;
  std::optional<Instant> m_firstEventAt;
  Instant m_lastEventAt;
  std::uint64_t m_laterEvents = 0; ///< That arrived after the first ones.
  bool m_isEventStream = false;
  bool m_hasReadBody = false;
  bool m_hasResponded = false;
  bool m_hasBegun = false;
  bool m_isSilent = false;
  bool m_isReserved = true; ///< Counts at m_coldRate, and has not left.
  bool m_isWithheld = false;
  bool m_isFinished = false;
  std::string m_errorMessage;
  std::optional<AttemptStep> m_backgroundStep;
  bool m_isInBackground = false;
  boost::asio::steady_timer m_backgroundDone; ///< Cancelled by that step.
};

} // namespace bergamotpaddle
