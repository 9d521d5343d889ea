/// \file
/// Bounds the rate at which a cold upstream gets requests from all routers
/// together.
///
/// Load pattern handled here: an upstream that has just started, or whose zone
/// was taken back, is idle, so every router would send its next requests there.
/// A cold upstream crashes at a rate that a warm one bears. The routers don't
/// ask each other: of all routers that are registered, reachable or not, a few
/// own one request a second each at a cold upstream, by rendezvous hashing;
/// together they own less than the limit, so that routers whose lists differ by
/// a few others still keep it. In a small fleet each router owns several
/// requests a second. A router that knows no list owns none.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// The bounds of a deployment; by default there are none.
struct ColdRateOptions
{
  /// A cold upstream must not get more than its service's rate times this, plus
  /// m_slack, in any second. 0: no bound.
  double m_over = 0;
  double m_slack = 0;
  /// Span in which a share may be used once: the second of the bound, and time
  /// for a request to leave a busy process after it was counted.
  Duration m_window = std::chrono::milliseconds(1200);
  /// How much later than by the last report an upstream is assumed to be warm:
  /// the report counts from when it was written, but on the upstream's clock.
  Duration m_margin = std::chrono::milliseconds(200);
};

/// The cold upstreams of a service.
struct ColdUpstreams
{
  std::set<UpstreamId> m_open;     ///< This router may send one request there.
  std::set<UpstreamId> m_withheld; ///< This router must send nothing there.
};

/// This router's part of the rate at each cold upstream. Performs no I/O.
class ColdRate
{
public:
  explicit ColdRate(ColdRateOptions aOptions = {});

  /// Sets the services in force; those with a cold rate are limited.
  void SetServices(const std::vector<Service>& aServices);
  /// Sets the addresses of all registered routers, \p aSelf included.
  void SetRouters(const std::string& aSelf,
                  const std::set<std::string>& aRouters,
                  Instant aNow);

  /// Records that the upstream will be cold for \p aLeft. Returns whether it
  /// was warm as far as this router knew. \p aIsNew: it had no requests before.
  bool NoteCold(const UpstreamId& aId,
                const ServiceId& aService,
                Duration aLeft,
                bool aIsNew,
                Instant aNow);
  /// Like NoteCold, for an upstream that is assumed to be cold for as long as
  /// its service's upstreams are after a start.
  void AssumeCold(const UpstreamId& aId,
                  const ServiceId& aService,
                  Instant aNow);

  bool IsCold(const UpstreamId& aId, Instant aNow) const;
  /// Returns the cold upstreams of \p aService.
  ColdUpstreams Find(const ServiceId& aService, Instant aNow) const;

  /// Reserves one request at the upstream until it is sent or released.
  void Reserve(const UpstreamId& aId, const ServiceId& aService);
  void Release(const UpstreamId& aId);
  /// Ends a reservation: returns whether the request may leave now, and counts
  /// it if so.
  bool Send(const UpstreamId& aId, const ServiceId& aService, Instant aNow);

  /// Requests per \p m_window that this router may send to a cold upstream.
  int Share(const UpstreamId& aId, const ServiceId& aService) const;

private:
  struct Limit
  {
    int m_owned = 0; ///< Requests a second that all routers own together.
    Duration m_coldTime{ 0 };
    auto operator<=>(const Limit&) const = default;
  };
  struct Upstream
  {
    ServiceId m_service;
    Instant m_coldUntil{};
    Instant m_holdUntil{}; ///< Nothing is sent before.
    std::deque<Instant> m_sentAt;
    int m_reserved = 0;
    /// Whether this router is an owner, as long as the routers are the same.
    mutable std::optional<bool> m_isOwner;
  };

  int SentInWindow(const Upstream& aUpstream, Instant aNow) const;
  int Share(const UpstreamId& aId, const Upstream& aUpstream) const;
  bool IsOwner(const UpstreamId& aId, std::size_t aOwners) const;
  /// The record of an upstream of a limited service; null if it has no limit.
  Upstream* Track(const UpstreamId& aId, const ServiceId& aService);
  void Prune(Instant aNow);

  ColdRateOptions m_options;
  std::map<ServiceId, Limit> m_limits;
  std::map<UpstreamId, Upstream> m_upstreams;
  std::string m_self;
  std::set<std::string> m_routers;
  std::optional<Instant> m_ownsFrom; ///< When shares may be used.
};

} // namespace bergamotpaddle
