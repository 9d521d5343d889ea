/// \file
/// Limits on the concurrency and the queue of one upstream.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace bergamotpaddle {

/// Limits on the work that one upstream accepts.
struct AdmissionOptions
{
  std::size_t m_slots = 8; ///< Maximum number of concurrent runs.
  std::size_t m_slotsKeptForShort =
    2; ///< Part of m_slots that long work never occupies.
  std::size_t m_maxWaiting = 64;     ///< Maximum queue length, in runs.
  std::uint64_t m_shortTokens = 256; ///< Work that costs at most this is short.
  bool m_isFifo = false; ///< One queue for all accounts, in order of arrival.
  auto operator<=>(const AdmissionOptions&) const = default;
};

} // namespace bergamotpaddle
