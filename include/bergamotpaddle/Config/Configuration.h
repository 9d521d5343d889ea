/// \file
/// The configuration that operators maintain in the platform's key-value
/// service: client accounts, pools of upstreams, models, plain services and
/// limits.
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

/// Settings of a client account.
struct AccountConfig
{
  std::uint64_t m_budgetTokens = 0; ///< Prepaid when the budget is first used.
  std::uint32_t m_weight = 1;       ///< Relative share of a contended upstream.
  auto operator<=>(const AccountConfig&) const = default;
};

/// An upstream and the address of its agent.
struct UpstreamConfig
{
  std::string m_pool;
  std::string m_agentAddress; ///< "IP:port".
  std::string m_zone;
  bool m_isDrained = false; ///< Drained itself, or through its pool.
  auto operator<=>(const UpstreamConfig&) const = default;
};

/// A pool of interchangeable upstreams.
struct PoolConfig
{
  AdmissionOptions m_admission;
  std::vector<UpstreamId> m_upstreams; ///< Sorted by name.
  auto operator<=>(const PoolConfig&) const = default;
};

/// A model that callers may request.
struct ModelConfig
{
  std::string m_pool;
  std::uint64_t m_maxOutputTokens = 0; ///< Upper limit of `max_tokens`.
  auto operator<=>(const ModelConfig&) const = default;
};

/// A call that a plain service offers.
struct ServiceCallConfig
{
  std::string m_method;
  std::string m_path;             ///< Below the service's path.
  bool m_repeatable = false;      ///< Whether a second run does no harm.
  std::uint64_t m_costTokens = 0; ///< Charged for each run.
  auto operator<=>(const ServiceCallConfig&) const = default;
};

/// A plain service: an HTTP service that is not a model engine.
struct ServiceConfig
{
  std::string m_pool;
  std::vector<ServiceCallConfig> m_calls;

  /// The configured call, or nullptr if there is none.
  const ServiceCallConfig* FindCall(const std::string& aMethod,
                                    const std::string& aPath) const;
  auto operator<=>(const ServiceConfig&) const = default;
};

/// Limits on requests from callers.
struct LimitsConfig
{
  std::uint64_t m_maxBodyBytes = 1U << 20U;
  std::uint64_t m_defaultOutputTokens = 256; ///< If `max_tokens` is absent.
  std::uint64_t m_requestTimeoutMilliseconds = 120'000;
  std::uint64_t m_maxRequestsInFlight = 4096; ///< Per router.
  auto operator<=>(const LimitsConfig&) const = default;
};

/// A parsed configuration document. Immutable after construction.
struct Configuration
{
  std::uint64_t m_version = 0; ///< Increases with every change; 0: none yet.
  std::string m_changeId;
  std::string m_author;
  std::map<AccountId, AccountConfig> m_accounts;
  std::map<std::string, AccountId>
    m_accountsByKeyHash; ///< Keyed by the API key's SHA-256, in hexadecimal.
  std::map<std::string, PoolConfig> m_pools;
  std::map<UpstreamId, UpstreamConfig> m_upstreams;
  std::map<std::string, ModelConfig> m_models;
  std::map<std::string, ServiceConfig> m_services;
  LimitsConfig m_limits;
  auto operator<=>(const Configuration&) const = default;

  /// Parses the value of `config/current`, which was validated before it was
  /// stored. `DataLoss`: it cannot be parsed.
  static absl::StatusOr<Configuration> FromDocument(
    const std::string& aDocument);
};

/// The configuration's key in the key-value service.
inline constexpr const char* kConfigKey = "config/current";

} // namespace bergamotpaddle
