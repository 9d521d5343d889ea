#include "bergamotpaddle/StandIn/Servers.h"

#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 8> kWords{ "linen ", "apron ", "towel ",
                                                  "dock ",  "aisle ", "sign ",
                                                  "label ", "shelf " };
constexpr Duration kLoadReportInterval = std::chrono::milliseconds(1000);
constexpr std::uint64_t kBytesPerToken = 4; ///< Approximate, for prompts.

/// A queued or running request.
struct EngineRequest
{
  std::size_t m_recordIndex = 0;
  HttpResponderPtr m_responder;
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_maxTokens = 0;
  std::uint64_t m_generated = 0; ///< Tokens, including resumed ones.
  std::uint64_t m_seed = 0;
  int m_priority = 0;
};

using EngineRequestPtr = std::shared_ptr<EngineRequest>;

std::uint64_t
CountPromptTokens(const json& aBody)
{
  std::uint64_t bytes = 0;
  for (const json& message : aBody.value("messages", json::array())) {
    bytes += message.value("content", std::string()).size();
  }
  return 1 + bytes / kBytesPerToken;
}

class EngineServer : public StandInServer
{
public:
  EngineServer(EventLoop& aLoop, EngineOptions aOptions)
    : m_loop(&aLoop)
    , m_options(aOptions)
  {
    m_loop->Post([this] { ReportLoad(); });
  }

  void Handle(const HttpRequest& aRequest,
              const HttpResponderPtr& aResponder) override
  {
    const json body = json::parse(aRequest.m_body, nullptr, false);
    if (aRequest.m_path == "/runs") {
      aResponder->SendJson(200, json{ { "runs", m_records } }.dump());
      return;
    }
    if (aRequest.m_path == "/faults") {
      m_slowdown = body.value("slowdown", m_slowdown);
      m_failAfterTokens = body.value("fail_after_tokens", m_failAfterTokens);
      m_isHealthy = body.value("healthy", m_isHealthy);
      m_checksFencing = body.value("checks_fencing", m_checksFencing);
      aResponder->SendJson(200, "{}");
      return;
    }
    if (aRequest.m_path == "/healthz") {
      aResponder->SendJson(m_isHealthy ? 200 : 503, "{}");
      return;
    }
    if (aRequest.m_path == "/load") {
      aResponder->SendJson(200, m_reportedLoad.dump());
      return;
    }
    if (aRequest.m_path == "/orders") {
      HandleOrder(body, aResponder);
      return;
    }
    if (aRequest.m_path == "/v1/chat/completions" && body.is_object()) {
      HandleChat(aRequest, body, aResponder);
      return;
    }
    aResponder->SendJson(404, R"({"error":"no such path"})");
  }

private:
  void HandleOrder(const json& aOrder, const HttpResponderPtr& aResponder)
  {
    const auto fencingToken = aOrder.value("fence", std::uint64_t{ 0 });
    if (m_checksFencing && fencingToken < m_lastFencingToken) {
      aResponder->SendJson(409, R"({"error":"old fencing number"})");
      return;
    }
    m_lastFencingToken = std::max(m_lastFencingToken, fencingToken);
    m_records.push_back({ { "order", aOrder } });
    aResponder->SendJson(200, "{}");
  }

  void HandleChat(const HttpRequest& aRequest,
                  const json& aBody,
                  const HttpResponderPtr& aResponder)
  {
    auto request = std::make_shared<EngineRequest>();
    request->m_responder = aResponder;
    request->m_promptTokens = CountPromptTokens(aBody);
    request->m_maxTokens = aBody.value("max_tokens", std::uint64_t{ 16 });
    request->m_priority = aBody.value("priority", 0);
    request->m_seed = request->m_promptTokens;
    if (aBody.contains("resume")) {
      request->m_generated =
        aBody["resume"].value("tokens", std::uint64_t{ 0 });
    }
    request->m_recordIndex = m_records.size();
    m_records.push_back({ { "request_id", aRequest.Header("x-request-id") },
                          { "account", aRequest.Header("x-account") },
                          { "prompt_tokens", request->m_promptTokens },
                          { "resumed_tokens", request->m_generated },
                          { "completion_tokens", 0 },
                          { "outcome", "waiting" } });
    aResponder->OnClosed([loop = m_loop, this, request] {
      loop->Post([this, request] { Cancel(request); });
    });
    auto position = std::find_if(
      m_queue.begin(), m_queue.end(), [&](const EngineRequestPtr& aOther) {
        return aOther->m_priority < request->m_priority;
      });
    m_queue.insert(position, request);
    StartQueued();
  }

  void StartQueued()
  {
    while (!m_queue.empty() && m_running.size() < m_options.m_slots) {
      EngineRequestPtr request = m_queue.front();
      m_queue.pop_front();
      m_running.insert(request);
      m_records[request->m_recordIndex]["outcome"] = "running";
      request->m_responder->Start(200, "text/event-stream", {});
      m_loop->After(ApplySlowdown(m_options.m_timeToFirstToken),
                    [this, request] { Generate(request); });
    }
  }

  Duration ApplySlowdown(Duration aDuration) const
  {
    return Duration(static_cast<Duration::rep>(
      static_cast<double>(aDuration.count()) * m_slowdown));
  }

  void Generate(const EngineRequestPtr& aRequest)
  {
    if (!m_running.contains(aRequest)) {
      return;
    }
    json& record = m_records[aRequest->m_recordIndex];
    if (m_failAfterTokens >= 0 &&
        record["completion_tokens"].get<int>() >= m_failAfterTokens) {
      aRequest->m_responder->Abort();
      Finish(aRequest, "failed");
      return;
    }
    const std::string_view word =
      kWords[(aRequest->m_seed + aRequest->m_generated) % kWords.size()];
    ++aRequest->m_generated;
    record["completion_tokens"] =
      record["completion_tokens"].get<std::uint64_t>() + 1;
    const bool isLast = aRequest->m_generated >= aRequest->m_maxTokens;
    aRequest->m_responder->Write(Chunk(*aRequest, std::string(word), isLast) +
                                 (isLast ? "data: [DONE]\n\n" : ""));
    if (isLast) {
      aRequest->m_responder->End();
      Finish(aRequest, "done");
      return;
    }
    m_loop->After(ApplySlowdown(m_options.m_tokenInterval),
                  [this, aRequest] { Generate(aRequest); });
  }

  std::string Chunk(const EngineRequest& aRequest,
                    const std::string& aText,
                    bool aIsLast) const
  {
    const auto completed =
      m_records[aRequest.m_recordIndex]["completion_tokens"]
        .get<std::uint64_t>();
    const json chunk = {
      { "choices",
        json::array({ { { "index", 0 },
                        { "delta", { { "content", aText } } },
                        { "finish_reason",
                          aIsLast ? json("length") : json(nullptr) } } }) },
      { "usage",
        { { "prompt_tokens", aRequest.m_promptTokens },
          { "completion_tokens", completed } } }
    };
    return "data: " + chunk.dump() + "\n\n";
  }

  void Cancel(const EngineRequestPtr& aRequest)
  {
    const bool isActive =
      m_running.contains(aRequest) ||
      std::find(m_queue.begin(), m_queue.end(), aRequest) != m_queue.end();
    if (isActive) {
      Finish(aRequest, "cancelled");
    }
  }

  void Finish(const EngineRequestPtr& aRequest, const char* aOutcome)
  {
    m_records[aRequest->m_recordIndex]["outcome"] = aOutcome;
    m_running.erase(aRequest);
    std::erase(m_queue, aRequest);
    StartQueued();
  }

  /// Updates the reported load at intervals only, so that it lags behind the
  /// actual load.
  void ReportLoad()
  {
    m_reportedLoad = { { "running", m_running.size() },
                       { "waiting", m_queue.size() } };
    m_loop->After(kLoadReportInterval, [this] { ReportLoad(); });
  }

  EventLoop* m_loop;
  EngineOptions m_options;
  json m_records = json::array();
  std::deque<EngineRequestPtr> m_queue;
  std::set<EngineRequestPtr> m_running;
  json m_reportedLoad = { { "running", 0 }, { "waiting", 0 } };
  double m_slowdown = 1;
  int m_failAfterTokens = -1;
  bool m_isHealthy = true;
  bool m_checksFencing = true;
  std::uint64_t m_lastFencingToken = 0;
};

} // namespace

std::unique_ptr<StandInServer>
MakeEngineServer(EventLoop& aLoop, EngineOptions aOptions)
{
  return std::make_unique<EngineServer>(aLoop, aOptions);
}

} // namespace bergamotpaddle
