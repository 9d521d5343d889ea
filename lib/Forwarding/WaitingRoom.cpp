#include "bergamotpaddle/Forwarding/WaitingRoom.h"

#include "bergamotpaddle/Support/Hash.h"

namespace bergamotpaddle {

namespace {

std::uint32_t
ShortHash(const ServiceId& aService)
{
  return static_cast<std::uint32_t>(PlacementHash(aService.Str()));
}

} // namespace

WaitingRoom::WaitingRoom(const UpstreamView& aUpstreams,
                         const Placement& aPlacement)
  : m_upstreams(&aUpstreams)
  , m_placement(&aPlacement)
{
}

WaitDecision
WaitingRoom::Offer(const WaitRequest& aRequest, Instant aNow, Waker aWake)
{
  WaitDecision decision = m_queue.Offer(
    aRequest, m_placement->Load(*m_upstreams, aRequest.m_service, aNow), aNow);
  if (decision.m_isQueued) {
    m_wakers[decision.m_id] = std::move(aWake);
    ++m_counters.m_queued;
  } else {
    ++m_counters.m_refused;
  }
  PushOut(decision.m_pushedOut);
  return decision;
}

void
WaitingRoom::Leave(WaitId aId)
{
  m_queue.Leave(aId);
  m_wakers.erase(aId);
}

void
WaitingRoom::NoteEnded(const UpstreamId& aUpstream,
                       std::optional<Duration> aDuration,
                       Instant aNow)
{
  const UpstreamState* state = m_upstreams->Find(aUpstream);
  if (state == nullptr) {
    return;
  }
  const ServiceId service = state->m_entry.m_service;
  m_queue.NoteEnded(service, aDuration);
  if (m_queue.Waiting() > 0) {
    Update(service, aNow);
  }
}

void
WaitingRoom::Update(Instant aNow)
{
  if (m_queue.Waiting() == 0) {
    return;
  }
  for (const ServiceId& service : m_queue.Services()) {
    Update(service, aNow);
  }
}

void
WaitingRoom::Update(const ServiceId& aService, Instant aNow)
{
  const PoolLoad load = m_placement->Load(*m_upstreams, aService, aNow);
  for (const WaitId id : m_queue.Release(aService, load, aNow)) {
    Wake(id, true);
  }
  PushOut(m_queue.PushOut(aService, load, aNow));
}

std::vector<WaitingDigest>
WaitingRoom::Report() const
{
  std::vector<WaitingDigest> report;
  for (const ServiceId& service : m_queue.Services()) {
    report.push_back({ ShortHash(service),
                       static_cast<std::uint32_t>(m_queue.Waiting(service)) });
  }
  return report;
}

void
WaitingRoom::Apply(const std::string& aPeer,
                   const std::vector<WaitingDigest>& aReport,
                   Instant aNow)
{
  // A pool that this router sent nothing to has no queue here either.
  for (const ServiceId& service : m_queue.KnownServices()) {
    std::size_t waiting = 0;
    for (const WaitingDigest& entry : aReport) {
      waiting += entry.m_service == ShortHash(service) ? entry.m_waiting : 0;
    }
    m_queue.NotePeerWaiting(aPeer, service, waiting, aNow);
  }
}

void
WaitingRoom::PushOut(const std::vector<WaitId>& aIds)
{
  for (const WaitId id : aIds) {
    ++m_counters.m_pushedOut;
    Wake(id, false);
  }
}

void
WaitingRoom::Wake(WaitId aId, bool aMaySend)
{
  const auto found = m_wakers.find(aId);
  if (found != m_wakers.end()) {
    const Waker wake = found->second;
    wake(aMaySend);
  }
}

} // namespace bergamotpaddle
