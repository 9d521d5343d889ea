/// \file
/// Deltas between two versions of a large document.
///
/// Every router needs a document of thousands of entries, few of which change
/// at a time. If each version is sent in full, the traffic grows with entries
/// times versions times routers; a delta is proportional to the size of the
/// change.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Returns a delta that turns \p aBase into \p aTarget: ranges to copy from the
/// base and text to insert. Both may hold arbitrary bytes; deltas are small if
/// entries end with a closing brace.
std::string
MakeDelta(std::string_view aBase, std::string_view aTarget);

/// Applies \p aDelta to \p aBase and returns the target. Fails with
/// `InvalidArgument` if the delta is malformed or was made from another base.
absl::StatusOr<std::string>
ApplyDelta(std::string_view aBase, std::string_view aDelta);

} // namespace bergamotpaddle
