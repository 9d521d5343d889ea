/// \file
/// Limits the rate at which a watch of the platform's store receives changes.
///
/// If versions of a large document follow in quick succession, a watch that is
/// renewed immediately receives the full value of each, so the traffic grows
/// with changes times size and saturates a small link. After a single change
/// the watch is renewed immediately, since an idle watch causes no traffic. If
/// changes exceed the byte rate, the next watch is delayed, and after large
/// changes only the newest state is requested.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <cstddef>

namespace bergamotpaddle {

/// Limits on a watch.
struct WatchRateLimiterOptions
{
  /// 10% of the smallest specified link, 10 Mbit/s.
  double m_bytesPerSecond = 125'000;
  /// Shortest delay; changes within it arrive in one response.
  Duration m_minDelay = std::chrono::milliseconds(200);
  /// Longest delay per response: a quarter of the strictest bound on the
  /// propagation delay of a change, 2 s.
  Duration m_maxDelay = std::chrono::milliseconds(500);
};

/// The rate limiter of one watch. Performs no I/O.
class WatchRateLimiter
{
public:
  explicit WatchRateLimiter(WatchRateLimiterOptions aOptions = {});

  /// Records a response with changes of \p aBytes in total.
  void NoteChanges(std::size_t aBytes, Instant aNow);

  /// Returns the earliest time for the next watch.
  Instant NextAllowedAt() const { return m_withinRateAt - m_lastDelay; }

  /// Whether the next watch is delayed and the last changes were large, so that
  /// the newest state is to be requested instead of each change.
  bool IsBurst(Instant aNow) const
  {
    return m_isLarge && NextAllowedAt() > aNow;
  }

private:
  WatchRateLimiterOptions m_options;
  /// When the received bytes are within the allowed rate.
  Instant m_withinRateAt{};
  Duration m_lastDelay{ 0 };
  bool m_isLarge = false;
};

} // namespace bergamotpaddle
