/// \file
/// The messages between the fleet's own processes. docs/PROTOCOL.md tells who
/// sends which and when. All lengths and offsets are bytes, all amounts tokens.
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

/// What a process of the fleet does.
enum class ProcessRole : int
{
  kRouter = 1,
  kAgent = 2,
};

/// The kinds of work that an upstream runs.
enum class WorkKind : int
{
  kChat = 1,
  kServiceCall = 2,
};

/// Numbers an attempt or a question of one router life.
using AttemptId = std::uint64_t;

/// The first message of each side of a link; sent again when a router starts
/// a new holder.
struct Introduce
{
  std::string m_process;
  ProcessRole m_role = ProcessRole::kRouter;
  std::string m_zone;
  HolderId m_holder;     ///< Of a router.
  UpstreamId m_upstream; ///< Of an agent.
  AgentId m_agent;       ///< Of an agent.
  auto operator<=>(const Introduce&) const = default;
  MSGPACK_DEFINE(m_process, m_role, m_zone, m_holder, m_upstream, m_agent)
};

/// Sent on every link at a steady pace; its absence means that the link is
/// dead.
struct Heartbeat
{
  std::uint64_t m_configVersion = 0;
  bool m_draining = false;
  bool m_upstreamHealthy = true;
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_load = 0;               ///< What short work competes with.
  std::uint64_t m_uptimeMilliseconds = 0; ///< Since the sender started.
  auto operator<=>(const Heartbeat&) const = default;
  MSGPACK_DEFINE(m_configVersion,
                 m_draining,
                 m_upstreamHealthy,
                 m_running,
                 m_waiting,
                 m_load,
                 m_uptimeMilliseconds)
};

/// Router to a key's home: may this key start at \p m_place?
struct ClaimRequest
{
  AttemptId m_attempt = 0;
  AccountId m_account;
  RequestKey m_key;
  std::string m_fingerprint; ///< Hash of the request's content.
  UpstreamId m_place;
  UpstreamId m_replaces; ///< The place that was proved not to run it, or empty.
  std::uint64_t m_replacesGeneration =
    0;                       ///< Of that placement; a later one is not moved.
  bool m_mayHaveRun = false; ///< The replaced place was given up without proof.
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

/// What a home says to a claim.
enum class ClaimVerdict : int
{
  kGranted = 1,  ///< First to ask: start at the place asked for.
  kPlaced = 2,   ///< Placed before: attach at m_place.
  kMismatch = 3, ///< The key names another request.
};

/// Answer to a ClaimRequest.
struct ClaimReply
{
  AttemptId m_attempt = 0;
  ClaimVerdict m_verdict = ClaimVerdict::kGranted;
  UpstreamId m_place;
  std::uint64_t m_generation = 0; ///< Rises each time the key is moved.
  bool m_mayHaveRun = false; ///< An earlier place was given up without proof.
  auto operator<=>(const ClaimReply&) const = default;
  MSGPACK_DEFINE(m_attempt, m_verdict, m_place, m_generation, m_mayHaveRun)
};

/// Router to agent: run this. Answered by Accepted or Refused.
struct Dispatch
{
  AttemptId m_attempt = 0;
  HolderId m_holder;
  AccountId m_account;
  RequestKey m_key;
  std::string m_fingerprint;
  std::uint64_t m_generation =
    0; ///< Of the placement; older ones may be revoked.
  WorkKind m_kind = WorkKind::kChat;
  std::string m_target; ///< Model or service.
  std::string m_method; ///< Of a service call.
  std::string m_path;   ///< Of a service call.
  std::string m_body;
  std::string m_contentType;
  std::uint64_t m_allotment = 0; ///< The charge never exceeds it.
  std::uint64_t m_fixedCost = 0; ///< Charge of a service call.
  std::uint64_t m_maxOutput = 0; ///< Greatest number of generated tokens.
  std::uint32_t m_weight = 1;    ///< Share of the upstream under contention.
  bool m_repeatable = true;
  bool m_hasCallerKey = false; ///< The caller chose the key and may ask again.
  std::string m_resumeText;    ///< Output that the caller holds already.
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

/// Router to agent: send me this key's answer from \p m_offset on. If the agent
/// does not know the key it revokes it: no dispatch of this generation or an
/// earlier one may start it any more.
struct Attach
{
  AttemptId m_attempt = 0;
  AccountId m_account;
  RequestKey m_key;
  std::uint64_t m_generation = 0;
  std::uint64_t m_offset = 0;
  bool m_mayWait = false; ///< Another router's dispatch may be on its way.
  auto operator<=>(const Attach&) const = default;
  MSGPACK_DEFINE(m_attempt, m_account, m_key, m_generation, m_offset, m_mayWait)
};

/// Router to agent: nobody waits for this attempt any more.
struct Cancel
{
  AttemptId m_attempt = 0;
  auto operator<=>(const Cancel&) const = default;
  MSGPACK_DEFINE(m_attempt)
};

/// Agent to router: the attempt runs or has run here; m_isJoined if it reads a
/// run that is charged to another attempt.
struct Accepted
{
  AttemptId m_attempt = 0;
  bool m_isJoined = false;
  std::uint32_t m_load = 0; ///< What short work competes with there.
  auto operator<=>(const Accepted&) const = default;
  MSGPACK_DEFINE(m_attempt, m_isJoined, m_load)
};

/// Agent to router: the attempt did not start and never will.
struct Refused
{
  AttemptId m_attempt = 0;
  ResultCode m_code = ResultCode::kOverloaded;
  auto operator<=>(const Refused&) const = default;
  MSGPACK_DEFINE(m_attempt, m_code)
};

/// Agent to router: a piece of an answer.
struct ResponseData
{
  AttemptId m_attempt = 0;
  std::uint64_t m_offset = 0; ///< Of m_bytes in the whole answer.
  std::string m_bytes;
  std::uint64_t m_tokens = 0; ///< Of the whole answer up to the end of m_bytes.
  std::uint32_t m_load = 0;   ///< What short work competes with there.
  auto operator<=>(const ResponseData&) const = default;
  MSGPACK_DEFINE(m_attempt, m_offset, m_bytes, m_tokens, m_load)
};

/// Agent to router: the answer is whole, or failed for good.
struct ResponseEnd
{
  AttemptId m_attempt = 0;
  ResultCode m_code = ResultCode::kOk;
  Ran m_ran = Ran::kYes;
  int m_httpStatus = 200;     ///< Of a service call.
  std::string m_contentType;  ///< Of a service call.
  std::uint64_t m_length = 0; ///< Of the whole answer.
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_completionTokens = 0;
  std::string m_finishReason;
  std::uint32_t m_load = 0; ///< What short work competes with there.
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

/// Agent to the holder's router: the next charge of that holder here.
struct Charge
{
  HolderId m_holder;
  AgentId m_agent;
  std::uint64_t m_sequence = 0; ///< 1, 2, 3, ... for each holder and agent.
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

/// Router to agent: charges up to here are durable and may be forgotten.
struct Settled
{
  HolderId m_holder;
  AgentId m_agent;
  std::uint64_t m_throughSequence = 0;
  auto operator<=>(const Settled&) const = default;
  MSGPACK_DEFINE(m_holder, m_agent, m_throughSequence)
};

/// Recovering router to agent: start nothing more for this holder.
struct SealRequest
{
  HolderId m_holder;
  auto operator<=>(const SealRequest&) const = default;
  MSGPACK_DEFINE(m_holder)
};

/// Agent to recovering router: sealed; here is what is left of the holder.
struct SealReply
{
  HolderId m_holder;
  AgentId m_agent;
  UpstreamId m_upstream;
  std::uint64_t m_lastSequence = 0;
  std::vector<Charge> m_unsettled;
  std::vector<AccountId>
    m_running; ///< Accounts with work of the holder under way.
  auto operator<=>(const SealReply&) const = default;
  MSGPACK_DEFINE(m_holder,
                 m_agent,
                 m_upstream,
                 m_lastSequence,
                 m_unsettled,
                 m_running)
};

/// To a peer that is behind: the configuration in force here.
struct ConfigOffer
{
  std::uint64_t m_version = 0;
  std::string m_document; ///< The value of `config/current`.
  auto operator<=>(const ConfigOffer&) const = default;
  MSGPACK_DEFINE(m_version, m_document)
};

/// Router to router: return what you can spare of this account.
struct CreditRequest
{
  std::uint64_t m_correlationId = 0;
  AccountId m_account;
  std::uint64_t m_tokens = 0;
  auto operator<=>(const CreditRequest&) const = default;
  MSGPACK_DEFINE(m_correlationId, m_account, m_tokens)
};

/// Answer to a CreditRequest, after the return is in the key-value service.
struct CreditReply
{
  std::uint64_t m_correlationId = 0;
  AccountId m_account;
  bool m_returned = false;
  auto operator<=>(const CreditReply&) const = default;
  MSGPACK_DEFINE(m_correlationId, m_account, m_returned)
};

/// What a router asks another one to do at the key-value service for it.
enum class KeyValueOperation : int
{
  kGet = 1,
  kCompareAndSwap = 2,
  kKeepAlive = 3,
};

/// Router to router: I do not reach the key-value service; do this for me.
struct KeyValueRequest
{
  std::uint64_t m_correlationId = 0;
  KeyValueOperation m_operation = KeyValueOperation::kGet;
  std::string m_key;
  std::uint64_t m_revision = 0;
  bool m_hasValue = false; ///< A compare-and-swap without value removes.
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

/// How an operation asked for by a KeyValueRequest ended.
enum class KeyValueOutcome : int
{
  kDone = 1,
  kConflict = 2,   ///< Another revision: nothing was written.
  kNoResponse = 3, ///< Unclear, as if asked directly.
};

/// Answer to a KeyValueRequest.
struct KeyValueReply
{
  std::uint64_t m_correlationId = 0;
  KeyValueOutcome m_outcome = KeyValueOutcome::kNoResponse;
  std::uint64_t m_revision = 0;
  std::string m_value;
  auto operator<=>(const KeyValueReply&) const = default;
  MSGPACK_DEFINE(m_correlationId, m_outcome, m_revision, m_value)
};

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

/// The frame of \p aEnvelope.
std::string
Encode(const Envelope& aEnvelope);

/// The envelope in \p aFrame; an error if it is not one.
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
