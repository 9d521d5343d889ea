/// \file
/// Settings that a process reads from a JSON file at startup: its role,
/// addresses and availability zone.
#pragma once

#include "bergamotpaddle/Config/Checks.h"
#include "bergamotpaddle/Wire/Messages.h"

namespace bergamotpaddle {

/// The upstream that an agent serves.
struct UpstreamSettings
{
  UpstreamId m_name;
  bool m_isEngine = true; ///< Model engine; otherwise a plain service.
  std::string m_url;      ///< Base URL.
  auto operator<=>(const UpstreamSettings&) const = default;
};

/// Settings of one `bergamotpaddled` process.
struct ProcessSettings
{
  ProcessRole m_role = ProcessRole::kRouter;
  std::string m_name;
  std::string m_zone;
  std::string m_http; ///< "IP:port" of the HTTP interface.
  std::size_t m_httpWorkers = 2;
  std::string m_listen; ///< "IP:port" for links from the fleet's processes.
  std::string m_kv;     ///< Base URL of the key-value service.
  std::string m_secret; ///< Shared by the fleet; also the operators' token.
  std::vector<std::string> m_peers; ///< Router: "IP:port" of other routers.
  std::string m_hostList;   ///< Router: URL of the host list; empty: unused.
  std::uint64_t m_seed = 0; ///< Router; 0: seeded by the system.
  /// Router: time from a stop request until the host kills the process.
  std::chrono::milliseconds m_stopGrace{ 8000 };
  UpstreamSettings m_upstream; ///< Agent only.
  std::string m_logLevel = "info";
  auto operator<=>(const ProcessSettings&) const = default;
};

/// Settings, or the errors of their file.
struct LoadedSettings
{
  ProcessSettings m_settings; ///< Valid only if there are no findings.
  std::vector<Finding> m_findings;
};

/// Reads and validates a settings file.
LoadedSettings
LoadProcessSettings(const std::string& aPath);

/// The two parts of an "IP:port".
struct HostPort
{
  std::string m_address;
  std::uint16_t m_port = 0;
};

/// Splits an "IP:port" that matches the settings schema; throws if the port is
/// not a number.
HostPort
SplitHostPort(const std::string& aText);

} // namespace bergamotpaddle
