#include "bergamotpaddle/Scheduling/StopAdmission.h"

#include <algorithm>

namespace bergamotpaddle {

StopAdmission::StopAdmission(StopAdmissionOptions aOptions)
  : m_options(aOptions)
{
}

void
StopAdmission::NoteDuration(const std::string& aRoute, Duration aDuration)
{
  if (!m_histories.contains(aRoute) &&
      m_histories.size() >= m_options.m_maxRoutes) {
    DropStalestRoute();
  }
  History& history = m_histories[aRoute];
  history.m_notedAt = ++m_notes;
  if (history.m_durations.size() < m_options.m_window) {
    history.m_durations.push_back(aDuration);
    return;
  }
  history.m_durations[history.m_oldest] = aDuration;
  history.m_oldest = (history.m_oldest + 1) % m_options.m_window;
}

void
StopAdmission::DropStalestRoute()
{
  const auto stalest =
    std::min_element(m_histories.begin(),
                     m_histories.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_notedAt < aRight.second.m_notedAt;
                     });
  if (stalest != m_histories.end()) {
    m_histories.erase(stalest);
  }
}

bool
StopAdmission::MayPassOn(const Route& aRoute, const LateRequest& aRequest) const
{
  if (aRequest.m_timeLimit <= aRequest.m_timeLeft) {
    return true;
  }
  if (aRequest.m_timeLeft <= Duration(0)) {
    return false;
  }
  const auto history = m_histories.find(aRoute.m_name);
  if (history == m_histories.end() ||
      history->second.m_durations.size() < m_options.m_minDurations) {
    return IsAssumedToFit(aRoute, aRequest.m_timeLeft);
  }
  const std::vector<Duration>& durations = history->second.m_durations;
  const auto tooLong = static_cast<double>(std::count_if(
    durations.begin(), durations.end(), [&aRequest](Duration aDuration) {
      return aDuration >= aRequest.m_timeLeft;
    }));
  const double maxLoss = aRoute.m_kind == CallKind::kRepeatable
                           ? m_options.m_maxLossRepeatable
                           : m_options.m_maxLossOnce;
  return tooLong <= maxLoss * static_cast<double>(durations.size());
}

bool
StopAdmission::IsAssumedToFit(const Route& aRoute, Duration aTimeLeft) const
{
  // The objective of a stream is that of its first event; how long the rest
  // takes is unknown, and only a resumable stream can continue elsewhere.
  if (aRoute.m_kind == CallKind::kStream && !aRoute.m_isResumable) {
    return false;
  }
  return aTimeLeft >= aRoute.m_objective * m_options.m_assumedObjectives;
}

} // namespace bergamotpaddle
