/// \file
/// The event loop of a process: one thread that runs every decision. Threads
/// of libraries hand their results over with Post() and touch nothing else.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace bergamotpaddle {

/// Runs closures one after another, in the order posted, and timers when due.
class EventLoop
{
public:
  using Task = std::function<void()>;

  EventLoop();

  /// Queues \p aTask; callable from any thread.
  void Post(Task aTask);

  /// Runs \p aTask once after \p aDelay; callable on the loop's thread alone.
  void After(Duration aDelay, Task aTask);

  /// Runs until Stop(). Called once.
  void Run();

  /// Makes Run() return after the closure under way; callable from any thread.
  void Stop();

  /// Monotonic time since the loop was made.
  Instant Now() const;

  /// The hooks that decision components take.
  TimerHooks Timers();

private:
  Instant RunDueTimers();
  bool WaitForTasks(Instant aUntil, std::deque<Task>& aTasks);

  std::chrono::steady_clock::time_point m_origin;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<Task> m_posted;
  bool m_stopping = false;
  std::multimap<Instant, Task> m_timers; ///< Loop thread alone.
};

} // namespace bergamotpaddle
