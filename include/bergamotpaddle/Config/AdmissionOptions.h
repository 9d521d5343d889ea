/// \file
/// Bounds of one upstream's slots and queue.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace bergamotpaddle {

/// Bounds of one upstream.
struct AdmissionOptions
{
  std::size_t m_slots = 8; ///< Runs at once.
  std::size_t m_slotsKeptForShort =
    2;                           ///< Of the slots; long work never takes these.
  std::size_t m_maxWaiting = 64; ///< Runs that may wait.
  std::uint64_t m_shortTokens = 256; ///< Work of at most this cost is short.
  bool m_isFifo = false;             ///< One queue in the order of arrival.
  auto operator<=>(const AdmissionOptions&) const = default;
};

} // namespace bergamotpaddle
