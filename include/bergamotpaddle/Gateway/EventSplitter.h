/// \file
/// Cuts an event stream into whole events, so that an upstream that stops in
/// the middle of one never leaves half of it with a caller.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Takes bytes as they come and gives back those that make whole events.
class EventSplitter
{
public:
  /// With \p aAfterId, events up to that id are left out: the caller has them.
  explicit EventSplitter(std::optional<std::uint64_t> aAfterId = std::nullopt);

  /// Whole events among \p aBytes and what was kept, unchanged.
  std::string Take(std::string_view aBytes);

  /// Bytes of an event that is not whole yet.
  std::size_t PartialBytes() const { return m_partial.size(); }
  bool HasPartial() const { return !m_partial.empty(); }
  /// Events passed on since the last `ResetCount`.
  std::uint64_t Events() const { return m_events; }
  void ResetCount() { m_events = 0; }
  /// The id of the last whole event, as the upstream wrote it.
  const std::string& LastId() const { return m_lastId; }
  /// Whether an id was passed over since \p aAfterId or between events.
  bool HasGap() const { return m_hasGap; }

private:
  /// Whether the caller is to get \p aEvent; notes its id.
  bool Accept(std::string_view aEvent);

  std::optional<std::uint64_t> m_lastNumber;
  std::string m_partial;
  std::string m_lastId;
  std::uint64_t m_events = 0;
  bool m_hasGap = false;
};

} // namespace bergamotpaddle
