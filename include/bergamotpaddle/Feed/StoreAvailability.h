/// \file
/// Distinguishes an outage of the platform's store from a failure of this
/// router's own connection to it.
///
/// A router's link may be saturated or cut for seconds while the store serves
/// all other routers. Upstream entries that are missing afterwards were
/// removed; after an outage of the store itself, their leases may merely have
/// expired.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <optional>

namespace bergamotpaddle {

/// Parameters of the decision.
struct StoreAvailabilityOptions
{
  /// Time for which a store response to a peer shows that the store is
  /// available: three peer heartbeats (`DigestScheduleOptions::m_heartbeat`).
  Duration m_peerReportValidity = std::chrono::milliseconds(1500);
  /// Time for which the store counts as recently unavailable after a failure
  /// without evidence of availability from a peer.
  Duration m_unavailableHoldTime = std::chrono::seconds(4);
};

/// The store's availability from one router's point of view. Performs no I/O.
class StoreAvailability
{
public:
  explicit StoreAvailability(StoreAvailabilityOptions aOptions = {});

  /// Records the store's response to a call of this router.
  void NoteResponse(Instant aNow);
  /// Records that a call of this router to the store failed.
  void NoteFailure(Instant aNow);
  /// Records that the store last responded to a peer \p aAge ago.
  void NotePeerResponse(Instant aNow, Duration aAge);

  /// Time of the last response to this router; none if there was none.
  std::optional<Instant> LastResponseAt() const { return m_lastResponseAt; }

  /// Whether the store is unavailable to all routers now, as far as this router
  /// and its peers' reports show.
  bool IsUnavailable(Instant aNow) const;

  /// Whether the store was recently unavailable to all routers, as far as this
  /// router and its peers' reports show.
  bool WasRecentlyUnavailable(Instant aNow) const;

private:
  StoreAvailabilityOptions m_options;
  std::optional<Instant> m_lastResponseAt;
  std::optional<Instant> m_lastPeerResponseAt;
  std::optional<Instant> m_unavailableAt;
};

} // namespace bergamotpaddle
