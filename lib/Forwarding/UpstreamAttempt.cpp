#include "bergamotpaddle/Forwarding/UpstreamAttempt.h"

#include "bergamotpaddle/Scheduling/SpeedSamples.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;

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

std::string_view
Describe(AttemptStep aStep)
{
  switch (aStep) {
    case AttemptStep::kEvents:
      return "events";
    case AttemptStep::kStreamEnd:
      return "stream_end";
    case AttemptStep::kResponse:
      return "response";
    case AttemptStep::kNeverSent:
      return "never_sent";
    case AttemptStep::kNotRun:
      return "not_run";
    case AttemptStep::kFailed:
      return "error_response";
    case AttemptStep::kIncomplete:
      return "incomplete";
  }
  return "";
}

bool
IsFailure(AttemptStep aStep)
{
  switch (aStep) {
    case AttemptStep::kEvents:
    case AttemptStep::kStreamEnd:
    case AttemptStep::kResponse:
      return false;
    case AttemptStep::kNeverSent:
    case AttemptStep::kNotRun:
    case AttemptStep::kFailed:
    case AttemptStep::kIncomplete:
      return true;
  }
  return true;
}

UpstreamAttempt::UpstreamAttempt(GatewayState& aState,
                                 const asio::any_io_executor& aExecutor,
                                 AttemptRequest aRequest,
                                 HeadWriter aWriteHead,
                                 HeardHook aOnHeard)
  : m_state(&aState)
  , m_request(std::move(aRequest))
  , m_writeHead(std::move(aWriteHead))
  , m_onHeard(std::move(aOnHeard))
  , m_exchange(std::make_shared<UpstreamExchange>(aExecutor))
  , m_splitter(m_request.m_resumeAfterId)
  , m_startedAt(aState.Now())
  , m_heardAt(m_startedAt)
  , m_backgroundDone(aExecutor, asio::steady_timer::time_point::max())
{
  m_bufferId = m_state->m_responses.Add(
    [this, token = std::weak_ptr<bool>(m_lifetimeToken)] {
      if (!token.expired()) {
        OnEvicted();
      }
    });
  m_state->m_upstreams.NoteSent(Upstream(),
                                IsLightStream(),
                                Choice().m_prefill,
                                m_request.m_parts,
                                m_startedAt);
  m_state->m_coldRate.Reserve(Upstream(), m_request.m_service);
  m_state->m_onLoadChanged(Upstream(), m_request.m_parts);
}

UpstreamAttempt::Awaitable<AttemptStep>
UpstreamAttempt::Advance()
{
  if (m_isInBackground) {
    boost::system::error_code ignored;
    co_await m_backgroundDone.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (const auto step = std::exchange(m_backgroundStep, std::nullopt)) {
    co_return *step;
  }
  co_return co_await TakeStep();
}

void
UpstreamAttempt::AdvanceInBackground(StepHook aOnStep)
{
  m_onStep = std::move(aOnStep);
  m_isInBackground = true;
  m_state->m_tasks.Spawn(m_backgroundDone.get_executor(),
                         "attempt",
                         RunInBackground(shared_from_this()));
}

UpstreamAttempt::Awaitable<void>
UpstreamAttempt::RunInBackground(std::shared_ptr<UpstreamAttempt> aSelf)
{
  const AttemptStep step = co_await aSelf->TakeStep();
  aSelf->m_backgroundStep = step;
  aSelf->m_isInBackground = false;
  aSelf->m_backgroundDone.cancel();
  if (const StepHook onStep = std::exchange(aSelf->m_onStep, nullptr)) {
    onStep(step);
  }
}

UpstreamAttempt::Awaitable<AttemptStep>
UpstreamAttempt::TakeStep()
{
  if (!m_sentAt) {
    if (!co_await Connect()) {
      co_return AttemptStep::kNeverSent;
    }
    if (const auto failure = co_await ReadHead()) {
      co_return *failure;
    }
  }
  if (m_isEventStream) {
    co_return co_await ReadEvents();
  }
  co_return co_await CollectResponse();
}

UpstreamAttempt::Awaitable<bool>
UpstreamAttempt::Connect()
{
  if (m_isFinished) {
    co_return false; // Given up before the coroutine started.
  }
  m_connectTimeout = m_state->m_adaptiveConnectTimeout.TimeoutFor(
    m_state->m_options.m_connectTimeout);
  m_connectDeadline = m_state->Now() + m_connectTimeout;
  const bool isConnected = co_await m_exchange->Connect(m_request.m_address);
  m_connectDeadline.reset();
  if (!isConnected || m_isFinished) {
    if (m_exchange->GetAbortReason() == AbortReason::kIdleTimeout) {
      ++m_state->m_counters.m_connectTimeouts;
      m_state->m_adaptiveConnectTimeout.NoteTimedOut(m_connectTimeout);
    }
    co_return false;
  }
  const Instant now = m_state->Now();
  m_state->m_counters.m_connectTime.Record(now - m_startedAt);
  m_state->m_adaptiveConnectTimeout.NoteConnected(now - m_startedAt);
  m_isReserved = false;
  const std::string_view reason =
    m_state->WithholdsFrom(Upstream(), m_request.m_service, now);
  if (!reason.empty()) {
    m_isWithheld = true;
    m_errorMessage = reason;
    co_return false;
  }
  if (const UpstreamState* upstream = m_state->m_upstreams.Find(Upstream())) {
    m_state->m_placement.Overflow().NoteConnectTime(upstream->m_entry.m_zone,
                                                    now - m_startedAt);
  }
  m_sentAt = now;
  m_heardAt = now;
  m_exchange->BeginSending(m_writeHead(*this), m_request.m_body);
  co_return true;
}

void
UpstreamAttempt::Tick(Instant aNow, Duration aStall)
{
  if (!m_connectDeadline) {
    return;
  }
  *m_connectDeadline += aStall;
  if (aNow >= *m_connectDeadline) {
    m_connectDeadline.reset();
    m_exchange->Abort(AbortReason::kIdleTimeout);
  }
}

UpstreamAttempt::Awaitable<std::optional<AttemptStep>>
UpstreamAttempt::ReadHead()
{
  const std::optional<UpstreamExchange::Head> head =
    co_await m_exchange->ReadHead(m_request.m_isHeadRequest);
  if (!head || m_isFinished) {
    co_return AttemptStep::kIncomplete;
  }
  NoteHeard();
  m_response = m_state->m_dialect.m_readResponse(
    head->m_status, head->m_reason, head->m_fields);
  if (m_response.m_load) {
    m_response.m_load->m_reportedAt = m_state->Now();
    m_state->m_upstreams.NoteReport(Upstream(), *m_response.m_load);
    m_state->m_onLoadChanged(Upstream(), {});
  }
  if (!IsForOtherAttempt()) {
    NoteNotice();
  }
  if (const UpstreamState* state = m_state->m_upstreams.Find(Upstream());
      m_response.m_coldLeft && state != nullptr) {
    m_state->NoteCold(state->m_entry, *m_response.m_coldLeft, false);
  }
  if (m_response.m_isProvedNotRun && !IsSuccess(m_response.m_status) &&
      !IsForOtherAttempt()) {
    co_return AttemptStep::kNotRun;
  }
  if (IsInvalidResponse()) {
    ++m_state->m_counters.m_invalidResponses;
    m_errorMessage = "the answer is spoiled or belongs to another request";
    co_return AttemptStep::kIncomplete;
  }
  m_isEventStream = m_request.m_isStream && IsSuccess(m_response.m_status) &&
                    m_response.m_isEventStream;
  co_return std::nullopt;
}

UpstreamAttempt::Awaitable<AttemptStep>
UpstreamAttempt::CollectResponse()
{
  const std::uint64_t maxBytes = m_state->m_options.m_maxResponseBytes;
  if (!m_request.m_isHeadRequest &&
      m_exchange->AnnouncedLength().value_or(0) > maxBytes) {
    m_errorMessage = "the announced length of the answer is too long";
    co_return AttemptStep::kIncomplete;
  }
  while (!m_exchange->IsComplete()) {
    const std::string bytes = co_await m_exchange->ReadBody();
    if (m_isFinished) {
      co_return AttemptStep::kIncomplete;
    }
    m_body += bytes;
    if (!bytes.empty()) {
      NoteHeard();
    }
    m_state->m_responses.Resize(m_bufferId, m_body.size());
    if (m_exchange->GetAbortReason() == AbortReason::kMemory) {
      co_return AttemptStep::kIncomplete;
    }
    const bool isTooLarge = m_exchange->Bytes().m_received > maxBytes;
    if (isTooLarge || (bytes.empty() && !m_exchange->IsComplete())) {
      m_errorMessage =
        isTooLarge ? "the answer is too long" : "the answer broke off";
      co_return AttemptStep::kIncomplete;
    }
  }
  m_state->m_responses.Complete(m_bufferId);
  if (IsSuccess(m_response.m_status)) {
    NoteBegun();
    NoteCallSpeed();
  }
  if (m_response.m_status >= kFirstServerError) {
    co_return AttemptStep::kFailed;
  }
  // A plain body cannot continue a stream of events.
  co_return m_request.m_isResumed ? AttemptStep::kIncomplete
                                  : AttemptStep::kResponse;
}

UpstreamAttempt::Awaitable<AttemptStep>
UpstreamAttempt::ReadEvents()
{
  while (!m_hasReadBody || !m_exchange->IsComplete()) {
    const std::string bytes = co_await m_exchange->ReadBody();
    m_hasReadBody = true;
    if (m_isFinished) {
      co_return AttemptStep::kIncomplete;
    }
    if (!bytes.empty()) {
      NoteHeard();
    }
    const std::string events = m_splitter.Consume(bytes);
    if (!events.empty()) {
      NoteEventTimes();
    }
    m_events += events;
    m_state->m_responses.Resize(m_bufferId, m_splitter.PartialBytes());
    if (m_exchange->GetAbortReason() == AbortReason::kMemory) {
      co_return AttemptStep::kIncomplete;
    }
    if (m_splitter.PartialBytes() > m_state->m_options.m_maxEventBytes) {
      m_errorMessage = "an event of the stream is too long";
      co_return AttemptStep::kIncomplete;
    }
    if (m_splitter.HasGap()) {
      m_errorMessage = "an event of the stream is missing";
      co_return AttemptStep::kIncomplete;
    }
    if (!m_events.empty()) {
      NoteBegun();
      co_return AttemptStep::kEvents;
    }
    if (bytes.empty() && !m_exchange->IsComplete()) {
      m_errorMessage = "the stream broke off";
      co_return AttemptStep::kIncomplete;
    }
  }
  if (m_splitter.HasPartial()) {
    m_errorMessage = "the stream ends within an event";
    co_return AttemptStep::kIncomplete;
  }
  NoteStreamSpeed();
  co_return AttemptStep::kStreamEnd;
}

bool
UpstreamAttempt::IsForOtherAttempt() const
{
  return !m_response.m_attemptId.empty() &&
         m_response.m_attemptId != m_request.m_attemptId;
}

bool
UpstreamAttempt::IsInvalidResponse() const
{
  const bool isUnsigned =
    IsSuccess(m_response.m_status) &&
    (!m_response.m_isSealed || m_response.m_isProvedNotRun);
  return IsForOtherAttempt() || isUnsigned || m_response.m_isEncoded;
}

void
UpstreamAttempt::NoteNotice()
{
  const UpstreamNotice& notice = m_response.m_notice;
  GatewayCounters& counters = m_state->m_counters;
  if (notice.m_isInvalid && counters.m_invalidNotices++ == 0) {
    m_state->Log(
      LogLine("upstream.notice_invalid").Text("upstream", Upstream().Str()));
  }
  const bool isNews = m_state->m_upstreams.NoteNotice(
    { Upstream(), m_request.m_startedAtMs }, notice, m_state->Now());
  if (notice.m_closedFor) {
    ++counters.m_upstreamClosures;
    m_state->Log(LogLine("upstream.closed")
                   .Text("request", m_request.m_attemptId)
                   .Text("upstream", Upstream().Str())
                   .Milliseconds("for_ms", *notice.m_closedFor));
  }
  if (isNews) {
    ++counters.m_upstreamsLeaving;
    m_state->Log(LogLine("upstream.leaving")
                   .Text("request", m_request.m_attemptId)
                   .Text("upstream", Upstream().Str()));
    m_state->m_onLoadChanged(Upstream(), {});
  }
}

void
UpstreamAttempt::NoteEventTimes()
{
  const Instant now = m_state->Now();
  m_lastEventAt = now;
  if (m_firstEventAt) {
    m_laterEvents += m_splitter.Events();
    return;
  }
  m_firstEventAt = now;
  const UpstreamState* upstream = m_state->m_upstreams.Find(Upstream());
  if (upstream == nullptr || m_request.m_isResumed) {
    return;
  }
  if (const auto ratio =
        PrefillSample(Choice(),
                      upstream->m_entry.m_slots,
                      now - *m_sentAt,
                      m_state->m_upstreams.Slowness(*upstream, now))) {
    m_state->m_upstreams.NoteSpeed(Upstream(), SpeedKind::kPrefill, *ratio);
  }
}

void
UpstreamAttempt::NoteStreamSpeed()
{
  const UpstreamState* upstream = m_state->m_upstreams.Find(Upstream());
  if (upstream == nullptr || !m_firstEventAt || !m_state->m_routes) {
    return;
  }
  const Service* service =
    m_state->m_routes->FindService(upstream->m_entry.m_service);
  if (service == nullptr) {
    return;
  }
  if (const auto ratio =
        StepSample(Choice(),
                   upstream->m_entry.m_slots,
                   m_laterEvents * service->m_tokensPerEvent,
                   m_lastEventAt - *m_firstEventAt,
                   m_state->m_placement.Options().m_tokenTime)) {
    m_state->m_upstreams.NoteSpeed(Upstream(), SpeedKind::kStep, *ratio);
  }
}

void
UpstreamAttempt::NoteCallSpeed()
{
  const UpstreamState* upstream = m_state->m_upstreams.Find(Upstream());
  if (upstream == nullptr || m_request.m_isStream) {
    return;
  }
  const Instant now = m_state->Now();
  if (const auto ratio =
        CallSample(Choice(),
                   upstream->m_entry.m_slots,
                   now - *m_sentAt,
                   m_state->m_upstreams.Slowness(*upstream, now))) {
    m_state->m_upstreams.NoteSpeed(Upstream(), SpeedKind::kStep, *ratio);
  }
}

void
UpstreamAttempt::OnEvicted()
{
  m_errorMessage = "the answer uses too much memory";
  m_exchange->Abort(AbortReason::kMemory);
}

void
UpstreamAttempt::NoteHeard()
{
  m_heardAt = m_state->Now();
  m_hasResponded = true;
  m_isSilent = false;
  m_onHeard(*this);
}

void
UpstreamAttempt::NoteBegun()
{
  if (std::exchange(m_hasBegun, true)) {
    return;
  }
  m_state->m_quarantine.NoteBegun(m_request.m_parts, m_state->Now());
  m_state->LogQuarantineChanges();
}

std::string
UpstreamAttempt::TakeEvents()
{
  m_takenEvents = m_splitter.Events();
  m_splitter.ResetCount();
  return std::exchange(m_events, {});
}

void
UpstreamAttempt::Finish()
{
  if (m_isFinished) {
    return;
  }
  Abandon();
  m_state->m_counters.m_traffic.Record(TrafficPeer::kUpstreams,
                                       m_exchange->Bytes().m_sent,
                                       m_exchange->Bytes().m_received);
  if (Choice().m_isOtherZone) {
    m_state->m_counters.m_otherZoneRequests += m_sentAt ? 1 : 0;
    m_state->m_counters.m_otherZoneBytes +=
      m_exchange->Bytes().m_sent + m_exchange->Bytes().m_received;
  }
  const UpstreamState* upstream = m_state->m_upstreams.Find(Upstream());
  if (upstream != nullptr && m_hasBegun) {
    m_state->m_placement.Overflow().NoteResponseBytes(
      upstream->m_entry.m_service, m_exchange->Bytes().m_received);
  }
  m_state->m_upstreams.NoteEnded(Upstream(), IsLightStream());
  const Instant now = m_state->Now();
  m_state->m_waiting.NoteEnded(Upstream(),
                               m_sentAt && IsSuccess(m_response.m_status)
                                 ? std::optional(now - *m_sentAt)
                                 : std::nullopt,
                               now);
  m_state->m_onLoadChanged(Upstream(), {});
}

void
UpstreamAttempt::Abandon()
{
  m_isFinished = true;
  m_onStep = nullptr;
  if (std::exchange(m_isReserved, false)) {
    m_state->m_coldRate.Release(Upstream());
  }
  m_connectDeadline.reset();
  m_exchange->Close();
}

void
UpstreamAttempt::ReleaseBody()
{
  m_state->m_responses.Remove(m_bufferId);
  m_body = {};
}

} // namespace bergamotpaddle
