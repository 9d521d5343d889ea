#include "ChatRequest.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// Tokens that an engine may add to each message.
constexpr std::uint64_t kMessageOverheadTokens = 8;

absl::StatusOr<std::uint64_t>
MaxPromptTokens(const json& aMessages)
{
  std::uint64_t bound = 0;
  for (const json& message : aMessages) {
    const bool isWellFormed = message.is_object() && message.contains("role") &&
                              message["role"].is_string() &&
                              message.contains("content") &&
                              message["content"].is_string();
    if (!isWellFormed) {
      return absl::InvalidArgumentError(
        "each of messages needs a role and a content, both strings");
    }
    // A token covers at least one byte, so lengths in bytes bound the tokens.
    bound += message["content"].get_ref<const std::string&>().size();
    bound += message["role"].get_ref<const std::string&>().size();
    bound += kMessageOverheadTokens;
  }
  return bound;
}

} // namespace

absl::StatusOr<ChatRequest>
ParseChatRequest(const std::string& aBody, const Configuration& aConfiguration)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return absl::InvalidArgumentError("the body must be a JSON object");
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return absl::InvalidArgumentError("model must be a string");
  }
  ChatRequest request;
  request.m_model = body["model"].get<std::string>();
  auto model = aConfiguration.m_models.find(request.m_model);
  if (model == aConfiguration.m_models.end()) {
    return absl::NotFoundError(absl::StrCat(
      "unknown model ", request.m_model, "; GET /v1/models lists them"));
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    return absl::InvalidArgumentError(
      "messages must be a list with at least one message");
  }
  const absl::StatusOr<std::uint64_t> bound = MaxPromptTokens(body["messages"]);
  if (!bound.ok()) {
    return bound.status();
  }
  request.m_maxPromptTokens = *bound;
  const std::uint64_t modelMaxTokens = model->second.m_maxOutputTokens;
  request.m_maxTokens =
    std::min(aConfiguration.m_limits.m_defaultOutputTokens, modelMaxTokens);
  if (body.contains("max_tokens")) {
    const bool isAllowed =
      body["max_tokens"].is_number_unsigned() &&
      body["max_tokens"].get<std::uint64_t>() >= 1 &&
      body["max_tokens"].get<std::uint64_t>() <= modelMaxTokens;
    if (!isAllowed) {
      return absl::InvalidArgumentError(absl::StrCat(
        "max_tokens must be an integer from 1 to ", modelMaxTokens));
    }
    request.m_maxTokens = body["max_tokens"].get<std::uint64_t>();
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return absl::InvalidArgumentError("stream must be true or false");
  }
  request.m_stream = body.value("stream", false);
  return request;
}

} // namespace bergamotpaddle
