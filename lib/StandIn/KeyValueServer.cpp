#include "bergamotpaddle/StandIn/KeyValueStore.h"
#include "bergamotpaddle/StandIn/Servers.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr std::string_view kKeyPrefix = "/v1/kv/";
constexpr std::string_view kLeasePrefix = "/v1/lease/";
constexpr std::string_view kWatchPrefix = "/v1/watch/";
constexpr Duration kExpireInterval = std::chrono::milliseconds(100);

json
ToJson(const KeyValueEntry& aEntry)
{
  return { { "revision", aEntry.m_revision }, { "value", aEntry.m_value } };
}

class KeyValueServer : public StandInServer
{
public:
  explicit KeyValueServer(EventLoop& aLoop)
    : m_loop(&aLoop)
  {
    m_loop->Post([this] { ExpireLeases(); });
  }

  void Handle(const HttpRequest& aRequest,
              const HttpResponderPtr& aResponder) override
  {
    if (aRequest.m_path == "/faults") {
      SetFaults(json::parse(aRequest.m_body, nullptr, false));
      aResponder->SendJson(200, "{}");
      return;
    }
    if (aRequest.m_path == "/runs") {
      aResponder->SendJson(
        200, json{ { "reads", m_reads }, { "writes", m_writes } }.dump());
      return;
    }
    if (m_isDown) {
      aResponder->Abort();
      return;
    }
    if (m_delay.count() > 0) {
      m_loop->After(
        m_delay, [this, aRequest, aResponder] { Serve(aRequest, aResponder); });
      return;
    }
    Serve(aRequest, aResponder);
  }

private:
  /// A request that waits for its key to change.
  struct Watch
  {
    std::uint64_t m_afterRevision = 0;
    HttpResponderPtr m_responder;
  };

  void SetFaults(const json& aFaults)
  {
    m_isDown = aFaults.value("down", m_isDown);
    m_delay = std::chrono::milliseconds(aFaults.value(
      "delay_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(m_delay).count()));
    m_responsesToDrop = aFaults.value("lose_answers", m_responsesToDrop);
    m_rateLimits.m_writesPerSecond =
      aFaults.value("writes_per_second", m_rateLimits.m_writesPerSecond);
    m_rateLimits.m_readsPerSecond =
      aFaults.value("reads_per_second", m_rateLimits.m_readsPerSecond);
    m_store.SetRateLimits(m_rateLimits);
    if (!m_isDown) {
      return;
    }
    for (auto& [key, watch] : m_watches) {
      watch.m_responder->Abort();
    }
    m_watches.clear();
  }

  void Serve(const HttpRequest& aRequest, const HttpResponderPtr& aResponder)
  {
    const bool isWrite = aRequest.m_method == "PUT";
    const Instant now = m_loop->Now();
    if (!(isWrite ? m_store.AllowWrite(now) : m_store.AllowRead(now))) {
      aResponder->SendJson(429, R"({"error":"over the rate"})");
      return;
    }
    ++(isWrite ? m_writes : m_reads);
    const std::string& path = aRequest.m_path;
    if (path.starts_with(kKeyPrefix) && isWrite) {
      Put(path.substr(kKeyPrefix.size()),
          json::parse(aRequest.m_body, nullptr, false),
          aResponder);
      return;
    }
    if (path.starts_with(kKeyPrefix)) {
      aResponder->SendJson(
        200, ToJson(m_store.Get(path.substr(kKeyPrefix.size()))).dump());
      return;
    }
    if (path.starts_with(kLeasePrefix) && isWrite) {
      KeepAlive(path.substr(kLeasePrefix.size()),
                json::parse(aRequest.m_body, nullptr, false),
                aResponder);
      return;
    }
    if (path.starts_with(kWatchPrefix)) {
      StartWatch(path.substr(kWatchPrefix.size()), aRequest, aResponder);
      return;
    }
    if (path == "/v1/list") {
      json entries = json::object();
      for (const auto& [key, entry] : m_store.List(aRequest.Query("prefix"))) {
        entries[key] = ToJson(entry);
      }
      aResponder->SendJson(200, json{ { "entries", entries } }.dump());
      return;
    }
    aResponder->SendJson(404, R"({"error":"no such path"})");
  }

  void Put(const std::string& aKey,
           const json& aBody,
           const HttpResponderPtr& aResponder)
  {
    if (!aBody.is_object()) {
      aResponder->SendJson(400,
                           R"({"error":"the body must be a JSON object"})");
      return;
    }
    std::optional<std::string> value;
    if (aBody.contains("value")) {
      value = aBody["value"].get<std::string>();
    }
    const absl::StatusOr<std::uint64_t> revision = m_store.CompareAndSwap(
      aKey, aBody.value("expected_revision", std::uint64_t{ 0 }), value);
    if (!revision.ok()) {
      aResponder->SendJson(409,
                           R"({"error":"the key is at another revision"})");
      return;
    }
    NotifyWatches(aKey);
    RespondToWrite(json{ { "revision", *revision } }.dump(), aResponder);
  }

  void KeepAlive(const std::string& aKey,
                 const json& aBody,
                 const HttpResponderPtr& aResponder)
  {
    const Duration timeToLive =
      std::chrono::milliseconds(aBody.value("ttl_ms", 1000));
    const std::uint64_t revision = m_store.KeepAlive(
      aKey, aBody.value("value", std::string()), timeToLive, m_loop->Now());
    RespondToWrite(json{ { "revision", revision } }.dump(), aResponder);
  }

  /// Responds to a write that has taken effect, or drops the response if that
  /// fault is injected.
  void RespondToWrite(const std::string& aBody,
                      const HttpResponderPtr& aResponder)
  {
    if (m_responsesToDrop > 0) {
      --m_responsesToDrop;
      aResponder->Abort();
      return;
    }
    aResponder->SendJson(200, aBody);
  }

  void StartWatch(const std::string& aKey,
                  const HttpRequest& aRequest,
                  const HttpResponderPtr& aResponder)
  {
    const std::uint64_t afterRevision =
      std::strtoull(aRequest.Query("after").c_str(), nullptr, 10);
    const Duration timeout = std::chrono::milliseconds(
      std::strtoull(aRequest.Query("timeout_ms").c_str(), nullptr, 10));
    if (m_store.Get(aKey).m_revision > afterRevision) {
      aResponder->SendJson(200, ToJson(m_store.Get(aKey)).dump());
      return;
    }
    auto watch = m_watches.emplace(aKey, Watch{ afterRevision, aResponder });
    m_loop->After(timeout,
                  [this, aKey, aResponder] { EndWatch(aKey, aResponder); });
    static_cast<void>(watch);
  }

  void EndWatch(const std::string& aKey, const HttpResponderPtr& aResponder)
  {
    auto [begin, end] = m_watches.equal_range(aKey);
    for (auto it = begin; it != end; ++it) {
      if (it->second.m_responder == aResponder) {
        aResponder->SendJson(200, ToJson(m_store.Get(aKey)).dump());
        m_watches.erase(it);
        return;
      }
    }
  }

  void NotifyWatches(const std::string& aKey)
  {
    auto [begin, end] = m_watches.equal_range(aKey);
    for (auto it = begin; it != end; ++it) {
      it->second.m_responder->SendJson(200, ToJson(m_store.Get(aKey)).dump());
    }
    m_watches.erase(begin, end);
  }

  void ExpireLeases()
  {
    // Leases expire while the service is down too, as those of a real service
    // do.
    m_store.Expire(m_loop->Now());
    m_loop->After(kExpireInterval, [this] { ExpireLeases(); });
  }

  EventLoop* m_loop;
  KeyValueStore m_store;
  StoreRateLimits m_rateLimits;
  std::multimap<std::string, Watch> m_watches;
  bool m_isDown = false;
  Duration m_delay{ 0 };
  int m_responsesToDrop = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

} // namespace

std::unique_ptr<StandInServer>
MakeKeyValueServer(EventLoop& aLoop)
{
  return std::make_unique<KeyValueServer>(aLoop);
}

} // namespace bergamotpaddle
