/// \file
/// Decides when a router leaves the load balancer's rotation and hands its
/// connections to the other routers of its availability zone, and when it
/// returns.
///
/// Load pattern: the load balancer assigns connections by a hash of the caller,
/// whatever a router's size, and callers come back by the same hash. A router
/// with a small share of a core or a narrow link serves half of a zone's
/// callers, late, while larger routers are idle; a short leave changes nothing,
/// since new connections arrive as soon as it ends. Each router therefore tells
/// the others its load in its digests, and all apply one order to these
/// reports: the most loaded of a zone leave, few at a time, for as long as the
/// others have room.
#pragma once

#include "bergamotpaddle/Scheduling/ConnectionShedding.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>

namespace bergamotpaddle {

/// What a router tells the others about its load. Zero room: not told.
struct RouterLoad
{
  int m_roomMillicores = 0; ///< Processor that the process may use.
  /// Load in permille of what the router bears: above 1000 its answers are
  /// late.
  int m_pressure = 0;
  bool m_isAway = false;       ///< Not ready, so that callers go elsewhere.
  std::uint32_t m_awayMs = 0;  ///< Total time away.
  std::uint32_t m_aliveMs = 0; ///< Since the start of the process.
  MSGPACK_DEFINE(m_roomMillicores, m_pressure, m_isAway, m_awayMs, m_aliveMs)
  auto operator<=>(const RouterLoad&) const = default;
};

/// Thresholds and durations of the levelling.
struct RouterLevellingOptions
{
  /// Availability zone of this router; empty: unknown.
  std::string m_zone;
  /// Processor that this router may use; 0: not told, so nothing is levelled
  /// beyond `ConnectionShedding`.
  int m_roomMillicores = 0;
  /// Capacity of the router's link in each direction, in bytes a second.
  double m_linkBytesPerSecond = 0;
  /// Average delay of the event loop at which the pressure is 1000: a request
  /// takes about ten steps, and the shortest objective is 100 ms.
  Duration m_maxLoopDelay = std::chrono::milliseconds(8);
  /// Share of the link at which the pressure is 1000: queues of a link grow
  /// without bound near 1.
  double m_maxLinkUse = 0.85;
  /// Time over which delays and bytes are averaged.
  Duration m_averagingTime = std::chrono::seconds(1);
  /// Longest delay that counts: a single pause of the process is no overload.
  Duration m_maxSample = std::chrono::milliseconds(100);
  /// Pressure below which a router takes over callers of others, and below
  /// which one that is away may return.
  int m_calmPressure = 500;
  /// How long the pressure has to be low before the return.
  Duration m_calmTime = std::chrono::seconds(1);
  /// Time from the end of readiness until the load balancer assigns no more
  /// connections: two checks, one second apart.
  Duration m_balancerDelay = std::chrono::milliseconds(2200);
  /// Shortest time away: callers need some requests to settle elsewhere.
  Duration m_minAway = std::chrono::seconds(6);
  /// Longest time away: an operator sees a router at work within a minute.
  Duration m_maxAway = std::chrono::seconds(48);
  /// A router that is overloaded again within this time of its return stays
  /// away twice as long.
  Duration m_relapseTime = std::chrono::seconds(20);
  /// Time between a return and the next leave.
  Duration m_minStay = std::chrono::seconds(2);
  /// Time in which each connection is closed once, so that callers don't move
  /// at one moment.
  Duration m_closingTime = std::chrono::seconds(1);
  /// Share of a zone's routers that may be away at one time. The load balancer
  /// uses all routers of a zone if less than half is ready.
  double m_maxAwayInZone = 1.0 / 3;
  /// Share of the time of all routers that may be spent away: the users ask for
  /// less than an eighth. None leaves above the second, so that none returns
  /// right after it left.
  double m_maxAwayTime = 0.115;
  double m_maxAwayTimeBefore = 0.105;
  /// How long a report counts. Digests get lost where a link or a receive
  /// buffer is full, so this exceeds their interval by far.
  Duration m_reportTimeout = std::chrono::seconds(5);
  /// Steps of the event loop that a request takes to its first response byte.
  int m_stepsPerRequest = 10;
  ConnectionSheddingOptions m_alone; ///< Without reports of the zone's routers.
};

/// The levelling from one router's point of view. Performs no I/O.
class RouterLevelling
{
public:
  explicit RouterLevelling(RouterLevellingOptions aOptions = {});

  /// Records the load that the router \p aRouter of \p aZone reported.
  void NoteReport(const std::string& aRouter,
                  const std::string& aZone,
                  const RouterLoad& aLoad,
                  Instant aNow);
  /// Records how late the event loop ran a tick at \p aNow; \p aConnections is
  /// the number of callers' connections, \p aBytes what the busier direction of
  /// the link carried since the start of the process.
  void NoteTick(Duration aDelay,
                std::size_t aConnections,
                std::uint64_t aBytes,
                Instant aNow);

  /// This router's report; \p aSelf is how others name it, for ties.
  RouterLoad Report(Instant aNow) const;
  void SetName(std::string aSelf) { m_self = std::move(aSelf); }

  /// Whether the load balancer may assign connections to this router.
  bool IsReady() const;
  /// Whether to close the connection of the next response; counts it if so.
  bool TakeClose();
  /// Whether a request whose response is due within \p aObjective is better
  /// refused, so that its caller's repetition reaches another router: this
  /// router would be late, and others of its zone have room.
  bool ShouldRefuse(Duration aObjective) const;

  Duration AverageDelay() const { return m_averageDelay; }
  int Pressure() const;
  /// Number of leaves so far.
  int Count() const;
  Duration TimeAway(Instant aNow) const;
  /// Routers of the zone, this one included, with a recent report.
  std::size_t ZoneSize() const { return m_zoneSize; }

private:
  struct Peer
  {
    std::string m_zone;
    RouterLoad m_load;
    Instant m_heardAt{};
  };

  /// What the reports say about the zone and the fleet.
  struct Survey
  {
    std::size_t m_zoneSize = 1;
    /// Routers of the zone that are away or overloaded and come before this
    /// one.
    std::size_t m_ahead = 0;
    int m_calmRoom =
      0; ///< Of the zone's other routers in rotation, millicores.
    int m_meanPressure = 0; ///< Of these.
    double m_awayShare = 0; ///< Of the time of all known routers.
  };

  Survey MakeSurvey(Instant aNow) const;
  bool ComesBefore(const std::string& aRouter, const RouterLoad& aLoad) const;
  bool MayBeAway(const Survey& aSurvey) const;
  void UpdateAverages(Duration aDelay, std::uint64_t aBytes, Instant aNow);
  void Leave(Instant aNow);
  void Return(Instant aNow);
  void AllowCloses(std::size_t aConnections, Instant aNow);

  RouterLevellingOptions m_options;
  std::string m_self;
  ConnectionShedding m_alone;
  std::map<std::string, Peer> m_peers;
  std::optional<Instant> m_startedAt;
  Instant m_tickAt{};
  Instant m_surveyDueAt{};
  Duration m_averageDelay{ 0 };
  std::uint64_t m_bytes = 0;
  double m_bytesPerSecond = 0;
  bool m_isAlone = true;
  bool m_isAway = false;
  bool m_hasCalmPeers = false;
  std::size_t m_zoneSize = 1;
  Instant m_changedAt{};              ///< Of the last leave or return.
  std::optional<Instant> m_calmSince; ///< While the pressure is low.
  Duration m_awayTime{ 0 };           ///< Without the current leave.
  Duration m_nextAway;                ///< Shortest time of the next leave.
  double m_closesAllowed = 0;
  int m_count = 0;
};

} // namespace bergamotpaddle
