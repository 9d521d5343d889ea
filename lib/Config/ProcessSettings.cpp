#include "bergamotpaddle/Config/ProcessSettings.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

ProcessSettings
Parse(const json& aValue)
{
  ProcessSettings settings;
  settings.m_role =
    aValue.at("role") == "agent" ? ProcessRole::kAgent : ProcessRole::kRouter;
  settings.m_name = aValue.at("name").get<std::string>();
  settings.m_zone = aValue.at("zone").get<std::string>();
  settings.m_http = aValue.at("http").get<std::string>();
  settings.m_httpWorkers = aValue.value("http_workers", settings.m_httpWorkers);
  settings.m_listen = aValue.value("listen", std::string());
  settings.m_kv = aValue.at("kv").get<std::string>();
  settings.m_secret = aValue.at("secret").get<std::string>();
  settings.m_peers = aValue.value("peers", settings.m_peers);
  settings.m_hostList = aValue.value("host_list", std::string());
  settings.m_seed = aValue.value("seed", settings.m_seed);
  settings.m_stopGrace = std::chrono::milliseconds(
    aValue.value("stop_grace_ms", settings.m_stopGrace.count()));
  if (aValue.contains("upstream")) {
    const json& upstream = aValue.at("upstream");
    settings.m_upstream = { UpstreamId(upstream.at("name").get<std::string>()),
                            upstream.at("kind") == "engine",
                            upstream.at("url").get<std::string>() };
  }
  if (aValue.contains("log")) {
    settings.m_logLevel = aValue.at("log").value("level", settings.m_logLevel);
  }
  return settings;
}

} // namespace

LoadedSettings
LoadProcessSettings(const std::string& aPath)
{
  LoadedSettings loaded;
  const absl::StatusOr<json> value = ReadJsonFile(aPath);
  if (!value.ok()) {
    loaded.m_findings.push_back(
      { aPath, "", std::string(value.status().message()) });
    return loaded;
  }
  loaded.m_findings = CheckSchema(*value, ProcessSettingsSchema(), aPath);
  if (!loaded.m_findings.empty()) {
    return loaded;
  }
  loaded.m_settings = Parse(*value);
  if (loaded.m_settings.m_listen.empty()) {
    loaded.m_findings.push_back(
      { aPath,
        "/listen",
        "is missing; required: IP:port for links from other processes" });
  }
  if (loaded.m_settings.m_role == ProcessRole::kAgent &&
      !value->contains("upstream")) {
    loaded.m_findings.push_back(
      { aPath,
        "/upstream",
        "is missing; an agent requires name, kind and url" });
  }
  return loaded;
}

HostPort
SplitHostPort(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  return { aText.substr(0, colon),
           static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

} // namespace bergamotpaddle
