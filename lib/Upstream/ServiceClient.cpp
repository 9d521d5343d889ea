#include "bergamotpaddle/Upstream/UpstreamClient.h"

#include <map>

namespace bergamotpaddle {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 60'000 };
constexpr int kFirstServerError = 500;
/// Longest body of a response: half of the longest frame to a router.
constexpr std::size_t kMaxBodyBytes = 8UL << 20U;

class ServiceClient : public UpstreamClient
{
public:
  ServiceClient(HttpClient& aClient, std::string aBaseUrl, UpstreamHooks aHooks)
    : m_client(&aClient)
    , m_baseUrl(std::move(aBaseUrl))
    , m_hooks(std::move(aHooks))
  {
  }

  void Start(RunId aRun, const Dispatch& aDispatch) override
  {
    HttpCall call;
    call.m_method = aDispatch.m_method;
    call.m_url = m_baseUrl + aDispatch.m_path;
    call.m_body = aDispatch.m_body;
    call.m_totalTimeout = kCallTimeout;
    call.m_maxBodyBytes = kMaxBodyBytes;
    call.m_useNewConnection = !aDispatch.m_repeatable;
    call.m_headers = { { "Content-Type",
                         aDispatch.m_contentType.empty()
                           ? "application/json"
                           : aDispatch.m_contentType },
                       { "Idempotency-Key", aDispatch.m_key.Str() },
                       { "X-Account", aDispatch.m_account.Str() } };
    m_calls[aRun] = m_client->Start(
      std::move(call),
      [this, aRun, isRepeatable = aDispatch.m_repeatable](
        const HttpReply& aReply) { OnEnd(aRun, isRepeatable, aReply); });
  }

  void Cancel(RunId aRun) override
  {
    auto found = m_calls.find(aRun);
    if (found != m_calls.end()) {
      m_client->Cancel(found->second);
    }
  }

private:
  void OnEnd(RunId aRun, bool aIsRepeatable, const HttpReply& aReply)
  {
    m_calls.erase(aRun);
    UpstreamOutcome outcome;
    if (aReply.HasResponse() && !aReply.m_isBare &&
        aReply.m_status < kFirstServerError) {
      outcome.m_httpStatus = aReply.m_status;
      outcome.m_contentType = "application/json";
      m_hooks.m_data(aRun, aReply.m_body, 0);
      m_hooks.m_end(aRun, outcome);
      return;
    }
    // Without a whole response, or after a server error, the call may have run:
    // only a call that was never sent proves that it did not.
    outcome.m_code = aIsRepeatable || aReply.m_isUnsent
                       ? ResultCode::kUpstreamFailed
                       : ResultCode::kOutcomeUnknown;
    outcome.m_ran = aReply.m_isUnsent ? Ran::kNo : Ran::kUnknown;
    m_hooks.m_end(aRun, outcome);
  }

  HttpClient* m_client;
  std::string m_baseUrl;
  UpstreamHooks m_hooks;
  std::map<RunId, HttpCallId> m_calls;
};

} // namespace

std::unique_ptr<UpstreamClient>
MakeServiceClient(HttpClient& aClient,
                  std::string aBaseUrl,
                  UpstreamHooks aHooks)
{
  return std::make_unique<ServiceClient>(
    aClient, std::move(aBaseUrl), std::move(aHooks));
}

} // namespace bergamotpaddle
