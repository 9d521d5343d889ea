/// \file
/// How a watcher of the platform's store follows a storm of changes.
///
/// Load pattern: versions of a large document in quick succession. A watch that
/// asks again at once is sent each version whole, so the bytes grow with
/// changes times size and fill a small link. A single change is followed by the
/// next watch at once, which costs nothing while nothing changes; changes that
/// come faster than their bytes are worth are rested for, and what is large is
/// then asked for in its newest state alone.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <cstddef>

namespace bergamotpaddle {

/// Bounds on what a watch takes.
struct WatchPaceOptions
{
  /// 10% of the smallest link on the users' sheets, 10 Mbit/s.
  double m_bytesPerSecond = 125'000;
  /// Changes within this time come in one answer.
  Duration m_leastRest = std::chrono::milliseconds(200);
  /// A quarter of the shortest bound on the delay of a change, 2 s.
  Duration m_longestRest = std::chrono::milliseconds(500);
};

/// The pace of one watch. Free of I/O.
class WatchRateLimiter
{
public:
  explicit WatchRateLimiter(WatchPaceOptions aOptions = {});

  /// Changes of \p aBytes were taken.
  void NoteChanges(std::size_t aBytes, Instant aNow);

  /// Before this nothing more is asked for.
  Instant NextAllowedAt() const { return m_paidUntil - m_lastRest; }

  /// Whether the changes before the next call are not worth to be sent one by
  /// one: they are rested for, and the last ones were large.
  bool IsBurst(Instant aNow) const
  {
    return m_isLarge && NextAllowedAt() > aNow;
  }

private:
  WatchPaceOptions m_options;
  /// The rate allows what was taken by then.
  Instant m_paidUntil{};
  Duration m_lastRest{ 0 };
  bool m_isLarge = false;
};

} // namespace bergamotpaddle
