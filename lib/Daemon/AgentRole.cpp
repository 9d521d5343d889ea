#include "bergamotpaddle/Agent/AgentNode.h"
#include "bergamotpaddle/Daemon/ProcessShell.h"
#include "bergamotpaddle/Daemon/Roles.h"
#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr int kLifeIdBytes = 6;
constexpr Duration kHealthInterval = std::chrono::milliseconds(1000);
constexpr Duration kIdlePoll = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds kHealthTimeout{ 2000 };
constexpr int kChecksToChange = 2;

/// An agent's decisions with their shell.
class AgentRole
{
public:
  explicit AgentRole(const ProcessSettings& aSettings)
    : m_settings(aSettings)
    , m_shell(aSettings)
    , m_agent(m_settings.m_upstream.m_name.Str() + "-" +
              RandomHex(kLifeIdBytes))
    , m_journal(
        m_shell.Services().Add<Journal>("journal",
                                        JournalOptions{},
                                        m_agent,
                                        m_shell.KeyValue(),
                                        m_shell.Loop().Timers(),
                                        Journal::WallClock(WallMilliseconds)))
    , m_node(m_shell.Services().Add<AgentNode>(service_name::kDecisions,
                                               MakeOptions(),
                                               m_shell.Loop().Timers(),
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
    m_shell.Loop().Post([this] {
      m_node.Start();
      CheckHealth();
    });
    return m_shell.Run(std::move(hooks));
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
      m_shell.Send(aPeer, aMessage);
    };
    hooks.m_agent.m_start = [this](RunId aRun, const Dispatch& aDispatch) {
      m_client->Start(aRun, aDispatch);
    };
    hooks.m_agent.m_cancel = [this](RunId aRun) { m_client->Cancel(aRun); };
    hooks.m_agent.m_event = m_shell.Events();
    hooks.m_close = [this](PeerId aPeer) {
      m_shell.Services().Find<LinkHub>(service_name::kLinks).Close(aPeer);
    };
    return hooks;
  }

  std::unique_ptr<UpstreamClient> MakeClient()
  {
    HttpClient& http =
      m_shell.Services().Find<HttpClient>(service_name::kHttpClient);
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
    m_shell.Services()
      .Find<HttpClient>(service_name::kHttpClient)
      .Start(call, [this](const HttpReply& aReply) {
        JudgeHealth(aReply.m_status == 200);
        m_shell.Loop().After(kHealthInterval, [this] { CheckHealth(); });
      });
  }

  void JudgeHealth(bool aIsGood)
  {
    m_checksAgainst = aIsGood == m_isHealthy ? 0 : m_checksAgainst + 1;
    if (m_checksAgainst < kChecksToChange) {
      return;
    }
    m_checksAgainst = 0;
    m_isHealthy = aIsGood;
    m_shell.Events()({ aIsGood ? "upstream_healthy" : "upstream_unhealthy",
                       "",
                       "",
                       m_settings.m_upstream.m_name.Str(),
                       "" });
    m_node.SetUpstreamHealthy(aIsGood);
  }

  void StopWhenIdle()
  {
    if (m_node.Core().IsIdle()) {
      m_shell.FinishStop();
      return;
    }
    m_shell.Loop().After(kIdlePoll, [this] { StopWhenIdle(); });
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
  ProcessShell m_shell;
  AgentId m_agent;
  Journal& m_journal;
  AgentNode& m_node;
  std::unique_ptr<UpstreamClient> m_client;
  bool m_isHealthy = true;
  int m_checksAgainst = 0;
};

} // namespace

int
RunAgent(const ProcessSettings& aSettings)
{
  return std::make_unique<AgentRole>(aSettings)->Run();
}

} // namespace bergamotpaddle
