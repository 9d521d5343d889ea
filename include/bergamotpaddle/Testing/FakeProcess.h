/// \file
/// A simulated process that can be killed, restarted, frozen and thawed.
#pragma once

#include "bergamotpaddle/Testing/VirtualTime.h"

#include <deque>
#include <memory>

namespace bergamotpaddle {

/// Binds tasks to the current incarnation of a process: they are deferred while
/// the process is frozen and dropped once the incarnation has ended.
class FakeProcess
{
public:
  using Task = std::function<void()>;

  explicit FakeProcess(VirtualTime& aTime)
    : m_time(&aTime)
  {
  }

  /// Returns \p aTask bound to the current incarnation.
  Task Guard(Task aTask)
  {
    return [incarnation = m_incarnation, task = std::move(aTask)] {
      if (!incarnation->m_isAlive) {
        return;
      }
      if (incarnation->m_isFrozen) {
        incarnation->m_deferredTasks.push_back(task);
        return;
      }
      task();
    };
  }

  /// Timer hooks whose tasks are bound to the incarnation that schedules them.
  TimerHooks Timers()
  {
    return { [time = m_time] { return time->Now(); },
             [this, time = m_time](Duration aDelay, Task aTask) {
               time->After(aDelay, Guard(std::move(aTask)));
             } };
  }

  bool IsAlive() const { return m_incarnation->m_isAlive; }
  bool IsFrozen() const { return m_incarnation->m_isFrozen; }

  /// Ends the current incarnation; Restart() starts the next.
  void Kill()
  {
    m_incarnation->m_isAlive = false;
    m_incarnation->m_deferredTasks.clear();
  }
  void Restart() { m_incarnation = std::make_shared<Incarnation>(); }

  /// Defers all tasks until Thaw(), as SIGSTOP does for a real process.
  void Freeze() { m_incarnation->m_isFrozen = true; }
  /// Schedules the deferred tasks at the current time, in their order.
  void Thaw()
  {
    m_incarnation->m_isFrozen = false;
    std::deque<Task> deferredTasks;
    deferredTasks.swap(m_incarnation->m_deferredTasks);
    for (const Task& task : deferredTasks) {
      m_time->After(Duration(0), Guard(task));
    }
  }

private:
  /// State of one incarnation, shared with its tasks, which may outlive it.
  struct Incarnation
  {
    bool m_isAlive = true;
    bool m_isFrozen = false;
    std::deque<Task> m_deferredTasks;
  };

  VirtualTime* m_time;
  std::shared_ptr<Incarnation> m_incarnation = std::make_shared<Incarnation>();
};

} // namespace bergamotpaddle
