#include "bergamotpaddle/Routing/RouteTable.h"

#include <algorithm>
#include <optional>

namespace bergamotpaddle {

RouteTable::RouteTable(RoutingConfig aConfig)
  : m_config(std::move(aConfig))
{
  std::optional<int> mostUrgent;
  for (const Route& route : m_config.m_routes) {
    if (route.m_kind == CallKind::kStream) {
      mostUrgent =
        std::min(mostUrgent.value_or(route.m_priority), route.m_priority);
    }
  }
  m_mostUrgentPriority = mostUrgent.value_or(0);
  for (std::size_t i = 0; i < m_config.m_routes.size(); ++i) {
    m_routesOfHost[m_config.m_routes[i].m_host].push_back(i);
  }
  for (auto& [host, routes] : m_routesOfHost) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [this](std::size_t aLeft, std::size_t aRight) {
                       return m_config.m_routes[aLeft].m_pathPrefix.size() >
                              m_config.m_routes[aRight].m_pathPrefix.size();
                     });
  }
  for (std::size_t i = 0; i < m_config.m_accounts.size(); ++i) {
    m_accountOfName[m_config.m_accounts[i].m_id.Str()] = i;
    for (const std::string& key : m_config.m_accounts[i].m_apiKeys) {
      m_accountOfKey[key] = i;
    }
  }
  for (std::size_t i = 0; i < m_config.m_services.size(); ++i) {
    m_serviceOfName[m_config.m_services[i].m_id.Str()] = i;
  }
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto found = m_routesOfHost.find(std::string(aHost));
  if (found == m_routesOfHost.end()) {
    return nullptr;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  for (std::size_t index : found->second) {
    const Route& route = m_config.m_routes[index];
    if (path.starts_with(route.m_pathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

const Account*
RouteTable::AccountOfKey(std::string_view aApiKey) const
{
  const auto found = m_accountOfKey.find(std::string(aApiKey));
  return found == m_accountOfKey.end() ? nullptr
                                       : &m_config.m_accounts[found->second];
}

const Account*
RouteTable::FindAccount(const AccountId& aId) const
{
  const auto found = m_accountOfName.find(aId.Str());
  return found == m_accountOfName.end() ? nullptr
                                        : &m_config.m_accounts[found->second];
}

const Service*
RouteTable::FindService(const ServiceId& aId) const
{
  const auto found = m_serviceOfName.find(aId.Str());
  return found == m_serviceOfName.end() ? nullptr
                                        : &m_config.m_services[found->second];
}

} // namespace bergamotpaddle
