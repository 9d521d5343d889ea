#include "bergamotpaddle/Scheduling/ZoneOverflow.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

/// Weight of a new sample in a smoothed value: that of the last ten or so.
constexpr double kSmoothing = 0.1;
/// Changes of a share that are logged.
constexpr double kLoggedChange = 0.25;
/// Changes that are kept until they are logged.
constexpr std::size_t kMaxChanges = 16;

} // namespace

ZoneOverflow::ZoneOverflow(std::string aHomeZone, ZoneOverflowOptions aOptions)
  : m_homeZone(std::move(aHomeZone))
  , m_options(aOptions)
{
}

void
ZoneOverflow::NoteConnectTime(const std::string& aZone, Duration aTime)
{
  if (!IsEnabled()) {
    return;
  }
  const auto time =
    static_cast<double>(std::min(aTime, m_options.m_maxRoundTrip).count());
  const auto [position, isNew] = m_connectUs.try_emplace(aZone, time);
  if (!isNew) {
    position->second += kSmoothing * (time - position->second);
  }
}

void
ZoneOverflow::NoteResponseBytes(const ServiceId& aService, std::uint64_t aBytes)
{
  if (!IsEnabled()) {
    return;
  }
  const auto bytes = static_cast<double>(aBytes);
  std::optional<double>& mean = m_services[aService].m_responseBytes;
  mean = mean ? *mean + kSmoothing * (bytes - *mean) : bytes;
}

Duration
ZoneOverflow::RoundTrip(const std::string& aZone) const
{
  const auto home = m_connectUs.find(m_homeZone);
  const auto other = m_connectUs.find(aZone);
  if (aZone == m_homeZone) {
    return Duration(0);
  }
  if (home == m_connectUs.end() || other == m_connectUs.end()) {
    return m_options.m_initialRoundTrip;
  }
  return Duration(
    static_cast<Duration::rep>(std::max(other->second - home->second, 0.0)));
}

Duration
ZoneOverflow::CrossingCost(const ServiceId& aService,
                           const std::string& aZone,
                           std::uint64_t aRequestBytes) const
{
  constexpr double kKilobyte = 1000;
  constexpr double kMicrosecondsPerMs = 1000;
  const auto found = m_services.find(aService);
  const double responseBytes = found == m_services.end()
                                 ? m_options.m_initialResponseBytes
                                 : found->second.m_responseBytes.value_or(
                                     m_options.m_initialResponseBytes);
  const double kilobytes =
    (static_cast<double>(aRequestBytes) + responseBytes) / kKilobyte;
  return RoundTrip(aZone) +
         Duration(static_cast<Duration::rep>(
           kilobytes * m_options.m_msPerKilobyte * kMicrosecondsPerMs));
}

bool
ZoneOverflow::IsDue(const ServiceId& aService, Instant aNow) const
{
  const auto found = m_services.find(aService);
  return IsEnabled() &&
         (found == m_services.end() || found->second.m_loads.empty() ||
          aNow - found->second.m_updatedAt >= m_options.m_interval);
}

std::optional<ZoneOverflow::Target>
ZoneOverflow::BestTarget(const ServiceId& aService,
                         const ServiceOverflow& aState,
                         std::uint64_t aRequestBytes) const
{
  std::optional<Target> best;
  for (const auto& [zone, load] : aState.m_loads) {
    if (zone == m_homeZone || !HasRoom(aService, zone)) {
      continue;
    }
    const Duration crossing = CrossingCost(aService, zone, aRequestBytes);
    if (!best || load.m_wait + crossing < best->m_wait + best->m_crossing) {
      best = Target{ zone, load.m_wait, crossing };
    }
  }
  return best;
}

void
ZoneOverflow::SmoothLoads(ServiceOverflow& aState,
                          const std::map<std::string, ZoneLoad>& aLoads) const
{
  std::map<std::string, ZoneLoad> loads = aLoads;
  for (auto& [zone, load] : loads) {
    const auto before = aState.m_loads.find(zone);
    if (before == aState.m_loads.end()) {
      continue;
    }
    const ZoneLoad& previous = before->second;
    load.m_utilization =
      previous.m_utilization +
      m_options.m_loadWeight * (load.m_utilization - previous.m_utilization);
    load.m_wait =
      previous.m_wait +
      Duration(static_cast<Duration::rep>(
        m_options.m_loadWeight *
        static_cast<double>((load.m_wait - previous.m_wait).count())));
  }
  aState.m_loads = std::move(loads);
}

double
ZoneOverflow::NextShare(const ServiceOverflow& aState,
                        const std::optional<Target>& aTarget) const
{
  const auto home = aState.m_loads.find(m_homeZone);
  if (home == aState.m_loads.end() || home->second.m_upstreams == 0) {
    return 1;
  }
  if (!aTarget) {
    // Nothing leaves now; a zone that is full for a moment is no reason to
    // begin anew.
    return std::max(aState.m_share - m_options.m_maxStep / 4, 0.0);
  }
  const auto homeWait = static_cast<double>(home->second.m_wait.count());
  const auto crossing = static_cast<double>(aTarget->m_crossing.count());
  const double gain =
    homeWait - static_cast<double>(aTarget->m_wait.count()) - crossing;
  double share = aState.m_share;
  if (gain > crossing * m_options.m_hysteresis) {
    share += m_options.m_maxStep * std::min(gain / homeWait, 1.0);
  } else if (gain < 0) {
    // Home again as fast as the surplus elsewhere demands.
    share -=
      m_options.m_maxStep * std::min(-gain / std::max(crossing, 1.0), 1.0);
  }
  return std::clamp(share, 0.0, 1.0);
}

void
ZoneOverflow::Update(const ServiceId& aService,
                     const std::map<std::string, ZoneLoad>& aLoads,
                     std::uint64_t aRequestBytes,
                     Instant aNow)
{
  ServiceOverflow& state = m_services[aService];
  state.m_updatedAt = aNow;
  SmoothLoads(state, aLoads);
  const std::optional<Target> target =
    BestTarget(aService, state, aRequestBytes);
  state.m_share = NextShare(state, target);
  const bool isEdge = (state.m_share == 0) != (state.m_loggedShare == 0);
  if (!isEdge &&
      std::abs(state.m_share - state.m_loggedShare) < kLoggedChange) {
    return;
  }
  state.m_loggedShare = state.m_share;
  if (m_changes.size() < kMaxChanges) {
    const auto home = state.m_loads.find(m_homeZone);
    m_changes.push_back(
      { aService,
        state.m_share,
        home == state.m_loads.end() ? Duration(0) : home->second.m_wait,
        target ? target->m_zone : "",
        target ? target->m_wait : Duration(0) });
  }
}

std::optional<std::string>
ZoneOverflow::Draw(ServiceOverflow& aState, double aShare, double aLimit) const
{
  std::map<std::string, double> rooms;
  double sum = 0;
  for (const auto& [zone, load] : aState.m_loads) {
    if (zone != m_homeZone && load.m_upstreams > 0 &&
        load.m_utilization < aLimit) {
      rooms[zone] = aLimit - load.m_utilization;
      sum += rooms[zone];
    }
  }
  std::optional<std::string> target;
  for (const auto& [zone, room] : rooms) {
    double& accumulated = aState.m_accumulated[zone];
    accumulated = std::min(accumulated + aShare * room / sum, 2.0);
    const double threshold = aShare < 1 ? 1 : 0;
    if (accumulated >= threshold &&
        (!target || accumulated > aState.m_accumulated[*target])) {
      target = zone;
    }
  }
  if (target) {
    aState.m_accumulated[*target] -= 1;
  }
  return target;
}

std::optional<std::string>
ZoneOverflow::DrawTarget(const ServiceId& aService)
{
  const auto found = m_services.find(aService);
  if (found == m_services.end() || found->second.m_share == 0) {
    return std::nullopt;
  }
  return Draw(found->second, found->second.m_share, m_options.m_maxUtilization);
}

std::optional<std::string>
ZoneOverflow::DrawRefuge(const ServiceId& aService)
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? std::nullopt : Draw(found->second, 1, 1);
}

bool
ZoneOverflow::HasRoom(const ServiceId& aService, const std::string& aZone) const
{
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return false;
  }
  const auto load = found->second.m_loads.find(aZone);
  return load != found->second.m_loads.end() && load->second.m_upstreams > 0 &&
         load->second.m_utilization < m_options.m_maxUtilization;
}

std::map<ServiceId, double>
ZoneOverflow::Shares() const
{
  std::map<ServiceId, double> shares;
  for (const auto& [service, state] : m_services) {
    shares[service] = state.m_share;
  }
  return shares;
}

std::vector<OverflowChange>
ZoneOverflow::TakeChanges()
{
  return std::exchange(m_changes, {});
}

} // namespace bergamotpaddle
