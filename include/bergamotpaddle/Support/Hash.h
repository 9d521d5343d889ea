/// \file
/// Hashes: fast ones for placement, cryptographic ones for credentials.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// A well-mixed 64-bit hash for placement; the same on every machine.
std::uint64_t
PlacementHash(std::string_view aText);

/// The rendezvous weight of \p aNode for \p aKey: the node with the highest
/// weight is the key's home.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode);

/// SHA-256 of \p aText in lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aText);

/// HMAC-SHA-256 of \p aText under \p aSecret, 32 raw bytes.
std::string
HmacSha256(std::string_view aSecret, std::string_view aText);

/// Compares in a time that depends on the lengths alone.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/// \p aBytes random bytes from the system in hexadecimal digits. Only shells
/// call this: decisions use a seeded generator.
std::string
RandomHex(int aBytes);

} // namespace bergamotpaddle
