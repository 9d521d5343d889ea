#include "bergamotpaddle/StandIn/Servers.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr Duration kDefaultCallTime = std::chrono::milliseconds(20);

class ServiceServer : public StandInServer
{
public:
  explicit ServiceServer(EventLoop& aLoop)
    : m_loop(&aLoop)
  {
  }

  void Handle(const HttpRequest& aRequest,
              const HttpResponderPtr& aResponder) override
  {
    if (aRequest.m_path == "/runs") {
      aResponder->SendJson(200, json{ { "runs", m_records } }.dump());
      return;
    }
    if (aRequest.m_path == "/healthz") {
      aResponder->SendJson(200, "{}");
      return;
    }
    if (aRequest.m_path == "/faults") {
      const json faults = json::parse(aRequest.m_body, nullptr, false);
      m_callTime = std::chrono::milliseconds(faults.value(
        "delay_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(m_callTime)
          .count()));
      m_responsesToDrop = faults.value("lose_answers", m_responsesToDrop);
      aResponder->SendJson(200, "{}");
      return;
    }
    m_loop->After(m_callTime, [this, aRequest, aResponder] {
      PerformCall(aRequest, aResponder);
    });
  }

private:
  void PerformCall(const HttpRequest& aRequest,
                   const HttpResponderPtr& aResponder)
  {
    m_records.push_back(
      { { "path", aRequest.m_path },
        { "idempotency_key", aRequest.Header("idempotency-key") },
        { "account", aRequest.Header("x-account") },
        { "outcome", "done" } });
    if (m_responsesToDrop > 0) {
      --m_responsesToDrop;
      aResponder->Abort();
      return;
    }
    aResponder->SendJson(
      200,
      json{ { "done", aRequest.m_path }, { "run", m_records.size() } }.dump());
  }

  EventLoop* m_loop;
  json m_records = json::array();
  Duration m_callTime = kDefaultCallTime;
  int m_responsesToDrop = 0;
};

class HostListServer : public StandInServer
{
public:
  explicit HostListServer(EventLoop& aLoop)
    : m_loop(&aLoop)
  {
  }

  void Handle(const HttpRequest& aRequest,
              const HttpResponderPtr& aResponder) override
  {
    if (aRequest.m_path == "/faults") {
      const json faults = json::parse(aRequest.m_body, nullptr, false);
      m_lag = std::chrono::milliseconds(faults.value("lag_ms", 0));
      aResponder->SendJson(200, "{}");
      return;
    }
    if (aRequest.m_method == "POST") {
      const json list = json::parse(aRequest.m_body, nullptr, false);
      m_loop->After(m_lag, [this, list] { m_list = list; });
      aResponder->SendJson(200, "{}");
      return;
    }
    aResponder->SendJson(200, m_list.dump());
  }

private:
  EventLoop* m_loop;
  json m_list = { { "live", json::array() }, { "leaving", json::array() } };
  Duration m_lag{ 0 }; ///< Delay until a posted list is served.
};

} // namespace

std::unique_ptr<StandInServer>
MakeServiceServer(EventLoop& aLoop)
{
  return std::make_unique<ServiceServer>(aLoop);
}

std::unique_ptr<StandInServer>
MakeHostListServer(EventLoop& aLoop)
{
  return std::make_unique<HostListServer>(aLoop);
}

} // namespace bergamotpaddle
