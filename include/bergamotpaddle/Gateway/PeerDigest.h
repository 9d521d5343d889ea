/// \file
/// What routers tell one another about the load that they put on upstreams.
///
/// One datagram holds the sender's whole load on the upstreams that changed,
/// never differences, so a lost one is made good by the next.
#pragma once

#include "bergamotpaddle/Gateway/UpstreamView.h"

#include <absl/status/statusor.h>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// The sender's load on one upstream.
struct UpstreamDigest
{
  std::string m_upstream;
  int m_requests = 0;
  int m_streams = 0;
  std::int64_t m_prefillLeftUs = 0;
  double m_slowness = 0;                 ///< As reported; 0: no fresh report.
  std::int64_t m_slownessAgeUs = 0;      ///< Of that report.
  std::vector<std::uint64_t> m_newParts; ///< Prompt parts sent since the last.
  MSGPACK_DEFINE(m_upstream,
                 m_requests,
                 m_streams,
                 m_prefillLeftUs,
                 m_slowness,
                 m_slownessAgeUs,
                 m_newParts)
  auto operator<=>(const UpstreamDigest&) const = default;
};

/// One datagram.
struct PeerDigest
{
  std::string m_from; ///< The sender's life.
  std::vector<UpstreamDigest> m_upstreams;
  MSGPACK_DEFINE(m_from, m_upstreams)
  auto operator<=>(const PeerDigest&) const = default;

  std::string Encode() const;
  static absl::StatusOr<PeerDigest> Decode(std::string_view aBytes);
};

/// Feeds \p aDigest into \p aView.
void
ApplyDigest(const PeerDigest& aDigest, UpstreamView& aView, Instant aNow);

} // namespace bergamotpaddle
