/// \file
/// Numbered result codes: every way in which a request, an order or an
/// operator's command can end. docs/RESULT-CODES.md lists the same table and a
/// test keeps the two alike.
#pragma once

#include <span>
#include <string_view>

namespace bergamotpaddle {

/// A result code. Thousands group the codes by what the reader should look at:
/// 1000 the call itself, 2000 the budget, 3000 the work, 4000 configuration
/// and platform, 5000 the fleet.
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
  kConfigConflict = 4001,
  kConfigInvalid = 4002,
  kPlatformUnavailable = 4003,
  kNotConfigured = 4004,
  kInternal = 5001,
};

/// What is known about whether the work of a request ran.
enum class Ran
{
  kNo,      ///< Proved: the work did not run and will not.
  kYes,     ///< The work ran to an end.
  kUnknown, ///< Neither can be proved.
};

/// One row of the result code table.
struct ResultCodeInfo
{
  ResultCode m_code;
  std::string_view m_name;    ///< As in the JSON error body.
  int m_httpStatus;           ///< Status towards callers.
  int m_retryAfterSeconds;    ///< 0: a retry does not help by itself.
  std::string_view m_meaning; ///< One sentence for operators.
};

/// All rows, ordered by code.
std::span<const ResultCodeInfo>
ResultCodeTable();

/// The row of \p aCode; an unlisted code yields the row of kInternal.
const ResultCodeInfo&
Describe(ResultCode aCode);

/// "no", "yes" or "unknown", as in the JSON error body.
std::string_view
RanName(Ran aRan);

} // namespace bergamotpaddle
