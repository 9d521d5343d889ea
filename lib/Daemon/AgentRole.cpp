#include "bergamotpaddle/Config/ConfigStore.h"
#include "bergamotpaddle/Daemon/ProcessShell.h"
#include "bergamotpaddle/Daemon/Roles.h"
#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <nlohmann/json.hpp>
#include <set>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr int kLifeIdBytes = 6;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
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
    , m_agent(m_settings.m_upstream.m_name.Str() + "-" + RandomHex(kLifeIdBytes))
    , m_journal(m_shell.Services().Add<Journal>("journal",
                                                JournalOptions{},
                                                m_agent,
                                                m_shell.KeyValue(),
                                                m_shell.Loop().Timers(),
                                                Journal::WallClock(WallMilliseconds)))
    , m_core(m_shell.Services().Add<AgentCore>(service_name::kDecisions,
                                               MakeOptions(),
                                               m_shell.Loop().Timers(),
                                               MakeHooks(),
                                               m_journal))
    , m_client(MakeClient())
  {
    m_config.OnChange([this](const ConfigurationPtr& aConfiguration) { Configure(*aConfiguration); });
  }

  int Run()
  {
    RoleHooks hooks;
    hooks.m_opened = [this](LinkId aLink) { OnOpened(aLink); };
    hooks.m_message = [this](LinkId aLink, const Message& aMessage) { OnMessage(aLink, aMessage); };
    hooks.m_closed = [this](LinkId aLink) {
      m_links.erase(aLink);
      m_core.OnPeerClosed(aLink);
    };
    hooks.m_metrics = [this](MetricsText& aMetrics) { Metrics(aMetrics); };
    hooks.m_statusJson = [this] { return Status(); };
    hooks.m_isReady = [this] { return !m_core.IsDraining() && m_isHealthy; };
    hooks.m_stop = [this] {
      m_core.SetStopping();
      Tell();
      StopWhenIdle();
    };
    m_shell.Loop().Post([this] {
      Beat();
      CheckHealth();
    });
    return m_shell.Run(std::move(hooks));
  }

private:
  AgentOptions MakeOptions() const
  {
    AgentOptions options;
    options.m_upstream = m_settings.m_upstream.m_name;
    options.m_agent = m_agent;
    options.m_zone = m_settings.m_zone;
    return options;
  }

  AgentHooks MakeHooks()
  {
    AgentHooks hooks;
    hooks.m_send = [this](PeerId aPeer, const Message& aMessage) { m_shell.Send(aPeer, aMessage); };
    hooks.m_start = [this](RunId aRun, const Dispatch& aDispatch) { m_client->Start(aRun, aDispatch); };
    hooks.m_cancel = [this](RunId aRun) { m_client->Cancel(aRun); };
    hooks.m_event = m_shell.Events();
    return hooks;
  }

  std::unique_ptr<UpstreamClient> MakeClient()
  {
    HttpClient& http = m_shell.Services().Find<HttpClient>(service_name::kHttpClient);
    UpstreamHooks hooks;
    hooks.m_data = [this](RunId aRun, const std::string& aBytes, std::uint64_t aTokens) {
      m_core.OnUpstreamData(aRun, aBytes, aTokens);
    };
    hooks.m_end = [this](RunId aRun, const UpstreamOutcome& aOutcome) { m_core.OnUpstreamEnd(aRun, aOutcome); };
    const UpstreamSettings& upstream = m_settings.m_upstream;
    return upstream.m_isEngine ? MakeEngineClient(http, upstream.m_url, hooks)
                               : MakeServiceClient(http, upstream.m_url, hooks);
  }

  void OnOpened(LinkId aLink)
  {
    m_links.insert(aLink);
    Introduce introduce;
    introduce.m_process = m_settings.m_name;
    introduce.m_role = ProcessRole::kAgent;
    introduce.m_zone = m_settings.m_zone;
    introduce.m_upstream = m_settings.m_upstream.m_name;
    introduce.m_agent = m_agent;
    m_shell.Send(aLink, introduce);
    m_shell.Send(aLink, m_core.MakeHeartbeat(m_config.Current()->m_version));
  }

  void OnMessage(LinkId aLink, const Message& aMessage)
  {
    if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage)) {
      OfferIfNewer(aLink, *heartbeat);
      return;
    }
    if (const auto* offer = std::get_if<ConfigOffer>(&aMessage)) {
      const absl::Status offered = m_config.Offer(offer->m_document);
      if (!offered.ok()) {
        m_shell.Events()({ "config_rejected", "", "", "", std::string(offered.message()) });
      }
      return;
    }
    m_core.OnMessage(aLink, aMessage);
  }

  void OfferIfNewer(LinkId aLink, const Heartbeat& aHeartbeat)
  {
    const std::uint64_t version = m_config.Current()->m_version;
    if (aHeartbeat.m_configVersion < version) {
      m_shell.Send(aLink, ConfigOffer{ version, m_config.Document() });
    }
  }

  void Configure(const Configuration& aConfiguration)
  {
    m_shell.Events()({ "config_in_force", "", "", "", "version " + std::to_string(aConfiguration.m_version) });
    auto upstream = aConfiguration.m_upstreams.find(m_settings.m_upstream.m_name);
    const bool isKnown = upstream != aConfiguration.m_upstreams.end();
    m_core.SetUpstreamDraining(!isKnown || upstream->second.m_drained);
    if (isKnown) {
      m_core.SetAdmission(aConfiguration.m_pools.at(upstream->second.m_pool).m_admission);
    }
    Tell();
  }

  /// Sends a heartbeat on every link now.
  void Tell()
  {
    const Heartbeat heartbeat = m_core.MakeHeartbeat(m_config.Current()->m_version);
    for (LinkId link : m_links) {
      m_shell.Send(link, heartbeat);
    }
  }

  void Beat()
  {
    Tell();
    m_shell.Loop().After(kHeartbeatInterval, [this] { Beat(); });
  }

  void CheckHealth()
  {
    HttpCall call;
    call.m_url = m_settings.m_upstream.m_url + "/healthz";
    call.m_totalTimeout = kHealthTimeout;
    m_shell.Services().Find<HttpClient>(service_name::kHttpClient).Start(call, [this](const HttpReply& aReply) {
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
    m_shell.Events()(
      { aIsGood ? "upstream_healthy" : "upstream_unhealthy", "", "", m_settings.m_upstream.m_name.Str(), "" });
    m_core.SetUpstreamHealthy(aIsGood);
    Tell();
  }

  void StopWhenIdle()
  {
    if (m_core.IsIdle()) {
      m_shell.FinishStop();
      return;
    }
    m_shell.Loop().After(kIdlePoll, [this] { StopWhenIdle(); });
  }

  std::string Status() const
  {
    const Heartbeat heartbeat = m_core.MakeHeartbeat(m_config.Current()->m_version);
    return json{ { "process", m_settings.m_name },
                 { "role", "agent" },
                 { "zone", m_settings.m_zone },
                 { "upstream", m_settings.m_upstream.m_name.Str() },
                 { "agent", m_agent.Str() },
                 { "config_version", heartbeat.m_configVersion },
                 { "draining", heartbeat.m_draining },
                 { "healthy", heartbeat.m_upstreamHealthy },
                 { "running", heartbeat.m_running },
                 { "waiting", heartbeat.m_waiting } }
      .dump();
  }

  void Metrics(MetricsText& aMetrics) const
  {
    const Heartbeat heartbeat = m_core.MakeHeartbeat(m_config.Current()->m_version);
    aMetrics.Single("running", "gauge", "Runs at the upstream.", heartbeat.m_running);
    aMetrics.Single("waiting", "gauge", "Runs that wait for a slot.", heartbeat.m_waiting);
    aMetrics.Single("upstream_healthy", "gauge", "1 if the health check passes.", m_isHealthy ? 1 : 0);
    aMetrics.Single(
      "config_version", "gauge", "Configuration in force.", static_cast<double>(heartbeat.m_configVersion));
  }

  ProcessSettings m_settings;
  ProcessShell m_shell;
  AgentId m_agent;
  ConfigStore m_config;
  std::set<LinkId> m_links;
  Journal& m_journal;
  AgentCore& m_core;
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
