/// \file
/// Tests of messages of other routers whose sizes are wrong: they are rejected
/// and reserve no memory for what did not arrive.
#include "bergamotpaddle/Feed/DocumentDelta.h"
#include "bergamotpaddle/Feed/FeedMessages.h"
#include "bergamotpaddle/Gateway/PeerDigest.h"
#include "bergamotpaddle/Support/Compression.h"
#include "bergamotpaddle/Support/MessagePack.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <unistd.h>

using namespace bergamotpaddle;

namespace {

/// Memory that rejecting a message may take.
constexpr std::uint64_t kMaxBytes = 4ULL << 20U;

/// Virtual memory of this process, in bytes: also what is only reserved.
std::uint64_t
ReservedBytes()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t pages = 0;
  file >> pages;
  return pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

TEST_CASE("a message whose sizes are wrong", "[malformed]")
{
  const std::uint64_t before = ReservedBytes();

  SECTION("is rejected if a list, a table or a text is longer than the message")
  {
    const std::string message = GENERATE(
      as<std::string>(),
      std::string("\xdd\x10\x00\x00\x00", 5), // Array of 2^28 elements.
      std::string("\xdf\x10\x00\x00\x00", 5), // Map of 2^28 entries.
      std::string("\xdb\xff\xff\xff\xff", 5), // Text of 4 GB.
      std::string("\xc6\xff\xff\xff\xff", 5), // Bytes of 4 GB.
      std::string("\x92\x01\xdd\x10\x00\x00\x00", 7));
    CHECK_THROWS_AS(UnpackMessage(message), std::exception);
    CHECK_FALSE(PeerDigest::Decode(message).ok());
    CHECK_FALSE(FeedRequest::Decode(message).ok());
    CHECK_FALSE(FeedResponse::Decode(message).ok());
    CHECK_FALSE(ApplyDelta("base", message, kMaxBytes).ok());
    CHECK(ReservedBytes() <= before + kMaxBytes);
  }

  SECTION("is rejected if it is nested without end")
  {
    const std::string nested(100'000, '\x91');
    CHECK_THROWS_AS(UnpackMessage(nested), std::exception);
    CHECK_FALSE(FeedResponse::Decode(nested).ok());
  }

  SECTION("is rejected if a compressed text has another size")
  {
    const std::string text(100'000, 'x');
    const std::string compressed = Compress(text);
    constexpr std::size_t kHuge = 1ULL << 36U;
    CHECK(Decompress(compressed, text.size()).value() == text);
    CHECK_FALSE(Decompress(compressed, kHuge).ok());
    CHECK_FALSE(Decompress(compressed, text.size() - 1).ok());
    CHECK_FALSE(Decompress(compressed.substr(0, 50), text.size()).ok());
    CHECK_FALSE(Decompress("", 1).ok());
    CHECK(ReservedBytes() <= before + kMaxBytes);
  }

  SECTION("is rejected if a compressed text is longer than it says")
  {
    const std::string bomb = Compress(std::string(50'000'000, 'x'));
    CHECK_FALSE(Decompress(bomb, 1000).ok());
  }

  SECTION("is rejected if a delta has a longer target than allowed")
  {
    const std::string base(1000, 'x');
    const std::string delta = MakeDelta(base, base + base);
    CHECK(ApplyDelta(base, delta, 2000).ok());
    CHECK_FALSE(ApplyDelta(base, delta, 1999).ok());
  }
}
