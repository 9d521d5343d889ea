/// \file
/// The requests of one router that wait for room at upstreams, and what wakes
/// them: room that is left, or the end of their use.
#pragma once

#include "bergamotpaddle/Gateway/PeerDigest.h"
#include "bergamotpaddle/Scheduling/AdmissionQueue.h"
#include "bergamotpaddle/Scheduling/Placement.h"

#include <functional>

namespace bergamotpaddle {

/// How waits ended, for the metrics endpoint.
struct WaitingCounters
{
  std::uint64_t m_queued = 0;
  std::uint64_t m_admitted = 0;  ///< Sent to an upstream after the wait.
  std::uint64_t m_pushedOut = 0; ///< Refused, since others went first.
  std::uint64_t m_left = 0;      ///< Their callers disconnected.
  std::uint64_t m_refused = 0;   ///< Not queued, by the forecast.
};

/// Connects an `AdmissionQueue` with the load of upstreams and with the
/// coroutines of waiting requests. Not thread-safe.
class WaitingRoom
{
public:
  /// Called with true if the request may be sent, or with false if it is to be
  /// refused and has left the queue.
  using Waker = std::function<void(bool aMaySend)>;

  /// Both have to outlive this object.
  WaitingRoom(const UpstreamView& aUpstreams, const Placement& aPlacement);

  /// Like `AdmissionQueue::Offer`. A queued request calls \p aWake until
  /// `Leave`.
  WaitDecision Offer(const WaitRequest& aRequest, Instant aNow, Waker aWake);
  /// Returns a request that was woken to its place.
  void PutBack(WaitId aId) { m_queue.PutBack(aId); }
  void Leave(WaitId aId);

  /// Records the end of a request of this router at \p aUpstream, with its
  /// duration if it was answered, and wakes requests.
  void NoteEnded(const UpstreamId& aUpstream,
                 std::optional<Duration> aDuration,
                 Instant aNow);
  /// Wakes the requests for which there is room now, and those that can't be
  /// served in time any more.
  void Update(Instant aNow);

  /// The numbers of waiting requests, for digests to peers.
  std::vector<WaitingDigest> Report() const;
  /// Replaces what \p aPeer reported last.
  void Apply(const std::string& aPeer,
             const std::vector<WaitingDigest>& aReport,
             Instant aNow);

  AdmissionQueue& Queue() { return m_queue; }
  const AdmissionQueue& Queue() const { return m_queue; }
  WaitingCounters& Counters() { return m_counters; }
  const WaitingCounters& Counters() const { return m_counters; }

private:
  void Update(const ServiceId& aService, Instant aNow);
  void PushOut(const std::vector<WaitId>& aIds);
  void Wake(WaitId aId, bool aMaySend);

  const UpstreamView* m_upstreams;
  const Placement* m_placement;
  AdmissionQueue m_queue;
  std::map<WaitId, Waker> m_wakers;
  WaitingCounters m_counters;
};

} // namespace bergamotpaddle
