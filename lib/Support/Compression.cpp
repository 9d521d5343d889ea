#include "bergamotpaddle/Support/Compression.h"

#include <array>
#include <new>
#include <zlib.h>

namespace bergamotpaddle {

namespace {

/// Bytes that are decompressed at once.
constexpr std::size_t kChunkBytes = 16UL * 1024;

} // namespace

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
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    throw std::bad_alloc();
  }
  // The interface of zlib is not const-correct: the input isn't modified.
  stream.next_in =
    reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data())); // NOLINT
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string text;
  std::array<char, kChunkBytes> chunk{};
  int status = Z_OK;
  // The text grows with what was decompressed: its size is not known to be
  // right before.
  while (status == Z_OK && text.size() <= aSize) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    status = inflate(&stream, Z_NO_FLUSH);
    text.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || text.size() != aSize) {
    return absl::InvalidArgumentError(
      "compressed text is corrupt or its size is wrong");
  }
  return text;
}

} // namespace bergamotpaddle
