/// \file
/// What the forwarding path needs to know of a message, and the hooks that
/// read it from the wire. Names of fields on the wire stay behind the hooks.
#pragma once

#include "bergamotpaddle/Gateway/UpstreamView.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// Header fields in their order, doubled ones included.
using FieldList = std::vector<std::pair<std::string, std::string>>;

/// A request as it stands on the wire, framing checked and taken off.
struct WireRequest
{
  std::string m_method;
  std::string m_target;
  FieldList m_fields;
  std::string m_body;
};

/// A request as a router understands it.
struct CallerRequest
{
  std::string m_host;
  std::string m_attemptId; ///< Names one try of a caller; new for each try.
  std::optional<Duration> m_timeLimit; ///< How long the caller waits.
  std::optional<std::string> m_apiKey;
  std::vector<PromptPart> m_parts; ///< Of the prompt, in order.
  bool m_hasTokenUsage = false;
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_maxOutputTokens = 0;
  std::string m_lastEventId;   ///< A stream goes on after this event.
  FieldList m_forwardedFields; ///< What upstreams get unchanged.
};

/// What the router adds to a request for an upstream.
struct UpstreamCall
{
  UpstreamId m_expected; ///< Any other upstream rejects the request.
  std::optional<AccountId> m_account;
  Duration m_timeLeft{ 0 };
  std::optional<int> m_requestPriority; ///< 0 is first.
  std::string m_lastEventId;
};

/// The head of an upstream's answer.
struct UpstreamResponse
{
  int m_status = 0;
  std::string m_reason;
  std::string m_attemptId; ///< Echo; empty if there is none.
  bool m_isSealed = false; ///< Bears the upstream's signature.
  bool m_isProvedNotRun = false;
  bool m_isEncoded = false; ///< The body is not what the upstream made.
  bool m_isEventStream = false;
  std::optional<ReportedLoad> m_load;
  FieldList m_forwardedFields; ///< What callers get unchanged.
};

/// Reads and writes the fields of one platform's messages.
struct WireDialect
{
  std::function<CallerRequest(const WireRequest&)> m_readRequest;
  std::function<FieldList(const UpstreamCall&)> m_writeCall;
  std::function<
    UpstreamResponse(int aStatus, const std::string& aReason, const FieldList&)>
    m_readResponse;
};

/// Removes fields that concern one connection only, those that the
/// `Connection` field names, and the framing, which each hop sets anew.
FieldList
EndToEndFields(const FieldList& aFields);

/// Whether two field names are the same; they ignore case.
bool
IsField(std::string_view aLeft, std::string_view aRight);

/// The first value of a field, or nullptr.
const std::string*
FindField(const FieldList& aFields, std::string_view aName);

} // namespace bergamotpaddle
