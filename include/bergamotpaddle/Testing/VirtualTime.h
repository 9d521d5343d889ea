/// \file
/// Time that passes only when a test lets it: closures run in the order of
/// their time, then of their making.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <map>

namespace bergamotpaddle {

/// A queue of closures with their times.
class VirtualTime
{
public:
  using Task = std::function<void()>;

  Instant Now() const { return m_now; }
  void After(Duration aDelay, Task aTask)
  {
    m_tasks.emplace(m_now + aDelay, std::move(aTask));
  }

  /// Runs everything due within \p aDuration from now.
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
