#include "bergamotpaddle/Agent/Admission.h"

#include <algorithm>
#include <cmath>

namespace bergamotpaddle {

namespace {

/// Weight of a new sample in the moving average of short demand.
constexpr double kDemandSmoothing = 0.05;

double
NormalizedCost(const AdmissionRequest& aRequest)
{
  return static_cast<double>(aRequest.m_cost) / std::max(1U, aRequest.m_weight);
}

} // namespace

Admission::Admission(AdmissionOptions aOptions)
  : m_options(aOptions)
{
}

Admission::QueuePosition
Admission::PositionOf(const AdmissionRequest& aRequest,
                      std::uint64_t aArrivalOrder) const
{
  return { m_options.m_isFifo ? 0 : aRequest.m_cost,
           aArrivalOrder,
           aRequest.m_run };
}

void
Admission::SampleShortDemand()
{
  const std::size_t runningShort = m_running.size() - m_runningLong;
  const auto sample = static_cast<double>(runningShort + m_short.m_count + 1);
  m_shortDemand += kDemandSmoothing * (sample - m_shortDemand);
}

std::optional<RunId>
Admission::Offer(const AdmissionRequest& aRequest)
{
  if (IsShort(aRequest)) {
    SampleShortDemand();
  }
  // The first-in-first-out baseline has one queue for all accounts.
  AdmissionRequest request = aRequest;
  if (m_options.m_isFifo) {
    request.m_account = AccountId();
  }
  WorkClass& workClass = ClassOf(request);
  auto [queue, isNew] = workClass.m_queues.try_emplace(request.m_account);
  if (isNew) {
    // An account gains no advantage from idle time: it starts at the virtual
    // time of the class.
    queue->second.m_served = std::max(
      workClass.m_virtualTime, workClass.m_servedByIdle[request.m_account]);
    workClass.m_servedByIdle.erase(request.m_account);
  }
  const QueuePosition position = PositionOf(request, m_nextArrivalOrder++);
  queue->second.m_weight = std::max(1U, request.m_weight);
  queue->second.m_waiting.insert(position);
  queue->second.m_backlog += NormalizedCost(request);
  ++workClass.m_count;
  m_waiting.emplace(request.m_run, QueuedRun{ request, position });
  if (m_waiting.size() <= m_options.m_maxWaiting) {
    return std::nullopt;
  }
  const std::optional<RunId> shed =
    m_options.m_isFifo ? request.m_run : PickRunToShed();
  Dequeue(*shed);
  return shed;
}

std::optional<RunId>
Admission::PickRunToShed() const
{
  const AccountQueue* largest = nullptr;
  for (const WorkClass* workClass : { &m_long, &m_short }) {
    for (const auto& [account, queue] : workClass->m_queues) {
      if (largest == nullptr || queue.m_backlog > largest->m_backlog) {
        largest = &queue;
      }
    }
  }
  return largest->m_waiting.rbegin()->m_run;
}

void
Admission::Dequeue(RunId aRun)
{
  auto waiting = m_waiting.find(aRun);
  const QueuedRun queued = waiting->second;
  m_waiting.erase(waiting);
  WorkClass& workClass = ClassOf(queued.m_request);
  auto queue = workClass.m_queues.find(queued.m_request.m_account);
  queue->second.m_waiting.erase(queued.m_position);
  queue->second.m_backlog -= NormalizedCost(queued.m_request);
  --workClass.m_count;
  if (queue->second.m_waiting.empty()) {
    workClass.m_servedByIdle[queue->first] = queue->second.m_served;
    workClass.m_queues.erase(queue);
  }
  if (workClass.m_queues.empty()) {
    workClass.m_servedByIdle.clear();
    workClass.m_virtualTime = 0;
  }
}

std::size_t
Admission::SlotsForLong() const
{
  const auto used = static_cast<std::size_t>(std::ceil(m_shortDemand));
  const std::size_t reserved =
    std::max(m_options.m_slotsKeptForShort, m_options.m_isFifo ? 0 : used);
  return m_options.m_slots - std::min(reserved, m_options.m_slots - 1);
}

std::optional<RunId>
Admission::StartNext()
{
  if (m_running.size() >= m_options.m_slots) {
    return std::nullopt;
  }
  if (m_short.m_count > 0) {
    return StartFromClass(m_short);
  }
  if (m_long.m_count == 0 || m_runningLong >= SlotsForLong()) {
    return std::nullopt;
  }
  return StartFromClass(m_long);
}

std::optional<RunId>
Admission::StartFromClass(WorkClass& aClass)
{
  auto next =
    std::min_element(aClass.m_queues.begin(),
                     aClass.m_queues.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_served < aRight.second.m_served;
                     });
  const RunId run = next->second.m_waiting.begin()->m_run;
  const AdmissionRequest request = m_waiting.at(run).m_request;
  aClass.m_virtualTime = std::max(aClass.m_virtualTime, next->second.m_served);
  next->second.m_served += NormalizedCost(request);
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
