/// \file
/// The configuration that operators keep in the platform's key-value service:
/// client accounts, pools of upstreams, models, plain services and limits.
#pragma once

#include "bergamotpaddle/Config/AdmissionOptions.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A client account.
struct AccountConfig
{
  std::uint64_t m_budgetTokens = 0; ///< Prepaid when the budget is first used.
  std::uint32_t m_weight = 1;       ///< Share under contention.
  auto operator<=>(const AccountConfig&) const = default;
};

/// An upstream and where its agent listens.
struct UpstreamConfig
{
  std::string m_pool;
  std::string m_agentAddress; ///< "IP:port".
  std::string m_zone;
  bool m_isDrained = false; ///< By itself or with its pool.
  auto operator<=>(const UpstreamConfig&) const = default;
};

/// A pool of upstreams that serve the same.
struct PoolConfig
{
  AdmissionOptions m_admission;
  std::vector<UpstreamId> m_upstreams; ///< Ordered by name.
  auto operator<=>(const PoolConfig&) const = default;
};

/// A model that callers may name.
struct ModelConfig
{
  std::string m_pool;
  std::uint64_t m_maxOutputTokens = 0;
  auto operator<=>(const ModelConfig&) const = default;
};

/// A call of a plain service.
struct ServiceCallConfig
{
  std::string m_method;
  std::string m_path;
  bool m_repeatable = false;
  std::uint64_t m_costTokens = 0;
  auto operator<=>(const ServiceCallConfig&) const = default;
};

/// A plain service.
struct ServiceConfig
{
  std::string m_pool;
  std::vector<ServiceCallConfig> m_calls;

  /// The configured call, or nullptr.
  const ServiceCallConfig* FindCall(const std::string& aMethod,
                                    const std::string& aPath) const;
  auto operator<=>(const ServiceConfig&) const = default;
};

/// Bounds on what callers may ask.
struct LimitsConfig
{
  std::uint64_t m_maxBodyBytes = 1U << 20U;
  std::uint64_t m_defaultOutputTokens = 256;
  std::uint64_t m_requestTimeoutMilliseconds = 120'000;
  std::uint64_t m_maxRequestsInFlight = 4096; ///< Of one router.
  auto operator<=>(const LimitsConfig&) const = default;
};

/// A configuration in force. Immutable once made.
struct Configuration
{
  std::uint64_t m_version = 0; ///< Rises with every change; 0: none yet.
  std::string m_changeId;
  std::string m_author;
  std::map<AccountId, AccountConfig> m_accounts;
  std::map<std::string, AccountId>
    m_accountsByKeyHash; ///< SHA-256 of an API key, hexadecimal.
  std::map<std::string, PoolConfig> m_pools;
  std::map<UpstreamId, UpstreamConfig> m_upstreams;
  std::map<std::string, ModelConfig> m_models;
  std::map<std::string, ServiceConfig> m_services;
  LimitsConfig m_limits;
  auto operator<=>(const Configuration&) const = default;

  /// Parses the value of `config/current`, which has passed its checks.
  static absl::StatusOr<Configuration> FromDocument(
    const std::string& aDocument);
};

/// The key of the configuration in the key-value service.
inline constexpr const char* kConfigKey = "config/current";

} // namespace bergamotpaddle
