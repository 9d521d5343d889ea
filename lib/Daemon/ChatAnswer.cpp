#include "ChatAnswer.h"

#include "bergamotpaddle/Daemon/CallerApi.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

std::int64_t
SecondsNow()
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

json
Usage(const ResponseEnd& aEnd)
{
  return { { "prompt_tokens", aEnd.m_promptTokens },
           { "completion_tokens", aEnd.m_completionTokens },
           { "total_tokens", aEnd.m_promptTokens + aEnd.m_completionTokens } };
}

/// Shared by the hooks of one answer.
class ChatAnswer
{
public:
  ChatAnswer(HttpResponderPtr aResponder,
             const ChatRequest& aRequest,
             const RequestKey& aKey)
    : m_responder(std::move(aResponder))
    , m_stream(aRequest.m_stream)
    , m_model(aRequest.m_model)
    , m_id("chatcmpl-" + aKey.Str())
    , m_created(SecondsNow())
  {
  }

  void Data(const std::string& aBytes)
  {
    if (!m_stream) {
      m_text += aBytes;
      return;
    }
    EnsureStarted();
    m_responder->Write(Chunk({ { "content", aBytes } }, nullptr, nullptr));
  }

  void End(const ResponseEnd& aEnd)
  {
    if (!m_stream) {
      m_responder->SendJson(200, Dump(Whole(aEnd)));
      return;
    }
    EnsureStarted();
    m_responder->Write(Chunk(json::object(), aEnd.m_finishReason, Usage(aEnd)) +
                       "data: [DONE]\n\n");
    m_responder->End();
  }

  void Fail(const RequestFailure& aFailure)
  {
    if (!m_started) {
      SendFailure(m_responder, aFailure.m_code, aFailure.m_ran);
      return;
    }
    // The status has gone out; the error takes the place of the closing [DONE].
    m_responder->Write(
      "data: " + FailureJson(aFailure.m_code, aFailure.m_ran, "") + "\n\n");
    m_responder->End();
  }

private:
  void EnsureStarted()
  {
    if (m_started) {
      return;
    }
    m_started = true;
    m_responder->Start(
      200, "text/event-stream", { { "Cache-Control", "no-cache" } });
    m_responder->Write(Chunk({ { "role", "assistant" } }, nullptr, nullptr));
  }

  json Envelope(const char* aObject) const
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
    json chunk = Envelope("chat.completion.chunk");
    chunk["choices"] = json::array({ { { "index", 0 },
                                       { "delta", aDelta },
                                       { "finish_reason", aFinishReason } } });
    if (!aUsage.is_null()) {
      chunk["usage"] = aUsage;
    }
    return "data: " + Dump(chunk) + "\n\n";
  }

  json Whole(const ResponseEnd& aEnd) const
  {
    json whole = Envelope("chat.completion");
    whole["choices"] = json::array(
      { { { "index", 0 },
          { "message", { { "role", "assistant" }, { "content", m_text } } },
          { "finish_reason", aEnd.m_finishReason } } });
    whole["usage"] = Usage(aEnd);
    return whole;
  }

  HttpResponderPtr m_responder;
  bool m_stream;
  std::string m_model;
  std::string m_id;
  std::int64_t m_created;
  std::string m_text;
  bool m_started = false;
};

} // namespace

CallerHooks
MakeChatHooks(const HttpResponderPtr& aResponder,
              const ChatRequest& aRequest,
              const RequestKey& aKey)
{
  auto answer = std::make_shared<ChatAnswer>(aResponder, aRequest, aKey);
  return { [answer](const std::string& aBytes) { answer->Data(aBytes); },
           [answer](const ResponseEnd& aEnd) { answer->End(aEnd); },
           [answer](const RequestFailure& aFailure) {
             answer->Fail(aFailure);
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
