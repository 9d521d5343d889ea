#include "bergamotpaddle/Daemon/CallerApi.h"

#include "ChatRequest.h"
#include "ChatResponse.h"

#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 200;
/// Generated keys begin with it; callers' keys must not.
constexpr char kGeneratedKeyPrefix = '~';

std::optional<AccountId>
Authenticate(const HttpRequest& aRequest, const Configuration& aConfiguration)
{
  const std::string header = aRequest.Header("authorization");
  if (!header.starts_with(kBearerPrefix)) {
    return std::nullopt;
  }
  // Looked up by digest: the duration reveals nothing about the stored keys.
  auto found = aConfiguration.m_accountsByKeyHash.find(
    Sha256Hex(header.substr(kBearerPrefix.size())));
  if (found == aConfiguration.m_accountsByKeyHash.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool
IsPrintable(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return aChar > ' ' && aChar < 127;
  });
}

/// Hooks that collect the response to a service call and send it complete.
CallerHooks
MakeServiceHooks(const HttpResponderPtr& aResponder)
{
  auto body = std::make_shared<std::string>();
  CallerHooks hooks;
  hooks.m_data = [body](const std::string& aBytes) { *body += aBytes; };
  hooks.m_end = [body, aResponder](const ResponseEnd& aEnd) {
    aResponder->Send(aEnd.m_httpStatus, *body, aEnd.m_contentType, {});
  };
  hooks.m_fail = [aResponder](const RequestFailure& aFailure) {
    SendFailure(aResponder, aFailure.m_code, aFailure.m_ran);
  };
  return hooks;
}

} // namespace

void
SendFailure(const HttpResponderPtr& aResponder,
            ResultCode aCode,
            Ran aRan,
            const std::string& aMessage)
{
  const ResultCodeInfo& info = Describe(aCode);
  HttpHeaders headers;
  if (info.m_retryAfterSeconds > 0) {
    headers.emplace_back("Retry-After",
                         std::to_string(info.m_retryAfterSeconds));
  }
  aResponder->SendJson(
    info.m_httpStatus, FailureJson(aCode, aRan, aMessage), std::move(headers));
}

CallerApi::CallerApi(RouterCore& aRouter,
                     std::string aIncarnationId,
                     std::function<void(std::function<void()>)> aPost)
  : m_router(&aRouter)
  , m_incarnationId(std::move(aIncarnationId))
  , m_post(std::move(aPost))
{
}

bool
CallerApi::Serves(const HttpRequest& aRequest)
{
  return aRequest.m_path.starts_with("/v1/");
}

void
CallerApi::Handle(const HttpRequest& aRequest,
                  const HttpResponderPtr& aResponder)
{
  const Configuration& configuration = m_router->Current();
  if (configuration.m_version == 0) {
    SendFailure(aResponder, ResultCode::kNotConfigured, Ran::kNo);
    return;
  }
  const std::optional<AccountId> account =
    Authenticate(aRequest, configuration);
  if (!account.has_value()) {
    SendFailure(aResponder, ResultCode::kUnauthorized, Ran::kNo);
    return;
  }
  if (aRequest.m_path == "/v1/models" && aRequest.m_method == "GET") {
    HandleModels(aResponder);
    return;
  }
  if (m_isRefusing) {
    SendFailure(aResponder, ResultCode::kDraining, Ran::kNo);
    return;
  }
  if (aRequest.m_body.size() > configuration.m_limits.m_maxBodyBytes) {
    SendFailure(aResponder, ResultCode::kBodyTooLarge, Ran::kNo);
    return;
  }
  if (m_router->Requests().InFlight() >=
      configuration.m_limits.m_maxRequestsInFlight) {
    SendFailure(aResponder, ResultCode::kOverloaded, Ran::kNo);
    return;
  }
  if (aRequest.m_path == "/v1/chat/completions" &&
      aRequest.m_method == "POST") {
    HandleChat(aRequest, *account, aResponder);
    return;
  }
  if (aRequest.m_path.starts_with(kServicePrefix) &&
      aRequest.m_method == "POST") {
    HandleService(aRequest, *account, aResponder);
    return;
  }
  SendFailure(aResponder, ResultCode::kUnknownRoute, Ran::kNo);
}

void
CallerApi::HandleModels(const HttpResponderPtr& aResponder) const
{
  json models = json::array();
  for (const auto& [name, model] : m_router->Current().m_models) {
    models.push_back({ { "id", name },
                       { "object", "model" },
                       { "owned_by", "bergamotpaddle" } });
  }
  aResponder->SendJson(200,
                       json{ { "object", "list" }, { "data", models } }.dump());
}

bool
CallerApi::SetRequestKey(const HttpRequest& aRequest, Dispatch& aDispatch)
{
  const std::string key = aRequest.Header("idempotency-key");
  if (key.empty()) {
    aDispatch.m_key =
      RequestKey(absl::StrCat(std::string(1, kGeneratedKeyPrefix),
                              m_incarnationId,
                              "-",
                              ++m_lastGeneratedKey));
    aDispatch.m_hasCallerKey = false;
    return true;
  }
  aDispatch.m_key = RequestKey(key);
  aDispatch.m_hasCallerKey = true;
  return key.size() <= kMaxKeyBytes && IsPrintable(key) &&
         key.front() != kGeneratedKeyPrefix;
}

void
CallerApi::HandleChat(const HttpRequest& aRequest,
                      const AccountId& aAccount,
                      const HttpResponderPtr& aResponder)
{
  const Configuration& configuration = m_router->Current();
  const absl::StatusOr<ChatRequest> parsed =
    ParseChatRequest(aRequest.m_body, configuration);
  if (absl::IsNotFound(parsed.status())) {
    SendFailure(aResponder,
                ResultCode::kUnknownModel,
                Ran::kNo,
                std::string(parsed.status().message()));
    return;
  }
  if (!parsed.ok()) {
    SendFailure(aResponder,
                ResultCode::kMalformedRequest,
                Ran::kNo,
                std::string(parsed.status().message()));
    return;
  }
  NewRequest request;
  request.m_pool = configuration.m_models.at(parsed->m_model).m_pool;
  Dispatch& dispatch = request.m_dispatch;
  if (!SetRequestKey(aRequest, dispatch)) {
    SendFailure(aResponder,
                ResultCode::kInvalidHeader,
                Ran::kNo,
                "Idempotency-Key must be 1 to 200 printable characters and not "
                "begin with ~");
    return;
  }
  dispatch.m_account = aAccount;
  dispatch.m_fingerprint = Sha256Hex("chat\n" + aRequest.m_body);
  dispatch.m_kind = WorkKind::kChat;
  dispatch.m_target = parsed->m_model;
  dispatch.m_body = aRequest.m_body;
  dispatch.m_maxOutput = parsed->m_maxTokens;
  dispatch.m_allotment = parsed->m_maxPromptTokens + parsed->m_maxTokens;
  dispatch.m_weight = configuration.m_accounts.at(aAccount).m_weight;
  request.m_caller = MakeChatHooks(aResponder, *parsed, dispatch.m_key);
  Begin(std::move(request), aResponder);
}

void
CallerApi::HandleService(const HttpRequest& aRequest,
                         const AccountId& aAccount,
                         const HttpResponderPtr& aResponder)
{
  const Configuration& configuration = m_router->Current();
  const std::string rest = aRequest.m_path.substr(kServicePrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const std::string name = rest.substr(0, slash);
  const std::string path = slash == rest.size() ? "/" : rest.substr(slash);
  auto service = configuration.m_services.find(name);
  const ServiceCallConfig* call =
    service == configuration.m_services.end()
      ? nullptr
      : service->second.FindCall(aRequest.m_method, path);
  if (call == nullptr) {
    SendFailure(aResponder,
                ResultCode::kUnknownService,
                Ran::kNo,
                absl::StrCat("no call POST ", path, " at service ", name));
    return;
  }
  NewRequest request;
  request.m_pool = service->second.m_pool;
  Dispatch& dispatch = request.m_dispatch;
  if (!SetRequestKey(aRequest, dispatch)) {
    SendFailure(aResponder,
                ResultCode::kInvalidHeader,
                Ran::kNo,
                "Idempotency-Key must be 1 to 200 printable characters and not "
                "begin with ~");
    return;
  }
  if (!call->m_repeatable && !dispatch.m_hasCallerKey) {
    SendFailure(aResponder, ResultCode::kIdempotencyKeyRequired, Ran::kNo);
    return;
  }
  dispatch.m_account = aAccount;
  dispatch.m_fingerprint = Sha256Hex(
    absl::StrCat("service\n", name, "\n", path, "\n", aRequest.m_body));
  dispatch.m_kind = WorkKind::kServiceCall;
  dispatch.m_target = name;
  dispatch.m_method = aRequest.m_method;
  dispatch.m_path = path;
  dispatch.m_body = aRequest.m_body;
  dispatch.m_contentType = aRequest.Header("content-type");
  dispatch.m_fixedCost = call->m_costTokens;
  dispatch.m_allotment = call->m_costTokens;
  dispatch.m_repeatable = call->m_repeatable;
  dispatch.m_weight = configuration.m_accounts.at(aAccount).m_weight;
  request.m_caller = MakeServiceHooks(aResponder);
  Begin(std::move(request), aResponder);
}

void
CallerApi::Begin(NewRequest aRequest, const HttpResponderPtr& aResponder)
{
  const RequestNumber number = m_router->Begin(std::move(aRequest));
  aResponder->OnClosed([router = m_router, post = m_post, number] {
    post([router, number] { router->OnCallerDisconnect(number); });
  });
}

} // namespace bergamotpaddle
