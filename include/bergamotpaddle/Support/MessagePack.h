/// \file
/// Unpacks MessagePack messages of other processes.
#pragma once

#include <msgpack.hpp>
#include <string_view>

namespace bergamotpaddle {

/// Unpacks \p aBytes. No element may announce more members or bytes than the
/// message has bytes, so that a malformed message cannot make the parser
/// reserve arbitrary memory. Throws a `std::exception` on malformed input.
inline msgpack::object_handle
UnpackMessage(std::string_view aBytes)
{
  constexpr std::size_t kMaxDepth = 16;
  const std::size_t size = aBytes.size();
  const msgpack::unpack_limit limits(size, size, size, size, size, kMaxDepth);
  return msgpack::unpack(aBytes.data(), size, nullptr, nullptr, limits);
}

} // namespace bergamotpaddle
