/// \file
/// Private to Daemon: writes the answer of a chat completion, whole or as
/// server-sent events.
#pragma once

#include "ChatRequest.h"

#include "bergamotpaddle/Net/HttpServer.h"
#include "bergamotpaddle/Router/RequestTable.h"

namespace bergamotpaddle {

/// Hooks that write to \p aResponder.
CallerHooks
MakeChatHooks(const HttpResponderPtr& aResponder,
              const ChatRequest& aRequest,
              const RequestKey& aKey);

/// The JSON body of a failure. An empty \p aMessage takes the table's meaning.
std::string
FailureJson(ResultCode aCode, Ran aRan, const std::string& aMessage);

} // namespace bergamotpaddle
