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

/// Parameters of `AdaptiveConnectTimeout`.
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

  /// Records a connection that took \p aConnectTime to establish.
  void NoteConnected(Duration aConnectTime);
  /// Records a connection attempt that failed after its timeout, \p aTimeout.
  void NoteTimedOut(Duration aTimeout);

  /// Returns the timeout for a connection to an endpoint whose timeout on an
  /// idle link is \p aBaseTimeout; never less than that.
  Duration TimeoutFor(Duration aBaseTimeout) const;

private:
  AdaptiveConnectTimeoutOptions m_options;
  Duration m_meanConnectTime{ 0 };
  Duration m_backoff{ 0 }; ///< Lower bound set by consecutive timeouts.
  int m_consecutiveTimeouts = 0;
};

} // namespace bergamotpaddle
