/// \file
/// Time as the decision code sees it: a number of microseconds that it is told.
#pragma once

#include <chrono>
#include <functional>

namespace bergamotpaddle {

/// The clock that stamps events. It has no `now()`: decisions never read time.
struct EventClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<EventClock>;
};

using Duration = EventClock::duration;
/// Time since an origin that is private to the process.
using Instant = EventClock::time_point;

inline double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// What a decision component may ask of time. Shells back it by the event
/// loop; tests back it by virtual time.
struct TimerHooks
{
  std::function<Instant()> m_now;
  /// Runs the closure once, \p Duration from now.
  std::function<void(Duration, std::function<void()>)> m_after;
};

} // namespace bergamotpaddle
