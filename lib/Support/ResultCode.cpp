#include "bergamotpaddle/Support/ResultCode.h"

#include <algorithm>
#include <array>

namespace bergamotpaddle {

namespace {

using enum ResultCode;

constexpr std::array kTable{
  ResultCodeInfo{ kOk, "ok", 200, 0, "The request was served." },
  ResultCodeInfo{ kMalformedRequest,
                  "malformed_request",
                  400,
                  0,
                  "The body or a field of it is not valid." },
  ResultCodeInfo{ kUnauthorized,
                  "unauthorized",
                  401,
                  0,
                  "No known API key was given." },
  ResultCodeInfo{ kUnknownModel,
                  "unknown_model",
                  404,
                  0,
                  "The configuration has no such model." },
  ResultCodeInfo{ kUnknownService,
                  "unknown_service",
                  404,
                  0,
                  "The configuration has no such service." },
  ResultCodeInfo{ kBodyTooLarge,
                  "body_too_large",
                  413,
                  0,
                  "The body is over the size limit." },
  ResultCodeInfo{ kIdempotencyKeyRequired,
                  "idempotency_key_required",
                  400,
                  0,
                  "The call may not repeat, so it needs an Idempotency-Key." },
  ResultCodeInfo{ kUnknownRoute,
                  "unknown_route",
                  404,
                  0,
                  "No such path or method." },
  ResultCodeInfo{ kForbidden,
                  "forbidden",
                  403,
                  0,
                  "The credential does not permit this." },
  ResultCodeInfo{ kInvalidHeader,
                  "invalid_header",
                  400,
                  0,
                  "A header's value is not allowed." },
  ResultCodeInfo{ kKeyReused,
                  "idempotency_key_reused",
                  422,
                  0,
                  "The Idempotency-Key was used before with another request." },
  ResultCodeInfo{ kBudgetExhausted,
                  "budget_exhausted",
                  402,
                  0,
                  "The prepaid budget does not cover the request." },
  ResultCodeInfo{ kCreditUnreachable,
                  "credit_unreachable",
                  503,
                  2,
                  "Credit may exist, but cannot be reached now." },
  ResultCodeInfo{ kOverloaded,
                  "overloaded",
                  503,
                  1,
                  "Every upstream asked refused the work." },
  ResultCodeInfo{ kNoUpstream,
                  "no_upstream",
                  503,
                  2,
                  "No live upstream serves this." },
  ResultCodeInfo{ kUpstreamFailed,
                  "upstream_failed",
                  502,
                  1,
                  "The upstream failed the work." },
  ResultCodeInfo{ kOutcomeUnknown,
                  "outcome_unknown",
                  504,
                  5,
                  "The work may have run; ask again with the same key." },
  ResultCodeInfo{ kDraining,
                  "draining",
                  503,
                  1,
                  "The process is stopping and takes no new work." },
  ResultCodeInfo{ kCancelled,
                  "cancelled",
                  499,
                  0,
                  "The caller left or the work was cancelled." },
  ResultCodeInfo{ kRevoked,
                  "revoked",
                  409,
                  1,
                  "This attempt was revoked before it started." },
  ResultCodeInfo{ kHolderSealed,
                  "holder_sealed",
                  503,
                  1,
                  "The router's ledger was sealed by a recovery." },
  ResultCodeInfo{ kJournalUnavailable,
                  "journal_unavailable",
                  503,
                  5,
                  "A call that may not repeat cannot be journaled now." },
  ResultCodeInfo{ kJournalFull,
                  "journal_full",
                  503,
                  60,
                  "The journal slot is at its bound." },
  ResultCodeInfo{ kDeadlineExceeded,
                  "deadline_exceeded",
                  504,
                  1,
                  "The work did not start in time." },
  ResultCodeInfo{ kPromptQuarantined,
                  "prompt_quarantined",
                  503,
                  30,
                  "Upstreams crash on a part of the prompt; it is tried again "
                  "rarely." },
  ResultCodeInfo{ kConfigConflict,
                  "config_conflict",
                  409,
                  0,
                  "Another change was accepted first." },
  ResultCodeInfo{ kConfigInvalid,
                  "config_invalid",
                  422,
                  0,
                  "The configuration does not pass its checks." },
  ResultCodeInfo{ kPlatformUnavailable,
                  "platform_unavailable",
                  503,
                  5,
                  "The key-value service does not answer." },
  ResultCodeInfo{ kNotConfigured,
                  "not_configured",
                  503,
                  2,
                  "No configuration is in force yet." },
  ResultCodeInfo{ kInternal,
                  "internal",
                  500,
                  0,
                  "A fault of the fleet; see the log." },
};

} // namespace

std::span<const ResultCodeInfo>
ResultCodeTable()
{
  return kTable;
}

const ResultCodeInfo&
Describe(ResultCode aCode)
{
  const auto* row =
    std::find_if(kTable.begin(), kTable.end(), [&](const ResultCodeInfo& aRow) {
      return aRow.m_code == aCode;
    });
  return row == kTable.end() ? kTable.back() : *row;
}

std::string_view
RanName(Ran aRan)
{
  switch (aRan) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace bergamotpaddle
