/// \file
/// Messages in which routers report their load on upstreams and the state of
/// their replicas of the store's items.
///
/// A datagram holds the sender's full load on some upstreams, never increments,
/// so the next datagram compensates for a lost one.
#pragma once

#include "bergamotpaddle/Feed/FeedSource.h"
#include "bergamotpaddle/Scheduling/PromptQuarantine.h"
#include "bergamotpaddle/Scheduling/RouterLevelling.h"
#include "bergamotpaddle/Scheduling/UpstreamView.h"

#include <absl/status/statusor.h>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// The sender's load on one upstream.
struct UpstreamDigest
{
  std::uint32_t m_upstream = 0; ///< `UpstreamView::ShortHash` of its id.
  int m_requests = 0;           ///< In flight.
  int m_streams = 0;            ///< Of these, those with long decoding.
  int m_prefillLeftMs = 0;
  int m_slownessPercent = 0; ///< As the upstream reported; 0: no recent report.
  int m_slownessAgeMs = 0;   ///< Age of that report.
  std::vector<std::uint64_t> m_newParts; ///< Prompt parts sent since the last
                                         ///< digest.
  MSGPACK_DEFINE(m_upstream,
                 m_requests,
                 m_streams,
                 m_prefillLeftMs,
                 m_slownessPercent,
                 m_slownessAgeMs,
                 m_newParts)
  std::size_t EncodedSize() const;
  auto operator<=>(const UpstreamDigest&) const = default;
};

/// An incarnation of an upstream that told the sender that it leaves.
struct LeavingUpstream
{
  std::uint32_t m_upstream = 0; ///< `UpstreamView::ShortHash` of its id.
  std::int64_t m_startedAtMs = 0;
  MSGPACK_DEFINE(m_upstream, m_startedAtMs)
  auto operator<=>(const LeavingUpstream&) const = default;
};

/// Requests that wait at the sender for room in one pool.
struct WaitingDigest
{
  std::uint32_t m_service = 0; ///< Low bits of the service's `PlacementHash`.
  std::uint32_t m_waiting = 0;
  MSGPACK_DEFINE(m_service, m_waiting)
  auto operator<=>(const WaitingDigest&) const = default;
};

/// The contents of one datagram.
struct PeerDigest
{
  /// Layout version; others are rejected.
  static constexpr int kVersion = 3;
  int m_version = kVersion;
  std::string m_senderIncarnation; ///< Identifies the sending process.
  /// Time since the store last responded to the sender; negative if it never
  /// did.
  std::int64_t m_storeAgeMs = -1;
  double m_linkMbps = 0; ///< Link capacity of the sender.
  std::string m_zone;    ///< Availability zone of the sender.
  /// Age of the sender's replicas of the store's items; negative if it doesn't
  /// read them from the store.
  std::int64_t m_feedAgeMs = -1;
  /// Revisions of the last changes known to the sender, one for each feed.
  std::vector<std::uint64_t> m_feedChangedRevisions;
  std::vector<UpstreamDigest> m_upstreams;
  // Fields from here on: routers of an earlier release ignore them, and don't
  // send them.
  QuarantineReport m_quarantine;
  /// Time since the store last responded to a call that the sender made itself,
  /// not through another router; negative if it never did.
  std::int64_t m_storeContactAgeMs = -1;
  /// Found leaving within the last few seconds; at most `kMaxLeaving`.
  std::vector<LeavingUpstream> m_leaving;
  static constexpr std::size_t kMaxLeaving = 32;
  RouterLoad m_load;                 ///< Of the sender.
  std::vector<SpeedReport> m_speeds; ///< The sender's own measurements.
  /// The pools for which requests wait; usually none.
  std::vector<WaitingDigest> m_waiting;
  MSGPACK_DEFINE(m_version,
                 m_senderIncarnation,
                 m_storeAgeMs,
                 m_linkMbps,
                 m_zone,
                 m_feedAgeMs,
                 m_feedChangedRevisions,
                 m_upstreams,
                 m_quarantine,
                 m_storeContactAgeMs,
                 m_leaving,
                 m_load,
                 m_speeds,
                 m_waiting)
  auto operator<=>(const PeerDigest&) const = default;

  /// The sender's report on its replicas.
  FeedStatus ToFeedStatus() const;
  void SetFeedStatus(const FeedStatus& aStatus);

  std::string Encode() const;
  /// Fails with Unimplemented on another layout version, and with
  /// InvalidArgument on malformed bytes.
  static absl::StatusOr<PeerDigest> Decode(std::string_view aBytes);
};

/// Updates \p aView from \p aDigest, received at \p aNow. Ignores upstreams
/// that aren't listed in the view.
void
ApplyDigest(const PeerDigest& aDigest, UpstreamView& aView, Instant aNow);

} // namespace bergamotpaddle
