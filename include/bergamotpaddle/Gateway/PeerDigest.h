/// \file
/// What routers tell one another about the load that they put on upstreams, and
/// about their copies of what the store holds.
///
/// A datagram holds the sender's whole load on some upstreams, never
/// differences, so a lost one is made good by the next.
#pragma once

#include "bergamotpaddle/Gateway/FeedSource.h"
#include "bergamotpaddle/Gateway/UpstreamView.h"

#include <absl/status/statusor.h>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// The sender's load on one upstream.
struct UpstreamDigest
{
  std::uint32_t m_upstream = 0; ///< `UpstreamView::ShortHash` of its id.
  int m_requests = 0;
  int m_streams = 0;
  int m_prefillLeftMs = 0;
  int m_slownessPercent = 0;             ///< As reported; 0: no fresh report.
  int m_slownessAgeMs = 0;               ///< Of that report.
  std::vector<std::uint64_t> m_newParts; ///< Prompt parts sent since the last.
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

/// One datagram.
struct PeerDigest
{
  /// Of this layout; others are not read.
  static constexpr int kVersion = 3;
  int m_version = kVersion;
  std::string m_senderIncarnation; ///< The sender's life.
  /// Since the store last answered the sender; negative: it never did.
  std::int64_t m_storeAgeMs = -1;
  double m_linkMbps = 0; ///< The sender's link.
  std::string m_zone;    ///< Its availability zone.
  /// Of its copies of what the store holds; negative: it does not read them
  /// from the store.
  std::int64_t m_feedAgeMs = -1;
  /// Revisions of the last changes that it knows, one for each feed.
  std::vector<std::uint64_t> m_feedsChanged;
  std::vector<UpstreamDigest> m_upstreams;
  MSGPACK_DEFINE(m_version,
                 m_senderIncarnation,
                 m_storeAgeMs,
                 m_linkMbps,
                 m_zone,
                 m_feedAgeMs,
                 m_feedsChanged,
                 m_upstreams)
  auto operator<=>(const PeerDigest&) const = default;

  /// What the sender tells of its copies.
  FeedStatus ToFeedStatus() const;
  void SetFeedStatus(const FeedStatus& aSign);

  std::string Encode() const;
  static absl::StatusOr<PeerDigest> Decode(std::string_view aBytes);
};

/// Feeds \p aDigest into \p aView.
void
ApplyDigest(const PeerDigest& aDigest, UpstreamView& aView, Instant aNow);

} // namespace bergamotpaddle
