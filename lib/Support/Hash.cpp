#include "bergamotpaddle/Support/Hash.h"

#include <array>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <vector>
#include <xxhash.h>

namespace bergamotpaddle {

namespace {

std::string
ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t i = 0; i < aSize; ++i) {
    text.push_back(kDigits[aBytes[i] >> 4U]);
    text.push_back(kDigits[aBytes[i] & 15U]);
  }
  return text;
}

const unsigned char*
Bytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::uint64_t
PlacementHash(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode)
{
  return XXH3_64bits_withSeed(aNode.data(), aNode.size(), PlacementHash(aKey));
}

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(Bytes(aText), aText.size(), digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string
HmacSha256(std::string_view aSecret, std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  unsigned int size = digest.size();
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       Bytes(aText),
       aText.size(),
       digest.data(),
       &size);
  return { reinterpret_cast<const char*>(digest.data()), size };
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
RandomHex(int aByteCount)
{
  std::vector<unsigned char> bytes(aByteCount);
  [[maybe_unused]] int status = RAND_bytes(bytes.data(), aByteCount);
  assert(status == 1 && "the system's random generator must not fail");
  return ToHex(bytes.data(), bytes.size());
}

} // namespace bergamotpaddle
