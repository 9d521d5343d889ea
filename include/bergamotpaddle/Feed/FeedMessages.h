/// \file
/// Messages with which a router requests changes to the store's items from
/// another router, and the responses.
#pragma once

#include "bergamotpaddle/Feed/FeedReplica.h"

#include <string_view>

namespace bergamotpaddle {

/// The state of the requesting router's replica of one feed.
struct FeedQuery
{
  std::string m_feed;                ///< The feed's key prefix.
  std::uint64_t m_knownRevision = 0; ///< 0: no replica.
  std::vector<std::uint64_t>
    m_baseRevisions; ///< Versions usable as delta bases.
  MSGPACK_DEFINE(m_feed, m_knownRevision, m_baseRevisions)
  auto operator<=>(const FeedQuery&) const = default;
};

/// Requests the changes of several feeds.
struct FeedRequest
{
  /// Layout version of the request and the response; others are rejected.
  static constexpr int kLayout = 1;
  int m_layout = kLayout;
  std::int64_t m_waitMs = 0; ///< Maximum time to wait for a change.
  std::vector<FeedQuery> m_queries;
  MSGPACK_DEFINE(m_layout, m_waitMs, m_queries)
  auto operator<=>(const FeedRequest&) const = default;

  std::string Encode() const;
  /// Fails with Unimplemented on another layout version, and with
  /// InvalidArgument on malformed bytes.
  static absl::StatusOr<FeedRequest> Decode(std::string_view aBytes);
};

/// The changes of one feed.
struct FeedUpdate
{
  std::string m_feed;
  /// Time since the store last confirmed the responding router's replica;
  /// negative if it never did.
  std::int64_t m_ageMs = -1;
  FeedChanges m_changes;
  MSGPACK_DEFINE(m_feed, m_ageMs, m_changes)
  auto operator<=>(const FeedUpdate&) const = default;
};

/// The response to a `FeedRequest`.
struct FeedResponse
{
  int m_layout = FeedRequest::kLayout;
  std::vector<FeedUpdate> m_updates;
  MSGPACK_DEFINE(m_layout, m_updates)
  auto operator<=>(const FeedResponse&) const = default;

  std::string Encode() const;
  /// Fails like `FeedRequest::Decode`.
  static absl::StatusOr<FeedResponse> Decode(std::string_view aBytes);
};

} // namespace bergamotpaddle
