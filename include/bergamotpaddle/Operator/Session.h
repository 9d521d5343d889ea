/// \file
/// Blocking calls of the command-line tool to the key-value service and to the
/// operator interface of the fleet's processes.
#pragma once

#include "bergamotpaddle/Kernel/EventLoop.h"
#include "bergamotpaddle/Net/HttpClient.h"
#include "bergamotpaddle/Platform/HttpKeyValue.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace bergamotpaddle {

/// Addresses of the fleet and the operators' credential.
struct OperatorSettings
{
  std::string m_kv;                     ///< Base URL of the key-value service.
  std::string m_secret;                 ///< Bearer token.
  std::vector<std::string> m_processes; ///< Base URLs of routers and agents.
};

/// Connections of one run of the tool.
class Session
{
public:
  explicit Session(OperatorSettings aSettings);

  /// Starts \p aOperation on an event loop and blocks until it calls its hook.
  /// KeyValue() and Timers() are valid only during the call.
  template<typename Result>
  Result Await(std::function<void(std::function<void(Result)>)> aOperation)
  {
    std::optional<Result> result;
    m_loop = std::make_unique<EventLoop>();
    HttpClient client(
      [this](std::function<void()> aTask) { m_loop->Post(std::move(aTask)); });
    m_client = &client;
    m_keyValue = MakeHttpKeyValue(client, m_settings.m_kv, m_counts);
    m_loop->Post([&] {
      aOperation([&](Result aResult) {
        result = std::move(aResult);
        m_loop->Stop();
      });
    });
    m_loop->Run();
    m_client = nullptr;
    return std::move(*result);
  }

  const KeyValueHooks& KeyValue() const { return m_keyValue; }
  TimerHooks Timers() { return m_loop->Timers(); }

  /// Reads one key. On an error, sets \p aStatus and returns an empty entry.
  KeyValueEntry Get(const std::string& aKey, absl::Status& aStatus);
  /// Reads all keys that begin with \p aPrefix. On an error, sets \p aStatus
  /// and returns an empty map.
  std::map<std::string, KeyValueEntry> List(const std::string& aPrefix,
                                            absl::Status& aStatus);

  /// Sends a `GET` of \p aPath to every process. Returns the responses in the
  /// order of the settings; null for a process that does not respond with 200.
  std::vector<nlohmann::json> QueryAll(const std::string& aPath);

  const OperatorSettings& Settings() const { return m_settings; }

private:
  OperatorSettings m_settings;
  KeyValueCallCounts m_counts;
  std::unique_ptr<EventLoop> m_loop;
  HttpClient* m_client = nullptr;
  KeyValueHooks m_keyValue;
};

} // namespace bergamotpaddle
