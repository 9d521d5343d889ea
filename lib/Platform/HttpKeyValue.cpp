#include "bergamotpaddle/Platform/HttpKeyValue.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kCallTimeout{ 1500 };
constexpr std::chrono::milliseconds kWatchTimeout{ 25'000 };
constexpr std::chrono::milliseconds kServerWatchTimeout{ 20'000 };

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

/// Returns the JSON body of a response with status 200, or an error: `Aborted`
/// for status 409, else `Unavailable`.
absl::StatusOr<json>
ParseResponse(const HttpReply& aResponse, KeyValueCallCounts& aCounts)
{
  if (aResponse.m_status == kHttpConflict) {
    return absl::AbortedError("the key is at another revision; read it again");
  }
  if (aResponse.m_status != kHttpOk) {
    ++aCounts.m_unavailable;
    return absl::UnavailableError(absl::StrCat(
      "key-value service: ",
      aResponse.HasResponse() ? absl::StrCat("status ", aResponse.m_status)
                              : aResponse.m_error));
  }
  json body = json::parse(aResponse.m_body, nullptr, false);
  if (body.is_discarded()) {
    return absl::UnavailableError(
      "key-value service: the response is not JSON");
  }
  return body;
}

KeyValueEntry
ToEntry(const json& aBody)
{
  return { aBody.value("revision", std::uint64_t{ 0 }),
           aBody.value("value", std::string()) };
}

/// Implements the hooks; each hook holds a copy.
class HttpKeyValue
{
public:
  HttpKeyValue(HttpClient& aClient,
               std::string aBaseUrl,
               KeyValueCallCounts& aCounts)
    : m_client(&aClient)
    , m_baseUrl(std::move(aBaseUrl))
    , m_counts(&aCounts)
  {
  }

  void Get(const std::string& aKey, const KeyValueHooks::EntryHook& aDone) const
  {
    ++m_counts->m_reads;
    Start(MakeCall("GET", "/v1/kv/" + aKey, {}),
          [aDone](absl::StatusOr<json> aBody) {
            aDone(aBody.ok() ? absl::StatusOr<KeyValueEntry>(ToEntry(*aBody))
                             : aBody.status());
          });
  }

  void CompareAndSwap(const std::string& aKey,
                      std::uint64_t aRevision,
                      const std::optional<std::string>& aValue,
                      const KeyValueHooks::RevisionHook& aDone) const
  {
    ++m_counts->m_writes;
    json body = { { "expected_revision", aRevision } };
    if (aValue.has_value()) {
      body["value"] = *aValue;
    }
    Start(MakeCall("PUT", "/v1/kv/" + aKey, body.dump()),
          ToRevisionCallback(aDone));
  }

  void Watch(const std::string& aKey,
             std::uint64_t aRevision,
             const KeyValueHooks::EntryHook& aDone) const
  {
    ++m_counts->m_watches;
    HttpCall call = MakeCall("GET",
                             absl::StrCat("/v1/watch/",
                                          aKey,
                                          "?after=",
                                          aRevision,
                                          "&timeout_ms=",
                                          kServerWatchTimeout.count()),
                             {});
    call.m_totalTimeout = kWatchTimeout;
    Start(std::move(call), [aDone](absl::StatusOr<json> aBody) {
      aDone(aBody.ok() ? absl::StatusOr<KeyValueEntry>(ToEntry(*aBody))
                       : aBody.status());
    });
  }

  void List(const std::string& aPrefix,
            const KeyValueHooks::ListHook& aDone) const
  {
    ++m_counts->m_reads;
    Start(MakeCall("GET", "/v1/list?prefix=" + aPrefix, {}),
          [aDone](absl::StatusOr<json> aBody) {
            if (!aBody.ok()) {
              aDone(aBody.status());
              return;
            }
            std::map<std::string, KeyValueEntry> entries;
            for (const auto& [key, entry] : aBody->at("entries").items()) {
              entries.emplace(key, ToEntry(entry));
            }
            aDone(std::move(entries));
          });
  }

  void KeepAlive(const std::string& aKey,
                 const std::string& aValue,
                 Duration aTimeToLive,
                 const KeyValueHooks::RevisionHook& aDone) const
  {
    ++m_counts->m_writes;
    const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(aTimeToLive)
        .count();
    json body = { { "value", aValue }, { "ttl_ms", milliseconds } };
    Start(MakeCall("PUT", "/v1/lease/" + aKey, body.dump()),
          ToRevisionCallback(aDone));
  }

private:
  HttpCall MakeCall(std::string aMethod,
                    const std::string& aPath,
                    std::string aBody) const
  {
    HttpCall call;
    call.m_method = std::move(aMethod);
    call.m_url = m_baseUrl + aPath;
    call.m_body = std::move(aBody);
    call.m_headers = { { "Content-Type", "application/json" } };
    call.m_totalTimeout = kCallTimeout;
    return call;
  }

  void Start(HttpCall aCall,
             std::function<void(absl::StatusOr<json>)> aDone) const
  {
    m_client->Start(
      std::move(aCall),
      [done = std::move(aDone), counts = m_counts](const HttpReply& aResponse) {
        done(ParseResponse(aResponse, *counts));
      });
  }

  static std::function<void(absl::StatusOr<json>)> ToRevisionCallback(
    const KeyValueHooks::RevisionHook& aDone)
  {
    return [aDone](absl::StatusOr<json> aBody) {
      aDone(aBody.ok() ? absl::StatusOr<std::uint64_t>(
                           aBody->value("revision", std::uint64_t{ 0 }))
                       : aBody.status());
    };
  }

  HttpClient* m_client;
  std::string m_baseUrl;
  KeyValueCallCounts* m_counts;
};

} // namespace

KeyValueHooks
MakeHttpKeyValue(HttpClient& aClient,
                 const std::string& aBaseUrl,
                 KeyValueCallCounts& aCounts)
{
  HttpKeyValue service(aClient, aBaseUrl, aCounts);
  KeyValueHooks hooks;
  hooks.m_get = [service](const std::string& aKey,
                          const KeyValueHooks::EntryHook& aDone) {
    service.Get(aKey, aDone);
  };
  hooks.m_compareAndSwap = [service](const std::string& aKey,
                                     std::uint64_t aRevision,
                                     const std::optional<std::string>& aValue,
                                     const KeyValueHooks::RevisionHook& aDone) {
    service.CompareAndSwap(aKey, aRevision, aValue, aDone);
  };
  hooks.m_watch = [service](const std::string& aKey,
                            std::uint64_t aRevision,
                            const KeyValueHooks::EntryHook& aDone) {
    service.Watch(aKey, aRevision, aDone);
  };
  hooks.m_list = [service](const std::string& aPrefix,
                           const KeyValueHooks::ListHook& aDone) {
    service.List(aPrefix, aDone);
  };
  hooks.m_keepAlive = [service](const std::string& aKey,
                                const std::string& aValue,
                                Duration aTimeToLive,
                                const KeyValueHooks::RevisionHook& aDone) {
    service.KeepAlive(aKey, aValue, aTimeToLive, aDone);
  };
  return hooks;
}

} // namespace bergamotpaddle
