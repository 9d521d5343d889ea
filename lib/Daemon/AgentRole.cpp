#include "bergamotpaddle/Agent/AgentNode.h"
#include "bergamotpaddle/Daemon/ProcessRuntime.h"
#include "bergamotpaddle/Daemon/Roles.h"
#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// Random bytes in the ID of an agent incarnation.
constexpr int kRandomIdBytes = 6;
constexpr Duration kHealthInterval = std::chrono::milliseconds(1000);
constexpr Duration kIdlePollInterval = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds kHealthTimeout{ 2000 };
/// Consecutive checks that must contradict the current health to change it.
constexpr int kChecksToChangeHealth = 2;

/// Connects an agent's decision logic to the runtime and the upstream.
class AgentRole
{
public:
  explicit AgentRole(const ProcessSettings& aSettings)
    : m_settings(aSettings)
    , m_runtime(aSettings)
    , m_agent(m_settings.m_upstream.m_name.Str() + "-" +
              RandomHex(kRandomIdBytes))
    , m_journal(m_runtime.Services().Add<Journal>(
        "journal",
        JournalOptions{},
        m_agent,
        m_runtime.KeyValue(),
        m_runtime.Loop().Timers(),
        Journal::WallClock(WallClockMilliseconds)))
    , m_node(m_runtime.Services().Add<AgentNode>(service_name::kCore,
                                                 MakeOptions(),
                                                 m_runtime.Loop().Timers(),
                                                 MakeHooks(),
                                                 m_journal))
    , m_client(MakeClient())
  {
  }

  int Run()
  {
    RoleHooks hooks;
    hooks.m_opened = [this](LinkId aLink) { m_node.OnOpened(aLink); };
    hooks.m_message = [this](LinkId aLink, const Message& aMessage) {
      m_node.OnMessage(aLink, aMessage);
    };
    hooks.m_closed = [this](LinkId aLink) { m_node.OnClosed(aLink); };
    hooks.m_metrics = [this](MetricsText& aMetrics) { Metrics(aMetrics); };
    hooks.m_statusJson = [this] { return Status(); };
    hooks.m_isReady = [this] {
      return !m_node.Core().IsDraining() && m_isHealthy;
    };
    hooks.m_stop = [this] {
      m_node.SetStopping();
      StopWhenIdle();
    };
    m_runtime.Loop().Post([this] {
      m_node.Start();
      CheckHealth();
    });
    return m_runtime.Run(std::move(hooks));
  }

private:
  AgentNodeOptions MakeOptions() const
  {
    AgentNodeOptions options;
    options.m_process = m_settings.m_name;
    options.m_agent.m_upstream = m_settings.m_upstream.m_name;
    options.m_agent.m_agent = m_agent;
    options.m_agent.m_zone = m_settings.m_zone;
    return options;
  }

  AgentNodeHooks MakeHooks()
  {
    AgentNodeHooks hooks;
    hooks.m_agent.m_send = [this](PeerId aPeer, const Message& aMessage) {
      m_runtime.Send(aPeer, aMessage);
    };
    hooks.m_agent.m_start = [this](RunId aRun, const Dispatch& aDispatch) {
      m_client->Start(aRun, aDispatch);
    };
    hooks.m_agent.m_cancel = [this](RunId aRun) { m_client->Cancel(aRun); };
    hooks.m_agent.m_event = m_runtime.Events();
    hooks.m_close = [this](PeerId aPeer) {
      m_runtime.Services().Find<LinkHub>(service_name::kLinks).Close(aPeer);
    };
    return hooks;
  }

  std::unique_ptr<UpstreamClient> MakeClient()
  {
    HttpClient& http =
      m_runtime.Services().Find<HttpClient>(service_name::kHttpClient);
    UpstreamHooks hooks;
    hooks.m_data =
      [this](RunId aRun, const std::string& aBytes, std::uint64_t aTokens) {
        m_node.Core().OnUpstreamData(aRun, aBytes, aTokens);
      };
    hooks.m_end = [this](RunId aRun, const UpstreamOutcome& aOutcome) {
      m_node.Core().OnUpstreamEnd(aRun, aOutcome);
    };
    const UpstreamSettings& upstream = m_settings.m_upstream;
    return upstream.m_isEngine ? MakeEngineClient(http, upstream.m_url, hooks)
                               : MakeServiceClient(http, upstream.m_url, hooks);
  }

  void CheckHealth()
  {
    HttpCall call;
    call.m_url = m_settings.m_upstream.m_url + "/healthz";
    call.m_totalTimeout = kHealthTimeout;
    m_runtime.Services()
      .Find<HttpClient>(service_name::kHttpClient)
      .Start(call, [this](const HttpReply& aReply) {
        OnHealthCheck(aReply.m_status == 200);
        m_runtime.Loop().After(kHealthInterval, [this] { CheckHealth(); });
      });
  }

  void OnHealthCheck(bool aHasPassed)
  {
    m_contraryChecks = aHasPassed == m_isHealthy ? 0 : m_contraryChecks + 1;
    if (m_contraryChecks < kChecksToChangeHealth) {
      return;
    }
    m_contraryChecks = 0;
    m_isHealthy = aHasPassed;
    m_runtime.Events()({ aHasPassed ? "upstream_healthy" : "upstream_unhealthy",
                         "",
                         "",
                         m_settings.m_upstream.m_name.Str(),
                         "" });
    m_node.SetUpstreamHealthy(aHasPassed);
  }

  void StopWhenIdle()
  {
    if (m_node.Core().IsIdle()) {
      m_runtime.FinishStop();
      return;
    }
    m_runtime.Loop().After(kIdlePollInterval, [this] { StopWhenIdle(); });
  }

  std::string Status() const
  {
    const Heartbeat heartbeat = m_node.MakeHeartbeat();
    return json{
      { "process", m_settings.m_name },
      { "role", "agent" },
      { "zone", m_settings.m_zone },
      { "upstream", m_settings.m_upstream.m_name.Str() },
      { "agent", m_agent.Str() },
      { "config_version", heartbeat.m_configVersion },
      { "draining", heartbeat.m_draining },
      { "healthy", heartbeat.m_upstreamHealthy },
      { "running", heartbeat.m_running },
      { "waiting", heartbeat.m_waiting }
    }.dump();
  }

  void Metrics(MetricsText& aMetrics) const
  {
    const Heartbeat heartbeat = m_node.MakeHeartbeat();
    aMetrics.SingleSample(
      "running", "gauge", "Runs at the upstream.", heartbeat.m_running);
    aMetrics.SingleSample(
      "waiting", "gauge", "Runs that wait for a slot.", heartbeat.m_waiting);
    aMetrics.SingleSample("upstream_healthy",
                          "gauge",
                          "1 if the health check passes.",
                          m_isHealthy ? 1 : 0);
    aMetrics.SingleSample("config_version",
                          "gauge",
                          "Configuration in force.",
                          static_cast<double>(heartbeat.m_configVersion));
  }

  ProcessSettings m_settings;
  ProcessRuntime m_runtime;
  AgentId m_agent;
  Journal& m_journal;
  AgentNode& m_node;
  std::unique_ptr<UpstreamClient> m_client;
  bool m_isHealthy = true;
  int m_contraryChecks = 0; ///< Consecutive ones that contradict m_isHealthy.
};

} // namespace

int
RunAgent(const ProcessSettings& aSettings)
{
  return std::make_unique<AgentRole>(aSettings)->Run();
}

} // namespace bergamotpaddle
