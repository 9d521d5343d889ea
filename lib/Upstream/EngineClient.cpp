#include "bergamotpaddle/Upstream/SseParser.h"
#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kRunTimeout{ 600'000 };
constexpr const char* kDoneMarker = "[DONE]";
/// Output of a run beyond which the engine is faulty: the longest tokens have
/// far fewer bytes, and an event may come ahead of its tokens' count.
constexpr std::uint64_t kMaxBytesPerToken = 256;
constexpr std::uint64_t kMaxUncountedBytes = 64ULL * 1024;
/// Bound of a run's output in tokens for this purpose.
constexpr std::uint64_t kMaxCountedTokens = 1ULL << 20U;

/// The output that an event of a stream adds.
struct EngineEvent
{
  std::string m_text;
  std::string m_finishReason;
  std::optional<std::uint64_t> m_completionTokens;
  std::optional<std::uint64_t> m_promptTokens;
};

/// Returns member \p aName of \p aObject, or null if there is none. Throws
/// `json::exception` if \p aObject is not an object.
const json&
Member(const json& aObject, const char* aName)
{
  static const json kNull;
  const auto& object = aObject.get_ref<const json::object_t&>();
  const auto found = object.find(aName);
  return found == object.end() ? kNull : found->second;
}

std::optional<std::uint64_t>
OptionalCount(const json& aObject, const char* aName)
{
  const json& count = Member(aObject, aName);
  return count.is_null()
           ? std::nullopt
           : std::optional(count.get_ref<const json::number_unsigned_t&>());
}

/// Parses the data of an event; throws `json::exception` if it is malformed.
EngineEvent
ReadEvent(const std::string& aData)
{
  EngineEvent result;
  const json event = json::parse(aData);
  if (const json& usage = Member(event, "usage"); !usage.is_null()) {
    result.m_completionTokens = OptionalCount(usage, "completion_tokens");
    result.m_promptTokens = OptionalCount(usage, "prompt_tokens");
  }
  const json& choices = Member(event, "choices");
  if (choices.is_null() || choices.get_ref<const json::array_t&>().empty()) {
    return result;
  }
  const json& choice = choices.front();
  if (const json& reason = Member(choice, "finish_reason"); !reason.is_null()) {
    result.m_finishReason = reason.get_ref<const std::string&>();
  }
  if (const json& delta = Member(choice, "delta"); !delta.is_null()) {
    if (const json& text = Member(delta, "content"); !text.is_null()) {
      result.m_text = text.get_ref<const std::string&>();
    }
  }
  return result;
}

/// One run at the engine.
struct EngineRun
{
  HttpCallId m_call = 0;
  std::unique_ptr<SseParser> m_parser;
  UpstreamOutcome m_outcome;
  bool m_isDone = false; ///< [DONE] was received.
  bool m_isCancelled = false;
  /// The engine sent what is no output; nothing of it is used any more.
  bool m_isMalformed = false;
  std::uint64_t m_bytesLeft = 0; ///< Output that may still arrive.
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
    run.m_bytesLeft =
      kMaxUncountedBytes +
      std::min(kMaxCountedTokens, aDispatch.m_maxOutput) * kMaxBytesPerToken;
    run.m_parser = std::make_unique<SseParser>(
      [this, aRun](const std::string& aData) { OnEvent(aRun, aData); });
    run.m_call = m_client->Start(
      MakeCall(aDispatch),
      [this, aRun](const HttpReply& aReply) { OnEnd(aRun, aReply); },
      [this, aRun](const std::string& aBytes) {
        auto found = m_runs.find(aRun);
        if (found != m_runs.end() && !found->second.m_parser->Feed(aBytes)) {
          Reject(found->second);
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

  /// Ends a run whose engine sends what is no output.
  void Reject(EngineRun& aRun)
  {
    if (!std::exchange(aRun.m_isMalformed, true)) {
      m_client->Cancel(aRun.m_call);
    }
  }

  void OnEvent(RunId aRun, const std::string& aData)
  {
    EngineRun& run = m_runs.at(aRun);
    if (run.m_isMalformed) {
      return;
    }
    if (aData == kDoneMarker) {
      run.m_isDone = true;
      return;
    }
    EngineEvent event;
    try {
      event = ReadEvent(aData);
    } catch (const json::exception&) {
      // Without this event the output would have a gap.
      Reject(run);
      return;
    }
    if (event.m_text.size() > run.m_bytesLeft) {
      Reject(run);
      return;
    }
    run.m_bytesLeft -= event.m_text.size();
    std::uint64_t newTokens = 0;
    if (event.m_completionTokens) {
      const std::uint64_t completed = *event.m_completionTokens;
      newTokens =
        completed - std::min(completed, run.m_outcome.m_completionTokens);
      run.m_outcome.m_completionTokens = completed;
    }
    run.m_outcome.m_promptTokens =
      event.m_promptTokens.value_or(run.m_outcome.m_promptTokens);
    if (!event.m_finishReason.empty()) {
      run.m_outcome.m_finishReason = event.m_finishReason;
    }
    if (!event.m_text.empty()) {
      m_hooks.m_data(aRun, event.m_text, newTokens);
    }
  }

  void OnEnd(RunId aRun, const HttpReply& aReply)
  {
    auto found = m_runs.find(aRun);
    EngineRun run = std::move(found->second);
    m_runs.erase(found);
    UpstreamOutcome outcome = run.m_outcome;
    const bool isComplete = aReply.m_status == 200 && run.m_isDone &&
                            !run.m_isMalformed &&
                            !outcome.m_finishReason.empty();
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
