/// \file
/// The log lines of a request in flight.
#include "bergamotpaddle/Forwarding/RequestRun.h"

#include <algorithm>

namespace bergamotpaddle {

void
RequestRun::AppendAttemptState(LogLine& aLine,
                               const UpstreamAttempt& aAttempt) const
{
  const Instant now = m_state->Now();
  const std::vector<const UpstreamState*> usable =
    m_state->m_upstreams.Usable(m_service);
  const bool hasOtherUpstream =
    std::any_of(usable.begin(), usable.end(), [this](const auto* aState) {
      return !m_progress->Tried().contains(aState->m_entry.m_id);
    });
  aLine.Text("cause", Describe(aAttempt.Exchange().GetAbortReason()))
    .Milliseconds("silent_ms", now - aAttempt.HeardAt())
    .Number("events", static_cast<std::int64_t>(m_eventsDelivered))
    .Flag("attempt_left", m_progress->MaySendAgain())
    .Flag("retry_left", m_state->m_retries.HasRetry(m_service, now))
    .Flag("upstream_left", hasOtherUpstream);
}

void
RequestRun::LogFailover(const UpstreamAttempt& aStandby,
                        std::string_view aResult)
{
  const Instant now = m_state->Now();
  LogLine line("exchange.failover");
  line.Text("request", m_request.m_attemptId)
    .Text("result", aResult)
    .Text("from", m_attempt->Upstream().Str())
    .Text("to", aStandby.Upstream().Str())
    .Milliseconds("silent_ms", now - m_attempt->HeardAt());
  if (const std::optional<Instant> sentAt = aStandby.SentAt()) {
    line.Milliseconds("overlap_ms", now - *sentAt);
  }
  m_state->Log(line);
}

void
RequestRun::AppendFlightState(LogLine& aLine) const
{
  aLine.Text("request", m_request.m_attemptId)
    .Text("route", m_route != nullptr ? m_route->m_name : "")
    .Milliseconds("in_flight_ms", Elapsed())
    .Flag("passed_on", m_progress && !m_progress->Tried().empty())
    .Flag("begun", m_caller->HasBegunResponse());
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
    .Milliseconds("total_ms", Elapsed());
  if (m_timeToFirstByte) {
    line.Milliseconds("first_ms", *m_timeToFirstByte)
      .Milliseconds("pause_ms", m_longestPause);
  }
  if (m_attempt) {
    const PlacementChoice& choice = m_attempt->Choice();
    line.Text("upstream", choice.m_upstream.Str())
      .Number("unread", choice.m_uncachedTokens)
      .Number("beside", choice.m_requests)
      .Milliseconds("expected_ms", choice.m_expected)
      .Number("sends", static_cast<std::int64_t>(m_progress->Tried().size()))
      .Number("events", static_cast<std::int64_t>(m_eventsDelivered));
  }
  if (m_account != nullptr && m_account->m_prepaid) {
    const CreditStatus credit =
      m_state->m_credit.Status(m_account->m_id, m_state->Now());
    line.Number("allotted", static_cast<std::int64_t>(m_allotted))
      .Number("charged", static_cast<std::int64_t>(m_charged))
      .Milliseconds("credit_wait_ms", m_creditWaitTime)
      .Number("credit_limit", static_cast<std::int64_t>(credit.m_limit))
      .Number("credit_used", static_cast<std::int64_t>(credit.m_used))
      .Number("credit_free", static_cast<std::int64_t>(credit.m_free))
      .Number("prepaid", static_cast<std::int64_t>(credit.m_prepaid));
  }
  if (m_creditShortage) {
    line.Text("shortage", Describe(*m_creditShortage));
  }
  if (!m_queueResult.empty()) {
    line.Text("queue", m_queueResult).Milliseconds("queue_ms", m_queueTime);
  }
  if (m_retryAfter) {
    line.Milliseconds("retry_after_ms", *m_retryAfter);
  }
  if (!m_errorMessage.empty()) {
    line.Text("why", m_errorMessage);
  }
  m_state->Log(line);
}

} // namespace bergamotpaddle
