#include "bergamotpaddle/Config/Configuration.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr const char* kDrained = "drained";

bool
IsDrained(const json& aObject)
{
  return aObject.value("state", "active") == kDrained;
}

AdmissionOptions
ParseAdmission(const json& aPool)
{
  AdmissionOptions options;
  options.m_slots = aPool.value("slots", options.m_slots);
  options.m_slotsKeptForShort =
    aPool.value("slots_kept_for_short", options.m_slotsKeptForShort);
  options.m_maxWaiting = aPool.value("max_waiting", options.m_maxWaiting);
  options.m_shortTokens = aPool.value("short_tokens", options.m_shortTokens);
  return options;
}

void
ParseAccounts(const json& aContent, Configuration& aConfiguration)
{
  for (const auto& [name, account] : aContent.at("accounts").items()) {
    const AccountId id(name);
    AccountConfig parsed;
    parsed.m_budgetTokens =
      account.value("budget_tokens", parsed.m_budgetTokens);
    parsed.m_weight = account.value("weight", parsed.m_weight);
    aConfiguration.m_accounts.emplace(id, parsed);
    for (const json& hash : account.at("api_key_sha256")) {
      aConfiguration.m_accountsByKeyHash.emplace(hash.get<std::string>(), id);
    }
  }
}

void
ParsePools(const json& aContent, Configuration& aConfiguration)
{
  for (const auto& [name, pool] : aContent.at("pools").items()) {
    PoolConfig parsed;
    parsed.m_admission = ParseAdmission(pool);
    for (const auto& [upstreamName, upstream] : pool.at("upstreams").items()) {
      const UpstreamId id(upstreamName);
      parsed.m_upstreams.push_back(id);
      UpstreamConfig config;
      config.m_pool = name;
      config.m_agentAddress = upstream.at("agent").get<std::string>();
      config.m_zone = upstream.at("zone").get<std::string>();
      config.m_isDrained = IsDrained(pool) || IsDrained(upstream);
      aConfiguration.m_upstreams.emplace(id, std::move(config));
    }
    aConfiguration.m_pools.emplace(name, std::move(parsed));
  }
}

void
ParseModels(const json& aContent, Configuration& aConfiguration)
{
  for (const auto& [name, model] : aContent.at("models").items()) {
    aConfiguration.m_models.emplace(
      name,
      ModelConfig{ model.at("pool").get<std::string>(),
                   model.at("max_output_tokens").get<std::uint64_t>() });
  }
}

void
ParseServices(const json& aContent, Configuration& aConfiguration)
{
  for (const auto& [name, service] : aContent.at("services").items()) {
    ServiceConfig parsed;
    parsed.m_pool = service.at("pool").get<std::string>();
    for (const json& call : service.at("calls")) {
      parsed.m_calls.push_back(
        { call.at("method").get<std::string>(),
          call.at("path").get<std::string>(),
          call.at("repeatable").get<bool>(),
          call.value("cost_tokens", std::uint64_t{ 0 }) });
    }
    aConfiguration.m_services.emplace(name, std::move(parsed));
  }
}

void
ParseLimits(const json& aContent, Configuration& aConfiguration)
{
  const json limits = aContent.value("limits", json::object());
  LimitsConfig& parsed = aConfiguration.m_limits;
  parsed.m_maxBodyBytes = limits.value("max_body_bytes", parsed.m_maxBodyBytes);
  parsed.m_defaultOutputTokens =
    limits.value("default_output_tokens", parsed.m_defaultOutputTokens);
  parsed.m_requestTimeoutMilliseconds =
    limits.value("request_timeout_ms", parsed.m_requestTimeoutMilliseconds);
  parsed.m_maxRequestsInFlight =
    limits.value("max_requests_under_way", parsed.m_maxRequestsInFlight);
}

} // namespace

const ServiceCallConfig*
ServiceConfig::FindCall(const std::string& aMethod,
                        const std::string& aPath) const
{
  auto found = std::find_if(
    m_calls.begin(), m_calls.end(), [&](const ServiceCallConfig& aCall) {
      return aCall.m_method == aMethod && aCall.m_path == aPath;
    });
  return found == m_calls.end() ? nullptr : &*found;
}

absl::StatusOr<Configuration>
Configuration::FromDocument(const std::string& aDocument)
{
  try {
    const json document = json::parse(aDocument);
    Configuration configuration;
    configuration.m_version = document.at("version").get<std::uint64_t>();
    configuration.m_changeId = document.at("change_id").get<std::string>();
    configuration.m_author = document.at("author").get<std::string>();
    const json& content = document.at("content");
    ParseAccounts(content, configuration);
    ParsePools(content, configuration);
    ParseModels(content, configuration);
    ParseServices(content, configuration);
    ParseLimits(content, configuration);
    return configuration;
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat("cannot parse the configuration: ", error.what()));
  }
}

} // namespace bergamotpaddle
