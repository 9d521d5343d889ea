/// \file
/// The difference between two versions of a large document.
///
/// Load pattern: a document of thousands of entries of which a few change,
/// needed by every router. Sent whole, the bytes grow with entries times
/// versions times routers; a difference has the size of the change.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// What turns \p aBase into \p aTarget: runs of the base and new text. Both may
/// hold any bytes; differences are small where entries end with a brace.
std::string
MakeDelta(std::string_view aBase, std::string_view aTarget);

/// The target of \p aDelta. `InvalidArgument`: it cannot be read, or it was
/// made from another base.
absl::StatusOr<std::string>
ApplyDelta(std::string_view aBase, std::string_view aDelta);

} // namespace bergamotpaddle
