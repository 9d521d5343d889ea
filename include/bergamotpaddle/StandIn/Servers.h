/// \file
/// Small programs that take the place of the platform and the upstreams in
/// demos and tests. Each answers `GET /runs` with what it really ran.
#pragma once

#include "bergamotpaddle/Kernel/EventLoop.h"
#include "bergamotpaddle/Net/HttpServer.h"

#include <memory>

namespace bergamotpaddle {

/// A stand-in's behaviour. All methods run on the event loop.
class StandInServer
{
public:
  virtual ~StandInServer() = default;
  virtual void Handle(const HttpRequest& aRequest,
                      const HttpResponderPtr& aResponder) = 0;
};

/// The key-value service: `/v1/kv/KEY`, `/v1/lease/KEY`, `/v1/watch/KEY`,
/// `/v1/list`, and `POST /faults` with `down`, `delay_ms`, `lose_answers`,
/// `writes_per_second`, `reads_per_second`.
std::unique_ptr<StandInServer>
MakeKeyValueServer(EventLoop& aLoop);

/// Pace and size of an engine.
struct EngineOptions
{
  std::size_t m_slots = 8;
  Duration m_tokenInterval = std::chrono::milliseconds(10);
  Duration m_timeToFirstToken = std::chrono::milliseconds(20);
};

/// A model engine: streams, batches by slots, honours priority, cancels when
/// the caller leaves, resumes, reports its load late, takes fenced orders.
std::unique_ptr<StandInServer>
MakeEngineServer(EventLoop& aLoop, EngineOptions aOptions);

/// A plain service whose every call is a run.
std::unique_ptr<StandInServer>
MakeServiceServer(EventLoop& aLoop);

/// The list of hosts, live and leaving, which lags.
std::unique_ptr<StandInServer>
MakeHostListServer(EventLoop& aLoop);

} // namespace bergamotpaddle
