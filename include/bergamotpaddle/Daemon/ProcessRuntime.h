/// \file
/// Runtime that routers and agents share: the kernel, logs, the timeline, the
/// links to other processes and the HTTP interface for operators.
#pragma once

#include "bergamotpaddle/Config/ProcessSettings.h"
#include "bergamotpaddle/Events/EventRing.h"
#include "bergamotpaddle/Kernel/Kernel.h"
#include "bergamotpaddle/Logging/Log.h"
#include "bergamotpaddle/Metrics/MetricsText.h"
#include "bergamotpaddle/Net/FrameLink.h"
#include "bergamotpaddle/Net/HttpClient.h"
#include "bergamotpaddle/Net/HttpServer.h"
#include "bergamotpaddle/Platform/HttpKeyValue.h"

#include <optional>

namespace bergamotpaddle {

/// Names of a process's services in its kernel.
namespace service_name {
inline constexpr const char* kClock = "clock";
inline constexpr const char* kTimeline = "timeline";
inline constexpr const char* kLog = "log";
inline constexpr const char* kHttpClient = "http_client";
inline constexpr const char* kKeyValueCounts = "key_value_counts";
inline constexpr const char* kLinks = "links";
inline constexpr const char* kCore = "decisions";
inline constexpr const char* kCallerApi = "callers";
} // namespace service_name

/// Callbacks that a role gives to the runtime. All run on the event loop.
struct RoleHooks
{
  std::function<void(LinkId)> m_opened;
  std::function<void(LinkId, const Message&)> m_message;
  std::function<void(LinkId)> m_closed;
  /// Handles a request to a path that the runtime does not serve; may be empty.
  std::function<void(const HttpRequest&, const HttpResponderPtr&)> m_request;
  std::function<void(MetricsText&)> m_metrics;
  std::function<std::string()> m_statusJson;
  std::function<bool()> m_isReady;
  /// Begins to stop the role, which calls FinishStop() once no work is in
  /// flight.
  std::function<void()> m_stop;
};

/// Milliseconds since the Unix epoch, for logical times, retention and display
/// only.
std::uint64_t
WallClockMilliseconds();

/// Runtime of one process.
class ProcessRuntime
{
public:
  explicit ProcessRuntime(const ProcessSettings& aSettings);
  ~ProcessRuntime();

  Kernel& Services() { return m_kernel; }
  EventLoop& Loop() { return m_kernel.Loop(); }
  /// Hooks that call the key-value service.
  KeyValueHooks KeyValue();
  /// Hook that records events in the timeline and, at debug level, in the log.
  EventHook Events();

  /// Queues a message on a link; false as for LinkHub::Send().
  bool Send(LinkId aLink, const Message& aMessage);

  /// Opens the listeners and runs until a stop has finished. Returns the exit
  /// code of the process.
  int Run(RoleHooks aHooks);
  /// Makes Run() return 0 after a delay in which queued output is sent.
  void FinishStop();

private:
  void WatchSignals();
  void OnSignal();
  void HandleHttp(const HttpRequest& aRequest,
                  const HttpResponderPtr& aResponder);
  void HandleAdmin(const HttpRequest& aRequest,
                   const HttpResponderPtr& aResponder);
  bool IsAuthorizedOperator(const HttpRequest& aRequest) const;
  void SendTimeline(const HttpRequest& aRequest,
                    const HttpResponderPtr& aResponder);
  std::string Metrics();
  void OnFrame(LinkId aLink, const std::string& aFrame);
  void OnTruncatedHead(const TruncatedHead& aHead);

  ProcessSettings m_settings;
  Kernel m_kernel;
  RoleHooks m_role;
  std::unique_ptr<HttpServer> m_server;
  std::uint64_t m_failedTasks = 0;    ///< Ended by an exception.
  std::uint64_t m_truncatedHeads = 0; ///< Responses that ended in their heads.
  bool m_isStopping = false;
};

} // namespace bergamotpaddle
