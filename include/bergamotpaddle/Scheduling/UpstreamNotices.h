/// \file
/// What upstreams say of themselves in their responses: that they leave, or
/// that they want no requests from this router for some time.
///
/// Load pattern: an upstream is about to be stopped, or is full, while the list
/// of upstreams still names it as ready, because the list lags by a second, its
/// store is out of reach or this router is cut off from it. Requests that are
/// sent there are turned away, or die with it.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamotpaddle {

/// What one response says of its upstream.
struct UpstreamNotice
{
  bool m_isLeaving = false;
  /// Turned the request away and wants no more of this router for so long.
  std::optional<Duration> m_closedFor;
  /// A value that couldn't be read and is ignored.
  bool m_isInvalid = false;
  auto operator<=>(const UpstreamNotice&) const = default;
};

/// One incarnation of an upstream.
struct UpstreamIncarnation
{
  UpstreamId m_id;
  std::int64_t m_startedAtMs = 0; ///< As listed by the platform; 0: unknown.
  auto operator<=>(const UpstreamIncarnation&) const = default;
};

/// The notices in force. They outlive the upstream's entry in the list, which
/// may disappear and come back while the store is unavailable, and end with the
/// incarnation.
class UpstreamNotices
{
public:
  /// Notices kept; the oldest ones are forgotten first. Above the number of
  /// upstreams of the target, 3,700.
  static constexpr std::size_t kMaxNotices = 4096;

  /// Who found that an upstream leaves.
  enum class Source
  {
    kResponse, ///< A response to this router.
    kPeer,     ///< Another router; not told to others again.
  };
  /// Records that \p aUpstream leaves; returns whether that is new.
  bool NoteLeaving(const UpstreamIncarnation& aUpstream,
                   Source aSource,
                   Instant aNow);
  /// Records that \p aUpstream takes no requests of this router until
  /// \p aUntil. An earlier time doesn't replace a later one.
  void NoteClosed(const UpstreamIncarnation& aUpstream,
                  Instant aUntil,
                  Instant aNow);

  bool IsLeaving(const UpstreamIncarnation& aUpstream) const;
  /// When \p aUpstream takes requests again; a time in the past, or the clock's
  /// epoch, if it does now.
  Instant ClosedUntil(const UpstreamIncarnation& aUpstream) const;

  /// The upstreams that responses to this router told to be leaving, the first
  /// of them after \p aSince.
  std::vector<UpstreamIncarnation> ToldLeavingSince(Instant aSince) const;
  std::size_t Size() const { return m_notices.size(); }

private:
  struct Notice
  {
    bool m_isLeaving = false;
    std::optional<Instant> m_toldLeavingAt; ///< By a response.
    Instant m_closedUntil{};
    Instant m_notedAt{};
  };

  Notice& Insert(const UpstreamIncarnation& aUpstream, Instant aNow);

  std::map<UpstreamIncarnation, Notice> m_notices;
};

} // namespace bergamotpaddle
