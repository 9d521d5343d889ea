// What a request has to pass before it is sent anywhere: route, key and credit.
#include "bergamotpaddle/Forwarding/RequestRun.h"

#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;

namespace {

/// Picks a service of \p aRoute by weight, the same one for one request.
ServiceId
PickService(const Route& aRoute, const std::string& aAttemptId)
{
  double sum = 0;
  for (const ServiceShare& share : aRoute.m_services) {
    sum += share.m_weight;
  }
  constexpr double kParts = 1U << 24U;
  double point =
    static_cast<double>(PlacementHash(aAttemptId) >> 40U) / kParts * sum;
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

std::optional<OwnAnswer>
RequestRun::Admit()
{
  if (!m_table) {
    return OwnAnswer{ 503,
                      ResultCode::kNotConfigured,
                      "no configuration is known yet",
                      m_state->m_options.m_retrySoon };
  }
  if (std::optional<OwnAnswer> rejection = CheckCaller()) {
    return rejection;
  }
  m_deadline = m_arrivedAt + m_route->m_timeout;
  if (m_request.m_timeLimit) {
    m_deadline = std::min(m_deadline, m_arrivedAt + *m_request.m_timeLimit);
  }
  m_service = PickService(*m_route, m_request.m_attemptId);
  m_serviceInfo = m_table->FindService(m_service);
  m_progress.emplace(
    m_route->m_kind, m_route->m_isResumable, m_route->m_maxAttempts);
  m_state->m_retries.NoteRequest(m_service, m_arrivedAt);
  m_lastEventId = m_request.m_lastEventId;
  return std::nullopt;
}

OwnAnswer
RequestRun::UnknownYet(const char* aWhat) const
{
  return { 503,
           ResultCode::kNotConfigured,
           Cat(aWhat, "; a newer configuration may be in force elsewhere"),
           m_state->m_options.m_retrySoon };
}

std::optional<OwnAnswer>
RequestRun::CheckCaller()
{
  m_route = m_table->Match(m_request.m_host, m_target);
  if (m_route == nullptr) {
    if (m_state->m_isConfigurationPossiblyStale()) {
      return UnknownYet("no route matches");
    }
    return OwnAnswer{ 404, ResultCode::kUnknownRoute, "no route matches", {} };
  }
  if (m_request.m_attemptId.empty()) {
    return OwnAnswer{ 400,
                      ResultCode::kInvalidHeader,
                      "the request does not name its attempt",
                      {} };
  }
  if (m_request.m_apiKey) {
    m_account = m_table->AccountOfKey(*m_request.m_apiKey);
  }
  if (m_account == nullptr && m_table->AsksForKeys() && !m_route->m_isPublic) {
    if (m_state->m_isConfigurationPossiblyStale()) {
      return UnknownYet("the API key is not known");
    }
    return OwnAnswer{
      401, ResultCode::kUnauthorized, "the API key is not known", {}
    };
  }
  return std::nullopt;
}

RequestRun::Awaitable<std::optional<OwnAnswer>>
RequestRun::AllotCredit()
{
  if (m_account == nullptr || !m_account->m_prepaid ||
      !m_request.m_hasTokenUsage) {
    co_return std::nullopt;
  }
  const std::uint64_t most =
    m_request.m_promptTokens + m_request.m_maxOutputTokens;
  CreditVerdict verdict =
    m_state->m_credit.Allot(m_account->m_id, most, m_arrivedAt);
  if (verdict == CreditVerdict::kOutOfReach) {
    verdict = co_await AwaitCredit(most);
  }
  switch (verdict) {
    case CreditVerdict::kAllotted:
      m_allotted = most;
      co_return std::nullopt;
    case CreditVerdict::kExhausted:
      if (m_state->m_isConfigurationPossiblyStale()) {
        co_return UnknownYet("the budget does not cover the request");
      }
      co_return OwnAnswer{ 402,
                           ResultCode::kBudgetExhausted,
                           "the budget does not cover the request",
                           {} };
    case CreditVerdict::kOutOfReach:
      break;
  }
  co_return OwnAnswer{ 503,
                       ResultCode::kCreditUnreachable,
                       "credit is not within reach now",
                       m_state->m_options.m_retryAfterDraw };
}

RequestRun::Awaitable<CreditVerdict>
RequestRun::AwaitCredit(std::uint64_t aMost)
{
  CreditBook& credit = m_state->m_credit;
  const AccountId account = m_account->m_id;
  CreditVerdict verdict = CreditVerdict::kOutOfReach;
  if (!credit.CanObtain(account, m_arrivedAt)) {
    co_return verdict;
  }
  credit.Await(account, aMost);
  asio::steady_timer timer(m_executor);
  const Instant until = m_arrivedAt + m_state->m_options.m_creditWait;
  while (verdict == CreditVerdict::kOutOfReach && m_state->Now() < until &&
         credit.CanObtain(account, m_state->Now()) && m_state->m_drawCredit()) {
    timer.expires_after(m_state->m_options.m_creditPoll);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    verdict = credit.AllotAwaited(account, aMost);
  }
  if (verdict != CreditVerdict::kAllotted) {
    credit.StopAwaiting(account, aMost);
  }
  m_creditWaited = Passed();
  co_return verdict;
}

} // namespace bergamotpaddle
