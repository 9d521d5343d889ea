/// \file
/// Compression of the documents that routers send to each other.
#pragma once

#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Compresses \p aText into the zlib format at the fastest level.
std::string
Compress(std::string_view aText);

/// Decompresses \p aBytes into a text of \p aSize bytes. Returns
/// `InvalidArgument` if the data is corrupt or has another decompressed size.
absl::StatusOr<std::string>
Decompress(std::string_view aBytes, std::size_t aSize);

} // namespace bergamotpaddle
