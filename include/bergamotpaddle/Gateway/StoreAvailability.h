/// \file
/// Whether the platform's store itself was away, or only out of this router's
/// reach.
///
/// Fault pattern: a router's own link is full or cut for seconds while the
/// store serves all others. Entries of upstreams that are missing afterwards
/// have left; after an outage of the store they may only have lapsed.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <optional>

namespace bergamotpaddle {

/// Bounds on what is concluded.
struct StoreContactOptions
{
  /// A peer that had an answer of the store so lately speaks for the store:
  /// three signs of life of peers (`DigestScheduleOptions::m_heartbeat`).
  Duration m_peerValid = std::chrono::milliseconds(1500);
  /// How long after a failure that nobody contradicted the store counts as
  /// having been away.
  Duration m_awayMemory = std::chrono::seconds(4);
};

/// What one router knows of the store's health. Free of I/O.
class StoreAvailability
{
public:
  explicit StoreAvailability(StoreContactOptions aOptions = {});

  /// A call of this router to the store was answered, or was not.
  void NoteAnswer(Instant aNow);
  void NoteFailure(Instant aNow);
  /// A peer had an answer \p aAge ago.
  void NotePeerResponse(Instant aNow, Duration aAge);

  /// When this router had its last answer.
  std::optional<Instant> LastResponseAt() const { return m_answeredAt; }

  /// Whether the store was lately away for everybody, as far as is known.
  bool WasRecentlyUnavailable(Instant aNow) const;

private:
  StoreContactOptions m_options;
  std::optional<Instant> m_answeredAt;
  std::optional<Instant> m_peersAnsweredAt;
  std::optional<Instant> m_awayAt;
};

} // namespace bergamotpaddle
