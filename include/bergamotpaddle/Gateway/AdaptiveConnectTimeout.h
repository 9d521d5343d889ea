/// \file
/// How long a router waits for a connection before it counts as failed.
///
/// Load pattern: the router's own link is full, so that every connection takes
/// as long as the queue there. Time-outs made for an idle link then fail each
/// attempt at each far end, and the attempts that follow lengthen the queue:
/// slow becomes lost. As in TCP, the wait follows what connections took of late
/// and doubles while none succeeds anywhere.
#pragma once

#include "bergamotpaddle/Support/Time.h"

namespace bergamotpaddle {

/// Bounds on the wait.
struct ConnectPatienceOptions
{
  /// Time-outs in a row, at any far ends, that speak against the own link
  /// rather than against one of them.
  int m_timeoutsInRow = 3;
  /// Wait in times of what connections took of late.
  double m_factor = 3;
  /// Weight of the latest connection in the moving average.
  double m_smoothing = 0.2;
  /// Longest wait: callers give up a connection after one second, and a stream
  /// without its first event after two.
  Duration m_longest = std::chrono::milliseconds(1500);
};

/// The estimate of one router, over all far ends.
class AdaptiveConnectTimeout
{
public:
  explicit AdaptiveConnectTimeout(ConnectPatienceOptions aOptions = {});

  /// A connection was made after \p aTook.
  void NoteConnected(Duration aTook);
  /// A connection was given up after \p aWaited.
  void NoteTimedOut(Duration aWaited);

  /// The wait for a connection that takes \p aUsual at the most while the link
  /// is free.
  Duration TimeoutFor(Duration aUsual) const;

private:
  ConnectPatienceOptions m_options;
  Duration m_mean{ 0 };
  Duration m_backoff{ 0 };
  int m_timeouts = 0; ///< In a row.
};

} // namespace bergamotpaddle
