#include "bergamotpaddle/Support/Compression.h"

#include <new>
#include <zlib.h>

namespace bergamotpaddle {

std::string
Compress(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string bytes(size, '\0');
  const int status = compress2(reinterpret_cast<Bytef*>(bytes.data()),
                               &size,
                               reinterpret_cast<const Bytef*>(aText.data()),
                               aText.size(),
                               Z_BEST_SPEED);
  if (status != Z_OK) {
    // compressBound() rules out Z_BUF_ERROR, which leaves Z_MEM_ERROR.
    throw std::bad_alloc();
  }
  bytes.resize(size);
  return bytes;
}

absl::StatusOr<std::string>
Decompress(std::string_view aBytes, std::size_t aSize)
{
  std::string text(aSize, '\0');
  uLongf size = aSize;
  const int status = uncompress(reinterpret_cast<Bytef*>(text.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(aBytes.data()),
                                aBytes.size());
  if (status != Z_OK || size != aSize) {
    return absl::InvalidArgumentError(
      "compressed text is corrupt or its size is wrong");
  }
  return text;
}

} // namespace bergamotpaddle
