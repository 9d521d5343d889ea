#include "bergamotpaddle/Scheduling/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

/// Forecast while nothing is known of the pool: beyond all time limits.
constexpr Duration kUnknownWait = std::chrono::hours(1);
constexpr double kMinWeight = 0.01;

Duration
FromSeconds(double aSeconds)
{
  const double limit = std::chrono::duration<double>(kUnknownWait).count();
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, 0.0, limit)));
}

double
Step(const WaitRequest& aRequest)
{
  return 1 / std::max(aRequest.m_weight, kMinWeight);
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions aOptions)
  : m_options(aOptions)
{
}

void
AdmissionQueue::NoteEnded(const ServiceId& aService,
                          std::optional<Duration> aDuration)
{
  Pool& pool = m_pools[aService];
  pool.m_ownFreed += pool.m_places.empty() ? 0 : 1;
  if (!aDuration) {
    return;
  }
  const double seconds = std::chrono::duration<double>(*aDuration).count();
  pool.m_meanSeconds = pool.m_meanSeconds == 0
                         ? seconds
                         : pool.m_meanSeconds + (seconds - pool.m_meanSeconds) *
                                                  m_options.m_durationWeight;
}

void
AdmissionQueue::NotePeerWaiting(const std::string& aPeer,
                                const ServiceId& aService,
                                std::size_t aWaiting,
                                Instant aNow)
{
  auto& peers = m_pools[aService].m_peers;
  peers.erase(aPeer);
  std::erase_if(peers, [&](const auto& aEntry) {
    return aNow - aEntry.second.second >= m_options.m_peerValidity;
  });
  if (aWaiting > 0) {
    peers[aPeer] = { std::min(aWaiting, m_options.m_maxWaiting), aNow };
  }
}

std::size_t
AdmissionQueue::PeersWaiting(const Pool& aPool, Instant aNow) const
{
  std::size_t sum = 0;
  for (const auto& [peer, report] : aPool.m_peers) {
    sum += aNow - report.second < m_options.m_peerValidity ? report.first : 0;
  }
  return sum;
}

std::size_t
AdmissionQueue::OwnWaiting(const Pool& aPool)
{
  return aPool.m_places.size() + aPool.m_released;
}

Duration
AdmissionQueue::Interval(const Pool& aPool,
                         const PoolLoad& aLoad,
                         Instant aNow) const
{
  if (aPool.m_meanSeconds == 0 || aLoad.m_capacity == 0) {
    return kUnknownWait;
  }
  // Places become free at the rate at which the requests in flight end; the
  // routers share them by their waiting requests.
  const double own =
    static_cast<double>(std::max<std::size_t>(OwnWaiting(aPool), 1));
  const double peers = static_cast<double>(PeersWaiting(aPool, aNow));
  return FromSeconds(aPool.m_meanSeconds / std::max(aLoad.m_requests, 1) *
                     (1 + peers / own));
}

Duration
AdmissionQueue::Forecast(const Pool& aPool,
                         const PoolLoad& aLoad,
                         std::size_t aAhead,
                         Instant aNow) const
{
  if (aNow < aPool.m_stalledUntil) {
    return kUnknownWait;
  }
  const auto ahead = static_cast<Duration::rep>(aAhead + aPool.m_released + 1);
  return std::min(Interval(aPool, aLoad, aNow), kUnknownWait / ahead) *
         std::max<Duration::rep>(ahead - aLoad.m_free, 0);
}

void
AdmissionQueue::NoteAdmitted(WaitId aId, Instant aNow)
{
  const auto found = m_waiters.find(aId);
  if (found == m_waiters.end()) {
    return;
  }
  m_pools[found->second.m_request.m_service].m_admittedAt = aNow;
  Leave(aId);
}

Duration
AdmissionQueue::DropHopeless(Pool& aPool,
                             const PoolLoad& aLoad,
                             Instant aNow,
                             WaitId aWatched,
                             std::vector<WaitId>& aDropped)
{
  Duration watchedForecast{ 0 };
  if (aPool.m_places.empty()) {
    return watchedForecast;
  }
  const int topUrgency = aPool.m_places.begin()->m_urgency;
  const auto run = static_cast<std::size_t>(m_options.m_urgentRun);
  std::size_t ahead = 0;
  std::size_t lessUrgentAhead = 0;
  std::vector<WaitId> hopeless;
  for (const Place& place : aPool.m_places) {
    const bool isTop = place.m_urgency == topUrgency;
    const std::size_t before =
      isTop ? ahead : std::min(ahead, (lessUrgentAhead + 1) * run - 1);
    const Duration forecast = Forecast(aPool, aLoad, before, aNow);
    Duration needed = forecast;
    if (place.m_id == aWatched) {
      watchedForecast = forecast;
      needed = forecast + forecast / m_options.m_forecastMargin;
    }
    if (aNow + needed > m_waiters.at(place.m_id).m_request.m_usefulUntil ||
        ahead >= m_options.m_maxWaiting) {
      hopeless.push_back(place.m_id);
      continue;
    }
    ++ahead;
    lessUrgentAhead += isTop ? 0 : 1;
  }
  for (const WaitId id : hopeless) {
    Leave(id);
    aDropped.push_back(id);
  }
  return watchedForecast;
}

WaitDecision
AdmissionQueue::Offer(const WaitRequest& aRequest,
                      const PoolLoad& aLoad,
                      Instant aNow)
{
  Pool& pool = m_pools[aRequest.m_service];
  if (OwnWaiting(pool) == 0) {
    pool.m_admittedAt = aNow;
  }
  if (pool.m_places.empty()) {
    pool.m_ownFreed = 0;
    pool.m_shareLeft = 0;
    pool.m_sharedRoom = aLoad.m_free;
    pool.m_sharedAt = aNow;
  }
  UrgencyClass& urgencyClass = pool.m_classes[aRequest.m_urgency];
  double& nextStart = urgencyClass.m_nextStart[aRequest.m_account];
  const double start = std::max(urgencyClass.m_now, nextStart);
  nextStart = start + Step(aRequest);
  WaitDecision decision;
  decision.m_id = m_nextId++;
  const Place place{ aRequest.m_urgency, start, decision.m_id };
  m_waiters[decision.m_id] = { aRequest, place, false };
  pool.m_places.insert(place);
  decision.m_forecast =
    DropHopeless(pool, aLoad, aNow, decision.m_id, decision.m_pushedOut);
  decision.m_isQueued = std::erase(decision.m_pushedOut, decision.m_id) == 0;
  return decision;
}

std::set<AdmissionQueue::Place>::const_iterator
AdmissionQueue::NextPlace(Pool& aPool) const
{
  const auto first = aPool.m_places.begin();
  const auto lessUrgent =
    std::find_if(first, aPool.m_places.end(), [first](const Place& aPlace) {
      return aPlace.m_urgency != first->m_urgency;
    });
  if (lessUrgent == aPool.m_places.end()) {
    aPool.m_urgentReleases = 0;
    return first;
  }
  if (++aPool.m_urgentReleases >= m_options.m_urgentRun) {
    aPool.m_urgentReleases = 0;
    return lessUrgent;
  }
  return first;
}

int
AdmissionQueue::ReleasableRoom(Pool& aPool,
                               const PoolLoad& aLoad,
                               Instant aNow) const
{
  const int free = aLoad.m_free - static_cast<int>(aPool.m_released);
  const std::size_t peersWaiting = PeersWaiting(aPool, aNow);
  if (peersWaiting == 0) {
    return free;
  }
  const int ownFreed = std::exchange(aPool.m_ownFreed, 0);
  const bool isSharedAnew =
    aNow - aPool.m_sharedAt >= m_options.m_sharingInterval;
  const int shared = isSharedAnew ? 0 : aPool.m_sharedRoom;
  const int newRoom = std::max(free - ownFreed - shared, 0);
  const auto own = static_cast<double>(OwnWaiting(aPool));
  aPool.m_shareLeft +=
    newRoom * own / (own + static_cast<double>(peersWaiting));
  const int share = static_cast<int>(aPool.m_shareLeft);
  const int room = std::min(free, ownFreed + share);
  aPool.m_shareLeft = std::min(aPool.m_shareLeft - share, 1.0);
  aPool.m_sharedRoom = std::max(free - std::max(room, 0), 0);
  if (isSharedAnew || newRoom > 0) {
    aPool.m_sharedAt = aNow;
  }
  return room;
}

std::vector<WaitId>
AdmissionQueue::Release(const ServiceId& aService,
                        const PoolLoad& aLoad,
                        Instant aNow)
{
  std::vector<WaitId> released;
  const auto found = m_pools.find(aService);
  if (found == m_pools.end() || found->second.m_places.empty()) {
    return released;
  }
  Pool& pool = found->second;
  for (int room = ReleasableRoom(pool, aLoad, aNow);
       room > 0 && !pool.m_places.empty();
       --room) {
    const auto next = NextPlace(pool);
    UrgencyClass& urgencyClass = pool.m_classes[next->m_urgency];
    urgencyClass.m_now = std::max(urgencyClass.m_now, next->m_start);
    released.push_back(next->m_id);
    m_waiters.at(next->m_id).m_isReleased = true;
    pool.m_places.erase(next);
    ++pool.m_released;
  }
  return released;
}

void
AdmissionQueue::PutBack(WaitId aId)
{
  const auto found = m_waiters.find(aId);
  if (found == m_waiters.end() || !found->second.m_isReleased) {
    return;
  }
  Waiter& waiter = found->second;
  Pool& pool = m_pools[waiter.m_request.m_service];
  waiter.m_isReleased = false;
  --pool.m_released;
  pool.m_places.insert(waiter.m_place);
}

void
AdmissionQueue::Leave(WaitId aId)
{
  const auto found = m_waiters.find(aId);
  if (found == m_waiters.end()) {
    return;
  }
  const Waiter& waiter = found->second;
  const WaitRequest& request = waiter.m_request;
  Pool& pool = m_pools[request.m_service];
  if (waiter.m_isReleased) {
    --pool.m_released;
  } else {
    pool.m_places.erase(waiter.m_place);
    // It got no room: the account's next request doesn't pay for it.
    pool.m_classes[request.m_urgency].m_nextStart[request.m_account] -=
      Step(request);
  }
  m_waiters.erase(found);
  if (pool.m_places.empty() && pool.m_released == 0) {
    pool.m_classes.clear();
    pool.m_urgentReleases = 0;
  }
}

std::vector<WaitId>
AdmissionQueue::PushOut(const ServiceId& aService,
                        const PoolLoad& aLoad,
                        Instant aNow)
{
  std::vector<WaitId> dropped;
  const auto found = m_pools.find(aService);
  if (found != m_pools.end()) {
    Pool& pool = found->second;
    const Duration stall =
      std::max(m_options.m_minStall,
               Interval(pool, aLoad, aNow) * m_options.m_stallIntervals);
    if (OwnWaiting(pool) > 0 && aNow - pool.m_admittedAt > stall) {
      pool.m_stalledUntil = aNow + m_options.m_stallTime;
    }
    DropHopeless(found->second, aLoad, aNow, 0, dropped);
  }
  return dropped;
}

bool
AdmissionQueue::MustWaitBehind(const ServiceId& aService, int aUrgency) const
{
  const auto found = m_pools.find(aService);
  return found != m_pools.end() && !found->second.m_places.empty() &&
         found->second.m_places.begin()->m_urgency <= aUrgency;
}

Duration
AdmissionQueue::RetryAfter(Duration aForecast,
                           Duration aTimeLeft,
                           double aSpread) const
{
  // Callers wait for a third of the time that they have left at most.
  constexpr int kCallersPatience = 3;
  const Duration latest =
    std::max(aTimeLeft / kCallersPatience, m_options.m_minRetrySpread);
  const Duration earliest =
    std::clamp(aForecast,
               m_options.m_minRetrySpread,
               std::max(latest / 2, m_options.m_minRetrySpread));
  const Duration span =
    std::min(std::max(earliest, m_options.m_minRetrySpread), latest - earliest);
  return earliest + FromSeconds(std::chrono::duration<double>(span).count() *
                                std::clamp(aSpread, 0.0, 1.0));
}

std::size_t
AdmissionQueue::Waiting(const ServiceId& aService) const
{
  const auto found = m_pools.find(aService);
  return found == m_pools.end() ? 0 : OwnWaiting(found->second);
}

std::vector<ServiceId>
AdmissionQueue::KnownServices() const
{
  std::vector<ServiceId> services;
  services.reserve(m_pools.size());
  for (const auto& [service, pool] : m_pools) {
    services.push_back(service);
  }
  return services;
}

std::vector<ServiceId>
AdmissionQueue::Services() const
{
  std::vector<ServiceId> services;
  for (const auto& [service, pool] : m_pools) {
    if (OwnWaiting(pool) > 0) {
      services.push_back(service);
    }
  }
  return services;
}

} // namespace bergamotpaddle
