/// \file
/// Private to Daemon: writes the response to a chat completion, complete or as
/// server-sent events.
#pragma once

#include "ChatRequest.h"

#include "bergamotpaddle/Net/HttpServer.h"
#include "bergamotpaddle/Router/RequestTable.h"

namespace bergamotpaddle {

/// Hooks that write the response to \p aRequest to \p aResponder. The
/// completion ID is derived from \p aKey.
CallerHooks
MakeChatHooks(const HttpResponderPtr& aResponder,
              const ChatRequest& aRequest,
              const RequestKey& aKey);

/// The JSON error body of a failure. If \p aMessage is empty, the meaning of
/// \p aCode in the result code table is the message.
std::string
FailureJson(ResultCode aCode, Ran aRan, const std::string& aMessage);

} // namespace bergamotpaddle
