#include "bergamotpaddle/Daemon/CallerApi.h"
#include "bergamotpaddle/Daemon/ProcessRuntime.h"
#include "bergamotpaddle/Daemon/Roles.h"

#include "bergamotpaddle/Support/Hash.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// Random bytes in the IDs of incarnations and holders.
constexpr int kRandomIdBytes = 6;
/// Time from a stop request until new requests are refused; it lets the load
/// balancer in front notice the failing /readyz first.
constexpr Duration kRefusalDelay = std::chrono::milliseconds(1500);
constexpr Duration kHostListInterval = std::chrono::seconds(2);

json
AgentJson(const UpstreamId& aId, const AgentView& aAgent, bool aIsSlow)
{
  return { { "upstream", aId.Str() },
           { "pool", aAgent.m_config.m_pool },
           { "zone", aAgent.m_config.m_zone },
           { "up", aAgent.m_isUp },
           { "takes_work", aAgent.CanAcceptWork() },
           { "draining",
             aAgent.m_heartbeat.m_draining || aAgent.m_config.m_isDrained ||
               aAgent.m_leaving },
           { "healthy", aAgent.m_heartbeat.m_upstreamHealthy },
           { "slow", aIsSlow },
           { "outstanding", aAgent.m_outstanding },
           { "running", aAgent.m_heartbeat.m_running },
           { "waiting", aAgent.m_heartbeat.m_waiting },
           { "config_version", aAgent.m_heartbeat.m_configVersion } };
}

/// Connects a router's decision logic to the runtime and the caller API.
class RouterRole
{
public:
  explicit RouterRole(const ProcessSettings& aSettings)
    : m_settings(aSettings)
    , m_runtime(aSettings)
    , m_incarnationId(RandomHex(kRandomIdBytes))
    , m_core(m_runtime.Services().Add<RouterCore>(service_name::kCore,
                                                  MakeOptions(),
                                                  m_runtime.KeyValue(),
                                                  m_runtime.Loop().Timers(),
                                                  MakeHooks()))
    , m_callerApi(m_runtime.Services().Add<CallerApi>(
        service_name::kCallerApi,
        m_core,
        m_settings.m_name + "-" + m_incarnationId,
        [this](std::function<void()> aTask) {
          m_runtime.Loop().Post(std::move(aTask));
        }))
  {
  }

  int Run()
  {
    RoleHooks hooks;
    hooks.m_opened = [this](LinkId aLink) { m_core.OnOpened(aLink); };
    hooks.m_message = [this](LinkId aLink, const Message& aMessage) {
      m_core.OnMessage(aLink, aMessage);
    };
    hooks.m_closed = [this](LinkId aLink) { m_core.OnClosed(aLink); };
    hooks.m_request = [this](const HttpRequest& aRequest,
                             const HttpResponderPtr& aResponder) {
      m_callerApi.Handle(aRequest, aResponder);
    };
    hooks.m_metrics = [this](MetricsText& aMetrics) { Metrics(aMetrics); };
    hooks.m_statusJson = [this] { return Status(); };
    hooks.m_isReady = [this] { return m_core.Current().m_version > 0; };
    hooks.m_stop = [this] { Stop(); };
    m_runtime.Loop().Post([this] {
      m_core.Start();
      PollHostList();
    });
    return m_runtime.Run(std::move(hooks));
  }

private:
  RouterOptions MakeOptions() const
  {
    RouterOptions options;
    options.m_process = m_settings.m_name;
    options.m_zone = m_settings.m_zone;
    options.m_balancer.m_zone = m_settings.m_zone;
    options.m_seed = m_settings.m_seed != 0 ? m_settings.m_seed
                                            : PlacementHash(m_incarnationId);
    options.m_peerAddresses = m_settings.m_peers;
    return options;
  }

  RouterHooks MakeHooks()
  {
    LinkHub& links = m_runtime.Services().Find<LinkHub>(service_name::kLinks);
    RouterHooks hooks;
    hooks.m_send = [this](PeerId aPeer, const Message& aMessage) {
      return m_runtime.Send(aPeer, aMessage);
    };
    hooks.m_dial = [&links](const std::string& aAddress) {
      return links.Dial(aAddress);
    };
    hooks.m_close = [&links](PeerId aPeer) { links.Close(aPeer); };
    hooks.m_newHolder = [this] {
      return HolderId(m_settings.m_name + "-" + RandomHex(kRandomIdBytes));
    };
    hooks.m_event = m_runtime.Events();
    return hooks;
  }

  void PollHostList()
  {
    if (m_settings.m_hostList.empty()) {
      return;
    }
    HttpCall call;
    call.m_url = m_settings.m_hostList;
    m_runtime.Services()
      .Find<HttpClient>(service_name::kHttpClient)
      .Start(call, [this](const HttpReply& aReply) {
        const json list = json::parse(aReply.m_body, nullptr, false);
        if (aReply.m_status == 200 && list.is_object() &&
            list.contains("leaving") && list["leaving"].is_array()) {
          std::set<UpstreamId> leaving;
          for (const json& name : list["leaving"]) {
            leaving.insert(
              UpstreamId(name.is_string() ? name.get<std::string>() : ""));
          }
          m_core.SetLeaving(leaving);
        }
        m_runtime.Loop().After(kHostListInterval, [this] { PollHostList(); });
      });
  }

  void Stop()
  {
    m_core.SetStopping();
    m_runtime.Loop().After(kRefusalDelay, [this] {
      m_callerApi.SetRefusing();
      m_core.Retire(RetireLimits::Within(m_settings.m_stopGrace, kRefusalDelay),
                    [this](bool aIsComplete) { OnRetired(aIsComplete); });
    });
  }

  void OnRetired(bool aIsComplete)
  {
    if (!aIsComplete) {
      m_runtime.Services()
        .Find<Log>(service_name::kLog)
        .Write(
          LogLevel::kWarn,
          "stop_incomplete",
          { { "holder", m_core.CurrentLedger().Holder().Str() },
            { "unsettled",
              std::to_string(m_core.CurrentLedger().OutstandingAttempts()) } });
    }
    m_runtime.FinishStop();
  }

  std::string Status() const
  {
    json agents = json::array();
    for (const auto& [id, agent] : m_core.Directory().Agents()) {
      agents.push_back(AgentJson(id, agent, IsSlow(agent)));
    }
    json accounts = json::array();
    for (const LedgerAccountSummary& account :
         m_core.CurrentLedger().Accounts()) {
      accounts.push_back({ { "account", account.m_account.Str() },
                           { "drawn", account.m_drawn },
                           { "allotted", account.m_allotted },
                           { "charged", account.m_charged } });
    }
    json versions = json::array();
    for (const ProcessVersion& version : m_core.Versions()) {
      versions.push_back(
        { { "process", version.m_process }, { "version", version.m_version } });
    }
    return json{
      { "process", m_settings.m_name },
      { "role", "router" },
      { "zone", m_settings.m_zone },
      { "holder", m_core.CurrentLedger().Holder().Str() },
      { "stopping", m_core.IsStopping() },
      { "config_version", m_core.Current().m_version },
      { "config_change", m_core.Current().m_changeId },
      { "requests_under_way", m_core.Requests().InFlight() },
      { "open_attempts", m_core.Requests().OpenAttempts() },
      { "recoveries_under_way", m_core.RecoveriesInProgress() },
      { "versions", versions },
      { "agents", agents },
      { "accounts", accounts }
    }.dump();
  }

  bool IsSlow(const AgentView& aAgent) const
  {
    auto pool = m_core.Current().m_pools.find(aAgent.m_config.m_pool);
    return pool != m_core.Current().m_pools.end() &&
           m_core.CurrentBalancer().IsSlow(
             m_core.Directory(), pool->second, aAgent);
  }

  void Metrics(MetricsText& aMetrics) const
  {
    const RequestCounters& counters = m_core.Requests().Counters();
    aMetrics.Family("requests_total", "counter", "Requests by how they stand.")
      .Sample(static_cast<double>(counters.m_started), { { "state", "begun" } })
      .Sample(static_cast<double>(counters.m_completed),
              { { "state", "completed" } })
      .Sample(static_cast<double>(counters.m_failed),
              { { "state", "failed" } });
    aMetrics.SingleSample("retries_total",
                          "counter",
                          "Attempts after the first.",
                          static_cast<double>(counters.m_retries));
    aMetrics.SingleSample("resumed_total",
                          "counter",
                          "Requests carried on after an agent was lost.",
                          static_cast<double>(counters.m_resumed));
    aMetrics.SingleSample(
      "stale_frames_total",
      "counter",
      "Frames that were late, crossed or repeated, and dropped.",
      static_cast<double>(counters.m_staleFrames));
    aMetrics.SingleSample("requests_under_way",
                          "gauge",
                          "Requests under way.",
                          static_cast<double>(m_core.Requests().InFlight()));
    aMetrics.SingleSample("config_version",
                          "gauge",
                          "Configuration in force.",
                          static_cast<double>(m_core.Current().m_version));
    aMetrics.SingleSample("recoveries_under_way",
                          "gauge",
                          "Ledgers under recovery.",
                          static_cast<double>(m_core.RecoveriesInProgress()));
  }

  ProcessSettings m_settings;
  ProcessRuntime m_runtime;
  std::string m_incarnationId;
  RouterCore& m_core;
  CallerApi& m_callerApi;
};

} // namespace

int
RunRouter(const ProcessSettings& aSettings)
{
  return std::make_unique<RouterRole>(aSettings)->Run();
}

} // namespace bergamotpaddle
