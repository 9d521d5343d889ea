/// \file
/// What routers and agents share: the kernel, logs, the time line, the links
/// to other processes and the operators' interface.
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

/// Names under which the services of a process stand in its kernel.
namespace service_name {
inline constexpr const char* kClock = "clock";
inline constexpr const char* kTimeline = "timeline";
inline constexpr const char* kLog = "log";
inline constexpr const char* kHttpClient = "http_client";
inline constexpr const char* kKeyValueCounts = "key_value_counts";
inline constexpr const char* kLinks = "links";
inline constexpr const char* kDecisions = "decisions";
inline constexpr const char* kCallers = "callers";
} // namespace service_name

/// What a role plugs into the shell. All run on the event loop.
struct RoleHooks
{
  std::function<void(LinkId)> m_opened;
  std::function<void(LinkId, const Message&)> m_message;
  std::function<void(LinkId)> m_closed;
  /// Takes a request that is not for operators; may be empty.
  std::function<void(const HttpRequest&, const HttpResponderPtr&)> m_request;
  std::function<void(MetricsText&)> m_metrics;
  std::function<std::string()> m_statusJson;
  std::function<bool()> m_isReady;
  /// A stop was asked for; call FinishStop() when nothing is under way.
  std::function<void()> m_stop;
};

/// The wall clock, for logical times, retention and display only.
std::uint64_t
WallMilliseconds();

/// The shell of one process.
class ProcessShell
{
public:
  explicit ProcessShell(const ProcessSettings& aSettings);
  ~ProcessShell();

  Kernel& Services() { return m_kernel; }
  EventLoop& Loop() { return m_kernel.Loop(); }
  /// Hooks of the key-value service.
  KeyValueHooks KeyValue();
  /// Adds to the time line and, at debug level, to the log.
  EventHook Events();

  /// Sends a message on a link.
  bool Send(LinkId aLink, const Message& aMessage);

  /// Opens the listeners, then runs until a stop is finished. The exit code of
  /// the process.
  int Run(RoleHooks aHooks);
  /// Ends Run() with code 0 once what was sent has had time to leave.
  void FinishStop();

private:
  void WatchSignals();
  void OnSignal();
  void HandleHttp(const HttpRequest& aRequest,
                  const HttpResponderPtr& aResponder);
  void HandleAdmin(const HttpRequest& aRequest,
                   const HttpResponderPtr& aResponder);
  bool IsOperator(const HttpRequest& aRequest) const;
  void SendTimeline(const HttpRequest& aRequest,
                    const HttpResponderPtr& aResponder);
  std::string Metrics();
  void OnFrame(LinkId aLink, const std::string& aFrame);

  ProcessSettings m_settings;
  Kernel m_kernel;
  RoleHooks m_role;
  std::unique_ptr<HttpServer> m_server;
  bool m_stopping = false;
};

} // namespace bergamotpaddle
