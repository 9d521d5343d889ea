/// \file
/// Interface through which an agent drives its upstream, a model engine or a
/// plain service.
#pragma once

#include "bergamotpaddle/Agent/AgentCore.h"
#include "bergamotpaddle/Net/HttpClient.h"

namespace bergamotpaddle {

/// Callbacks for the runs of a client.
struct UpstreamHooks
{
  /// Output of a run; \p aTokens counts the tokens generated for it, 0 for a
  /// service.
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
  /// Cancels a run; its m_end is still called.
  virtual void Cancel(RunId aRun) = 0;
};

/// A client of a model engine: a run is a streamed `POST /v1/chat/completions`.
std::unique_ptr<UpstreamClient>
MakeEngineClient(HttpClient& aClient,
                 std::string aBaseUrl,
                 UpstreamHooks aHooks);

/// A client of a plain service: a run is one call with one response.
std::unique_ptr<UpstreamClient>
MakeServiceClient(HttpClient& aClient,
                  std::string aBaseUrl,
                  UpstreamHooks aHooks);

} // namespace bergamotpaddle
