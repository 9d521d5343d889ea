/// \file
/// Routes, services, client accounts and limits of one version of the
/// configuration, and the look-ups that a request needs.
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

/// A pool of upstreams that answer the same calls.
using ServiceId = TypedId<struct ServiceTag>;

/// What a route's calls allow a router to repeat.
enum class CallKind
{
  kRepeatable, ///< May run any number of times.
  kRunOnce,    ///< At most one run of an attempt.
  kStream,     ///< An event stream; runs once unless it may be resumed.
};

/// A service of a route with its share of the traffic.
struct ServiceShare
{
  ServiceId m_service;
  double m_weight = 1;
  auto operator<=>(const ServiceShare&) const = default;
};

/// One route.
struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix;
  CallKind m_kind = CallKind::kRunOnce;
  Duration m_timeout{ 0 };      ///< Longest time a caller is kept waiting.
  Duration m_objective{ 0 };    ///< Of the answer, or of its first event.
  Duration m_gapObjective{ 0 }; ///< Longest pause between events.
  int m_priority = 0;           ///< 0 is the most urgent.
  int m_maxAttempts = 1;        ///< Upstreams that may run one request.
  bool m_isPublic = false;      ///< Needs no API key.
  bool m_isResumable = false;   ///< A stream may go on at another upstream.
  std::vector<ServiceShare> m_services;
  auto operator<=>(const Route&) const = default;

  /// Whether a second run does no harm.
  bool MayRunAgain() const
  {
    return m_kind == CallKind::kRepeatable ||
           (m_kind == CallKind::kStream && m_isResumable);
  }
};

/// A service's properties.
struct Service
{
  ServiceId m_id;
  int m_maxConnections = 0; ///< Of one upstream, from all routers; 0: unknown.
  bool m_isEngine = false;  ///< Model engines, which batch and cache prompts.
  int m_engineSlots = 0;    ///< Requests that one engine batches.
  std::uint64_t m_engineMemoryTokens = 0; ///< Of one engine.
  std::uint32_t m_tokensPerEvent = 1;     ///< Most tokens in one event.
  auto operator<=>(const Service&) const = default;
};

/// A client account as configured.
struct Account
{
  AccountId m_id;
  std::optional<int> m_priority;          ///< Goes before the route's.
  std::optional<std::uint64_t> m_prepaid; ///< Tokens; none: not metered.
  std::vector<std::string> m_apiKeys;
  auto operator<=>(const Account&) const = default;
};

/// Bounds on what callers may send.
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

/// Look-ups over one configuration. Immutable.
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig aConfig);

  std::uint64_t Version() const { return m_config.m_version; }
  const CallerLimits& Limits() const { return m_config.m_limits; }
  const std::vector<Account>& Accounts() const { return m_config.m_accounts; }

  /// Whether any account is configured, so that API keys are asked for.
  bool RequiresApiKeys() const { return !m_config.m_accounts.empty(); }

  /// The route of \p aHost with the longest prefix of \p aPath, or nullptr.
  /// A query in \p aPath is left out of the comparison.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  /// The account that holds \p aApiKey, or nullptr.
  const Account* AccountOfKey(std::string_view aApiKey) const;

  const Account* FindAccount(const AccountId& aId) const;
  const Service* FindService(const ServiceId& aId) const;

private:
  RoutingConfig m_config;
  absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routesOfHost;
  absl::flat_hash_map<std::string, std::size_t> m_accountOfKey;
  absl::flat_hash_map<std::string, std::size_t> m_accountOfName;
  absl::flat_hash_map<std::string, std::size_t> m_serviceOfName;
};

} // namespace bergamotpaddle
