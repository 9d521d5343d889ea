#include "bergamotpaddle/Agent/Admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamotpaddle {

namespace {

constexpr double kDemandSmoothing = 0.05;

} // namespace

Admission::Admission(AdmissionOptions aOptions)
  : m_options(aOptions)
{
}

bool
Admission::Queued::operator<(const Queued& aOther) const
{
  return std::tie(m_due, m_order) < std::tie(aOther.m_due, aOther.m_order);
}

bool
Admission::Offer(const AdmissionRequest& aRequest)
{
  if (m_waiting.size() >= m_options.m_maxWaiting) {
    return false;
  }
  if (IsShort(aRequest)) {
    const std::size_t runningShort = m_running.size() - m_runningLong;
    const auto present = static_cast<double>(runningShort + m_short.size() + 1);
    m_shortDemand += kDemandSmoothing * (present - m_shortDemand);
  }
  const double start = std::max(m_virtualTime, m_lastDue[aRequest.m_account]);
  const double due = start + static_cast<double>(aRequest.m_cost) /
                               std::max(1U, aRequest.m_weight);
  m_lastDue[aRequest.m_account] = due;
  Queued queued{ m_options.m_firstInFirstOut ? 0 : due,
                 m_nextOrder++,
                 aRequest };
  QueueOf(aRequest).insert(queued);
  m_waiting.emplace(aRequest.m_run, std::move(queued));
  return true;
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
  if (!m_short.empty()) {
    return TakeFrom(m_short);
  }
  if (m_long.empty() || m_runningLong >= SlotsForLong()) {
    return std::nullopt;
  }
  return TakeFrom(m_long);
}

std::optional<RunId>
Admission::TakeFrom(std::set<Queued>& aQueue)
{
  const Queued next = *aQueue.begin();
  aQueue.erase(aQueue.begin());
  const RunId run = next.m_request.m_run;
  const bool isShort = IsShort(next.m_request);
  m_waiting.erase(run);
  m_running.emplace(run, isShort);
  m_runningLong += isShort ? 0 : 1;
  m_virtualTime = std::max(m_virtualTime, next.m_due);
  return run;
}

void
Admission::Remove(RunId aRun)
{
  auto waiting = m_waiting.find(aRun);
  if (waiting != m_waiting.end()) {
    m_short.erase(waiting->second);
    m_long.erase(waiting->second);
    m_waiting.erase(waiting);
    return;
  }
  auto running = m_running.find(aRun);
  if (running == m_running.end()) {
    return;
  }
  m_runningLong -= running->second ? 0 : 1;
  m_running.erase(running);
  if (m_running.empty() && m_waiting.empty()) {
    m_lastDue.clear();
    m_virtualTime = 0;
  }
}

} // namespace bergamotpaddle
