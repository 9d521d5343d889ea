/// \file
/// Decides which requests wait at a router for room in a pool of upstreams, in
/// which order they get it, and which are refused at once.
///
/// Load patterns handled here:
/// - A burst of all requests: those that the pool can still serve in time wait,
///   the others are refused on arrival, when a retry is still of use.
/// - A burst of one kind: more urgent requests go first, and the less urgent
///   ones keep a share of the room.
/// - One client account, or callers that repeat at once, send many times the
///   usual: accounts share the room of one urgency by weight, whatever they
///   send.
/// - Callers leave while they wait: their places are free at once.
/// - Many routers share a small pool: places are taken before a router knows of
///   them. Requests wait only where others that waited were admitted.
/// - Half of the upstreams are gone: the forecast follows the room that is
/// left.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// Identifies a waiting request at one router.
using WaitId = std::uint64_t;

/// A request for which no upstream has room.
struct WaitRequest
{
  ServiceId m_service;
  AccountId m_account; ///< Empty without one.
  int m_urgency = 0;   ///< The account's priority or the route's; 0 is first.
  double m_weight = 1; ///< Of the account among those of the same urgency.
  Instant m_usefulUntil{}; ///< Sending it later doesn't help its caller.
  auto operator<=>(const WaitRequest&) const = default;
};

/// A pool as one router sees it.
struct PoolLoad
{
  int m_capacity = 0; ///< Requests that its upstreams may hold together.
  int m_requests = 0; ///< In flight there, from all routers.
  int m_free = 0;     ///< Room of the upstreams that have some.
  auto operator<=>(const PoolLoad&) const = default;
};

/// What becomes of a request that found no room.
struct WaitDecision
{
  bool m_isQueued = false;
  WaitId m_id = 0;          ///< If it is queued.
  Duration m_forecast{ 0 }; ///< Expected wait for room.
  /// Waiting requests that now can't be served in time; they are to be refused
  /// and have left the queue.
  std::vector<WaitId> m_pushedOut;
};

/// Parameters of the queue.
struct AdmissionQueueOptions
{
  /// Waiting requests of one pool at one router, which bounds memory and the
  /// time of a decision: a burst of a second at a busy router.
  std::size_t m_maxWaiting = 256;
  /// One of so many releases goes to a request that isn't of the most urgent
  /// class waiting: the users want no kind of request to be served less than a
  /// quarter as often as all.
  int m_urgentRun = 4;
  /// Weight of the latest duration in the mean of a pool.
  double m_durationWeight = 0.1;
  /// A new request is queued only if it would get room in time even if the wait
  /// is longer than the forecast by this fraction of it, one in so many: those
  /// that are queued are rarely refused later.
  int m_forecastMargin = 2;
  /// Validity of a peer's number of waiting requests, that of its load
  /// (`UpstreamViewOptions::m_peerLoadValidity`). A router that is cut off from
  /// its peers releases as if it were alone.
  Duration m_peerValidity = std::chrono::milliseconds(1500);
  /// A queue from which nobody was admitted for so long, and for so many times
  /// the expected interval, gets no room: other routers take it before this one
  /// knows of it. All are refused then; two ticks of the router at least.
  Duration m_minStall = std::chrono::milliseconds(40);
  int m_stallIntervals = 4;
  /// Time for which requests are then refused on arrival.
  Duration m_stallTime = std::chrono::seconds(2);
  /// Time after which room that was left to peers is shared out anew: they
  /// announce what they sent there within it
  /// (`DigestScheduleOptions::m_coalesceInterval`).
  Duration m_sharingInterval = std::chrono::milliseconds(100);
  /// Shortest span over which callers that were refused return, and the
  /// shortest `Retry-After`: long enough that others use it.
  Duration m_minRetrySpread = std::chrono::milliseconds(100);
};

/// The queues of one router. Deterministic, performs no I/O.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionQueueOptions aOptions = {});

  /// Records that a request of this router at an upstream of \p aService has
  /// ended: \p aDuration after it was sent if it was answered.
  void NoteEnded(const ServiceId& aService, std::optional<Duration> aDuration);
  /// Replaces the number of requests that wait at \p aPeer.
  void NotePeerWaiting(const std::string& aPeer,
                       const ServiceId& aService,
                       std::size_t aWaiting,
                       Instant aNow);

  /// Queues \p aRequest if it is expected to get room in time, given \p aLoad.
  WaitDecision Offer(const WaitRequest& aRequest,
                     const PoolLoad& aLoad,
                     Instant aNow);
  /// Returns the requests that may now be sent, first those to be sent first.
  /// They take the room that this router's own requests have left, and its
  /// share, by waiting requests, of other room in \p aLoad. Each is to be
  /// followed by `Leave`, or by `PutBack` if it found no room after all.
  std::vector<WaitId> Release(const ServiceId& aService,
                              const PoolLoad& aLoad,
                              Instant aNow);
  void PutBack(WaitId aId);
  /// Records that a released request found room; it leaves the queue.
  void NoteAdmitted(WaitId aId, Instant aNow);
  /// Removes a request that was refused, or whose caller has left.
  void Leave(WaitId aId);
  /// Removes and returns the requests that, given \p aLoad, can't be served in
  /// time any more.
  std::vector<WaitId> PushOut(const ServiceId& aService,
                              const PoolLoad& aLoad,
                              Instant aNow);

  /// Whether a new request must wait although there is room, since others that
  /// are at least as urgent wait for it.
  bool MustWaitBehind(const ServiceId& aService, int aUrgency) const;

  /// `Retry-After` of a request refused with \p aForecast, \p aTimeLeft before
  /// its deadline. \p aSpread, from 0 to 1, differs among callers, so that they
  /// return one after the other.
  Duration RetryAfter(Duration aForecast,
                      Duration aTimeLeft,
                      double aSpread) const;

  std::size_t Waiting(const ServiceId& aService) const;
  std::size_t Waiting() const { return m_waiters.size(); }
  /// The services to which requests were sent.
  std::vector<ServiceId> KnownServices() const;
  /// The services with waiting requests.
  std::vector<ServiceId> Services() const;

private:
  /// Order of release: urgency, then virtual start, then arrival.
  struct Place
  {
    int m_urgency = 0;
    double m_start = 0;
    WaitId m_id = 0;
    auto operator<=>(const Place&) const = default;
  };
  struct Waiter
  {
    WaitRequest m_request;
    Place m_place;
    bool m_isReleased = false;
  };
  /// The accounts of one urgency. An account's virtual time grows by the
  /// inverse of its weight with each of its requests.
  struct UrgencyClass
  {
    double m_now = 0; ///< Virtual start of the latest release.
    std::map<AccountId, double> m_nextStart;
  };
  struct Pool
  {
    std::set<Place> m_places; ///< Of the requests that aren't released.
    std::size_t m_released = 0;
    std::map<int, UrgencyClass> m_classes;
    std::map<std::string, std::pair<std::size_t, Instant>> m_peers;
    double m_meanSeconds = 0; ///< Of a request at an upstream; 0: unknown.
    int m_urgentReleases = 0; ///< In a row, while less urgent ones waited.
    int m_ownFreed = 0;       ///< Places left by own requests.
    int m_sharedRoom = 0;     ///< Room at the time it was last shared out.
    Instant m_sharedAt{};
    double m_shareLeft = 0; ///< Part of a place that wasn't released yet.
    Instant m_admittedAt{}; ///< Latest admission, or begin of the waits.
    Instant m_stalledUntil{};
  };

  /// Expected time between two admissions here.
  Duration Interval(const Pool& aPool,
                    const PoolLoad& aLoad,
                    Instant aNow) const;
  static std::size_t OwnWaiting(const Pool& aPool);
  std::size_t PeersWaiting(const Pool& aPool, Instant aNow) const;
  /// Expected wait behind \p aAhead of this router's waiting requests.
  Duration Forecast(const Pool& aPool,
                    const PoolLoad& aLoad,
                    std::size_t aAhead,
                    Instant aNow) const;
  /// Removes the requests that aren't expected to get room in time into
  /// \p aDropped. Returns the forecast for \p aWatched.
  Duration DropHopeless(Pool& aPool,
                        const PoolLoad& aLoad,
                        Instant aNow,
                        WaitId aWatched,
                        std::vector<WaitId>& aDropped);
  std::set<Place>::const_iterator NextPlace(Pool& aPool) const;
  /// Room that may be released now.
  int ReleasableRoom(Pool& aPool, const PoolLoad& aLoad, Instant aNow) const;

  AdmissionQueueOptions m_options;
  std::map<ServiceId, Pool> m_pools;
  std::map<WaitId, Waiter> m_waiters;
  WaitId m_nextId = 1;
};

} // namespace bergamotpaddle
