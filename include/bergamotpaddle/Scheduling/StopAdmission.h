/// \file
/// Decides which requests a router still passes on while it is being stopped.
///
/// Load pattern handled here: one router of several is stopped under load.
/// Callers reach it for a few seconds more, on new connections and with request
/// bodies that arrive late, and the timeouts of most routes exceed the grace
/// period. A request that still runs at the end of the grace period is lost to
/// its caller; one that is refused at once is served by another router, at the
/// cost of one of the few retries of the caller. A request is therefore refused
/// if recent requests of its route often took longer than the time left.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// Parameters of the decision.
struct StopAdmissionOptions
{
  /// Share of recent requests that may have taken longer than the time left if
  /// the request is a stream or must not run twice: its caller loses it.
  double m_maxLossOnce = 0.05;
  /// The same for repeatable calls: the caller has less time for a retry.
  double m_maxLossRepeatable = 0.25;
  /// Durations that are kept for each route.
  std::size_t m_window = 40;
  /// With fewer durations than this, the latency objective stands in for them.
  std::size_t m_minDurations = 8;
  /// Multiple of the latency objective within which calls are assumed to be
  /// answered, as callers do that wait for a first event.
  int m_assumedObjectives = 4;
  std::size_t m_maxRoutes = 256;
};

/// A request at a router that is being stopped.
struct LateRequest
{
  Duration m_timeLimit{ 0 }; ///< Until the request's own deadline.
  Duration m_timeLeft{ 0 };  ///< Until every request must have its answer.
  auto operator<=>(const LateRequest&) const = default;
};

/// Keeps the latest durations of requests by route and decides by them.
/// Performs no I/O.
class StopAdmission
{
public:
  explicit StopAdmission(StopAdmissionOptions aOptions = {});

  /// Records that a request of \p aRoute took \p aDuration, or at least that
  /// long if it was given up at its deadline.
  void NoteDuration(const std::string& aRoute, Duration aDuration);

  /// Whether \p aRequest of \p aRoute is passed on; otherwise it is to be
  /// refused.
  bool MayPassOn(const Route& aRoute, const LateRequest& aRequest) const;

  /// Number of routes with durations.
  std::size_t Routes() const { return m_histories.size(); }

private:
  /// A ring of the latest durations of one route.
  struct History
  {
    std::vector<Duration> m_durations;
    std::size_t m_oldest = 0; ///< Replaced next once the ring is full.
    std::uint64_t m_notedAt = 0;
  };

  /// Whether work without known durations is assumed to fit into \p aTimeLeft.
  bool IsAssumedToFit(const Route& aRoute, Duration aTimeLeft) const;
  void DropStalestRoute();

  StopAdmissionOptions m_options;
  std::map<std::string, History> m_histories;
  std::uint64_t m_notes = 0;
};

} // namespace bergamotpaddle
