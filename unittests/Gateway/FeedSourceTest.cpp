/// \file
/// Who reads the store and whom the others follow, in virtual time.
#include "bergamotpaddle/Gateway/FeedSource.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>
#include <set>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

constexpr double kWide = 200;
constexpr double kSmall = 10;

std::string
Address(int aRouter)
{
  return Cat("10.1.0.", aRouter, ":7000");
}

FeedStatus
Reading(double aLinkMbps, const std::string& aZone, std::uint64_t aChanged)
{
  return { aLinkMbps, aZone, milliseconds(100), { aChanged, 1 } };
}

} // namespace

TEST_CASE("who reads a fleet's store", "[feed]")
{
  const FeedSourceOptions options;
  Instant now = Instant(std::chrono::seconds(100));

  SECTION("all routers of a small fleet do")
  {
    FeedSource source(Address(1), kSmall, "a");
    for (int i = 2; i <= static_cast<int>(options.m_readers); ++i) {
      source.NoteStatus(Address(i), Reading(kWide, "a", 5), now);
    }
    CHECK(source.ReadsStore(now));
  }

  SECTION("in a large one, those with the widest links")
  {
    constexpr int kRouters = 28;
    constexpr int kWideRouters = 8;
    std::vector<FeedSource> sources;
    for (int i = 0; i < kRouters; ++i) {
      const double link = i < kWideRouters ? kWide : kSmall;
      sources.emplace_back(Address(i), link, Cat("z", i % 4));
    }
    const auto tellAll = [&](std::uint64_t aChanged) {
      for (int i = 0; i < kRouters; ++i) {
        for (int peer = 0; peer < kRouters; ++peer) {
          FeedStatus sign = Reading(
            peer < kWideRouters ? kWide : kSmall, Cat("z", peer % 4), aChanged);
          if (peer >= kWideRouters) {
            sign.m_age.reset();
          }
          if (peer != i) {
            sources[i].NoteStatus(Address(peer), sign, now);
          }
        }
      }
    };
    tellAll(5);
    std::set<std::string> followed;
    for (int i = 0; i < kRouters; ++i) {
      CHECK(sources[i].ReadsStore(now) == (i < kWideRouters));
      followed.insert(sources[i].ReaderToFollow(now).value());
    }
    CHECK(followed.size() > kWideRouters / 2);
    FeedSource& follower = sources[20];
    const std::string reader = *follower.ReaderToFollow(now);

    SECTION("a follower takes one in its own availability zone")
    {
      CHECK((reader == Address(0) || reader == Address(4)));
    }

    SECTION("one that fails is passed over for a while")
    {
      follower.NoteFailure(reader, now);
      CHECK(follower.ReaderToFollow(now) != reader);
      now += options.m_failureMemory;
      tellAll(5);
      CHECK(follower.ReaderToFollow(now) == reader);
    }

    SECTION("without a reader that is up to date, all do")
    {
      now += options.m_maxCopyAge;
      CHECK(follower.ReadsStore(now));
    }

    SECTION("a router that tells of more than the reader does is asked")
    {
      follower.NoteStatus(Address(21), Reading(kSmall, "z1", 9), now);
      CHECK_FALSE(follower.PeerAhead({ 5, 1 }, now));
      now += options.m_patience;
      CHECK(follower.PeerAhead({ 5, 1 }, now) == Address(21));
      CHECK_FALSE(follower.PeerAhead({ 9, 1 }, now));
      CHECK(follower.IsBehind(0, 5, now));
      CHECK_FALSE(follower.IsBehind(0, 9, now));
      CHECK_FALSE(follower.IsBehind(1, 1, now));
    }
  }

  SECTION("among routers with small links alone, some of them")
  {
    constexpr int kRouters = 30;
    int readers = 0;
    for (int i = 0; i < kRouters; ++i) {
      FeedSource source(Address(i), kSmall, "a");
      for (int peer = 0; peer < kRouters; ++peer) {
        if (peer != i) {
          source.NoteStatus(Address(peer), Reading(kSmall, "a", 5), now);
        }
      }
      readers += source.ReadsStore(now) ? 1 : 0;
    }
    CHECK(readers == static_cast<int>(options.m_readers));
  }
}
