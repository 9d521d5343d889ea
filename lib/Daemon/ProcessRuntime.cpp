#include "bergamotpaddle/Daemon/ProcessRuntime.h"

#include "bergamotpaddle/Daemon/CallerApi.h"
#include "bergamotpaddle/Support/Hash.h"

#include <csignal>
#include <thread>
#include <unistd.h>

namespace bergamotpaddle {

namespace {

constexpr std::size_t kTimelineCapacity = 20'000;
constexpr std::size_t kMaxRequestHeadBytes = 64U << 10U;
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr Duration kExitFlushDelay = std::chrono::milliseconds(200);
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
WallClockMilliseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

ProcessRuntime::ProcessRuntime(const ProcessSettings& aSettings)
  : m_settings(aSettings)
{
  // Blocked before the first thread starts, so that all threads inherit the
  // mask.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  Loop().OnTaskFailed([this](const std::string& aReason) {
    ++m_failedTasks;
    m_kernel.Find<Log>(service_name::kLog)
      .Write(LogLevel::kError, "task_failed", { { "detail", aReason } });
  });
  auto executor = [this](std::function<void()> aTask) {
    Loop().Post(std::move(aTask));
  };
  LogicalClock& clock =
    m_kernel.Add<LogicalClock>(service_name::kClock, WallClockMilliseconds);
  m_kernel.Add<EventRing>(
    service_name::kTimeline, m_settings.m_name, kTimelineCapacity, clock);
  m_kernel.Add<Log>(service_name::kLog,
                    m_settings.m_name,
                    ParseLogLevel(m_settings.m_logLevel));
  m_kernel.Add<HttpClient>(
    service_name::kHttpClient, executor, [this](const TruncatedHead& aHead) {
      OnTruncatedHead(aHead);
    });
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

ProcessRuntime::~ProcessRuntime() = default;

KeyValueHooks
ProcessRuntime::KeyValue()
{
  return MakeHttpKeyValue(
    m_kernel.Find<HttpClient>(service_name::kHttpClient),
    m_settings.m_kv,
    m_kernel.Find<KeyValueCallCounts>(service_name::kKeyValueCounts));
}

EventHook
ProcessRuntime::Events()
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
ProcessRuntime::Send(LinkId aLink, const Message& aMessage)
{
  const LogicalTime time =
    m_kernel.Find<LogicalClock>(service_name::kClock).Tick();
  return m_kernel.Find<LinkHub>(service_name::kLinks)
    .Send(aLink, Encode({ time, aMessage }));
}

void
ProcessRuntime::OnFrame(LinkId aLink, const std::string& aFrame)
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

void
ProcessRuntime::OnTruncatedHead(const TruncatedHead& aHead)
{
  ++m_truncatedHeads;
  m_kernel.Find<Log>(service_name::kLog)
    .Write(LogLevel::kWarn,
           "response_head_truncated",
           { { "method", aHead.m_method },
             { "server", aHead.m_server },
             { "status", std::to_string(aHead.m_status) } });
}

int
ProcessRuntime::Run(RoleHooks aHooks)
{
  m_role = std::move(aHooks);
  const Log& log = m_kernel.Find<Log>(service_name::kLog);
  const HostPort http = SplitHostPort(m_settings.m_http);
  HttpServerOptions options;
  options.m_address = http.m_address;
  options.m_port = http.m_port;
  options.m_workers = m_settings.m_httpWorkers;
  options.m_maxRequestBytes = kMaxBodyBytes + kMaxRequestHeadBytes;
  m_server = std::make_unique<HttpServer>(
    options, [this](HttpRequest aRequest, HttpResponderPtr aResponder) {
      Loop().Post([this,
                   request = std::move(aRequest),
                   responder = std::move(aResponder)] {
        HandleHttp(request, responder);
      });
    });
  for (const absl::Status& status :
       { m_kernel.Find<LinkHub>(service_name::kLinks)
           .Listen(m_settings.m_listen),
         m_server->Start() }) {
    if (!status.ok()) {
      log.Write(LogLevel::kError,
                "listen_failed",
                { { "detail", std::string(status.message()) } });
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
  // Library threads still run; returning now abandons no work of this process.
  m_server.reset();
  return 0;
}

void
ProcessRuntime::FinishStop()
{
  Loop().After(kExitFlushDelay, [this] { Loop().Stop(); });
}

void
ProcessRuntime::WatchSignals()
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
ProcessRuntime::OnSignal()
{
  m_isStopping = true;
  m_kernel.Find<Log>(service_name::kLog).Write(LogLevel::kInfo, "stopping");
  Events()({ "process_stopping", "", "", "", "" });
  m_role.m_stop();
}

void
ProcessRuntime::HandleHttp(const HttpRequest& aRequest,
                           const HttpResponderPtr& aResponder)
{
  if (aRequest.m_path == "/healthz") {
    aResponder->Send(200, "ok\n", "text/plain", {});
    return;
  }
  if (aRequest.m_path == "/readyz") {
    const bool isReady = !m_isStopping && m_role.m_isReady();
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
ProcessRuntime::IsAuthorizedOperator(const HttpRequest& aRequest) const
{
  return EqualInConstantTime(Sha256Hex(aRequest.Header("authorization")),
                             Sha256Hex("Bearer " + m_settings.m_secret));
}

void
ProcessRuntime::HandleAdmin(const HttpRequest& aRequest,
                            const HttpResponderPtr& aResponder)
{
  if (!IsAuthorizedOperator(aRequest)) {
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
ProcessRuntime::SendTimeline(const HttpRequest& aRequest,
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
ProcessRuntime::Metrics()
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
  metrics.SingleSample("http_truncated_heads_total",
                       "counter",
                       "Responses to this process that ended in their heads.",
                       static_cast<double>(m_truncatedHeads));
  metrics.SingleSample("tasks_failed_total",
                       "counter",
                       "Tasks of the event loop that an exception ended.",
                       static_cast<double>(m_failedTasks));
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
