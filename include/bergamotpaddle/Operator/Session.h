/// \file
/// What the command-line tool talks through: the key-value service and the
/// processes' operator interface, with calls that wait for their answer.
#pragma once

#include "bergamotpaddle/Kernel/EventLoop.h"
#include "bergamotpaddle/Net/HttpClient.h"
#include "bergamotpaddle/Platform/HttpKeyValue.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace bergamotpaddle {

/// Where the fleet is.
struct OperatorSettings
{
  std::string m_kv;
  std::string m_secret;
  std::vector<std::string> m_processes; ///< Base URLs; routers and agents.
};

/// One run of the tool.
class Session
{
public:
  explicit Session(OperatorSettings aSettings);

  /// Starts something on the event loop and waits until it calls its hook.
  template<typename Result>
  Result Await(std::function<void(std::function<void(Result)>)> aStart)
  {
    std::optional<Result> result;
    m_loop = std::make_unique<EventLoop>();
    HttpClient client(
      [this](std::function<void()> aTask) { m_loop->Post(std::move(aTask)); });
    m_client = &client;
    m_keyValue = MakeHttpKeyValue(client, m_settings.m_kv, m_counts);
    m_loop->Post([&] {
      aStart([&](Result aResult) {
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

  KeyValueEntry Get(const std::string& aKey, absl::Status& aStatus);
  std::map<std::string, KeyValueEntry> List(const std::string& aPrefix,
                                            absl::Status& aStatus);

  /// `GET` of an operator path at every process, in the order of the settings;
  /// null for one that does not answer.
  std::vector<nlohmann::json> AskAll(const std::string& aPath);

  const OperatorSettings& Settings() const { return m_settings; }

private:
  OperatorSettings m_settings;
  KeyValueCallCounts m_counts;
  std::unique_ptr<EventLoop> m_loop;
  HttpClient* m_client = nullptr;
  KeyValueHooks m_keyValue;
};

} // namespace bergamotpaddle
