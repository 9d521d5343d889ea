#include "bergamotpaddle/Upstream/SseParser.h"
#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <map>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kRunTimeout{ 600'000 };
constexpr const char* kDoneMarker = "[DONE]";

/// One run at the engine.
struct EngineRun
{
  HttpCallId m_call = 0;
  std::unique_ptr<SseParser> m_parser;
  UpstreamOutcome m_outcome;
  bool m_isDone = false; ///< [DONE] was received.
  bool m_isCancelled = false;
};

class EngineClient : public UpstreamClient
{
public:
  EngineClient(HttpClient& aClient, std::string aBaseUrl, UpstreamHooks aHooks)
    : m_client(&aClient)
    , m_baseUrl(std::move(aBaseUrl))
    , m_hooks(std::move(aHooks))
  {
  }

  void Start(RunId aRun, const Dispatch& aDispatch) override
  {
    EngineRun& run = m_runs[aRun];
    run.m_parser = std::make_unique<SseParser>(
      [this, aRun](const std::string& aData) { OnEvent(aRun, aData); });
    run.m_call = m_client->Start(
      MakeCall(aDispatch),
      [this, aRun](const HttpReply& aReply) { OnEnd(aRun, aReply); },
      [this, aRun](const std::string& aBytes) {
        auto found = m_runs.find(aRun);
        if (found != m_runs.end()) {
          found->second.m_parser->Feed(aBytes);
        }
      });
  }

  void Cancel(RunId aRun) override
  {
    auto found = m_runs.find(aRun);
    if (found == m_runs.end()) {
      return;
    }
    // The engine stops a run whose connection closes.
    found->second.m_isCancelled = true;
    m_client->Cancel(found->second.m_call);
  }

private:
  HttpCall MakeCall(const Dispatch& aDispatch) const
  {
    json body = json::parse(aDispatch.m_body);
    body["stream"] = true;
    body["max_tokens"] = aDispatch.m_maxOutput;
    if (!aDispatch.m_resumeText.empty()) {
      body["resume"] = { { "text", aDispatch.m_resumeText },
                         { "tokens", aDispatch.m_resumeTokens } };
    }
    HttpCall call;
    call.m_method = "POST";
    call.m_url = m_baseUrl + "/v1/chat/completions";
    call.m_body = body.dump();
    call.m_totalTimeout = kRunTimeout;
    call.m_headers = { { "Content-Type", "application/json" },
                       { "X-Request-Id", aDispatch.m_key.Str() },
                       { "X-Account", aDispatch.m_account.Str() } };
    return call;
  }

  void OnEvent(RunId aRun, const std::string& aData)
  {
    EngineRun& run = m_runs.at(aRun);
    if (aData == kDoneMarker) {
      run.m_isDone = true;
      return;
    }
    const json event = json::parse(aData, nullptr, false);
    if (event.is_discarded() || !event.contains("choices") ||
        event["choices"].empty()) {
      return;
    }
    const json& choice = event["choices"][0];
    std::uint64_t newTokens = 0;
    if (event.contains("usage") && event["usage"].is_object()) {
      const auto completed =
        event["usage"].value("completion_tokens", std::uint64_t{ 0 });
      newTokens =
        completed - std::min(completed, run.m_outcome.m_completionTokens);
      run.m_outcome.m_completionTokens = completed;
      run.m_outcome.m_promptTokens =
        event["usage"].value("prompt_tokens", run.m_outcome.m_promptTokens);
    }
    if (choice.contains("finish_reason") &&
        choice["finish_reason"].is_string()) {
      run.m_outcome.m_finishReason = choice["finish_reason"].get<std::string>();
    }
    const std::string text =
      choice.value("delta", json::object()).value("content", std::string());
    if (!text.empty()) {
      m_hooks.m_data(aRun, text, newTokens);
    }
  }

  void OnEnd(RunId aRun, const HttpReply& aReply)
  {
    auto found = m_runs.find(aRun);
    EngineRun run = std::move(found->second);
    m_runs.erase(found);
    UpstreamOutcome outcome = run.m_outcome;
    const bool isComplete =
      aReply.m_status == 200 && run.m_isDone && !outcome.m_finishReason.empty();
    if (!isComplete) {
      outcome.m_code = run.m_isCancelled ? ResultCode::kCancelled
                                         : ResultCode::kUpstreamFailed;
    }
    if (!isComplete && aReply.m_isUnsent) {
      outcome.m_ran = Ran::kNo;
    }
    m_hooks.m_end(aRun, outcome);
  }

  HttpClient* m_client;
  std::string m_baseUrl;
  UpstreamHooks m_hooks;
  std::map<RunId, EngineRun> m_runs;
};

} // namespace

std::unique_ptr<UpstreamClient>
MakeEngineClient(HttpClient& aClient,
                 std::string aBaseUrl,
                 UpstreamHooks aHooks)
{
  return std::make_unique<EngineClient>(
    aClient, std::move(aBaseUrl), std::move(aHooks));
}

} // namespace bergamotpaddle
