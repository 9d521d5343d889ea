/// \file
/// Tests of a router's draws against a fake of the platform's store.
#include "platform/CreditLoop.h"
#include "StoreStandIn.h"
#include "platform/Dialect.h"
#include "platform/WireNames.h"

#include "bergamotpaddle/Support/Text.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamotpaddle;
using namespace bergamotpaddle::platform;

namespace {

using nlohmann::json;

const AccountId kClientAccount("cafe");

asio::awaitable<std::set<HolderId>>
NoProofs(std::vector<HolderId>, std::vector<std::string>)
{
  co_return std::set<HolderId>();
}

/// A store whose items other routers change between the writes.
class BusyStore
{
public:
  explicit BusyStore(asio::io_context& aIo)
    : m_server(aIo,
               [this](const std::string& aTarget, const std::string& aBody) {
                 return Respond(aTarget, aBody);
               })
  {
  }

  /// The holders with a grant of the account.
  std::size_t Grants() const
  {
    const auto item = m_items.find(Cat(kCreditPrefix, kClientAccount.Str()));
    std::string value;
    if (item == m_items.end() ||
        !absl::Base64Unescape(item->second.at("value").get<std::string>(),
                              &value)) {
      return 0;
    }
    return AccountCredit::Decode(value)->m_grants.size();
  }

  StoreStandIn m_server;
  int m_conflicts = 0; ///< Writes that another router's write precedes.

private:
  StoreStandIn::Reply Respond(const std::string& aTarget,
                              const std::string& aBody)
  {
    if (!aTarget.starts_with("/kv-txn")) {
      return { 200, ItemsJson().dump() };
    }
    const json request = json::parse(aBody);
    ++m_revision;
    if (m_conflicts > 0) {
      --m_conflicts;
      for (auto& [key, item] : m_items) {
        item["rev"] = m_revision;
      }
      return { 412, ItemsJson().dump() };
    }
    for (json item : request.at("puts")) {
      item["rev"] = m_revision;
      m_items[item.at("key").get<std::string>()] = item;
    }
    for (const json& key : request.at("delete")) {
      m_items.erase(key.get<std::string>());
    }
    return { 200, json{ { "rev", m_revision } }.dump() };
  }

  json ItemsJson() const
  {
    json items = json::array();
    for (const auto& [key, item] : m_items) {
      items.push_back(item);
    }
    return { { "items", items },
             { "truncated", false },
             { "currentRev", m_revision } };
  }

  std::map<std::string, json> m_items;
  std::uint64_t m_revision = 1;
};

} // namespace

TEST_CASE("a stopping router returns its credit to a busy record", "[credit]")
{
  asio::io_context io(1);
  BusyStore store(io);
  EventLog log(-1, "a/1", {});
  const CreditHolder self{ "a", HolderId("a/1"), "127.0.0.1:1" };
  GatewayState state(MakeDialect(), {}, self, {}, log);
  state.m_routes = std::make_shared<const RouteTable>(RoutingConfig{});
  state.m_credit.SetPrepaid(kClientAccount, 1'000'000);
  StoreClient client(io, store.m_server.Address());
  StoreConfirmations confirmations(state);
  CreditLoop loop(io, state, client, confirmations, self);
  loop.Start([](const CreditRecord&) {}, NoProofs);
  const Instant started = state.Now();
  while (state.m_credit.Spendable(kClientAccount) == 0 &&
         state.Now() - started < std::chrono::seconds(5)) {
    io.run_one_for(std::chrono::milliseconds(50));
  }
  REQUIRE(store.Grants() == 1);

  SECTION("at once") {}
  SECTION("after the writes of others that stop at the same moment")
  {
    store.m_conflicts = 12;
  }
  bool isDone = false;
  loop.ReturnCredit([&] { isDone = true; });
  while (!isDone) {
    io.run_one_for(std::chrono::milliseconds(50));
  }
  CHECK(store.Grants() == 0);
}
