/// \file
/// Splits an event stream into complete events, so that a caller never receives
/// a truncated event if an upstream fails in the middle of one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Buffers the bytes of a stream and returns complete events.
class EventSplitter
{
public:
  /// With \p aAfterId, drops events up to that id, which the caller has already
  /// received.
  explicit EventSplitter(std::optional<std::uint64_t> aAfterId = std::nullopt);

  /// Appends \p aBytes to the buffer and returns the events that are now
  /// complete, unmodified.
  std::string Consume(std::string_view aBytes);

  /// Number of buffered bytes of an incomplete event.
  std::size_t PartialBytes() const { return m_partial.size(); }
  bool HasPartial() const { return !m_partial.empty(); }
  /// Number of events returned since the last `ResetCount`.
  std::uint64_t Events() const { return m_events; }
  void ResetCount() { m_events = 0; }
  /// The id of the last complete event with a numeric id, as the upstream sent
  /// it; empty if there was none.
  const std::string& LastId() const { return m_lastId; }
  /// Whether ids are missing between two events, or between the constructor's
  /// aAfterId and the first event.
  bool HasGap() const { return m_hasGap; }

private:
  /// Records the id of \p aEvent; returns whether to forward the event.
  bool Accept(std::string_view aEvent);

  std::optional<std::uint64_t> m_lastNumber;
  std::string m_partial;
  std::string m_lastId;
  std::uint64_t m_events = 0;
  bool m_hasGap = false;
};

} // namespace bergamotpaddle
