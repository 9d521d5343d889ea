#include "bergamotpaddle/Daemon/ProcessShell.h"

#include "bergamotpaddle/Daemon/CallerApi.h"
#include "bergamotpaddle/Support/Hash.h"

#include <csignal>
#include <thread>
#include <unistd.h>

namespace bergamotpaddle {

namespace {

constexpr std::size_t kTimelineEvents = 20'000;
constexpr std::size_t kRequestHeadBytes = 64U << 10U;
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr Duration kFlushBeforeExit = std::chrono::milliseconds(200);
constexpr int kExitListenFailed = 1;
constexpr int kExitSecondSignal = 3;

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

std::uint64_t
WallMilliseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

ProcessShell::ProcessShell(const ProcessSettings& aSettings)
  : m_settings(aSettings)
{
  // Before the first thread, so that all threads inherit it.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  auto executor = [this](std::function<void()> aTask) {
    Loop().Post(std::move(aTask));
  };
  LogicalClock& clock =
    m_kernel.Add<LogicalClock>(service_name::kClock, WallMilliseconds);
  m_kernel.Add<EventRing>(
    service_name::kTimeline, m_settings.m_name, kTimelineEvents, clock);
  m_kernel.Add<Log>(service_name::kLog,
                    m_settings.m_name,
                    ParseLogLevel(m_settings.m_logLevel));
  m_kernel.Add<HttpClient>(service_name::kHttpClient, executor);
  m_kernel.Add<KeyValueCallCounts>(service_name::kKeyValueCounts);
  LinkHooks links;
  links.m_opened = [this](LinkId aLink) { m_role.m_opened(aLink); };
  links.m_received = [this](LinkId aLink, const std::string& aFrame) {
    OnFrame(aLink, aFrame);
  };
  links.m_closed = [this](LinkId aLink) { m_role.m_closed(aLink); };
  m_kernel.Add<LinkHub>(
    service_name::kLinks, m_settings.m_secret, executor, links);
}

ProcessShell::~ProcessShell() = default;

KeyValueHooks
ProcessShell::KeyValue()
{
  return MakeHttpKeyValue(
    m_kernel.Find<HttpClient>(service_name::kHttpClient),
    m_settings.m_kv,
    m_kernel.Find<KeyValueCallCounts>(service_name::kKeyValueCounts));
}

EventHook
ProcessShell::Events()
{
  return [this](const EventFields& aFields) {
    m_kernel.Find<EventRing>(service_name::kTimeline).Add(aFields);
    m_kernel.Find<Log>(service_name::kLog)
      .Write(LogLevel::kDebug,
             aFields.m_name,
             { { "request", aFields.m_request },
               { "account", aFields.m_account },
               { "upstream", aFields.m_upstream },
               { "detail", aFields.m_detail } });
  };
}

bool
ProcessShell::Send(LinkId aLink, const Message& aMessage)
{
  const LogicalTime time =
    m_kernel.Find<LogicalClock>(service_name::kClock).Tick();
  return m_kernel.Find<LinkHub>(service_name::kLinks)
    .Send(aLink, Encode({ time, aMessage }));
}

void
ProcessShell::OnFrame(LinkId aLink, const std::string& aFrame)
{
  const absl::StatusOr<Envelope> envelope = Decode(aFrame);
  if (!envelope.ok()) {
    m_kernel.Find<Log>(service_name::kLog)
      .Write(LogLevel::kWarn,
             "frame_rejected",
             { { "detail", std::string(envelope.status().message()) } });
    return;
  }
  m_kernel.Find<LogicalClock>(service_name::kClock)
    .Receive(envelope->m_logicalTime);
  m_role.m_message(aLink, envelope->m_message);
}

int
ProcessShell::Run(RoleHooks aHooks)
{
  m_role = std::move(aHooks);
  const Log& log = m_kernel.Find<Log>(service_name::kLog);
  const HostPort http = SplitHostPort(m_settings.m_http);
  HttpServerOptions options;
  options.m_address = http.m_address;
  options.m_port = http.m_port;
  options.m_workers = m_settings.m_httpWorkers;
  options.m_maxRequestBytes = kMaxBodyBytes + kRequestHeadBytes;
  m_server = std::make_unique<HttpServer>(
    options, [this](HttpRequest aRequest, HttpResponderPtr aResponder) {
      Loop().Post([this,
                   request = std::move(aRequest),
                   responder = std::move(aResponder)] {
        HandleHttp(request, responder);
      });
    });
  for (const absl::Status& opened :
       { m_kernel.Find<LinkHub>(service_name::kLinks)
           .Listen(m_settings.m_listen),
         m_server->Start() }) {
    if (!opened.ok()) {
      log.Write(LogLevel::kError,
                "listen_failed",
                { { "detail", std::string(opened.message()) } });
      return kExitListenFailed;
    }
  }
  WatchSignals();
  log.Write(
    LogLevel::kInfo,
    "started",
    { { "http", m_settings.m_http }, { "listen", m_settings.m_listen } });
  Loop().Run();
  log.Write(LogLevel::kInfo, "stopped");
  // Threads of libraries still run; leaving now skips no work of ours.
  m_server.reset();
  return 0;
}

void
ProcessShell::FinishStop()
{
  Loop().After(kFlushBeforeExit, [this] { Loop().Stop(); });
}

void
ProcessShell::WatchSignals()
{
  std::thread([this] {
    const sigset_t signals = StopSignals();
    int received = 0;
    sigwait(&signals, &received);
    Loop().Post([this] { OnSignal(); });
    sigwait(&signals, &received);
    _exit(kExitSecondSignal);
  }).detach();
}

void
ProcessShell::OnSignal()
{
  m_stopping = true;
  m_kernel.Find<Log>(service_name::kLog).Write(LogLevel::kInfo, "stopping");
  Events()({ "process_stopping", "", "", "", "" });
  m_role.m_stop();
}

void
ProcessShell::HandleHttp(const HttpRequest& aRequest,
                         const HttpResponderPtr& aResponder)
{
  if (aRequest.m_path == "/healthz") {
    aResponder->Send(200, "ok\n", "text/plain", {});
    return;
  }
  if (aRequest.m_path == "/readyz") {
    const bool isReady = !m_stopping && m_role.m_isReady();
    aResponder->Send(isReady ? 200 : 503,
                     isReady ? "ready\n" : "not ready\n",
                     "text/plain",
                     {});
    return;
  }
  if (aRequest.m_path == "/metrics") {
    aResponder->Send(200, Metrics(), "text/plain; version=0.0.4", {});
    return;
  }
  if (aRequest.m_path.starts_with("/admin/")) {
    HandleAdmin(aRequest, aResponder);
    return;
  }
  if (m_role.m_request) {
    m_role.m_request(aRequest, aResponder);
    return;
  }
  SendFailure(aResponder, ResultCode::kUnknownRoute, Ran::kNo);
}

bool
ProcessShell::IsOperator(const HttpRequest& aRequest) const
{
  return EqualInConstantTime(Sha256Hex(aRequest.Header("authorization")),
                             Sha256Hex("Bearer " + m_settings.m_secret));
}

void
ProcessShell::HandleAdmin(const HttpRequest& aRequest,
                          const HttpResponderPtr& aResponder)
{
  if (!IsOperator(aRequest)) {
    SendFailure(aResponder,
                ResultCode::kUnauthorized,
                Ran::kNo,
                "operators give the fleet's secret as bearer token");
    return;
  }
  if (aRequest.m_path == "/admin/status") {
    aResponder->SendJson(200, m_role.m_statusJson());
    return;
  }
  if (aRequest.m_path == "/admin/timeline") {
    SendTimeline(aRequest, aResponder);
    return;
  }
  SendFailure(aResponder, ResultCode::kUnknownRoute, Ran::kNo);
}

void
ProcessShell::SendTimeline(const HttpRequest& aRequest,
                           const HttpResponderPtr& aResponder)
{
  EventFilter filter;
  filter.m_request = aRequest.Query("request");
  filter.m_account = aRequest.Query("account");
  filter.m_upstream = aRequest.Query("upstream");
  const std::string since = aRequest.Query("since");
  if (!since.empty()) {
    filter.m_since = std::strtoull(since.c_str(), nullptr, 10);
  }
  aResponder->SendJson(
    200,
    EventsToJson(
      m_kernel.Find<EventRing>(service_name::kTimeline).Select(filter)));
}

std::string
ProcessShell::Metrics()
{
  MetricsText metrics;
  const auto& counts =
    m_kernel.Find<KeyValueCallCounts>(service_name::kKeyValueCounts);
  metrics
    .Family(
      "kv_calls_total", "counter", "Calls to the key-value service by kind.")
    .Sample(static_cast<double>(counts.m_reads), { { "kind", "read" } })
    .Sample(static_cast<double>(counts.m_watches), { { "kind", "watch" } })
    .Sample(static_cast<double>(counts.m_writes), { { "kind", "write" } });
  metrics.SingleSample("kv_unavailable_total",
                       "counter",
                       "Calls to the key-value service that had no answer.",
                       static_cast<double>(counts.m_unavailable));
  const auto& links = m_kernel.Find<LinkHub>(service_name::kLinks);
  metrics
    .Family("link_bytes_total", "counter", "Bytes on links between processes.")
    .Sample(static_cast<double>(links.BytesReceived()),
            { { "direction", "in" } })
    .Sample(static_cast<double>(links.BytesSent()), { { "direction", "out" } });
  metrics.SingleSample("http_connections",
                       "gauge",
                       "Open HTTP connections.",
                       static_cast<double>(m_server->OpenConnections()));
  metrics.SingleSample(
    "timeline_dropped_total",
    "counter",
    "Events that fell out of the time line.",
    static_cast<double>(
      m_kernel.Find<EventRing>(service_name::kTimeline).Dropped()));
  m_role.m_metrics(metrics);
  return metrics.Text();
}

} // namespace bergamotpaddle
