#include "bergamotpaddle/Scheduling/ColdRate.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

/// Number of upstreams above which those without recent requests are removed.
constexpr std::size_t kMaxUpstreams = 1024;

} // namespace

ColdRate::ColdRate(ColdRateOptions aOptions)
  : m_options(aOptions)
{
}

void
ColdRate::SetServices(const std::vector<Service>& aServices)
{
  std::map<ServiceId, Limit> limits;
  for (const Service& service : aServices) {
    const bool isLimited = m_options.m_over > 0 && service.m_coldPerSecond > 0;
    if (!isLimited) {
      continue;
    }
    // Half of the bound: routers with wholly different lists keep it as well.
    const double owned = std::min(
      service.m_coldPerSecond,
      (service.m_coldPerSecond * m_options.m_over + m_options.m_slack) / 2);
    limits[service.m_id] = { std::max(static_cast<int>(std::floor(owned)), 1),
                             service.m_coldTime };
  }
  if (limits != m_limits) {
    m_limits = std::move(limits);
    for (auto& [id, upstream] : m_upstreams) {
      upstream.m_isOwner.reset();
    }
  }
}

void
ColdRate::SetRouters(const std::string& aSelf,
                     const std::set<std::string>& aRouters,
                     Instant aNow)
{
  if (!m_ownsFrom) {
    // A process before this one, at the same address, may have used its share.
    m_ownsFrom = aNow + m_options.m_window;
  }
  if (m_self == aSelf && m_routers == aRouters) {
    return;
  }
  m_self = aSelf;
  m_routers = aRouters;
  for (auto& [id, upstream] : m_upstreams) {
    upstream.m_isOwner.reset();
  }
}

ColdRate::Upstream*
ColdRate::Track(const UpstreamId& aId, const ServiceId& aService)
{
  if (!m_limits.contains(aService)) {
    return nullptr;
  }
  Upstream& upstream = m_upstreams[aId];
  if (upstream.m_service != aService) {
    upstream.m_service = aService;
    upstream.m_isOwner.reset();
  }
  return &upstream;
}

bool
ColdRate::NoteCold(const UpstreamId& aId,
                   const ServiceId& aService,
                   Duration aLeft,
                   bool aIsNew,
                   Instant aNow)
{
  Upstream* upstream = aLeft > Duration(0) ? Track(aId, aService) : nullptr;
  if (upstream == nullptr) {
    return false;
  }
  const bool wasWarm = upstream->m_coldUntil <= aNow;
  if (wasWarm && !aIsNew) {
    // Requests that all routers sent while they took it for a warm one count.
    upstream->m_holdUntil = aNow + m_options.m_window;
  }
  upstream->m_coldUntil =
    std::max(upstream->m_coldUntil, aNow + aLeft + m_options.m_margin);
  Prune(aNow);
  return wasWarm;
}

void
ColdRate::AssumeCold(const UpstreamId& aId,
                     const ServiceId& aService,
                     Instant aNow)
{
  const auto limit = m_limits.find(aService);
  if (limit != m_limits.end()) {
    NoteCold(aId, aService, limit->second.m_coldTime, true, aNow);
  }
}

bool
ColdRate::IsCold(const UpstreamId& aId, Instant aNow) const
{
  const auto found = m_upstreams.find(aId);
  return found != m_upstreams.end() && found->second.m_coldUntil > aNow;
}

int
ColdRate::SentInWindow(const Upstream& aUpstream, Instant aNow) const
{
  return static_cast<int>(std::count_if(
    aUpstream.m_sentAt.begin(), aUpstream.m_sentAt.end(), [&](Instant aAt) {
      return aNow - aAt < m_options.m_window;
    }));
}

bool
ColdRate::IsOwner(const UpstreamId& aId, std::size_t aOwners) const
{
  const std::uint64_t own = RendezvousWeight(aId.Str(), m_self);
  const auto before = std::count_if(
    m_routers.begin(), m_routers.end(), [&](const std::string& aRouter) {
      return aRouter != m_self && RendezvousWeight(aId.Str(), aRouter) > own;
    });
  return static_cast<std::size_t>(before) < aOwners;
}

int
ColdRate::Share(const UpstreamId& aId, const Upstream& aUpstream) const
{
  const auto limit = m_limits.find(aUpstream.m_service);
  if (limit == m_limits.end() || m_routers.empty()) {
    return 0;
  }
  const auto owned = static_cast<std::size_t>(limit->second.m_owned);
  if (m_routers.size() <= owned) {
    return static_cast<int>(owned / m_routers.size());
  }
  if (!aUpstream.m_isOwner) {
    aUpstream.m_isOwner = IsOwner(aId, owned);
  }
  return *aUpstream.m_isOwner ? 1 : 0;
}

int
ColdRate::Share(const UpstreamId& aId, const ServiceId& aService) const
{
  Upstream upstream;
  upstream.m_service = aService;
  return Share(aId, upstream);
}

ColdUpstreams
ColdRate::Find(const ServiceId& aService, Instant aNow) const
{
  ColdUpstreams cold;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.m_service != aService || upstream.m_coldUntil <= aNow) {
      continue;
    }
    const bool isOpen =
      aNow >= upstream.m_holdUntil && m_ownsFrom && aNow >= *m_ownsFrom &&
      SentInWindow(upstream, aNow) + upstream.m_reserved < Share(id, upstream);
    (isOpen ? cold.m_open : cold.m_withheld).insert(id);
  }
  return cold;
}

void
ColdRate::Reserve(const UpstreamId& aId, const ServiceId& aService)
{
  if (Upstream* upstream = Track(aId, aService)) {
    ++upstream->m_reserved;
  }
}

void
ColdRate::Release(const UpstreamId& aId)
{
  const auto found = m_upstreams.find(aId);
  if (found != m_upstreams.end()) {
    found->second.m_reserved = std::max(found->second.m_reserved - 1, 0);
  }
}

bool
ColdRate::Send(const UpstreamId& aId, const ServiceId& aService, Instant aNow)
{
  Release(aId);
  Upstream* upstream = Track(aId, aService);
  if (upstream == nullptr) {
    return true;
  }
  while (!upstream->m_sentAt.empty() &&
         aNow - upstream->m_sentAt.front() >= m_options.m_window) {
    upstream->m_sentAt.pop_front();
  }
  if (upstream->m_coldUntil > aNow &&
      (aNow < upstream->m_holdUntil || !m_ownsFrom || aNow < *m_ownsFrom ||
       SentInWindow(*upstream, aNow) >= Share(aId, *upstream))) {
    return false;
  }
  upstream->m_sentAt.push_back(aNow);
  return true;
}

void
ColdRate::Prune(Instant aNow)
{
  if (m_upstreams.size() <= kMaxUpstreams) {
    return;
  }
  std::erase_if(m_upstreams, [&](const auto& aItem) {
    const Upstream& upstream = aItem.second;
    return upstream.m_coldUntil <= aNow && upstream.m_reserved == 0 &&
           SentInWindow(upstream, aNow) == 0;
  });
}

} // namespace bergamotpaddle
