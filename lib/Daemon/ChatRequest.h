/// \file
/// Private to Daemon: parser of the body of a chat completion request.
#pragma once

#include "bergamotpaddle/Config/Configuration.h"

namespace bergamotpaddle {

/// Fields of a chat completion request that the router uses.
struct ChatRequest
{
  std::string m_model;
  bool m_stream = false;
  std::uint64_t m_maxTokens = 0;
  std::uint64_t m_maxPromptTokens =
    0; ///< Upper bound for the prompt with any tokenizer.
  auto operator<=>(const ChatRequest&) const = default;
};

/// Parses and validates a body. Returns `NotFound` if the model is unknown and
/// `InvalidArgument` for any other fault.
absl::StatusOr<ChatRequest>
ParseChatRequest(const std::string& aBody, const Configuration& aConfiguration);

} // namespace bergamotpaddle
