/// \file
/// A simulated clock that advances only on request. Tasks run in the order of
/// their due times; tasks due at the same time run in the order of scheduling.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <map>

namespace bergamotpaddle {

/// A simulated clock with a queue of scheduled tasks.
class VirtualTime
{
public:
  using Task = std::function<void()>;

  Instant Now() const { return m_now; }
  /// Schedules \p aTask to run \p aDelay from now.
  void After(Duration aDelay, Task aTask)
  {
    m_tasks.emplace(m_now + aDelay, std::move(aTask));
  }

  /// Advances the clock by \p aDuration and runs every task that becomes due,
  /// including those that the tasks themselves schedule.
  void Advance(Duration aDuration)
  {
    const Instant end = m_now + aDuration;
    while (!m_tasks.empty() && m_tasks.begin()->first <= end) {
      auto next = m_tasks.extract(m_tasks.begin());
      m_now = next.key();
      next.mapped()();
    }
    m_now = end;
  }

private:
  Instant m_now{};
  std::multimap<Instant, Task> m_tasks;
};

} // namespace bergamotpaddle
