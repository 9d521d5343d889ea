/// \file
/// A reading of a host's clocks that its processes can compare over restarts.
#pragma once

#include <cstdint>
#include <string>

namespace bergamotpaddle {

/// The host's clocks at one moment.
struct HostTime
{
  std::string m_boot;          ///< Names the boot; empty if it is not known.
  std::int64_t m_steadyMs = 0; ///< Since an origin fixed for the boot.
  std::int64_t m_originUnixMs = 0; ///< That origin by the present time of day.
  auto operator<=>(const HostTime&) const = default;
};

/// Reads the clocks of this host.
HostTime
ReadHostTime();

} // namespace bergamotpaddle
