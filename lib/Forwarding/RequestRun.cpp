#include "bergamotpaddle/Forwarding/RequestRun.h"

#include "bergamotpaddle/Support/Text.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr int kFirstServerError = 500;
/// Parts of a prompt in a log line.
constexpr std::size_t kMaxLoggedParts = 8;

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
  ForEachAttempt([](UpstreamAttempt& aAttempt) {
    aAttempt.Abandon();
    aAttempt.ReleaseBody();
  });
  if (m_failedAttempt) {
    m_failedAttempt->ReleaseBody();
  }
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
      if (m_endWait) {
        m_endWait();
      }
      ForEachAttempt([](UpstreamAttempt& aAttempt) {
        aAttempt.Abort(AbortReason::kCallerDisconnected);
      });
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
  bool isDelivered = false;
  do {
    if (IsPromptQuarantined() || IsTooLateForStop()) {
      break;
    }
    std::optional<PlacementChoice> choice;
    if (HasFallback()) {
      choice = std::exchange(m_fallback, std::nullopt);
    } else {
      choice = co_await AwaitUpstream();
    }
    if (!choice) {
      break;
    }
    Use(MakeAttempt(*choice, std::nullopt));
    isDelivered = co_await DeliverAnswer();
  } while (!isDelivered && ShouldRetry());
  co_await FinishRequest(isDelivered);
}

PlacementRequest
RequestRun::MakePlacementRequest(Instant aNow) const
{
  PlacementRequest request;
  request.m_service = m_service;
  request.m_parts = m_request.m_parts;
  request.m_timeLeft = m_deadline - aNow;
  request.m_excluded = m_progress->Tried();
  request.m_cold = m_state->m_coldRate.Find(m_service, aNow);
  request.m_bytes = m_body->size();
  if (m_route->m_kind == CallKind::kStream) {
    request.m_firstEventTimeout = std::max(
      m_state->m_options.m_minCallerStreamTimeout, m_route->m_objective * 4);
    if (m_queueTime > Duration(0)) {
      request.m_firstEventTimeout =
        std::max(request.m_firstEventTimeout - m_queueTime, Duration(1));
    }
  }
  return request;
}

std::optional<PlacementChoice>
RequestRun::ChooseUpstream()
{
  const Instant now = m_state->Now();
  PlacementResult result = m_state->m_placement.Choose(
    m_state->m_upstreams, MakePlacementRequest(now), now);
  m_state->LogOverflowChanges();
  if (result.m_verdict == PlacementResult::Verdict::kPlaced) {
    return std::move(result.m_choice);
  }
  if (result.m_verdict == PlacementResult::Verdict::kCold) {
    ++m_state->m_counters.m_coldRefusals;
    m_isPoolFull = false;
    m_lateBy = Duration(0);
    m_code = ResultCode::kOverloaded;
    m_errorMessage = "the upstreams that are left are cold";
    return std::nullopt;
  }
  const bool isOverloaded =
    result.m_verdict == PlacementResult::Verdict::kOverloaded;
  m_isPoolFull = result.m_isFull;
  m_lateBy = result.m_retryAfter;
  m_code = isOverloaded ? ResultCode::kOverloaded : ResultCode::kNoUpstream;
  m_errorMessage = isOverloaded ? "every upstream would answer too late"
                                : "no upstream takes work now";
  return std::nullopt;
}

std::shared_ptr<UpstreamAttempt>
RequestRun::MakeAttempt(const PlacementChoice& aChoice,
                        std::optional<Instant> aRetryConsumedAt)
{
  const UpstreamState* state = m_state->m_upstreams.Find(aChoice.m_upstream);
  AttemptRequest request;
  request.m_choice = aChoice;
  request.m_service = m_service;
  request.m_address = state->m_entry.m_address;
  request.m_startedAtMs = state->m_entry.m_startedAtMs;
  request.m_attemptId = m_request.m_attemptId;
  request.m_parts = m_request.m_parts;
  request.m_body = m_body;
  request.m_isStream = m_route->m_kind == CallKind::kStream;
  request.m_isHeadRequest = m_method == "HEAD";
  request.m_isResumed = m_isStreamBegun;
  if (m_isStreamBegun) {
    request.m_resumeAfterId = ParseNumber<std::uint64_t>(m_lastEventId);
  }
  request.m_retryConsumedAt = aRetryConsumedAt;
  m_progress->NoteSending(aChoice.m_upstream);
  const bool isRetry = aRetryConsumedAt.has_value();
  return std::make_shared<UpstreamAttempt>(
    *m_state,
    m_executor,
    std::move(request),
    [this, isRetry](const UpstreamAttempt& aAttempt) {
      m_state->m_counters.m_retries += isRetry ? 1 : 0;
      if (&aAttempt == m_attempt.get()) {
        ArmIdleTimeout(m_state->Now());
      }
      return UpstreamHead(aAttempt.Upstream());
    },
    [this](const UpstreamAttempt& aAttempt) { NoteHeard(aAttempt); });
}

void
RequestRun::Use(std::shared_ptr<UpstreamAttempt> aAttempt)
{
  if (m_attempt && m_attempt != m_failedAttempt) {
    m_attempt->ReleaseBody();
  }
  m_attempt = std::move(aAttempt);
}

RequestRun::Awaitable<bool>
RequestRun::DeliverAnswer()
{
  while (true) {
    const AttemptStep step = co_await m_attempt->Advance();
    const AbortReason reason = m_attempt->Exchange().GetAbortReason();
    const std::shared_ptr<UpstreamAttempt> standby =
      m_isCallerDisconnected ? nullptr : BestStandby();
    // A read may have completed before the attempt was aborted. What it
    // returned is of use only if no other attempt has taken over.
    const bool hasFailed = IsFailure(step) || m_isCallerDisconnected ||
                           (standby && (reason == AbortReason::kReplaced ||
                                        reason == AbortReason::kIdleTimeout));
    if (hasFailed) {
      EndAttempt(m_attempt, IsFailure(step) ? step : AttemptStep::kIncomplete);
    }
    if (hasFailed && standby) {
      AdoptStandby(standby);
      continue;
    }
    DropStandbys();
    if (hasFailed) {
      co_return false;
    }
    switch (step) {
      case AttemptStep::kEvents:
        co_await DeliverEvents();
        continue;
      case AttemptStep::kStreamEnd:
        co_await DeliverStreamEnd();
        break;
      default:
        co_await DeliverResponse();
        break;
    }
    EndAttempt(m_attempt, step);
    co_return true;
  }
}

RequestRun::Awaitable<void>
RequestRun::DeliverEvents()
{
  const std::string events = m_attempt->TakeEvents();
  const Instant now = m_state->Now();
  if (m_lastEventAt) {
    m_longestPause = std::max(m_longestPause, now - *m_lastEventAt);
  }
  m_lastEventAt = now;
  // The time that the caller takes to read is no silence of the upstream.
  m_idleDeadline.reset();
  if (!m_timeToFirstByte) {
    m_timeToFirstByte = Elapsed();
    m_state->m_counters.m_firstEventTime.Record(*m_timeToFirstByte);
    m_state->m_upstreams.NoteFirstEvent(m_attempt->Upstream(), now);
  }
  m_eventsDelivered += m_attempt->TakenEvents();
  m_state->m_counters.m_events += m_attempt->TakenEvents();
  if (!m_attempt->LastEventId().empty()) {
    m_lastEventId = m_attempt->LastEventId();
  }
  if (!std::exchange(m_isStreamBegun, true)) {
    m_status = m_attempt->Response().m_status;
    co_await m_caller->BeginStream(m_attempt->Response(), events);
  } else {
    co_await m_caller->SendEvents(events);
  }
  ArmIdleTimeout(m_state->Now());
}

RequestRun::Awaitable<void>
RequestRun::DeliverStreamEnd()
{
  m_idleDeadline.reset();
  if (!std::exchange(m_isStreamBegun, true)) {
    m_status = m_attempt->Response().m_status;
    const std::string noEvents;
    co_await m_caller->BeginStream(m_attempt->Response(), noEvents);
  }
  co_await m_caller->EndStream();
}

RequestRun::Awaitable<void>
RequestRun::DeliverResponse()
{
  m_idleDeadline.reset();
  m_timeToFirstByte = Elapsed();
  m_status = m_attempt->Response().m_status;
  co_await m_caller->SendFullResponse(m_attempt->Response(), m_attempt->Body());
}

std::string
RequestRun::UpstreamHead(const UpstreamId& aUpstream) const
{
  UpstreamCall call;
  call.m_expected = aUpstream;
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

void
RequestRun::NoteHeard(const UpstreamAttempt& aAttempt)
{
  if (&aAttempt != m_attempt.get() ||
      aAttempt.Exchange().GetAbortReason() != AbortReason::kNone) {
    return;
  }
  if (m_idleDeadline) {
    ArmIdleTimeout(aAttempt.HeardAt());
  }
}

void
RequestRun::NoteStandbyStep(const UpstreamAttempt& aStandby, AttemptStep aStep)
{
  if (!IsFailure(aStep)) {
    m_attempt->Abort(AbortReason::kReplaced);
    return;
  }
  const auto found = std::find_if(
    m_standbys.begin(), m_standbys.end(), [&aStandby](const auto& aAttempt) {
      return aAttempt.get() == &aStandby;
    });
  const std::shared_ptr<UpstreamAttempt> standby = *found;
  m_standbys.erase(found);
  ++m_state->m_counters.m_failoversFailed;
  LogFailover(*standby, "failed");
  EndAttempt(standby, aStep);
  m_idleDeadline = m_state->Now() + m_state->m_options.m_failoverCheckInterval;
}

std::shared_ptr<UpstreamAttempt>
RequestRun::BestStandby() const
{
  std::shared_ptr<UpstreamAttempt> best;
  for (const auto& standby : m_standbys) {
    const bool isAborted =
      standby->Exchange().GetAbortReason() != AbortReason::kNone;
    if (!isAborted && (!best || (standby->HasAnswer() && !best->HasAnswer()))) {
      best = standby;
    }
  }
  return best;
}

void
RequestRun::AdoptStandby(const std::shared_ptr<UpstreamAttempt>& aStandby)
{
  ++m_state->m_counters.m_failoversReplaced;
  LogFailover(*aStandby, "replaced");
  m_state->m_counters.m_streamsResumed += m_isStreamBegun ? 1 : 0;
  aStandby->ClearStepHook();
  Use(aStandby);
  std::erase(m_standbys, aStandby);
  if (m_attempt->SentAt()) {
    ArmIdleTimeout(m_attempt->HeardAt());
  }
}

void
RequestRun::DropStandbys()
{
  for (const auto& standby : std::exchange(m_standbys, {})) {
    const AbortReason reason = standby->Exchange().GetAbortReason();
    if (reason == AbortReason::kNone) {
      ++m_state->m_counters.m_failoversKept;
      standby->Abort(AbortReason::kReplaced);
    }
    LogFailover(*standby,
                reason == AbortReason::kNone ? "kept" : Describe(reason));
    EndAttempt(standby,
               standby->SentAt() ? AttemptStep::kIncomplete
                                 : AttemptStep::kNeverSent);
  }
}

void
RequestRun::ForEachAttempt(const std::function<void(UpstreamAttempt&)>& aAction)
{
  if (m_attempt) {
    aAction(*m_attempt);
  }
  for (const auto& standby : m_standbys) {
    aAction(*standby);
  }
}

void
RequestRun::EndAttempt(const std::shared_ptr<UpstreamAttempt>& aAttempt,
                       AttemptStep aStep)
{
  const Instant now = m_state->Now();
  const AbortReason reason = aAttempt->Exchange().GetAbortReason();
  const bool isInUse = aAttempt == m_attempt;
  SendOutcome sendOutcome = SendOutcome::kMayHaveRun;
  ExchangeOutcome health = ExchangeOutcome::kSucceeded;
  switch (aStep) {
    case AttemptStep::kNeverSent:
      sendOutcome = SendOutcome::kNeverSent;
      health = ExchangeOutcome::kUnreachable;
      break;
    case AttemptStep::kNotRun:
      sendOutcome = SendOutcome::kProvedNotRun;
      health = ExchangeOutcome::kFailed;
      break;
    case AttemptStep::kFailed:
      health = ExchangeOutcome::kFailed;
      if (m_failedAttempt) {
        m_failedAttempt->ReleaseBody();
      }
      m_failedAttempt = aAttempt;
      break;
    case AttemptStep::kIncomplete:
      health = reason == AbortReason::kDeadline ? ExchangeOutcome::kFailed
                                                : ExchangeOutcome::kUnreachable;
      break;
    case AttemptStep::kEvents:
    case AttemptStep::kStreamEnd:
    case AttemptStep::kResponse:
      break;
  }
  m_mayHaveRun = m_mayHaveRun || sendOutcome == SendOutcome::kMayHaveRun;
  m_progress->NoteOutcome(sendOutcome);
  const bool hasUpstreamFailed = health != ExchangeOutcome::kSucceeded;
  const bool isDropped = !isInUse && reason == AbortReason::kReplaced;
  const bool isNoted = isDropped || aAttempt->IsWithheld() ||
                       (aAttempt->IsSilent() && hasUpstreamFailed);
  if (reason != AbortReason::kCallerDisconnected && !isNoted) {
    m_state->m_upstreams.NoteOutcome(aAttempt->Upstream(), health, now);
  }
  const auto& retryConsumedAt = aAttempt->Request().m_retryConsumedAt;
  if (sendOutcome == SendOutcome::kNeverSent && retryConsumedAt) {
    m_state->m_retries.Release(m_service, *retryConsumedAt);
  }
  if (isInUse) {
    m_idleDeadline.reset();
  }
  if (hasUpstreamFailed && !isDropped &&
      reason != AbortReason::kCallerDisconnected) {
    if (!aAttempt->ErrorMessage().empty()) {
      m_errorMessage = aAttempt->ErrorMessage();
    }
    NoteFailure(*aAttempt, aStep);
  }
  aAttempt->Finish();
  if (!isInUse && aAttempt != m_failedAttempt) {
    aAttempt->ReleaseBody();
  }
}

void
RequestRun::NoteFailure(const UpstreamAttempt& aAttempt, AttemptStep aStep)
{
  const bool isCrashSuspected = aStep == AttemptStep::kIncomplete &&
                                aAttempt.Exchange().WasEndedByUpstream() &&
                                !aAttempt.HasBegun();
  if (isCrashSuspected) {
    m_state->m_quarantine.NoteCrash(
      PromptQuarantine::CrashId(aAttempt.Upstream(),
                                aAttempt.Request().m_startedAtMs),
      m_request.m_parts,
      m_state->Now());
  }
  if (m_firstFailure.empty()) {
    m_firstFailure = Describe(aAttempt.Exchange().GetAbortReason());
  }
  LogLine line("exchange.failed");
  line.Text("request", m_request.m_attemptId)
    .Text("upstream", aAttempt.Upstream().Str())
    .Text("end", Describe(aStep))
    .Text("why", aAttempt.ErrorMessage())
    .Text("error", aAttempt.Exchange().Error())
    .Flag("begun", aAttempt.HasBegun())
    .Text("parts", isCrashSuspected ? JoinPartIds(m_request.m_parts) : "")
    .Milliseconds("after_ms", Elapsed());
  AppendAttemptState(line, aAttempt);
  m_state->Log(line);
}

bool
RequestRun::ShouldRetry()
{
  const bool maySend = m_progress->MaySendAgain() || HasFallback();
  if (m_isCallerDisconnected || !maySend) {
    return false;
  }
  const Instant now = m_state->Now();
  if (m_deadline - now < m_state->m_options.m_minTimeLeft) {
    return false;
  }
  if (m_progress->WouldRepeat() &&
      !m_state->m_retries.Consume(m_service, now)) {
    m_errorMessage = "the retry budget is used up";
    return false;
  }
  m_state->m_counters.m_retries += m_progress->WouldRepeat() ? 1 : 0;
  m_state->m_counters.m_streamsResumed += m_isStreamBegun ? 1 : 0;
  return true;
}

RequestRun::Awaitable<void>
RequestRun::FinishRequest(bool aIsDelivered)
{
  if (aIsDelivered) {
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
    if (m_attempt) {
      AppendAttemptState(line, *m_attempt);
    }
    line.Text("first_cause", m_firstFailure);
    m_state->Log(line);
    m_caller->Close();
    co_return;
  }
  if (m_failedAttempt) {
    m_code = ResultCode::kUpstreamFailed;
    m_status = m_failedAttempt->Response().m_status;
    co_await m_caller->SendFullResponse(m_failedAttempt->Response(),
                                        m_failedAttempt->Body());
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
