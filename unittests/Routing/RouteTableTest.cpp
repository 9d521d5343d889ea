/// \file
/// Lookups of routes and accounts in a configuration.
#include "bergamotpaddle/Routing/RouteTable.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

TEST_CASE("a route table", "[routes]")
{
  RoutingConfig config;
  const auto addRoute = [&config](const std::string& aName,
                                  const std::string& aHost,
                                  const std::string& aPrefix) {
    Route route;
    route.m_name = aName;
    route.m_host = aHost;
    route.m_pathPrefix = aPrefix;
    config.m_routes.push_back(route);
  };
  addRoute("short", "desk.example", "/a/");
  addRoute("long", "desk.example", "/a/b/");
  addRoute("other", "dock.example", "/a/");
  Account account;
  account.m_id = AccountId("cafe");
  account.m_apiKeys = { "k1", "k2" };
  config.m_accounts.push_back(account);
  const RouteTable table(config);

  SECTION("selects the route of the host with the longest matching prefix")
  {
    CHECK(table.Match("desk.example", "/a/x")->m_name == "short");
    CHECK(table.Match("desk.example", "/a/b/x")->m_name == "long");
    CHECK(table.Match("dock.example", "/a/b/x")->m_name == "other");
  }

  SECTION("matches complete path segments and ignores queries")
  {
    CHECK(table.Match("desk.example", "/ab/x") == nullptr);
    CHECK(table.Match("desk.example", "/a?/b/") == nullptr);
    CHECK(table.Match("none.example", "/a/x") == nullptr);
  }

  SECTION("matches complete API keys only")
  {
    CHECK(table.AccountOfKey("k2")->m_id == account.m_id);
    CHECK(table.AccountOfKey("k") == nullptr);
    CHECK(table.RequiresApiKeys());
    CHECK_FALSE(RouteTable(RoutingConfig{}).RequiresApiKeys());
  }
}
