/// \file
/// Routes, services, client accounts and limits of one configuration version,
/// and the lookups that a request needs.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotpaddle {

/// Identifies a pool of upstreams that serve the same calls.
using ServiceId = TypedId<struct ServiceTag>;

/// How a router may repeat a route's calls.
enum class CallKind
{
  kRepeatable, ///< Idempotent; may run any number of times.
  kRunOnce,    ///< Each attempt runs at most once.
  kStream,     ///< An event stream; runs once unless resumable.
};

/// A service of a route and its weight in the traffic split.
struct ServiceShare
{
  ServiceId m_service;
  double m_weight = 1;
  auto operator<=>(const ServiceShare&) const = default;
};

/// A route: the requests to one host with one path prefix.
struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix;
  CallKind m_kind = CallKind::kRunOnce;
  Duration m_timeout{ 0 };      ///< Maximum time a caller waits.
  Duration m_objective{ 0 };    ///< Latency objective of the response or of
                                ///< its first event.
  Duration m_gapObjective{ 0 }; ///< Maximum gap between events.
  int m_priority = 0;           ///< 0 is the highest.
  int m_maxAttempts = 1;        ///< Maximum number of upstreams that may run
                                ///< one request.
  bool m_isPublic = false;      ///< Requires no API key.
  bool m_isResumable = false;   ///< A stream may continue at another upstream.
  std::vector<ServiceShare> m_services;
  auto operator<=>(const Route&) const = default;

  /// Whether running a request twice is safe.
  bool MayRunAgain() const
  {
    return m_kind == CallKind::kRepeatable ||
           (m_kind == CallKind::kStream && m_isResumable);
  }
};

/// The properties of a service.
struct Service
{
  ServiceId m_id;
  int m_maxConnections = 0; ///< Per upstream over all routers; 0: unknown.
  bool m_isEngine = false;  ///< Its upstreams are model engines, which batch
                            ///< requests and cache prompts.
  int m_engineSlots = 0;    ///< Requests batched by one engine.
  std::uint64_t m_engineMemoryTokens = 0; ///< Per engine.
  std::uint32_t m_tokensPerEvent = 1;     ///< Maximum tokens in one event.
  double m_coldPerSecond = 0; ///< Requests a second that a cold upstream
                              ///< bears, from all routers; 0: no limit.
  Duration m_coldTime{ 0 };   ///< An upstream is cold for so long.
  auto operator<=>(const Service&) const = default;
};

/// A client account as configured.
struct Account
{
  AccountId m_id;
  std::optional<int> m_priority;          ///< Overrides the route's.
  std::optional<std::uint64_t> m_prepaid; ///< Tokens; none if not metered.
  std::vector<std::string> m_apiKeys;
  auto operator<=>(const Account&) const = default;
};

/// Limits on requests and connections of callers.
struct CallerLimits
{
  std::uint32_t m_maxHeaderBytes = 16 * 1024;
  std::uint64_t m_maxBodyBytes = 4ULL * 1024 * 1024;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
  auto operator<=>(const CallerLimits&) const = default;
};

/// One version of the configuration.
struct RoutingConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<Account> m_accounts;
  CallerLimits m_limits;
  auto operator<=>(const RoutingConfig&) const = default;
};

/// Lookups in one configuration. Immutable.
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig aConfig);

  std::uint64_t Version() const { return m_config.m_version; }
  const CallerLimits& Limits() const { return m_config.m_limits; }
  const std::vector<Account>& Accounts() const { return m_config.m_accounts; }
  const std::vector<Service>& Services() const { return m_config.m_services; }

  /// The lowest, that is most urgent, priority among the routes of streams; 0
  /// if there are none.
  int MostUrgentPriority() const { return m_mostUrgentPriority; }

  /// Whether any account is configured, and API keys are therefore required.
  bool RequiresApiKeys() const { return !m_config.m_accounts.empty(); }

  /// Returns the route of \p aHost with the longest prefix of \p aPath, or
  /// nullptr. A query in \p aPath is ignored.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  /// Returns the account that \p aApiKey belongs to, or nullptr.
  const Account* AccountOfKey(std::string_view aApiKey) const;

  const Account* FindAccount(const AccountId& aId) const;
  const Service* FindService(const ServiceId& aId) const;

private:
  RoutingConfig m_config;
  int m_mostUrgentPriority = 0;
  absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routesOfHost;
  absl::flat_hash_map<std::string, std::size_t> m_accountOfKey;
  absl::flat_hash_map<std::string, std::size_t> m_accountOfName;
  absl::flat_hash_map<std::string, std::size_t> m_serviceOfName;
};

} // namespace bergamotpaddle
