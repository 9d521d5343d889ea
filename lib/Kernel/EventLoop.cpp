#include "bergamotpaddle/Kernel/EventLoop.h"

namespace bergamotpaddle {

namespace {

/// Longest wait without timers; posted tasks end it early.
constexpr Duration kIdleWait = std::chrono::seconds(3600);

} // namespace

EventLoop::EventLoop()
  : m_origin(std::chrono::steady_clock::now())
{
}

void
EventLoop::Post(Task aTask)
{
  {
    std::lock_guard lock(m_mutex);
    m_posted.push_back(std::move(aTask));
  }
  m_wake.notify_one();
}

void
EventLoop::After(Duration aDelay, Task aTask)
{
  m_timers.emplace(Now() + aDelay, std::move(aTask));
}

Instant
EventLoop::Now() const
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now() - m_origin));
}

TimerHooks
EventLoop::Timers()
{
  return { [this] { return Now(); },
           [this](Duration aDelay, Task aTask) {
             After(aDelay, std::move(aTask));
           } };
}

void
EventLoop::OnTaskFailed(FailureHook aOnTaskFailed)
{
  m_onTaskFailed = std::move(aOnTaskFailed);
}

void
EventLoop::RunTask(const Task& aTask)
{
  try {
    aTask();
  } catch (const std::exception& error) {
    m_onTaskFailed(error.what());
  }
}

void
EventLoop::Run()
{
  std::deque<Task> tasks;
  while (true) {
    Instant nextDue = RunDueTimers();
    if (!WaitForTasks(nextDue, tasks)) {
      return;
    }
    for (const Task& task : tasks) {
      RunTask(task);
    }
    tasks.clear();
  }
}

Instant
EventLoop::RunDueTimers()
{
  // The time is read once: timers set by timers run in the next iteration, so
  // that a chain of them cannot starve posted tasks.
  Instant now = Now();
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    Task task = std::move(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    RunTask(task);
  }
  return m_timers.empty() ? Now() + kIdleWait : m_timers.begin()->first;
}

bool
EventLoop::WaitForTasks(Instant aUntil, std::deque<Task>& aTasks)
{
  std::unique_lock lock(m_mutex);
  m_wake.wait_until(lock, m_origin + aUntil.time_since_epoch(), [this] {
    return m_isStopping || !m_posted.empty();
  });
  if (m_isStopping) {
    return false;
  }
  aTasks.swap(m_posted);
  return true;
}

void
EventLoop::Stop()
{
  {
    std::lock_guard lock(m_mutex);
    m_isStopping = true;
  }
  m_wake.notify_one();
}

} // namespace bergamotpaddle
