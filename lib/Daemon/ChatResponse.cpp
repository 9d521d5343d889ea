#include "ChatResponse.h"

#include "bergamotpaddle/Daemon/CallerApi.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

std::int64_t
UnixSeconds()
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Serializes \p aValue. Invalid UTF-8 is replaced; json::dump() throws on it
/// by default.
std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
UsageJson(const ResponseEnd& aEnd)
{
  return { { "prompt_tokens", aEnd.m_promptTokens },
           { "completion_tokens", aEnd.m_completionTokens },
           { "total_tokens", aEnd.m_promptTokens + aEnd.m_completionTokens } };
}

/// State of one response, shared by its hooks.
class ChatResponse
{
public:
  ChatResponse(HttpResponderPtr aResponder,
               const ChatRequest& aRequest,
               const RequestKey& aKey)
    : m_responder(std::move(aResponder))
    , m_stream(aRequest.m_stream)
    , m_model(aRequest.m_model)
    , m_id("chatcmpl-" + aKey.Str())
    , m_created(UnixSeconds())
  {
  }

  void OnData(const std::string& aBytes)
  {
    if (!m_stream) {
      m_text += aBytes;
      return;
    }
    EnsureStarted();
    m_responder->Write(Chunk({ { "content", aBytes } }, nullptr, nullptr));
  }

  void OnEnd(const ResponseEnd& aEnd)
  {
    if (!m_stream) {
      m_responder->SendJson(200, Dump(Completion(aEnd)));
      return;
    }
    EnsureStarted();
    m_responder->Write(
      Chunk(json::object(), aEnd.m_finishReason, UsageJson(aEnd)) +
      "data: [DONE]\n\n");
    m_responder->End();
  }

  void OnFailure(const RequestFailure& aFailure)
  {
    if (!m_isStarted) {
      SendFailure(m_responder, aFailure.m_code, aFailure.m_ran);
      return;
    }
    // The status has been sent already; the error replaces the final [DONE].
    m_responder->Write(
      "data: " + FailureJson(aFailure.m_code, aFailure.m_ran, "") + "\n\n");
    m_responder->End();
  }

private:
  void EnsureStarted()
  {
    if (m_isStarted) {
      return;
    }
    m_isStarted = true;
    m_responder->Start(
      200, "text/event-stream", { { "Cache-Control", "no-cache" } });
    m_responder->Write(Chunk({ { "role", "assistant" } }, nullptr, nullptr));
  }

  json CommonFields(const char* aObject) const
  {
    return { { "id", m_id },
             { "object", aObject },
             { "created", m_created },
             { "model", m_model } };
  }

  std::string Chunk(const json& aDelta,
                    const json& aFinishReason,
                    const json& aUsage) const
  {
    json chunk = CommonFields("chat.completion.chunk");
    chunk["choices"] = json::array({ { { "index", 0 },
                                       { "delta", aDelta },
                                       { "finish_reason", aFinishReason } } });
    if (!aUsage.is_null()) {
      chunk["usage"] = aUsage;
    }
    return "data: " + Dump(chunk) + "\n\n";
  }

  json Completion(const ResponseEnd& aEnd) const
  {
    json completion = CommonFields("chat.completion");
    completion["choices"] = json::array(
      { { { "index", 0 },
          { "message", { { "role", "assistant" }, { "content", m_text } } },
          { "finish_reason", aEnd.m_finishReason } } });
    completion["usage"] = UsageJson(aEnd);
    return completion;
  }

  HttpResponderPtr m_responder;
  bool m_stream;
  std::string m_model;
  std::string m_id;
  std::int64_t m_created;
  std::string m_text;
  bool m_isStarted = false;
};

} // namespace

CallerHooks
MakeChatHooks(const HttpResponderPtr& aResponder,
              const ChatRequest& aRequest,
              const RequestKey& aKey)
{
  auto response = std::make_shared<ChatResponse>(aResponder, aRequest, aKey);
  return { [response](const std::string& aBytes) { response->OnData(aBytes); },
           [response](const ResponseEnd& aEnd) { response->OnEnd(aEnd); },
           [response](const RequestFailure& aFailure) {
             response->OnFailure(aFailure);
           } };
}

std::string
FailureJson(ResultCode aCode, Ran aRan, const std::string& aMessage)
{
  const ResultCodeInfo& info = Describe(aCode);
  const json body = {
    { "error",
      { { "code", static_cast<int>(aCode) },
        { "name", std::string(info.m_name) },
        { "message",
          aMessage.empty() ? std::string(info.m_meaning) : aMessage },
        { "ran", std::string(RanName(aRan)) } } }
  };
  return Dump(body);
}

} // namespace bergamotpaddle
