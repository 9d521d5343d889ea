/// \file
/// Hash functions: fast ones for placement, cryptographic ones for credentials.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Returns a uniformly distributed 64-bit hash for placement. The value is the
/// same on every machine.
std::uint64_t
PlacementHash(std::string_view aText);

/// Returns the rendezvous hashing weight of \p aNode for \p aKey. The node with
/// the highest weight is the home of the key.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode);

/// Returns the SHA-256 digest of \p aText in lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aText);

/// Returns the HMAC-SHA-256 of \p aText under the key \p aSecret as 32 raw
/// bytes.
std::string
HmacSha256(std::string_view aSecret, std::string_view aText);

/// Compares in a time that depends only on the lengths, so that it reveals
/// nothing about the contents.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/// Returns \p aByteCount random bytes from the system's generator as
/// hexadecimal digits. Only the process shells call this: decision code uses a
/// seeded generator.
std::string
RandomHex(int aByteCount);

} // namespace bergamotpaddle
