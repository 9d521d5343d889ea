/// \file
/// Private to Daemon: the body of a chat completion request.
#pragma once

#include "bergamotpaddle/Config/Configuration.h"

namespace bergamotpaddle {

/// What the router reads of a chat completion request.
struct ChatRequest
{
  std::string m_model;
  bool m_stream = false;
  std::uint64_t m_maxTokens = 0;
  std::uint64_t m_promptBound =
    0; ///< No tokenizer gives more tokens than this.
  auto operator<=>(const ChatRequest&) const = default;
};

/// Parses and checks a body. `NotFound`: the model; `InvalidArgument`: anything
/// else.
absl::StatusOr<ChatRequest>
ParseChatRequest(const std::string& aBody, const Configuration& aConfiguration);

} // namespace bergamotpaddle
