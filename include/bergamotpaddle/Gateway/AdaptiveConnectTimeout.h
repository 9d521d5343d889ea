/// \file
/// A connect timeout that adapts to the connect times a router observes.
///
/// When the router's own link is saturated, every connection is delayed by the
/// queue on that link. A timeout tuned for an idle link then fails attempts to
/// all remote endpoints, and the retries lengthen the queue further. As in TCP,
/// the timeout follows recent connect times and doubles while no connection
/// succeeds anywhere.
#pragma once

#include "bergamotpaddle/Support/Time.h"

namespace bergamotpaddle {

/// Parameters of the timeout.
struct AdaptiveConnectTimeoutOptions
{
  /// Consecutive timeouts, at any remote endpoints, after which the router's
  /// own link is assumed to be the cause rather than one endpoint.
  int m_timeoutThreshold = 3;
  /// Timeout as a multiple of the average recent connect time.
  double m_meanFactor = 3;
  /// Weight of the latest connection in the moving average, in (0, 1].
  double m_smoothingFactor = 0.2;
  /// Upper bound on the adapted timeout: callers abandon a connection after
  /// one second, and a stream without a first event after two.
  Duration m_maxTimeout = std::chrono::milliseconds(1500);
};

/// The timeout of one router, estimated over all remote endpoints.
class AdaptiveConnectTimeout
{
public:
  explicit AdaptiveConnectTimeout(AdaptiveConnectTimeoutOptions aOptions = {});

  /// Records a connection that was established after \p aTook.
  void NoteConnected(Duration aTook);
  /// Records a connection attempt that timed out after \p aWaited.
  void NoteTimedOut(Duration aWaited);

  /// Returns the timeout for a connection whose timeout on an idle link would
  /// be \p aBaseTimeout; never less than that.
  Duration TimeoutFor(Duration aBaseTimeout) const;

private:
  AdaptiveConnectTimeoutOptions m_options;
  Duration m_mean{ 0 };
  Duration m_backoff{ 0 };
  int m_timeouts = 0; ///< Consecutive timeouts.
};

} // namespace bergamotpaddle
