/// \file
/// Runs one call at an upstream with the fleet's own clients.
#pragma once

#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <future>
#include <string>

namespace bergamotpaddle {

/// Result of one run.
struct RunResult
{
  std::string m_data;
  UpstreamOutcome m_outcome;
};

/// Runs \p aDispatch with the client that \p aMake creates.
inline RunResult
Run(const decltype(&MakeServiceClient)& aMake,
    const std::string& aUrl,
    const Dispatch& aDispatch)
{
  HttpClient http([](std::function<void()> aTask) { aTask(); });
  RunResult result;
  std::promise<void> ended;
  UpstreamHooks hooks;
  hooks.m_data = [&](RunId, const std::string& aBytes, std::uint64_t) {
    result.m_data += aBytes;
  };
  hooks.m_end = [&](RunId, const UpstreamOutcome& aOutcome) {
    result.m_outcome = aOutcome;
    ended.set_value();
  };
  const auto client = aMake(http, aUrl, hooks);
  client->Start(RunId{ 1 }, aDispatch);
  ended.get_future().wait();
  return result;
}

/// A call that a service or an engine accepts.
inline Dispatch
Call()
{
  Dispatch dispatch;
  dispatch.m_key = RequestKey("key");
  dispatch.m_account = AccountId("account");
  dispatch.m_method = "POST";
  dispatch.m_path = "/call";
  dispatch.m_body = "{}";
  return dispatch;
}

} // namespace bergamotpaddle
