/// \file
/// Deltas between two versions of a large document.
///
/// Every router needs a document of thousands of entries, few of which change
/// at a time. If each version is sent in full, the traffic grows with entries
/// times versions times routers; a delta is proportional to the size of the
/// change.
#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Returns a delta that turns \p aBase into \p aTarget: ranges to copy from the
/// base and text to insert. Both may hold arbitrary bytes; deltas are small if
/// entries end with a closing brace.
std::string
MakeDelta(std::string_view aBase, std::string_view aTarget);

/// Applies \p aDelta to \p aBase and returns the target. Fails with
/// `InvalidArgument` if the delta is malformed, was made from another base or
/// has a target of more than \p aMaxBytes.
absl::StatusOr<std::string>
ApplyDelta(std::string_view aBase,
           std::string_view aDelta,
           std::uint64_t aMaxBytes);

} // namespace bergamotpaddle
