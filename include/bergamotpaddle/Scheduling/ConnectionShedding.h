/// \file
/// Decides when a router hands connections of callers over to the other routers
/// of its availability zone.
///
/// Load pattern: the load balancer assigns connections by a hash of the caller
/// and callers keep them, so a router with a small share of a core may serve
/// half of a zone's callers while the other routers are idle. Its event loop
/// lags, and as a request takes many steps of the loop, its responses are late
/// although no single step takes long.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <cstddef>

namespace bergamotpaddle {

/// Thresholds and durations of the hand-over.
struct ConnectionSheddingOptions
{
  /// Average delay of the event loop above which the router is overloaded: a
  /// request takes about ten steps, and the shortest objective is 100 ms.
  Duration m_maxLoopDelay = std::chrono::milliseconds(8);
  /// Weight of one delay in that average: it follows within a few seconds.
  double m_sampleWeight = 0.02;
  /// Longest delay that counts: a single pause of the process is no overload.
  Duration m_maxSample = std::chrono::milliseconds(100);
  /// Time from the end of readiness until the load balancer assigns no more
  /// connections: two checks, one second apart.
  Duration m_balancerDelay = std::chrono::milliseconds(2200);
  /// Share of the connections that are handed over at once.
  double m_share = 0.5;
  /// Longest time for which connections are handed over.
  Duration m_maxClosingTime = std::chrono::milliseconds(2500);
  /// Shortest interval between the ends of one hand-over and the start of the
  /// next, so that a router is ready nearly all the time.
  Duration m_minInterval = std::chrono::seconds(40);
};

/// The hand-over from one router's point of view. Performs no I/O.
class ConnectionShedding
{
public:
  explicit ConnectionShedding(ConnectionSheddingOptions aOptions = {});

  /// Records how late the event loop ran a tick at \p aNow; \p aConnections is
  /// the number of callers' connections.
  void NoteLoopDelay(Duration aDelay, std::size_t aConnections, Instant aNow);

  /// Whether the load balancer may assign connections to this router.
  bool IsReady() const { return m_phase == Phase::kIdle; }
  /// Whether to close the connection of the next response; counts it if so.
  bool TakeClose();

  /// The average delay of the event loop.
  Duration AverageDelay() const { return m_averageDelay; }
  /// Number of hand-overs so far.
  int Count() const { return m_count; }

private:
  enum class Phase
  {
    kIdle,
    kLeaving, ///< Not ready; the load balancer may not know it yet.
    kClosing  ///< Closes connections.
  };

  void Enter(Phase aPhase, Instant aNow);

  ConnectionSheddingOptions m_options;
  Phase m_phase = Phase::kIdle;
  Instant m_enteredAt{};
  Instant m_notBefore{}; ///< Of the next hand-over.
  Duration m_averageDelay{ 0 };
  std::size_t m_closesLeft = 0;
  int m_count = 0;
};

} // namespace bergamotpaddle
