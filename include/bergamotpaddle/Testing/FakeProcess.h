/// \file
/// A process in virtual time that can be killed, frozen and thawed.
#pragma once

#include "bergamotpaddle/Testing/VirtualTime.h"

#include <deque>
#include <memory>

namespace bergamotpaddle {

/// Wraps closures so that they wait while the process is frozen and are
/// dropped once its life is over.
class FakeProcess
{
public:
  using Task = std::function<void()>;

  explicit FakeProcess(VirtualTime& aTime)
    : m_time(&aTime)
  {
  }

  Task Guard(Task aTask)
  {
    return [life = m_life, task = std::move(aTask)] {
      if (!life->m_isAlive) {
        return;
      }
      if (life->m_isFrozen) {
        life->m_held.push_back(task);
        return;
      }
      task();
    };
  }

  TimerHooks Timers()
  {
    return { [time = m_time] { return time->Now(); },
             [this, time = m_time](Duration aDelay, Task aTask) {
               time->After(aDelay, Guard(std::move(aTask)));
             } };
  }

  bool IsAlive() const { return m_life->m_isAlive; }
  bool IsFrozen() const { return m_life->m_isFrozen; }

  /// Ends this life; Begin() starts another.
  void Kill()
  {
    m_life->m_isAlive = false;
    m_life->m_held.clear();
  }
  void Begin() { m_life = std::make_shared<Life>(); }

  void Freeze() { m_life->m_isFrozen = true; }
  void Thaw()
  {
    m_life->m_isFrozen = false;
    std::deque<Task> held;
    held.swap(m_life->m_held);
    for (const Task& task : held) {
      m_time->After(Duration(0), Guard(task));
    }
  }

private:
  /// One life; closures outlive it harmlessly.
  struct Life
  {
    bool m_isAlive = true;
    bool m_isFrozen = false;
    std::deque<Task> m_held;
  };

  VirtualTime* m_time;
  std::shared_ptr<Life> m_life = std::make_shared<Life>();
};

} // namespace bergamotpaddle
