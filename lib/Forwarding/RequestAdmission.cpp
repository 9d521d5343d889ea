/// \file
/// Admission of a request before it is sent to an upstream: route, API key and
/// credit.
#include "bergamotpaddle/Forwarding/RequestRun.h"

#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;

namespace {

constexpr const char* kQuarantinedMessage =
  "upstreams crash on a part of the prompt";

/// Picks a service of \p aRoute by weight; the choice is deterministic for an
/// attempt ID.
ServiceId
PickService(const Route& aRoute, const std::string& aAttemptId)
{
  double totalWeight = 0;
  for (const ServiceShare& share : aRoute.m_services) {
    totalWeight += share.m_weight;
  }
  constexpr double kHashRange = 1U << 24U;
  double point = static_cast<double>(PlacementHash(aAttemptId) >> 40U) /
                 kHashRange * totalWeight;
  for (const ServiceShare& share : aRoute.m_services) {
    point -= share.m_weight;
    if (point < 0) {
      return share.m_service;
    }
  }
  return aRoute.m_services.empty() ? ServiceId()
                                   : aRoute.m_services.back().m_service;
}

} // namespace

std::optional<LocalResponse>
RequestRun::Admit()
{
  if (!m_table) {
    return LocalResponse{ 503,
                          ResultCode::kNotConfigured,
                          "no configuration is known yet",
                          m_state->m_options.m_retryAfterTransient };
  }
  if (std::optional<LocalResponse> rejection = CheckCaller()) {
    return rejection;
  }
  if (m_state->m_levelling.ShouldRefuse(m_route->m_objective)) {
    ++m_state->m_counters.m_levellingRefusals;
    return LocalResponse{ 503,
                          ResultCode::kOverloaded,
                          "another router has more room",
                          m_state->m_options.m_retryAfterStop };
  }
  m_deadline = OwnDeadline();
  if (m_state->m_answersDueBy) {
    LimitDeadline(*m_state->m_answersDueBy);
  }
  m_service = PickService(*m_route, m_request.m_attemptId);
  m_serviceInfo = m_table->FindService(m_service);
  m_progress.emplace(
    m_route->m_kind, m_route->m_isResumable, m_route->m_maxAttempts);
  m_state->m_retries.NoteRequest(m_service, m_arrivedAt);
  m_lastEventId = m_request.m_lastEventId;
  return std::nullopt;
}

LocalResponse
RequestRun::StaleConfigurationResponse(const char* aProblem) const
{
  return { 503,
           ResultCode::kNotConfigured,
           Cat(aProblem, "; a newer configuration may be in force elsewhere"),
           m_state->m_options.m_retryAfterTransient };
}

std::optional<LocalResponse>
RequestRun::CheckCaller()
{
  m_route = m_table->Match(m_request.m_host, m_target);
  if (m_route == nullptr) {
    if (m_state->m_isConfigurationPossiblyStale()) {
      return StaleConfigurationResponse("no route matches");
    }
    return LocalResponse{
      404, ResultCode::kUnknownRoute, "no route matches", {}
    };
  }
  if (m_request.m_attemptId.empty()) {
    return LocalResponse{ 400,
                          ResultCode::kInvalidHeader,
                          "the request does not name its attempt",
                          {} };
  }
  if (m_request.m_apiKey) {
    m_account = m_table->AccountOfKey(*m_request.m_apiKey);
  }
  if (m_account == nullptr && m_table->RequiresApiKeys() &&
      !m_route->m_isPublic) {
    if (m_state->m_isConfigurationPossiblyStale()) {
      return StaleConfigurationResponse("the API key is not known");
    }
    return LocalResponse{
      401, ResultCode::kUnauthorized, "the API key is not known", {}
    };
  }
  return std::nullopt;
}

std::optional<LocalResponse>
RequestRun::CheckPrompt()
{
  const PromptAdmission admission =
    m_state->m_quarantine.Admit(m_request.m_parts, m_state->Now());
  m_state->LogQuarantineChanges();
  m_isPromptTrial = admission.m_isTrial;
  if (!admission.m_refusedFor) {
    return std::nullopt;
  }
  ++m_state->m_counters.m_quarantineRefusals;
  return LocalResponse{ 503,
                        ResultCode::kPromptQuarantined,
                        kQuarantinedMessage,
                        std::max(*admission.m_refusedFor,
                                 m_state->m_options.m_minQuarantineRetry) };
}

bool
RequestRun::IsPromptQuarantined()
{
  const bool isTrial = m_isPromptTrial && m_progress->Arrivals() == 0;
  if (isTrial ||
      !m_state->m_quarantine.RefusedFor(m_request.m_parts, m_state->Now())) {
    return false;
  }
  m_state->LogQuarantineChanges();
  ++m_state->m_counters.m_quarantineRefusals;
  m_code = ResultCode::kPromptQuarantined;
  m_errorMessage = kQuarantinedMessage;
  return true;
}

Instant
RequestRun::OwnDeadline() const
{
  return m_arrivedAt +
         std::min(m_route->m_timeout,
                  m_request.m_timeLimit.value_or(m_route->m_timeout));
}

bool
RequestRun::IsTooLateForStop()
{
  if (!m_state->m_answersDueBy || !m_progress->IsProvedNotRun()) {
    return false;
  }
  const Instant now = m_state->Now();
  const LateRequest late{ OwnDeadline() - now, *m_state->m_answersDueBy - now };
  if (m_state->m_stopAdmission.MayPassOn(*m_route, late)) {
    return false;
  }
  ++m_state->m_counters.m_stopRefusals;
  m_code = ResultCode::kDraining;
  m_errorMessage = "the router stops before the request would be answered";
  return true;
}

void
RequestRun::NoteDuration()
{
  // During a shutdown, the long requests would be missing.
  const bool isMeasured =
    m_code == ResultCode::kOk || m_state->Now() >= m_deadline;
  if (isMeasured && !m_state->m_answersDueBy) {
    m_state->m_stopAdmission.NoteDuration(m_route->m_name, Elapsed());
  }
}

Duration
RequestRun::RetryAfter(ResultCode aCode) const
{
  const ForwardingOptions& options = m_state->m_options;
  switch (aCode) {
    case ResultCode::kPromptQuarantined:
      return options.m_minQuarantineRetry;
    case ResultCode::kDraining:
      return options.m_retryAfterStop;
    case ResultCode::kOverloaded:
      return m_retryAfter.value_or(options.m_retryAfterTransient);
    default:
      return options.m_retryAfterTransient;
  }
}

CreditRank
RequestRun::CreditRankOfRoute() const
{
  return m_route->m_priority - m_table->MostUrgentPriority();
}

RequestRun::Awaitable<std::optional<LocalResponse>>
RequestRun::AllotCredit()
{
  if (m_account == nullptr || !m_account->m_prepaid ||
      !m_request.m_hasTokenUsage) {
    co_return std::nullopt;
  }
  const std::uint64_t maxTokens =
    m_request.m_promptTokens + m_request.m_maxOutputTokens;
  AllotResult allotResult = m_state->m_credit.Allot(
    m_account->m_id, maxTokens, m_arrivedAt, CreditRankOfRoute());
  if (allotResult == AllotResult::kNotGranted) {
    allotResult = co_await AwaitCredit(maxTokens);
  }
  switch (allotResult) {
    case AllotResult::kAllotted:
      m_allotted = maxTokens;
      co_return std::nullopt;
    case AllotResult::kExhausted:
      if (m_state->m_isConfigurationPossiblyStale()) {
        co_return StaleConfigurationResponse(
          "the budget does not cover the request");
      }
      co_return LocalResponse{ 402,
                               ResultCode::kBudgetExhausted,
                               "the budget does not cover the request",
                               {} };
    case AllotResult::kNotGranted:
      break;
  }
  NoteCreditShortage(maxTokens);
  co_return LocalResponse{ 503,
                           ResultCode::kCreditUnreachable,
                           "credit is not within reach now",
                           m_state->m_options.m_retryAfterDraw };
}

void
RequestRun::NoteCreditShortage(std::uint64_t aMaxTokens)
{
  const Instant now = m_state->Now();
  m_creditShortage =
    m_state->m_storeAvailability.IsUnavailable(now)
      ? CreditShortage::kStoreUnavailable
      : m_state->m_credit.ShortageOf(
          m_account->m_id, aMaxTokens, now, CreditRankOfRoute());
  ++m_state->m_counters.m_creditRefusals.at(
    static_cast<std::size_t>(*m_creditShortage));
}

RequestRun::Awaitable<AllotResult>
RequestRun::AwaitCredit(std::uint64_t aMaxTokens)
{
  CreditBook& credit = m_state->m_credit;
  const AccountId account = m_account->m_id;
  AllotResult allotResult = AllotResult::kNotGranted;
  const CreditRank rank = CreditRankOfRoute();
  if (!credit.CanObtain(account, m_arrivedAt, rank)) {
    co_return allotResult;
  }
  credit.AddWaiter(account, aMaxTokens, rank);
  asio::steady_timer timer(m_executor);
  const Instant until = m_arrivedAt + m_state->m_options.m_maxCreditWait;
  while (allotResult == AllotResult::kNotGranted &&
         m_state->Now() < std::min(until, m_deadline) &&
         credit.CanObtain(account, m_state->Now(), rank) &&
         m_state->m_drawCredit()) {
    timer.expires_after(m_state->m_options.m_creditPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    allotResult = credit.AllotWaiter(account, aMaxTokens, m_state->Now(), rank);
  }
  if (allotResult != AllotResult::kAllotted) {
    credit.RemoveWaiter(account, aMaxTokens, rank);
  }
  m_creditWaitTime = Elapsed();
  co_return allotResult;
}

} // namespace bergamotpaddle
