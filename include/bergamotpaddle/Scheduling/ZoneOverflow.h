/// \file
/// Decides how many of a service's requests leave this router's availability
/// zone.
///
/// Load pattern: a burst in one zone fills its upstreams while other zones have
/// room. Traffic between zones takes longer and costs money, and every router
/// of the zone sees the same idle upstreams elsewhere: sending all requests
/// there at once would move the overload, and zones that are all overloaded
/// would exchange theirs.
///
/// The share that leaves is the output of an integrating controller with a dead
/// band: it grows while leaving pays, and shrinks while it doesn't.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"
#include "bergamotpaddle/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// What a service has in one zone, from the reports of upstreams and routers.
struct ZoneLoad
{
  std::size_t m_upstreams = 0; ///< That accept work and aren't avoided.
  Duration m_wait{ 0 };        ///< Mean estimated wait of one more request.
  double m_utilization = 0;    ///< Requests in flight per slot.
};

/// The price of leaving, and the controller's parameters.
struct ZoneOverflowOptions
{
  /// What the operator accepts as additional wait of a caller to save one
  /// kilobyte between zones, in milliseconds; 0: requests leave freely.
  double m_msPerKilobyte = 0;
  /// Utilization above which a zone needs its slots for its own callers: the
  /// rest covers a burst until the next digest.
  double m_maxUtilization = 0.7;
  /// Gain above which the share grows, as a fraction of the cost of leaving. It
  /// shrinks when there is no gain.
  double m_hysteresis = 0.5;
  /// Interval between changes of the share: peers' digests take about as long.
  Duration m_interval = std::chrono::milliseconds(200);
  /// Largest change of the share at once: over two seconds from none to all, as
  /// its effect on the loads is seen after two or three intervals.
  double m_maxStep = 0.1;
  /// Weight of the latest load in the smoothed one.
  double m_loadWeight = 0.5;
  /// Round trip to another zone before any was measured.
  Duration m_initialRoundTrip = std::chrono::milliseconds(2);
  /// Largest round trip: longer measurements are lost packets.
  Duration m_maxRoundTrip = std::chrono::milliseconds(250);
  /// Size of a response, in bytes, before any was measured.
  double m_initialResponseBytes = 1024;
};

/// A change of a service's share, for the log.
struct OverflowChange
{
  ServiceId m_service;
  double m_share = 0;
  Duration m_homeWait{ 0 };
  std::string m_bestZone; ///< Empty if no zone has room.
  Duration m_bestWait{ 0 };
};

/// The decision for all services of one router. Performs no I/O.
class ZoneOverflow
{
public:
  ZoneOverflow(std::string aHomeZone, ZoneOverflowOptions aOptions);

  /// Whether leaving the zone has a price at all.
  bool IsEnabled() const { return m_options.m_msPerKilobyte > 0; }

  /// Records how long a connection to an upstream in \p aZone took to make.
  void NoteConnectTime(const std::string& aZone, Duration aTime);
  /// Records the size of a response of \p aService.
  void NoteResponseBytes(const ServiceId& aService, std::uint64_t aBytes);

  /// Time that a round trip to \p aZone takes beyond one within this zone.
  Duration RoundTrip(const std::string& aZone) const;
  /// Cost of serving a request of \p aService with \p aRequestBytes in
  /// \p aZone, as time.
  Duration CrossingCost(const ServiceId& aService,
                        const std::string& aZone,
                        std::uint64_t aRequestBytes) const;

  /// Whether the share of \p aService is to be updated now.
  bool IsDue(const ServiceId& aService, Instant aNow) const;
  /// Updates the share by the load of each zone; \p aRequestBytes is the size
  /// of a request.
  void Update(const ServiceId& aService,
              const std::map<std::string, ZoneLoad>& aLoads,
              std::uint64_t aRequestBytes,
              Instant aNow);

  /// Returns the zone that the next request of \p aService may use beside this
  /// one, if any: the share of them, evenly spread in time, and over the zones
  /// by their room. All routers of a zone see the same loads, which are a
  /// digest old; they would all choose the zone that was idle last.
  std::optional<std::string> DrawTarget(const ServiceId& aService);
  /// Whether \p aZone has room beyond what its own callers need.
  bool HasRoom(const ServiceId& aService, const std::string& aZone) const;
  /// Returns the zone for a request that this zone can't serve in time, if one
  /// has a free slot.
  std::optional<std::string> DrawRefuge(const ServiceId& aService);

  std::map<ServiceId, double> Shares() const;
  std::vector<OverflowChange> TakeChanges();

private:
  struct ServiceOverflow
  {
    double m_share = 0;
    double m_loggedShare = 0;
    /// Of the share, since the last request that left, by zone.
    std::map<std::string, double> m_accumulated;
    Instant m_updatedAt{};
    std::optional<double> m_responseBytes;
    std::map<std::string, ZoneLoad> m_loads;
  };

  /// The cost of leaving for the best zone with room, beside its load.
  struct Target
  {
    std::string m_zone;
    Duration m_wait{ 0 };
    Duration m_crossing{ 0 };
  };
  /// Draws a zone with a utilization below \p aLimit for \p aShare of the
  /// calls.
  std::optional<std::string> Draw(ServiceOverflow& aState,
                                  double aShare,
                                  double aLimit) const;
  std::optional<Target> BestTarget(const ServiceId& aService,
                                   const ServiceOverflow& aState,
                                   std::uint64_t aRequestBytes) const;
  /// Smooths the loads of \p aState by \p aLoads.
  void SmoothLoads(ServiceOverflow& aState,
                   const std::map<std::string, ZoneLoad>& aLoads) const;
  double NextShare(const ServiceOverflow& aState,
                   const std::optional<Target>& aTarget) const;

  std::string m_homeZone;
  ZoneOverflowOptions m_options;
  std::map<ServiceId, ServiceOverflow> m_services;
  std::map<std::string, double> m_connectUs; ///< Smoothed, in microseconds.
  std::vector<OverflowChange> m_changes;
};

} // namespace bergamotpaddle
