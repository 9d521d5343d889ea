/// \file
/// How an agent drives the upstream beside it: a model engine or a plain
/// service, each behind the same narrow interface.
#pragma once

#include "bergamotpaddle/Agent/AgentCore.h"
#include "bergamotpaddle/Net/HttpClient.h"

namespace bergamotpaddle {

/// What a client reports of its runs.
struct UpstreamHooks
{
  std::function<void(RunId, const std::string& aBytes, std::uint64_t aTokens)>
    m_data;
  std::function<void(RunId, const UpstreamOutcome&)> m_end;
};

/// Starts and stops runs at one upstream.
class UpstreamClient
{
public:
  virtual ~UpstreamClient() = default;
  virtual void Start(RunId aRun, const Dispatch& aDispatch) = 0;
  virtual void Cancel(RunId aRun) = 0;
};

/// A client of a model engine: `POST /v1/chat/completions` as a stream.
std::unique_ptr<UpstreamClient>
MakeEngineClient(HttpClient& aClient,
                 std::string aBaseUrl,
                 UpstreamHooks aHooks);

/// A client of a plain service: one call, one answer.
std::unique_ptr<UpstreamClient>
MakeServiceClient(HttpClient& aClient,
                  std::string aBaseUrl,
                  UpstreamHooks aHooks);

} // namespace bergamotpaddle
