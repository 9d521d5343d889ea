/// \file
/// The event loop of a process: a single thread that runs all decision code.
/// Library threads pass their results to it with Post() and access no other
/// state.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace bergamotpaddle {

/// Runs posted closures one at a time in the order posted, and timers when due.
class EventLoop
{
public:
  using Task = std::function<void()>;

  /// Gets the description of an exception that a task or timer threw.
  using FailureHook = std::function<void(const std::string&)>;

  EventLoop();

  /// Sets the hook for exceptions. The loop goes on after one.
  void OnTaskFailed(FailureHook aOnTaskFailed);

  /// Queues \p aTask. Thread-safe.
  void Post(Task aTask);

  /// Runs \p aTask once after \p aDelay. Must be called on the loop's thread.
  void After(Duration aDelay, Task aTask);

  /// Runs tasks and timers until Stop(). Must be called only once.
  void Run();

  /// Makes Run() return when it has run the tasks already dequeued and the
  /// timers due by then; tasks still queued do not run. Thread-safe.
  void Stop();

  /// Returns the monotonic time since the loop was constructed.
  Instant Now() const;

  /// Returns the clock and timers of this loop for decision components.
  TimerHooks Timers();

private:
  /// Runs \p aTask. An exception ends it but not the loop.
  void RunTask(const Task& aTask);
  /// Returns when the next timer is due.
  Instant RunDueTimers();
  /// Waits until \p aUntil for posted tasks and swaps them into \p aTasks.
  /// Returns false once the loop is stopping.
  bool WaitForTasks(Instant aUntil, std::deque<Task>& aTasks);

  std::chrono::steady_clock::time_point m_origin;
  FailureHook m_onTaskFailed = [](const std::string&) {};
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Task> m_posted;
  bool m_isStopping = false;
  std::multimap<Instant, Task> m_timers; ///< Used on the loop's thread only.
};

} // namespace bergamotpaddle
