/// \file
/// The message properties that request forwarding needs, and the hooks that
/// read and write them. Only the hooks know the field names of a platform.
#pragma once

#include "bergamotpaddle/Scheduling/UpstreamView.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// Header fields in order of receipt, duplicates included.
using FieldList = std::vector<std::pair<std::string, std::string>>;

/// A request as received, with its framing validated and removed.
struct WireRequest
{
  std::string m_method;
  std::string m_target;
  FieldList m_fields;
  std::string m_body;
};

/// A request as interpreted by the router.
struct CallerRequest
{
  std::string m_host;
  std::string m_attemptId; ///< Identifies one attempt; a retry has a new one.
  std::optional<Duration> m_timeLimit; ///< How long the caller waits.
  std::optional<std::string> m_apiKey;
  std::vector<PromptPart> m_parts; ///< Parts of the prompt, in order.
  bool m_hasTokenUsage = false;
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_maxOutputTokens = 0;
  std::string m_lastEventId;   ///< A stream resumes after this event.
  FieldList m_forwardedFields; ///< Sent to upstreams unchanged.
};

/// Properties that the router adds to a request to an upstream.
struct UpstreamCall
{
  UpstreamId m_expected; ///< Any other upstream rejects the request.
  std::optional<AccountId> m_account;
  Duration m_timeLeft{ 0 };             ///< Until the deadline of the request.
  std::optional<int> m_requestPriority; ///< 0 is the most urgent.
  std::string m_lastEventId;
};

/// The head of an upstream's response.
struct UpstreamResponse
{
  int m_status = 0;
  std::string m_reason;
  /// As echoed; empty if absent, a list if there are different ids.
  std::string m_attemptId;
  bool m_isSealed = false; ///< Carries the upstream's signature.
  /// States that the request of m_attemptId did not run.
  bool m_isProvedNotRun = false;
  /// Has a content coding, so it is not the body that the upstream made.
  bool m_isEncoded = false;
  bool m_isEventStream = false;
  std::optional<ReportedLoad> m_load;
  UpstreamNotice m_notice;
  /// How long the upstream stays cold; absent if it does not say.
  std::optional<Duration> m_coldLeft;
  FieldList m_forwardedFields; ///< Sent to callers unchanged.
};

/// Hooks that read and write the header fields of one platform.
struct WireDialect
{
  std::function<CallerRequest(const WireRequest&)> m_readRequest;
  std::function<FieldList(const UpstreamCall&)> m_writeCall;
  std::function<
    UpstreamResponse(int aStatus, const std::string& aReason, const FieldList&)>
    m_readResponse;
};

/// Returns \p aFields without the hop-by-hop fields, the fields that
/// `Connection` lists, and the framing fields, which each hop sets anew.
FieldList
EndToEndFields(const FieldList& aFields);

/// Whether two field names are equal, ignoring case.
bool
IsField(std::string_view aLeft, std::string_view aRight);

/// The first value of the field \p aName, or nullptr.
const std::string*
FindField(const FieldList& aFields, std::string_view aName);

} // namespace bergamotpaddle
