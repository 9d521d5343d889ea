/// \file
/// Time types of the decision code, which is passed the current time in
/// microseconds and never reads a clock.
#pragma once

#include <chrono>
#include <functional>

namespace bergamotpaddle {

/// The clock of event timestamps. It has no `now()` because decision code must
/// not read a clock.
struct EventClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<EventClock>;
};

using Duration = EventClock::duration;
/// A point in time relative to an arbitrary origin of the process. Instants of
/// different processes cannot be compared.
using Instant = EventClock::time_point;

/// Converts \p aDuration to seconds.
inline double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Clock and timers of a decision component. Process shells implement them with
/// the event loop, tests with virtual time.
struct TimerHooks
{
  /// Returns the current time.
  std::function<Instant()> m_now;
  /// Runs the closure once after the given delay.
  std::function<void(Duration, std::function<void()>)> m_after;
};

} // namespace bergamotpaddle
