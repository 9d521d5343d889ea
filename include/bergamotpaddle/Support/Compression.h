/// \file
/// Compression of documents that routers send one another.
#pragma once

#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// \p aText in zlib's format, at its quickest level.
std::string
Compress(std::string_view aText);

/// The text of \p aBytes. `InvalidArgument`: they cannot be read, or the text
/// is not of \p aSize.
absl::StatusOr<std::string>
Decompress(std::string_view aBytes, std::size_t aSize);

} // namespace bergamotpaddle
