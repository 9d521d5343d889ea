/// \file
/// How one router asks another what changed in the store.
#pragma once

#include "bergamotpaddle/Gateway/FeedReplica.h"

#include <string_view>

namespace bergamotpaddle {

/// What the asking router has of one feed.
struct FeedQuery
{
  std::string m_feed;                ///< The feed's prefix.
  std::uint64_t m_knownRevision = 0; ///< Revision; 0: nothing is known.
  std::vector<std::uint64_t>
    m_baseRevisions; ///< Versions at hand for differences.
  MSGPACK_DEFINE(m_feed, m_knownRevision, m_baseRevisions)
  auto operator<=>(const FeedQuery&) const = default;
};

/// The question.
struct FeedRequest
{
  /// Of this layout and that of the answer; others are not read.
  static constexpr int kLayout = 1;
  int m_layout = kLayout;
  std::int64_t m_waitMs = 0; ///< Longest wait for a change.
  std::vector<FeedQuery> m_queries;
  MSGPACK_DEFINE(m_layout, m_waitMs, m_queries)
  auto operator<=>(const FeedRequest&) const = default;

  std::string Encode() const;
  static absl::StatusOr<FeedRequest> Decode(std::string_view aBytes);
};

/// What changed in one feed.
struct FeedUpdate
{
  std::string m_feed;
  /// Since the store confirmed the answering router's copy; negative: never.
  std::int64_t m_ageMs = -1;
  FeedChanges m_changes;
  MSGPACK_DEFINE(m_feed, m_ageMs, m_changes)
  auto operator<=>(const FeedUpdate&) const = default;
};

/// The answer.
struct FeedResponse
{
  int m_layout = FeedRequest::kLayout;
  std::vector<FeedUpdate> m_parts;
  MSGPACK_DEFINE(m_layout, m_parts)
  auto operator<=>(const FeedResponse&) const = default;

  std::string Encode() const;
  static absl::StatusOr<FeedResponse> Decode(std::string_view aBytes);
};

} // namespace bergamotpaddle
