#include "bergamotpaddle/Agent/Admission.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

constexpr double kDemandSmoothing = 0.05;

double
CostByWeight(const AdmissionRequest& aRequest)
{
  return static_cast<double>(aRequest.m_cost) / std::max(1U, aRequest.m_weight);
}

} // namespace

Admission::Admission(AdmissionOptions aOptions)
  : m_options(aOptions)
{
}

Admission::Place
Admission::PlaceOf(const AdmissionRequest& aRequest, std::uint64_t aOrder) const
{
  return { m_options.m_firstInFirstOut ? 0 : aRequest.m_cost,
           aOrder,
           aRequest.m_run };
}

void
Admission::NoteShortDemand()
{
  const std::size_t runningShort = m_running.size() - m_runningLong;
  const auto present = static_cast<double>(runningShort + m_short.m_count + 1);
  m_shortDemand += kDemandSmoothing * (present - m_shortDemand);
}

std::optional<RunId>
Admission::Offer(const AdmissionRequest& aRequest)
{
  if (IsShort(aRequest)) {
    NoteShortDemand();
  }
  // One queue is the baseline's: all accounts as one.
  AdmissionRequest request = aRequest;
  if (m_options.m_firstInFirstOut) {
    request.m_account = AccountId();
  }
  WorkClass& workClass = ClassOf(request);
  auto [share, isNew] = workClass.m_shares.try_emplace(request.m_account);
  if (isNew) {
    // Idle time earns nothing: an account starts where the class is.
    share->second.m_served =
      std::max(workClass.m_virtualTime, workClass.m_past[request.m_account]);
    workClass.m_past.erase(request.m_account);
  }
  const Place place = PlaceOf(request, m_nextOrder++);
  share->second.m_weight = std::max(1U, request.m_weight);
  share->second.m_waiting.insert(place);
  share->second.m_backlog += CostByWeight(request);
  ++workClass.m_count;
  m_waiting.emplace(request.m_run, Queued{ request, place });
  if (m_waiting.size() <= m_options.m_maxWaiting) {
    return std::nullopt;
  }
  const std::optional<RunId> given =
    m_options.m_firstInFirstOut ? request.m_run : MostBeyondShare();
  Dequeue(*given);
  return given;
}

std::optional<RunId>
Admission::MostBeyondShare() const
{
  const Share* most = nullptr;
  for (const WorkClass* workClass : { &m_long, &m_short }) {
    for (const auto& [account, share] : workClass->m_shares) {
      if (most == nullptr || share.m_backlog > most->m_backlog) {
        most = &share;
      }
    }
  }
  return most->m_waiting.rbegin()->m_run;
}

void
Admission::Dequeue(RunId aRun)
{
  auto waiting = m_waiting.find(aRun);
  const Queued queued = waiting->second;
  m_waiting.erase(waiting);
  WorkClass& workClass = ClassOf(queued.m_request);
  auto share = workClass.m_shares.find(queued.m_request.m_account);
  share->second.m_waiting.erase(queued.m_place);
  share->second.m_backlog -= CostByWeight(queued.m_request);
  --workClass.m_count;
  if (share->second.m_waiting.empty()) {
    workClass.m_past[share->first] = share->second.m_served;
    workClass.m_shares.erase(share);
  }
  if (workClass.m_shares.empty()) {
    workClass.m_past.clear();
    workClass.m_virtualTime = 0;
  }
}

std::size_t
Admission::SlotsForLong() const
{
  const auto used = static_cast<std::size_t>(std::ceil(m_shortDemand));
  const std::size_t kept = std::max(m_options.m_slotsKeptForShort,
                                    m_options.m_firstInFirstOut ? 0 : used);
  return m_options.m_slots - std::min(kept, m_options.m_slots - 1);
}

std::optional<RunId>
Admission::TakeNext()
{
  if (m_running.size() >= m_options.m_slots) {
    return std::nullopt;
  }
  if (m_short.m_count > 0) {
    return TakeFrom(m_short);
  }
  if (m_long.m_count == 0 || m_runningLong >= SlotsForLong()) {
    return std::nullopt;
  }
  return TakeFrom(m_long);
}

std::optional<RunId>
Admission::TakeFrom(WorkClass& aClass)
{
  auto least =
    std::min_element(aClass.m_shares.begin(),
                     aClass.m_shares.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_served < aRight.second.m_served;
                     });
  const RunId run = least->second.m_waiting.begin()->m_run;
  const AdmissionRequest request = m_waiting.at(run).m_request;
  aClass.m_virtualTime = std::max(aClass.m_virtualTime, least->second.m_served);
  least->second.m_served += CostByWeight(request);
  const bool isShort = IsShort(request);
  Dequeue(run);
  m_running.emplace(run, isShort);
  m_runningLong += isShort ? 0 : 1;
  return run;
}

void
Admission::Remove(RunId aRun)
{
  if (m_waiting.contains(aRun)) {
    Dequeue(aRun);
    return;
  }
  auto running = m_running.find(aRun);
  if (running == m_running.end()) {
    return;
  }
  m_runningLong -= running->second ? 0 : 1;
  m_running.erase(running);
}

} // namespace bergamotpaddle
