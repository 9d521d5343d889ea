/// \file
/// Numbered result codes for every outcome of a request, an order or an
/// operator's command. docs/RESULT-CODES.md contains the same table, and a test
/// checks that both agree.
#pragma once

#include <span>
#include <string_view>

namespace bergamotpaddle {

/// A result code. The thousands digit names the area in which to look for the
/// cause: 1000 the call itself, 2000 the budget, 3000 the work, 4000
/// configuration and platform, 5000 the fleet.
enum class ResultCode : int
{
  kOk = 0,
  kMalformedRequest = 1001,
  kUnauthorized = 1002,
  kUnknownModel = 1003,
  kUnknownService = 1004,
  kBodyTooLarge = 1005,
  kIdempotencyKeyRequired = 1006,
  kUnknownRoute = 1007,
  kForbidden = 1008,
  kInvalidHeader = 1009,
  kKeyReused = 1010,
  kBudgetExhausted = 2001,
  kCreditUnreachable = 2002,
  kOverloaded = 3001,
  kNoUpstream = 3002,
  kUpstreamFailed = 3003,
  kOutcomeUnknown = 3004,
  kDraining = 3005,
  kCancelled = 3006,
  kRevoked = 3007,
  kHolderSealed = 3008,
  kJournalUnavailable = 3009,
  kJournalFull = 3010,
  kDeadlineExceeded = 3011,
  kPromptQuarantined = 3012,
  kConfigConflict = 4001,
  kConfigInvalid = 4002,
  kPlatformUnavailable = 4003,
  kNotConfigured = 4004,
  kInternal = 5001,
};

/// Whether the work of a request ran, as far as this is proved.
enum class Ran
{
  kNo,      ///< The work did not run and will not run.
  kYes,     ///< The work ran to its end.
  kUnknown, ///< Neither is proved.
};

/// One row of the result code table.
struct ResultCodeInfo
{
  ResultCode m_code;
  std::string_view m_name;    ///< Name in the JSON error body.
  int m_httpStatus;           ///< HTTP status sent to callers.
  int m_retryAfterSeconds;    ///< 0: a retry alone does not help.
  std::string_view m_meaning; ///< One sentence for operators and callers.
};

/// Returns all rows, ordered by code.
std::span<const ResultCodeInfo>
ResultCodeTable();

/// Returns the row of \p aCode, or the row of kInternal if the code is not
/// listed.
const ResultCodeInfo&
Describe(ResultCode aCode);

/// Returns "no", "yes" or "unknown", the values in the JSON error body.
std::string_view
RanName(Ran aRan);

} // namespace bergamotpaddle
