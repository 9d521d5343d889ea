/// \file
/// Stand-ins for the platform and the upstreams in demos and tests. All but the
/// host list serve `GET /runs` with a record of the work that they performed,
/// and all accept faults to inject at `POST /faults`.
#pragma once

#include "bergamotpaddle/Kernel/EventLoop.h"
#include "bergamotpaddle/Net/HttpServer.h"

#include <memory>

namespace bergamotpaddle {

/// The request handler of a stand-in. All methods run on the event loop.
class StandInServer
{
public:
  virtual ~StandInServer() = default;
  /// Responds to \p aRequest, possibly after this call has returned.
  virtual void Handle(const HttpRequest& aRequest,
                      const HttpResponderPtr& aResponder) = 0;
};

/// Creates a key-value service with the paths `/v1/kv/KEY`, `/v1/lease/KEY`,
/// `/v1/watch/KEY` and `/v1/list`. Its faults are `down`, `delay_ms`,
/// `lose_answers` (drops the responses to that many writes, which take effect),
/// `writes_per_second` and `reads_per_second`.
std::unique_ptr<StandInServer>
MakeKeyValueServer(EventLoop& aLoop);

/// Speed and capacity of an engine.
struct EngineOptions
{
  std::size_t m_slots = 8; ///< Requests that run concurrently.
  Duration m_tokenInterval = std::chrono::milliseconds(10);
  Duration m_timeToFirstToken = std::chrono::milliseconds(20);
};

/// Creates a model engine. It streams tokens, runs as many requests as it has
/// slots and queues the others by priority, cancels a request when its caller
/// disconnects, resumes partial responses, reports a stale load, and rejects
/// orders with a stale fencing token. Its faults are `slowdown`,
/// `fail_after_tokens`, `healthy` and `checks_fencing`.
std::unique_ptr<StandInServer>
MakeEngineServer(EventLoop& aLoop, EngineOptions aOptions);

/// Creates a service that records every call as a run. Its faults are
/// `delay_ms` and `lose_answers`.
std::unique_ptr<StandInServer>
MakeServiceServer(EventLoop& aLoop);

/// Creates a host list service, which serves the last list of live and leaving
/// hosts that was posted. Its fault is `lag_ms`, the delay until a posted list
/// is served.
std::unique_ptr<StandInServer>
MakeHostListServer(EventLoop& aLoop);

} // namespace bergamotpaddle
