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

// These readers throw json::exception if a member is missing or has another
// type.

std::uint64_t
ReadRevision(const json& aBody)
{
  return aBody.at("revision").get_ref<const json::number_unsigned_t&>();
}

KeyValueEntry
ReadEntry(const json& aBody)
{
  KeyValueEntry entry{ ReadRevision(aBody), {} };
  if (entry.m_revision != 0) {
    entry.m_value = aBody.at("value").get_ref<const std::string&>();
  }
  return entry;
}

std::map<std::string, KeyValueEntry>
ReadEntries(const json& aBody)
{
  std::map<std::string, KeyValueEntry> entries;
  for (const auto& [key, entry] :
       aBody.at("entries").get_ref<const json::object_t&>()) {
    entries.emplace(key, ReadEntry(entry));
  }
  return entries;
}

/// Returns what \p aRead reads from the body of a response with status 200, or
/// an error: `Aborted` for status 409, else `Unavailable`.
template<typename Result>
absl::StatusOr<Result>
ParseResponse(const HttpReply& aResponse,
              Result (*aRead)(const json&),
              KeyValueCallCounts& aCounts)
{
  if (aResponse.m_status == kHttpConflict) {
    return absl::AbortedError("the key is at another revision; read it again");
  }
  std::string reason = aResponse.HasResponse()
                         ? absl::StrCat("status ", aResponse.m_status)
                         : aResponse.m_error;
  if (aResponse.m_status == kHttpOk) {
    try {
      return aRead(json::parse(aResponse.m_body));
    } catch (const json::exception& error) {
      reason = absl::StrCat("invalid response: ", error.what());
    }
  }
  ++aCounts.m_unavailable;
  return absl::UnavailableError(absl::StrCat("key-value service: ", reason));
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
    Start(MakeCall("GET", "/v1/kv/" + aKey, {}), ReadEntry, aDone);
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
    Start(MakeCall("PUT", "/v1/kv/" + aKey, body.dump()), ReadRevision, aDone);
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
    Start(call, ReadEntry, aDone);
  }

  void List(const std::string& aPrefix,
            const KeyValueHooks::ListHook& aDone) const
  {
    ++m_counts->m_reads;
    Start(
      MakeCall("GET", "/v1/list?prefix=" + aPrefix, {}), ReadEntries, aDone);
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
    Start(
      MakeCall("PUT", "/v1/lease/" + aKey, body.dump()), ReadRevision, aDone);
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

  template<typename Result>
  void Start(const HttpCall& aCall,
             Result (*aRead)(const json&),
             std::function<void(absl::StatusOr<Result>)> aDone) const
  {
    m_client->Start(aCall,
                    [aRead, done = std::move(aDone), counts = m_counts](
                      const HttpReply& aResponse) {
                      done(ParseResponse(aResponse, aRead, *counts));
                    });
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
