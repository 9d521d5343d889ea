/// \file
/// What a process learns when it starts: its role, addresses and availability
/// zone, from a small JSON file.
#pragma once

#include "bergamotpaddle/Config/Checks.h"
#include "bergamotpaddle/Wire/Messages.h"

namespace bergamotpaddle {

/// An agent's upstream.
struct UpstreamSettings
{
  UpstreamId m_name;
  bool m_isEngine = true;
  std::string m_url;
  auto operator<=>(const UpstreamSettings&) const = default;
};

/// The settings of one `bergamotpaddled`.
struct ProcessSettings
{
  ProcessRole m_role = ProcessRole::kRouter;
  std::string m_name;
  std::string m_zone;
  std::string m_http; ///< "IP:port".
  std::size_t m_httpWorkers = 2;
  std::string m_listen; ///< "IP:port".
  std::string m_kv;
  std::string m_secret;
  std::vector<std::string> m_peers;
  std::string m_hostList;
  std::uint64_t m_seed = 0;
  UpstreamSettings m_upstream;
  std::string m_logLevel = "info";
  auto operator<=>(const ProcessSettings&) const = default;
};

/// Settings, or every finding on their file.
struct LoadedSettings
{
  ProcessSettings m_settings;
  std::vector<Finding> m_findings;
};

/// Reads and checks a settings file.
LoadedSettings
LoadProcessSettings(const std::string& aPath);

/// An "IP:port" in its two parts.
struct HostPort
{
  std::string m_address;
  std::uint16_t m_port = 0;
};

HostPort
SplitHostPort(const std::string& aText);

} // namespace bergamotpaddle
