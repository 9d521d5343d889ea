#include "bergamotpaddle/Forwarding/RequestRun.h"

#include "bergamotpaddle/Support/Text.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kOkBegin = 200;
constexpr int kOkEnd = 300;
/// Parts of a prompt in a log line.
constexpr std::size_t kMaxLoggedParts = 8;

bool
IsSuccess(int aStatus)
{
  return aStatus >= kOkBegin && aStatus < kOkEnd;
}

/// The first IDs of \p aParts as hexadecimal numbers.
std::string
JoinPartIds(const std::vector<PromptPart>& aParts)
{
  std::string text;
  for (std::size_t i = 0; i < std::min(aParts.size(), kMaxLoggedParts); ++i) {
    Append(text, i == 0 ? "" : ",", Hex(aParts[i].m_id));
  }
  return text;
}

} // namespace

RequestRun::RequestRun(GatewayState& aState,
                       CallerConnection& aCaller,
                       boost::asio::any_io_executor aExecutor)
  : m_state(&aState)
  , m_caller(&aCaller)
  , m_executor(std::move(aExecutor))
  , m_table(aState.m_routes)
  , m_arrivedAt(aState.Now())
  , m_deadline(Instant::max())
{
  ++m_state->m_requestsInFlight;
}

RequestRun::~RequestRun()
{
  m_state->m_bufferedResponseBytes -= m_countedResponseBytes;
  --m_state->m_requestsInFlight;
}

RequestRun::Awaitable<void>
RequestRun::Serve()
{
  WireRequest& wire = m_caller->Request();
  m_request = m_state->m_dialect.m_readRequest(wire);
  m_method = std::move(wire.m_method);
  m_target = std::move(wire.m_target);
  m_body = std::make_shared<const std::string>(std::move(wire.m_body));
  std::optional<LocalResponse> rejection = Admit();
  if (!rejection) {
    rejection = CheckPrompt();
  }
  if (!rejection) {
    rejection = co_await AllotCredit();
  }
  if (rejection) {
    co_await RespondLocally(std::move(*rejection));
  } else {
    m_caller->WatchForDisconnect([this] {
      m_isCallerDisconnected = true;
      if (m_exchange) {
        m_exchange->Abort(AbortReason::kCallerDisconnected);
      }
    });
    co_await Forward();
    m_caller->StopDisconnectWatch();
    SettleCredit();
    NoteDuration();
  }
  ++m_state->m_counters.m_requestsByCode[m_code];
  m_state->m_counters.m_requestTime.Record(Elapsed());
  LogEnd();
}

RequestRun::Awaitable<void>
RequestRun::Forward()
{
  ExchangeResult exchangeResult = ExchangeResult::kNeverSent;
  do {
    if (IsPromptQuarantined() || IsTooLateForStop() || !ChooseUpstream()) {
      break;
    }
    exchangeResult = co_await RunExchange();
    NoteExchange(exchangeResult);
  } while (ShouldRetry(exchangeResult));
  co_await FinishRequest(exchangeResult);
}

PlacementRequest
RequestRun::MakePlacementRequest(Instant aNow) const
{
  PlacementRequest request;
  request.m_service = m_service;
  request.m_parts = m_request.m_parts;
  request.m_timeLeft = m_deadline - aNow;
  request.m_excluded = m_progress->Tried();
  if (m_route->m_kind == CallKind::kStream) {
    request.m_firstEventTimeout = std::max(
      m_state->m_options.m_minCallerStreamTimeout, m_route->m_objective * 4);
  }
  return request;
}

bool
RequestRun::ChooseUpstream()
{
  if (const auto reserved = std::exchange(m_reservedChoice, std::nullopt)) {
    const UpstreamState* state =
      m_state->m_upstreams.Find(reserved->m_upstream);
    if (state != nullptr && !state->m_entry.m_isDraining) {
      m_choice = *reserved;
      m_upstreamAddress = state->m_entry.m_address;
      m_upstreamStartedAtMs = state->m_entry.m_startedAtMs;
      return true;
    }
  }
  const Instant now = m_state->Now();
  PlacementResult result = m_state->m_placement.Choose(
    m_state->m_upstreams, MakePlacementRequest(now), now);
  if (result.m_verdict == PlacementResult::Verdict::kPlaced) {
    m_choice = result.m_choice;
    const UpstreamState* state = m_state->m_upstreams.Find(m_choice.m_upstream);
    m_upstreamAddress = state->m_entry.m_address;
    m_upstreamStartedAtMs = state->m_entry.m_startedAtMs;
    return true;
  }
  const bool isOverloaded =
    result.m_verdict == PlacementResult::Verdict::kOverloaded;
  m_code = isOverloaded ? ResultCode::kOverloaded : ResultCode::kNoUpstream;
  m_errorMessage = isOverloaded ? "every upstream would answer too late"
                                : "no upstream takes work now";
  return false;
}

RequestRun::Awaitable<RequestRun::ExchangeResult>
RequestRun::RunExchange()
{
  const Instant startedAt = m_state->Now();
  NoteUpstreamHeard();
  m_isRequestSent = false;
  m_progress->NoteSending(m_choice.m_upstream);
  m_hasResponseBegun = false;
  m_exchange = std::make_shared<UpstreamExchange>(m_executor);
  if (m_isCallerDisconnected) {
    co_return ExchangeResult::kCallerDisconnected;
  }
  const bool isLightStream =
    m_route->m_kind == CallKind::kStream && m_choice.m_isLight;
  m_state->m_upstreams.NoteSent(m_choice.m_upstream,
                                isLightStream,
                                m_choice.m_prefill,
                                m_request.m_parts,
                                startedAt);
  m_state->m_onLoadChanged(m_choice.m_upstream, m_request.m_parts);
  const Duration connectTimeout = m_state->m_adaptiveConnectTimeout.TimeoutFor(
    m_state->m_options.m_connectTimeout);
  ArmIdleTimeout(connectTimeout);
  ExchangeResult exchangeResult = ExchangeResult::kNeverSent;
  if (co_await m_exchange->Connect(m_upstreamAddress)) {
    const Duration connectTime = m_state->Now() - startedAt;
    m_state->m_counters.m_connectTime.Record(connectTime);
    m_state->m_adaptiveConnectTimeout.NoteConnected(connectTime);
    m_idleDeadline.reset();
    if (const std::optional<Duration> idleTimeout = ResponseTimeout()) {
      ArmIdleTimeout(*idleTimeout);
    }
    m_isRequestSent = true;
    m_exchange->BeginSending(UpstreamHead(), m_body);
    exchangeResult = co_await ReadResponse(m_method == "HEAD");
  } else if (m_isCallerDisconnected) {
    exchangeResult = ExchangeResult::kCallerDisconnected;
  } else if (m_exchange->GetAbortReason() == AbortReason::kIdleTimeout) {
    ++m_state->m_counters.m_connectTimeouts;
    m_state->m_adaptiveConnectTimeout.NoteTimedOut(connectTimeout);
  }
  m_idleDeadline.reset();
  m_exchange->Close();
  m_state->m_counters.m_traffic.Record(TrafficPeer::kUpstreams,
                                       m_exchange->Bytes().m_sent,
                                       m_exchange->Bytes().m_received);
  m_state->m_upstreams.NoteEnded(m_choice.m_upstream, isLightStream);
  m_state->m_onLoadChanged(m_choice.m_upstream, {});
  co_return exchangeResult;
}

std::string
RequestRun::UpstreamHead() const
{
  UpstreamCall call;
  call.m_expected = m_choice.m_upstream;
  if (m_account != nullptr) {
    call.m_account = m_account->m_id;
  }
  call.m_timeLeft = m_deadline - m_state->Now();
  call.m_requestPriority = m_account != nullptr && m_account->m_priority
                             ? *m_account->m_priority
                             : m_route->m_priority;
  call.m_lastEventId = m_lastEventId;
  std::string head = Cat(m_method, " ", m_target, " HTTP/1.1\r\n");
  const auto append = [&head](const FieldList& aFields) {
    for (const auto& [name, value] : aFields) {
      Append(head, name, ": ", value, "\r\n");
    }
  };
  append(m_request.m_forwardedFields);
  append(m_state->m_dialect.m_writeCall(call));
  if (!m_body->empty() || m_method == "POST" || m_method == "PUT" ||
      m_method == "PATCH") {
    Append(head, "Content-Length: ", m_body->size(), "\r\n");
  }
  head += "Connection: close\r\n\r\n";
  return head;
}

bool
RequestRun::IsForOtherAttempt(const UpstreamResponse& aResponse) const
{
  return !aResponse.m_attemptId.empty() &&
         aResponse.m_attemptId != m_request.m_attemptId;
}

bool
RequestRun::IsInvalidResponse(const UpstreamResponse& aResponse) const
{
  const bool isUnsigned = IsSuccess(aResponse.m_status) &&
                          (!aResponse.m_isSealed || aResponse.m_isProvedNotRun);
  return IsForOtherAttempt(aResponse) || isUnsigned || aResponse.m_isEncoded;
}

RequestRun::Awaitable<RequestRun::ExchangeResult>
RequestRun::ReadResponse(bool aIsHeadRequest)
{
  const std::optional<UpstreamExchange::Head> head =
    co_await m_exchange->ReadHead(aIsHeadRequest);
  if (!head) {
    co_return m_isCallerDisconnected ? ExchangeResult::kCallerDisconnected
                                     : ExchangeResult::kIncomplete;
  }
  NoteUpstreamHeard();
  UpstreamResponse response = m_state->m_dialect.m_readResponse(
    head->m_status, head->m_reason, head->m_fields);
  if (response.m_load) {
    response.m_load->m_reportedAt = m_state->Now();
    m_state->m_upstreams.NoteReport(m_choice.m_upstream, *response.m_load);
    m_state->m_onLoadChanged(m_choice.m_upstream, {});
  }
  if (response.m_isProvedNotRun && !IsSuccess(response.m_status) &&
      !IsForOtherAttempt(response)) {
    co_return ExchangeResult::kNotRun;
  }
  m_mayHaveRun = true;
  if (IsInvalidResponse(response)) {
    ++m_state->m_counters.m_invalidResponses;
    m_errorMessage = "the answer is spoiled or belongs to another request";
    co_return ExchangeResult::kIncomplete;
  }
  if (m_route->m_kind == CallKind::kStream && IsSuccess(response.m_status) &&
      response.m_isEventStream) {
    co_return co_await ForwardStream(response);
  }
  co_return co_await CollectResponse(response);
}

RequestRun::Awaitable<RequestRun::ExchangeResult>
RequestRun::CollectResponse(const UpstreamResponse& aResponse)
{
  std::string body;
  const ForwardingOptions& options = m_state->m_options;
  while (!m_exchange->IsComplete()) {
    const std::string bytes = co_await m_exchange->ReadBody();
    body += bytes;
    if (!bytes.empty()) {
      NoteUpstreamHeard();
    }
    m_countedResponseBytes += bytes.size();
    m_state->m_bufferedResponseBytes += bytes.size();
    if (m_isCallerDisconnected) {
      co_return ExchangeResult::kCallerDisconnected;
    }
    const bool isTooLarge =
      m_exchange->Bytes().m_received > options.m_maxResponseBytes ||
      m_state->m_bufferedResponseBytes > options.m_maxBufferedResponseBytes;
    if (isTooLarge || (bytes.empty() && !m_exchange->IsComplete())) {
      m_errorMessage =
        isTooLarge ? "the answer is too long" : "the answer broke off";
      co_return ExchangeResult::kIncomplete;
    }
  }
  m_idleDeadline.reset();
  m_timeToFirstByte = Elapsed();
  if (IsSuccess(aResponse.m_status)) {
    NoteResponseBegun();
  }
  if (aResponse.m_status >= kFirstServerError) {
    m_failedResponse = aResponse;
    m_failedResponseBody = std::move(body);
    m_hasFailedResponse = true;
    co_return ExchangeResult::kFailed;
  }
  if (m_isStreamBegun) {
    // A plain body cannot continue a stream of events.
    co_return ExchangeResult::kIncomplete;
  }
  m_status = aResponse.m_status;
  co_await m_caller->SendFullResponse(aResponse, body);
  co_return ExchangeResult::kDelivered;
}

RequestRun::Awaitable<RequestRun::ExchangeResult>
RequestRun::ForwardStream(const UpstreamResponse& aResponse)
{
  const std::optional<std::uint64_t> resumeAfterId =
    m_isStreamBegun ? ParseNumber<std::uint64_t>(m_lastEventId) : std::nullopt;
  EventSplitter splitter(resumeAfterId);
  const std::optional<Duration> idleTimeout =
    m_route->MayRunAgain()
      ? std::optional<Duration>(m_state->m_options.m_streamIdleTimeout)
      : std::nullopt;
  while (true) {
    const std::string bytes = co_await m_exchange->ReadBody();
    if (m_isCallerDisconnected) {
      co_return ExchangeResult::kCallerDisconnected;
    }
    if (!bytes.empty()) {
      NoteUpstreamHeard();
    }
    const std::string events = splitter.Consume(bytes);
    if (splitter.PartialBytes() > m_state->m_options.m_maxEventBytes) {
      m_errorMessage = "an event of the stream is too long";
      co_return ExchangeResult::kIncomplete;
    }
    if (splitter.HasGap()) {
      m_errorMessage = "an event of the stream is missing";
      co_return ExchangeResult::kIncomplete;
    }
    if (!events.empty()) {
      const Instant now = m_state->Now();
      NoteResponseBegun();
      if (m_lastEventAt) {
        m_longestPause = std::max(m_longestPause, now - *m_lastEventAt);
      }
      m_lastEventAt = now;
      // The time that the caller takes to read is no silence of the upstream.
      m_idleDeadline.reset();
      if (!m_timeToFirstByte) {
        m_timeToFirstByte = Elapsed();
        m_state->m_counters.m_firstEventTime.Record(*m_timeToFirstByte);
        m_state->m_upstreams.NoteFirstEvent(m_choice.m_upstream,
                                            m_state->Now());
      }
      m_eventsDelivered += splitter.Events();
      m_state->m_counters.m_events += splitter.Events();
      splitter.ResetCount();
      if (!splitter.LastId().empty()) {
        m_lastEventId = splitter.LastId();
      }
      if (!std::exchange(m_isStreamBegun, true)) {
        m_status = aResponse.m_status;
        co_await m_caller->BeginStream(aResponse, events);
      } else {
        co_await m_caller->SendEvents(events);
      }
      if (idleTimeout) {
        ArmIdleTimeout(*idleTimeout);
      }
    }
    if (m_exchange->IsComplete()) {
      break;
    }
    if (bytes.empty()) {
      m_errorMessage = "the stream broke off";
      co_return ExchangeResult::kIncomplete;
    }
  }
  if (splitter.HasPartial()) {
    m_errorMessage = "the stream ends within an event";
    co_return ExchangeResult::kIncomplete;
  }
  m_idleDeadline.reset();
  if (!std::exchange(m_isStreamBegun, true)) {
    m_status = aResponse.m_status;
    const std::string noEvents;
    co_await m_caller->BeginStream(aResponse, noEvents);
  }
  co_await m_caller->EndStream();
  co_return ExchangeResult::kDelivered;
}

void
RequestRun::NoteExchange(ExchangeResult aResult)
{
  const Instant now = m_state->Now();
  SendOutcome sendOutcome = SendOutcome::kMayHaveRun;
  ExchangeOutcome health = ExchangeOutcome::kSucceeded;
  switch (aResult) {
    case ExchangeResult::kNeverSent:
      sendOutcome = SendOutcome::kNeverSent;
      health = ExchangeOutcome::kUnreachable;
      break;
    case ExchangeResult::kNotRun:
      sendOutcome = SendOutcome::kProvedNotRun;
      health = ExchangeOutcome::kFailed;
      break;
    case ExchangeResult::kFailed:
      health = ExchangeOutcome::kFailed;
      break;
    case ExchangeResult::kIncomplete:
      health = m_exchange->GetAbortReason() == AbortReason::kDeadline
                 ? ExchangeOutcome::kFailed
                 : ExchangeOutcome::kUnreachable;
      break;
    case ExchangeResult::kDelivered:
    case ExchangeResult::kCallerDisconnected:
      break;
  }
  m_mayHaveRun = m_mayHaveRun || sendOutcome == SendOutcome::kMayHaveRun;
  m_progress->NoteOutcome(sendOutcome);
  const bool isNoted =
    m_isSilenceNoted && health != ExchangeOutcome::kSucceeded;
  if (aResult != ExchangeResult::kCallerDisconnected && !isNoted) {
    m_state->m_upstreams.NoteOutcome(m_choice.m_upstream, health, now);
  }
  const bool isCrashSuspected = aResult == ExchangeResult::kIncomplete &&
                                m_exchange->WasEndedByUpstream() &&
                                !m_hasResponseBegun;
  if (isCrashSuspected) {
    m_state->m_quarantine.NoteCrash(
      PromptQuarantine::CrashId(m_choice.m_upstream, m_upstreamStartedAtMs),
      m_request.m_parts,
      now);
  }
  if (health != ExchangeOutcome::kSucceeded) {
    LogLine line("exchange.failed");
    line.Text("request", m_request.m_attemptId)
      .Text("upstream", m_choice.m_upstream.Str())
      .Number("end", static_cast<int>(aResult))
      .Number("aborted", static_cast<int>(m_exchange->GetAbortReason()))
      .Text("why", m_errorMessage)
      .Text("error", m_exchange->Error())
      .Flag("begun", m_hasResponseBegun)
      .Text("parts", isCrashSuspected ? JoinPartIds(m_request.m_parts) : "")
      .Milliseconds("after_ms", Elapsed());
    AppendExchangeState(line);
    m_state->Log(line);
  }
}

bool
RequestRun::ShouldRetry(ExchangeResult aResult)
{
  if (aResult == ExchangeResult::kDelivered ||
      aResult == ExchangeResult::kCallerDisconnected ||
      m_isCallerDisconnected || !m_progress->MaySendAgain()) {
    return false;
  }
  if (!m_reservedChoice) {
    const Instant now = m_state->Now();
    if (m_deadline - now < m_state->m_options.m_minTimeLeft) {
      return false;
    }
    if (m_progress->WouldRepeat() &&
        !m_state->m_retries.Consume(m_service, now)) {
      m_errorMessage = "the retry budget is used up";
      return false;
    }
  }
  m_state->m_counters.m_retries += m_progress->WouldRepeat() ? 1 : 0;
  m_state->m_counters.m_streamsResumed += m_isStreamBegun ? 1 : 0;
  return true;
}

RequestRun::Awaitable<void>
RequestRun::FinishRequest(ExchangeResult aResult)
{
  if (aResult == ExchangeResult::kDelivered) {
    m_code = m_status >= kFirstServerError ? ResultCode::kUpstreamFailed
                                           : ResultCode::kOk;
    co_return;
  }
  if (m_isCallerDisconnected || m_isStreamBegun) {
    // Close without the last chunk, so that an interrupted stream is not taken
    // for a complete one.
    m_code = m_isCallerDisconnected ? ResultCode::kCancelled
                                    : ResultCode::kUpstreamFailed;
    LogLine line("caller.closed");
    line.Text("request", m_request.m_attemptId);
    AppendExchangeState(line);
    m_state->Log(line);
    m_caller->Close();
    co_return;
  }
  if (m_hasFailedResponse) {
    m_code = ResultCode::kUpstreamFailed;
    m_status = m_failedResponse.m_status;
    co_await m_caller->SendFullResponse(m_failedResponse, m_failedResponseBody);
    co_return;
  }
  const bool isDeadlinePassed = m_state->Now() >= m_deadline;
  if (m_progress->IsProvedNotRun()) {
    const ResultCode code =
      m_code == ResultCode::kInternal ? ResultCode::kOverloaded : m_code;
    const std::string errorMessage = m_errorMessage.empty()
                                       ? "upstreams did not take the request"
                                       : m_errorMessage;
    LocalResponse refusal{ 503, code, errorMessage, RetryAfter(code) };
    co_await RespondLocally(std::move(refusal));
    co_return;
  }
  LocalResponse failure{ isDeadlinePassed ? 504 : 502,
                         isDeadlinePassed ? ResultCode::kDeadlineExceeded
                                          : ResultCode::kOutcomeUnknown,
                         m_errorMessage.empty()
                           ? "the upstream gave no whole answer"
                           : m_errorMessage,
                         {} };
  co_await RespondLocally(std::move(failure));
}

RequestRun::Awaitable<void>
RequestRun::RespondLocally(LocalResponse aResponse)
{
  m_status = aResponse.m_status;
  m_code = aResponse.m_code;
  m_errorMessage = aResponse.m_errorMessage;
  co_await m_caller->SendLocalResponse(aResponse);
}

void
RequestRun::SettleCredit()
{
  if (m_allotted == 0) {
    return;
  }
  std::uint64_t usedTokens = 0;
  if (m_mayHaveRun) {
    // An interrupted run may have generated a few events that did not arrive.
    constexpr std::uint64_t kMaxUnseenEvents = 8;
    const std::uint64_t tokensPerEvent =
      m_serviceInfo != nullptr ? m_serviceInfo->m_tokensPerEvent : 1;
    const std::uint64_t events =
      m_eventsDelivered + (m_code == ResultCode::kOk ? 0 : kMaxUnseenEvents);
    usedTokens = m_request.m_promptTokens +
                 std::min(m_request.m_maxOutputTokens, events * tokensPerEvent);
  }
  m_charged = usedTokens;
  m_state->m_credit.Settle(m_account->m_id, m_allotted, usedTokens);
}

} // namespace bergamotpaddle
