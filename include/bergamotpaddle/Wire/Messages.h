/// \file
/// Messages between the processes of the fleet. docs/PROTOCOL.md specifies who
/// sends which message and when. Lengths and offsets are in bytes, amounts in
/// tokens.
#pragma once

#include "bergamotpaddle/Support/ResultCode.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace bergamotpaddle {

/// Role of a process of the fleet.
enum class ProcessRole : int
{
  kRouter = 1,
  kAgent = 2,
};

/// Kind of work that an upstream runs.
enum class WorkKind : int
{
  kChat = 1,
  kServiceCall = 2,
};

/// Number of an attempt, unique within one router incarnation. Claims carry the
/// number of the attempt that they are made for.
using AttemptId = std::uint64_t;

/// First message of each peer on a link; a router sends it again when it starts
/// a new holder.
struct Introduce
{
  std::string m_process;
  ProcessRole m_role = ProcessRole::kRouter;
  std::string m_zone;
  HolderId m_holder;     ///< Set by routers.
  UpstreamId m_upstream; ///< Set by agents.
  AgentId m_agent;       ///< Set by agents.
  auto operator<=>(const Introduce&) const = default;
  MSGPACK_DEFINE(m_process, m_role, m_zone, m_holder, m_upstream, m_agent)
};

/// Sent periodically on every link; a link without heartbeats is considered
/// dead.
struct Heartbeat
{
  std::uint64_t m_configVersion = 0;
  bool m_draining = false;
  bool m_upstreamHealthy = true;
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_load = 0; ///< Load seen by newly arriving short work.
  std::uint64_t m_uptimeMilliseconds = 0; ///< Since the sender's start.
  auto operator<=>(const Heartbeat&) const = default;
  MSGPACK_DEFINE(m_configVersion,
                 m_draining,
                 m_upstreamHealthy,
                 m_running,
                 m_waiting,
                 m_load,
                 m_uptimeMilliseconds)
};

/// Router to a home of a key: requests permission to start the key's request at
/// the upstream m_place.
struct ClaimRequest
{
  AttemptId m_attempt = 0;
  AccountId m_account;
  RequestKey m_key;
  std::string m_fingerprint; ///< Hash of the request's content.
  UpstreamId m_place;
  /// Upstream of the placement to replace: it was proved not to run the
  /// request, or was abandoned without such proof (m_mayHaveRun). Empty if
  /// none is replaced.
  UpstreamId m_replaces;
  /// Generation of that placement; a later one is not replaced.
  std::uint64_t m_replacesGeneration = 0;
  /// The replaced placement was abandoned without proof that it did not run.
  bool m_mayHaveRun = false;
  auto operator<=>(const ClaimRequest&) const = default;
  MSGPACK_DEFINE(m_attempt,
                 m_account,
                 m_key,
                 m_fingerprint,
                 m_place,
                 m_replaces,
                 m_replacesGeneration,
                 m_mayHaveRun)
};

/// How a home resolved a claim.
enum class ClaimVerdict : int
{
  kGranted = 1,  ///< The claim decided the placement: start at m_place.
  kPlaced = 2,   ///< Another claim decided it: attach at m_place.
  kMismatch = 3, ///< The key belongs to a request with different content.
};

/// Reply to a ClaimRequest.
struct ClaimReply
{
  AttemptId m_attempt = 0;
  ClaimVerdict m_verdict = ClaimVerdict::kGranted;
  UpstreamId m_place;
  std::uint64_t m_generation = 0; ///< Incremented when the key is moved.
  /// An earlier placement was abandoned without proof that it did not run.
  bool m_mayHaveRun = false;
  auto operator<=>(const ClaimReply&) const = default;
  MSGPACK_DEFINE(m_attempt, m_verdict, m_place, m_generation, m_mayHaveRun)
};

/// Router to agent: run this work. The agent replies with Accepted or Refused.
struct Dispatch
{
  AttemptId m_attempt = 0;
  HolderId m_holder;
  AccountId m_account;
  RequestKey m_key;
  std::string m_fingerprint;
  std::uint64_t m_generation =
    0; ///< Of the placement; earlier ones may be revoked.
  WorkKind m_kind = WorkKind::kChat;
  std::string m_target; ///< Name of the model or service.
  std::string m_method; ///< Of a service call.
  std::string m_path;   ///< Of a service call.
  std::string m_body;
  std::string m_contentType;
  std::uint64_t m_allotment = 0; ///< The charge never exceeds it.
  std::uint64_t m_fixedCost = 0; ///< Charge of a service call.
  std::uint64_t m_maxOutput = 0; ///< Limit on generated tokens.
  std::uint32_t m_weight =
    1; ///< Relative share of the upstream under contention.
  bool m_repeatable = true;
  bool m_hasCallerKey =
    false;                  ///< The caller chose the key and may retry with it.
  std::string m_resumeText; ///< Output that the caller has received already.
  std::uint64_t m_resumeTokens = 0;
  auto operator<=>(const Dispatch&) const = default;
  MSGPACK_DEFINE(m_attempt,
                 m_holder,
                 m_account,
                 m_key,
                 m_fingerprint,
                 m_generation,
                 m_kind,
                 m_target,
                 m_method,
                 m_path,
                 m_body,
                 m_contentType,
                 m_allotment,
                 m_fixedCost,
                 m_maxOutput,
                 m_weight,
                 m_repeatable,
                 m_hasCallerKey,
                 m_resumeText,
                 m_resumeTokens)
};

/// Router to agent: send the key's response from m_offset on. An agent that has
/// no record of the key revokes it: from then on no dispatch of this generation
/// or an earlier one may start it.
struct Attach
{
  AttemptId m_attempt = 0;
  AccountId m_account;
  RequestKey m_key;
  std::uint64_t m_generation = 0;
  std::uint64_t m_offset = 0;
  /// The agent may wait for the dispatch, which another router may have in
  /// flight.
  bool m_mayWait = false;
  auto operator<=>(const Attach&) const = default;
  MSGPACK_DEFINE(m_attempt, m_account, m_key, m_generation, m_offset, m_mayWait)
};

/// Router to agent: the response of this attempt is no longer needed.
struct Cancel
{
  AttemptId m_attempt = 0;
  auto operator<=>(const Cancel&) const = default;
  MSGPACK_DEFINE(m_attempt)
};

/// Agent to router: the work of the attempt is queued, runs or has run here. If
/// m_isJoined, the attempt reads a run that is charged to another attempt.
struct Accepted
{
  AttemptId m_attempt = 0;
  bool m_isJoined = false;
  std::uint32_t m_load = 0; ///< Load seen by newly arriving short work.
  auto operator<=>(const Accepted&) const = default;
  MSGPACK_DEFINE(m_attempt, m_isJoined, m_load)
};

/// Agent to router: the attempt has not started and never will.
struct Refused
{
  AttemptId m_attempt = 0;
  ResultCode m_code = ResultCode::kOverloaded;
  auto operator<=>(const Refused&) const = default;
  MSGPACK_DEFINE(m_attempt, m_code)
};

/// Agent to router: a chunk of a response.
struct ResponseData
{
  AttemptId m_attempt = 0;
  std::uint64_t m_offset = 0; ///< Of m_bytes in the response.
  std::string m_bytes;
  std::uint64_t m_tokens = 0; ///< Of the response up to the end of m_bytes.
  std::uint32_t m_load = 0;   ///< Load seen by newly arriving short work.
  auto operator<=>(const ResponseData&) const = default;
  MSGPACK_DEFINE(m_attempt, m_offset, m_bytes, m_tokens, m_load)
};

/// Agent to router: the response is complete, or has failed and will not
/// continue.
struct ResponseEnd
{
  AttemptId m_attempt = 0;
  ResultCode m_code = ResultCode::kOk;
  Ran m_ran = Ran::kYes;
  int m_httpStatus = 200;     ///< Of a service call.
  std::string m_contentType;  ///< Of a service call.
  std::uint64_t m_length = 0; ///< Of the complete response.
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_completionTokens = 0;
  std::string m_finishReason;
  std::uint32_t m_load = 0; ///< Load seen by newly arriving short work.
  auto operator<=>(const ResponseEnd&) const = default;
  MSGPACK_DEFINE(m_attempt,
                 m_code,
                 m_ran,
                 m_httpStatus,
                 m_contentType,
                 m_length,
                 m_promptTokens,
                 m_completionTokens,
                 m_finishReason,
                 m_load)
};

/// Agent to the holder's router: the next charge to that holder at this agent.
struct Charge
{
  HolderId m_holder;
  AgentId m_agent;
  std::uint64_t m_sequence = 0; ///< 1, 2, 3, ... per holder and agent.
  AccountId m_account;
  AttemptId m_attempt = 0;
  RequestKey m_key;
  std::uint64_t m_tokens = 0;
  auto operator<=>(const Charge&) const = default;
  MSGPACK_DEFINE(m_holder,
                 m_agent,
                 m_sequence,
                 m_account,
                 m_attempt,
                 m_key,
                 m_tokens)
};

/// Router to agent: the charges up to m_throughSequence are durable and may be
/// discarded.
struct Settled
{
  HolderId m_holder;
  AgentId m_agent;
  std::uint64_t m_throughSequence = 0;
  auto operator<=>(const Settled&) const = default;
  MSGPACK_DEFINE(m_holder, m_agent, m_throughSequence)
};

/// Recovering router to agent: start no more work for this holder.
struct SealRequest
{
  HolderId m_holder;
  auto operator<=>(const SealRequest&) const = default;
  MSGPACK_DEFINE(m_holder)
};

/// Agent to recovering router: the holder is sealed; lists its unsettled
/// charges and its work in flight.
struct SealReply
{
  HolderId m_holder;
  AgentId m_agent;
  UpstreamId m_upstream;
  std::uint64_t m_lastSequence = 0;
  std::vector<Charge> m_unsettled;
  std::vector<AccountId>
    m_running; ///< Accounts with work of the holder in flight.
  auto operator<=>(const SealReply&) const = default;
  MSGPACK_DEFINE(m_holder,
                 m_agent,
                 m_upstream,
                 m_lastSequence,
                 m_unsettled,
                 m_running)
};

/// To a peer with an older configuration: the one in force at the sender.
struct ConfigOffer
{
  std::uint64_t m_version = 0;
  std::string m_document; ///< The value of `config/current`.
  auto operator<=>(const ConfigOffer&) const = default;
  MSGPACK_DEFINE(m_version, m_document)
};

/// Router to router: return the account's unused tokens.
struct CreditRequest
{
  std::uint64_t m_correlationId = 0;
  AccountId m_account;
  std::uint64_t m_tokens = 0;
  auto operator<=>(const CreditRequest&) const = default;
  MSGPACK_DEFINE(m_correlationId, m_account, m_tokens)
};

/// Reply to a CreditRequest, sent after the return is in the key-value service.
struct CreditReply
{
  std::uint64_t m_correlationId = 0;
  AccountId m_account;
  bool m_returned = false;
  auto operator<=>(const CreditReply&) const = default;
  MSGPACK_DEFINE(m_correlationId, m_account, m_returned)
};

/// Operation at the key-value service that one router performs for another.
enum class KeyValueOperation : int
{
  kGet = 1,
  kCompareAndSwap = 2,
  kKeepAlive = 3,
};

/// Router to router: perform an operation at the key-value service, which the
/// sender does not reach.
struct KeyValueRequest
{
  std::uint64_t m_correlationId = 0;
  KeyValueOperation m_operation = KeyValueOperation::kGet;
  std::string m_key;
  std::uint64_t m_revision = 0;
  bool m_hasValue = false; ///< A compare-and-swap without a value removes
                           ///< the key.
  std::string m_value;
  std::int64_t m_timeToLiveMicros = 0; ///< Of a lease.
  auto operator<=>(const KeyValueRequest&) const = default;
  MSGPACK_DEFINE(m_correlationId,
                 m_operation,
                 m_key,
                 m_revision,
                 m_hasValue,
                 m_value,
                 m_timeToLiveMicros)
};

/// Outcome of the operation of a KeyValueRequest.
enum class KeyValueOutcome : int
{
  kDone = 1,
  kConflict = 2,   ///< The key is at another revision: nothing was written.
  kNoResponse = 3, ///< Unknown, as after a direct call without a response.
};

/// Reply to a KeyValueRequest.
struct KeyValueReply
{
  std::uint64_t m_correlationId = 0;
  KeyValueOutcome m_outcome = KeyValueOutcome::kNoResponse;
  std::uint64_t m_revision = 0;
  std::string m_value;
  auto operator<=>(const KeyValueReply&) const = default;
  MSGPACK_DEFINE(m_correlationId, m_outcome, m_revision, m_value)
};

/// The index of an alternative is its number on the wire.
using Message = std::variant<Introduce,
                             Heartbeat,
                             ClaimRequest,
                             ClaimReply,
                             Dispatch,
                             Attach,
                             Cancel,
                             Accepted,
                             Refused,
                             ResponseData,
                             ResponseEnd,
                             Charge,
                             Settled,
                             SealRequest,
                             SealReply,
                             ConfigOffer,
                             CreditRequest,
                             CreditReply,
                             KeyValueRequest,
                             KeyValueReply>;

/// A message with the sender's hybrid logical time.
struct Envelope
{
  std::uint64_t m_logicalTime = 0;
  Message m_message;
  bool operator==(const Envelope&) const = default;
};

/// Encodes \p aEnvelope as a frame.
std::string
Encode(const Envelope& aEnvelope);

/// Decodes the envelope in \p aFrame; InvalidArgument if it holds none, or a
/// message of an unknown kind.
absl::StatusOr<Envelope>
Decode(std::string_view aFrame);

} // namespace bergamotpaddle

MSGPACK_ADD_ENUM(bergamotpaddle::ProcessRole)
MSGPACK_ADD_ENUM(bergamotpaddle::WorkKind)
MSGPACK_ADD_ENUM(bergamotpaddle::ClaimVerdict)
MSGPACK_ADD_ENUM(bergamotpaddle::ResultCode)
MSGPACK_ADD_ENUM(bergamotpaddle::Ran)
MSGPACK_ADD_ENUM(bergamotpaddle::KeyValueOperation)
MSGPACK_ADD_ENUM(bergamotpaddle::KeyValueOutcome)
