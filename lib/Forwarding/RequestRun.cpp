#include "bergamotpaddle/Forwarding/RequestRun.h"

#include "bergamotpaddle/Support/Text.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kOkBegin = 200;
constexpr int kOkEnd = 300;

bool
IsSuccess(int aStatus)
{
  return aStatus >= kOkBegin && aStatus < kOkEnd;
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
  m_state->m_bufferedAnswers -= m_answerCharge;
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
  std::optional<OwnAnswer> rejection = Admit();
  if (!rejection) {
    rejection = co_await AllotCredit();
  }
  if (rejection) {
    co_await Refuse(std::move(*rejection));
  } else {
    m_caller->WatchForLeaving([this] {
      m_isCallerGone = true;
      if (m_exchange) {
        m_exchange->Abort(AbortReason::kCallerLeft);
      }
    });
    co_await Forward();
    m_caller->StopWatching();
    SettleCredit();
  }
  ++m_state->m_counters.m_ends[m_code];
  m_state->m_counters.m_whole.Note(Passed());
  LogEnd();
}

RequestRun::Awaitable<void>
RequestRun::Forward()
{
  ExchangeEnd end = ExchangeEnd::kNeverSent;
  do {
    if (!PlaceNext()) {
      break;
    }
    end = co_await Exchange();
    NoteExchange(end);
  } while (GoesOn(end));
  co_await Conclude(end);
}

bool
RequestRun::PlaceNext()
{
  const Instant now = m_state->Now();
  PlacementRequest request;
  request.m_service = m_service;
  request.m_parts = m_request.m_parts;
  request.m_timeLeft = m_deadline - now;
  request.m_excluded = m_progress->Tried();
  if (m_route->m_kind == CallKind::kStream) {
    request.m_patience =
      std::max(m_state->m_options.m_streamPatience, m_route->m_objective * 4);
  }
  PlacementResult result =
    m_state->m_placement.Choose(m_state->m_upstreams, request, now);
  if (result.m_verdict == PlacementResult::Verdict::kPlaced) {
    m_choice = result.m_choice;
    const UpstreamState* state = m_state->m_upstreams.Find(m_choice.m_upstream);
    m_upstreamAddress = state->m_entry.m_address;
    return true;
  }
  const bool isFull = result.m_verdict == PlacementResult::Verdict::kOverloaded;
  m_code = isFull ? ResultCode::kOverloaded : ResultCode::kNoUpstream;
  m_why = isFull ? "every upstream would answer too late"
                 : "no upstream takes work now";
  return false;
}

RequestRun::Awaitable<RequestRun::ExchangeEnd>
RequestRun::Exchange()
{
  const Instant begun = m_state->Now();
  m_progress->NoteSending(m_choice.m_upstream);
  m_exchange = std::make_shared<UpstreamExchange>(m_executor);
  if (m_isCallerGone) {
    co_return ExchangeEnd::kCallerGone;
  }
  const bool isLightStream =
    m_route->m_kind == CallKind::kStream && m_choice.m_isLight;
  m_state->m_upstreams.NoteSent(m_choice.m_upstream,
                                isLightStream,
                                m_choice.m_prefill,
                                m_request.m_parts,
                                begun);
  m_state->m_onLoadChanged(m_choice.m_upstream, m_request.m_parts);
  const Duration patience =
    m_state->m_connectPatience.For(m_state->m_options.m_connectTimeout);
  ArmSilence(patience);
  ExchangeEnd end = ExchangeEnd::kNeverSent;
  if (co_await m_exchange->Connect(m_upstreamAddress)) {
    const Duration took = m_state->Now() - begun;
    m_state->m_counters.m_connectTime.Note(took);
    m_state->m_connectPatience.NoteMade(took);
    m_silentAt.reset();
    if (const std::optional<Duration> silence = FirstByteSilence()) {
      ArmSilence(*silence);
    }
    m_exchange->BeginSending(UpstreamHead(), m_body);
    end = co_await ReadAnswer(m_method == "HEAD");
  } else if (m_isCallerGone) {
    end = ExchangeEnd::kCallerGone;
  } else if (m_exchange->Aborted() == AbortReason::kSilence) {
    ++m_state->m_counters.m_connectTimeouts;
    m_state->m_connectPatience.NoteTimedOut(patience);
  }
  m_silentAt.reset();
  m_exchange->Close();
  m_state->m_counters.m_traffic.Note(TrafficPeer::kUpstreams,
                                     m_exchange->Bytes().m_sent,
                                     m_exchange->Bytes().m_received);
  m_state->m_upstreams.NoteEnded(m_choice.m_upstream, isLightStream);
  m_state->m_onLoadChanged(m_choice.m_upstream, {});
  co_return end;
}

std::optional<Duration>
RequestRun::FirstByteSilence() const
{
  if (!m_route->MayRunAgain()) {
    return std::nullopt; // Another upstream could not be asked.
  }
  const ForwardingOptions& options = m_state->m_options;
  if (m_route->m_kind == CallKind::kStream) {
    return options.m_streamSilence;
  }
  const auto ofObjective = Duration(static_cast<Duration::rep>(
    static_cast<double>(m_route->m_objective.count()) *
    options.m_silenceInObjectives));
  return std::max(options.m_leastSilence, ofObjective);
}

void
RequestRun::ArmSilence(Duration aSilence)
{
  m_silentAt = m_state->Now() + aSilence;
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
RequestRun::IsSpoiled(const UpstreamResponse& aAnswer) const
{
  const bool isOfAnother = !aAnswer.m_attemptId.empty() &&
                           aAnswer.m_attemptId != m_request.m_attemptId;
  const bool isUnsigned = IsSuccess(aAnswer.m_status) && !aAnswer.m_isSealed;
  return isOfAnother || isUnsigned || aAnswer.m_isEncoded;
}

RequestRun::Awaitable<RequestRun::ExchangeEnd>
RequestRun::ReadAnswer(bool aIsHeadRequest)
{
  const std::optional<UpstreamExchange::Head> head =
    co_await m_exchange->ReadHead(aIsHeadRequest);
  if (!head) {
    co_return m_isCallerGone ? ExchangeEnd::kCallerGone : ExchangeEnd::kBroken;
  }
  UpstreamResponse answer = m_state->m_dialect.m_readResponse(
    head->m_status, head->m_reason, head->m_fields);
  if (answer.m_load) {
    answer.m_load->m_at = m_state->Now();
    m_state->m_upstreams.NoteReport(m_choice.m_upstream, *answer.m_load);
    m_state->m_onLoadChanged(m_choice.m_upstream, {});
  }
  if (answer.m_isProvedNotRun) {
    co_return ExchangeEnd::kNotRun;
  }
  m_hasRun = true;
  if (IsSpoiled(answer)) {
    ++m_state->m_counters.m_spoiledAnswers;
    m_why = "the answer is spoiled or belongs to another request";
    co_return ExchangeEnd::kBroken;
  }
  if (m_route->m_kind == CallKind::kStream && IsSuccess(answer.m_status) &&
      answer.m_isEventStream) {
    co_return co_await Stream(answer);
  }
  co_return co_await Collect(answer);
}

RequestRun::Awaitable<RequestRun::ExchangeEnd>
RequestRun::Collect(const UpstreamResponse& aAnswer)
{
  std::string body;
  const ForwardingOptions& options = m_state->m_options;
  while (!m_exchange->IsWhole()) {
    const std::string bytes = co_await m_exchange->ReadBody();
    body += bytes;
    m_answerCharge += bytes.size();
    m_state->m_bufferedAnswers += bytes.size();
    if (m_isCallerGone) {
      co_return ExchangeEnd::kCallerGone;
    }
    const bool isTooLong =
      m_exchange->Bytes().m_received > options.m_maxAnswerBytes ||
      m_state->m_bufferedAnswers > options.m_maxBufferedAnswers;
    if (isTooLong || (bytes.empty() && !m_exchange->IsWhole())) {
      m_why = isTooLong ? "the answer is too long" : "the answer broke off";
      co_return ExchangeEnd::kBroken;
    }
  }
  m_firstByteAfter = Passed();
  if (aAnswer.m_status >= kFirstServerError) {
    m_answer = aAnswer;
    m_answerBody = std::move(body);
    m_hasAnswer = true;
    co_return ExchangeEnd::kFailed;
  }
  if (m_isStreamBegun) {
    co_return ExchangeEnd::kBroken; // Its events cannot follow those sent.
  }
  m_status = aAnswer.m_status;
  co_await m_caller->SendWhole(aAnswer, body);
  co_return ExchangeEnd::kDelivered;
}

RequestRun::Awaitable<RequestRun::ExchangeEnd>
RequestRun::Stream(const UpstreamResponse& aAnswer)
{
  const std::optional<std::uint64_t> after =
    m_isStreamBegun ? ParseNumber<std::uint64_t>(m_lastEventId) : std::nullopt;
  EventSplitter splitter(after);
  const std::optional<Duration> silence =
    m_route->MayRunAgain()
      ? std::optional<Duration>(m_state->m_options.m_streamSilence)
      : std::nullopt;
  while (true) {
    const std::string bytes = co_await m_exchange->ReadBody();
    if (m_isCallerGone) {
      co_return ExchangeEnd::kCallerGone;
    }
    const std::string events = splitter.Take(bytes);
    if (splitter.PartialBytes() > m_state->m_options.m_maxEventBytes) {
      m_why = "an event of the stream is too long";
      co_return ExchangeEnd::kBroken;
    }
    if (splitter.HasGap()) {
      m_why = "an event of the stream is missing";
      co_return ExchangeEnd::kBroken;
    }
    if (!events.empty()) {
      const Instant now = m_state->Now();
      if (m_lastEventAt) {
        m_longestPause = std::max(m_longestPause, now - *m_lastEventAt);
      }
      m_lastEventAt = now;
      if (silence) {
        ArmSilence(*silence);
      }
      if (!m_firstByteAfter) {
        m_firstByteAfter = Passed();
        m_state->m_counters.m_firstByte.Note(*m_firstByteAfter);
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
        m_status = aAnswer.m_status;
        co_await m_caller->BeginStream(aAnswer, events);
      } else {
        co_await m_caller->SendEvents(events);
      }
    }
    if (m_exchange->IsWhole()) {
      break;
    }
    if (bytes.empty()) {
      m_why = "the stream broke off";
      co_return ExchangeEnd::kBroken;
    }
  }
  if (splitter.HasPartial()) {
    m_why = "the stream ends within an event";
    co_return ExchangeEnd::kBroken;
  }
  if (!std::exchange(m_isStreamBegun, true)) {
    m_status = aAnswer.m_status;
    const std::string noEvents;
    co_await m_caller->BeginStream(aAnswer, noEvents);
  }
  co_await m_caller->EndStream();
  co_return ExchangeEnd::kDelivered;
}

void
RequestRun::NoteExchange(ExchangeEnd aEnd)
{
  const Instant now = m_state->Now();
  SendOutcome sent = SendOutcome::kMayHaveRun;
  ExchangeOutcome health = ExchangeOutcome::kGood;
  switch (aEnd) {
    case ExchangeEnd::kNeverSent:
      sent = SendOutcome::kNeverSent;
      health = ExchangeOutcome::kUnreachable;
      break;
    case ExchangeEnd::kNotRun:
      sent = SendOutcome::kProvedNotRun;
      health = ExchangeOutcome::kFailed;
      break;
    case ExchangeEnd::kFailed:
      health = ExchangeOutcome::kFailed;
      break;
    case ExchangeEnd::kBroken:
      health = m_exchange->Aborted() == AbortReason::kDeadline
                 ? ExchangeOutcome::kFailed
                 : ExchangeOutcome::kUnreachable;
      break;
    case ExchangeEnd::kDelivered:
    case ExchangeEnd::kCallerGone:
      break;
  }
  m_hasRun = m_hasRun || sent == SendOutcome::kMayHaveRun;
  m_progress->NoteOutcome(sent);
  if (aEnd != ExchangeEnd::kCallerGone) {
    m_state->m_upstreams.NoteOutcome(m_choice.m_upstream, health, now);
  }
  if (health != ExchangeOutcome::kGood) {
    m_state->Log(LogLine("exchange.failed")
                   .Text("request", m_request.m_attemptId)
                   .Text("upstream", m_choice.m_upstream.Str())
                   .Number("end", static_cast<int>(aEnd))
                   .Number("aborted", static_cast<int>(m_exchange->Aborted()))
                   .Text("why", m_why)
                   .Text("error", m_exchange->Error())
                   .Milliseconds("after_ms", Passed()));
  }
}

bool
RequestRun::GoesOn(ExchangeEnd aEnd)
{
  if (aEnd == ExchangeEnd::kDelivered || aEnd == ExchangeEnd::kCallerGone ||
      m_isCallerGone || !m_progress->MaySendAgain()) {
    return false;
  }
  const Instant now = m_state->Now();
  if (m_deadline - now < m_state->m_options.m_leastTimeLeft) {
    return false;
  }
  if (m_progress->WouldRepeat() && !m_state->m_retries.Take(m_service, now)) {
    m_why = "the retry budget is used up";
    return false;
  }
  m_state->m_counters.m_retries += m_progress->WouldRepeat() ? 1 : 0;
  m_state->m_counters.m_resumed += m_isStreamBegun ? 1 : 0;
  return true;
}

RequestRun::Awaitable<void>
RequestRun::Conclude(ExchangeEnd aEnd)
{
  if (aEnd == ExchangeEnd::kDelivered) {
    m_code = m_status >= kFirstServerError ? ResultCode::kUpstreamFailed
                                           : ResultCode::kOk;
    co_return;
  }
  if (m_isCallerGone || m_isStreamBegun) {
    // A stream that cannot go on must not look whole.
    m_code =
      m_isCallerGone ? ResultCode::kCancelled : ResultCode::kUpstreamFailed;
    m_caller->Close();
    co_return;
  }
  if (m_hasAnswer) {
    m_code = ResultCode::kUpstreamFailed;
    m_status = m_answer.m_status;
    co_await m_caller->SendWhole(m_answer, m_answerBody);
    co_return;
  }
  const bool isLate = m_state->Now() >= m_deadline;
  if (m_progress->IsProvedNotRun()) {
    const ResultCode code =
      m_code == ResultCode::kInternal ? ResultCode::kOverloaded : m_code;
    const std::string why =
      m_why.empty() ? "upstreams did not take the request" : m_why;
    OwnAnswer refusal{ 503, code, why, m_state->m_options.m_retrySoon };
    co_await Refuse(std::move(refusal));
    co_return;
  }
  OwnAnswer failure{
    isLate ? 504 : 502,
    isLate ? ResultCode::kDeadlineExceeded : ResultCode::kOutcomeUnknown,
    m_why.empty() ? "the upstream gave no whole answer" : m_why,
    {}
  };
  co_await Refuse(std::move(failure));
}

RequestRun::Awaitable<void>
RequestRun::Refuse(OwnAnswer aAnswer)
{
  m_status = aAnswer.m_status;
  m_code = aAnswer.m_code;
  m_why = aAnswer.m_why;
  co_await m_caller->SendOwn(aAnswer);
}

void
RequestRun::SettleCredit()
{
  if (m_allotted == 0) {
    return;
  }
  std::uint64_t used = 0;
  if (m_hasRun) {
    // A broken run may have made a few events that never came here.
    constexpr std::uint64_t kUnseenEvents = 8;
    const std::uint64_t perEvent =
      m_serviceInfo != nullptr ? m_serviceInfo->m_tokensPerEvent : 1;
    const std::uint64_t events =
      m_eventsDelivered + (m_code == ResultCode::kOk ? 0 : kUnseenEvents);
    used = m_request.m_promptTokens +
           std::min(m_request.m_maxOutputTokens, events * perEvent);
  }
  m_charged = used;
  m_state->m_credit.Settle(m_account->m_id, m_allotted, used);
}

void
RequestRun::Tick(Instant aNow)
{
  if (!m_exchange) {
    return;
  }
  if (aNow >= m_deadline) {
    m_exchange->Abort(AbortReason::kDeadline);
  } else if (m_silentAt && aNow >= *m_silentAt) {
    m_silentAt.reset();
    m_exchange->Abort(AbortReason::kSilence);
  }
}

void
RequestRun::LogEnd() const
{
  LogLine line("request.end");
  line.Text("request", m_request.m_attemptId)
    .Number("code", static_cast<int>(m_code))
    .Number("status", m_status)
    .Text("route", m_route != nullptr ? m_route->m_name : "")
    .Text("account", m_account != nullptr ? m_account->m_id.Str() : "")
    .Number("config",
            m_table ? static_cast<std::int64_t>(m_table->Version()) : 0)
    .Milliseconds("total_ms", Passed());
  if (m_firstByteAfter) {
    line.Milliseconds("first_ms", *m_firstByteAfter)
      .Milliseconds("pause_ms", m_longestPause);
  }
  if (m_progress && !m_progress->Tried().empty()) {
    line.Text("upstream", m_choice.m_upstream.Str())
      .Number("unread", m_choice.m_unreadTokens)
      .Number("beside", m_choice.m_requests)
      .Milliseconds("expected_ms", m_choice.m_expected)
      .Number("sends", static_cast<std::int64_t>(m_progress->Tried().size()))
      .Number("events", static_cast<std::int64_t>(m_eventsDelivered));
  }
  if (m_account != nullptr && m_account->m_prepaid) {
    const CreditStatus credit =
      m_state->m_credit.Status(m_account->m_id, m_state->Now());
    line.Number("allotted", static_cast<std::int64_t>(m_allotted))
      .Number("charged", static_cast<std::int64_t>(m_charged))
      .Milliseconds("credit_wait_ms", m_creditWaited)
      .Number("credit_limit", static_cast<std::int64_t>(credit.m_limit))
      .Number("credit_used", static_cast<std::int64_t>(credit.m_used))
      .Number("credit_free", static_cast<std::int64_t>(credit.m_free))
      .Number("prepaid", static_cast<std::int64_t>(credit.m_prepaid));
  }
  if (!m_why.empty()) {
    line.Text("why", m_why);
  }
  m_state->Log(line);
}

} // namespace bergamotpaddle
