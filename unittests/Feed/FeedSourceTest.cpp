/// \file
/// Selection of the store's readers and their followers, in virtual time.
#include "bergamotpaddle/Feed/FeedSource.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>
#include <set>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

constexpr double kFastLink = 200;
constexpr double kSlowLink = 10;

std::string
Address(int aRouter)
{
  return Cat("10.1.0.", aRouter, ":7000");
}

FeedStatus
ReaderStatus(double aLinkMbps, const std::string& aZone, std::uint64_t aChanged)
{
  return { aLinkMbps, aZone, milliseconds(100), { aChanged, 1 } };
}

} // namespace

TEST_CASE("the selection of the routers that read from the store", "[feed]")
{
  const FeedSourceOptions options;
  Instant now = Instant(std::chrono::seconds(100));

  SECTION("includes all routers of a small fleet")
  {
    FeedSource source(Address(1), kSlowLink, "a");
    for (int i = 2; i <= static_cast<int>(options.m_readerCount); ++i) {
      source.NoteStatus(Address(i), ReaderStatus(kFastLink, "a", 5), now);
    }
    CHECK(source.ReadsStore(now));
  }

  SECTION("includes the routers with the fastest links in a large fleet")
  {
    constexpr int kRouters = 28;
    constexpr int kFastRouters = 8;
    std::vector<FeedSource> sources;
    for (int i = 0; i < kRouters; ++i) {
      const double link = i < kFastRouters ? kFastLink : kSlowLink;
      sources.emplace_back(Address(i), link, Cat("z", i % 4));
    }
    const auto reportAll = [&](std::uint64_t aChanged) {
      for (int i = 0; i < kRouters; ++i) {
        for (int peer = 0; peer < kRouters; ++peer) {
          FeedStatus status =
            ReaderStatus(peer < kFastRouters ? kFastLink : kSlowLink,
                         Cat("z", peer % 4),
                         aChanged);
          if (peer >= kFastRouters) {
            status.m_age.reset();
          }
          if (peer != i) {
            sources[i].NoteStatus(Address(peer), status, now);
          }
        }
      }
    };
    reportAll(5);
    std::set<std::string> followed;
    for (int i = 0; i < kRouters; ++i) {
      CHECK(sources[i].ReadsStore(now) == (i < kFastRouters));
      followed.insert(sources[i].ReaderToFollow(now).value());
    }
    CHECK(followed.size() > kFastRouters / 2);
    FeedSource& follower = sources[20];
    const std::string reader = *follower.ReaderToFollow(now);

    SECTION("and a follower prefers a reader in its availability zone")
    {
      CHECK((reader == Address(0) || reader == Address(4)));
    }

    SECTION("and a reader that fails is avoided until the backoff ends")
    {
      follower.NoteFailure(reader, now);
      CHECK(follower.ReaderToFollow(now) != reader);
      now += options.m_failureBackoff;
      reportAll(5);
      CHECK(follower.ReaderToFollow(now) == reader);
    }

    SECTION("but a follower reads from the store if no reader is up to date")
    {
      now += options.m_maxReplicaAge;
      CHECK(follower.ReadsStore(now));
    }

    SECTION("and does so in an outage without being a reader")
    {
      now += options.m_maxReplicaAge;
      for (int peer = 0; peer < kRouters; ++peer) {
        FeedStatus status = ReaderStatus(
          peer < kFastRouters ? kFastLink : kSlowLink, Cat("z", peer % 4), 5);
        status.m_age = options.m_maxReplicaAge + milliseconds(100);
        for (FeedSource* source : { &follower, &sources[0] }) {
          if (source != &sources[peer]) {
            source->NoteStatus(Address(peer), status, now);
          }
        }
      }
      CHECK(follower.ReadsStore(now));
      CHECK_FALSE(follower.IsReader(now));
      CHECK(sources[0].IsReader(now));
    }

    SECTION("and a peer ahead of the reader is found after a grace period")
    {
      follower.NoteStatus(Address(21), ReaderStatus(kSlowLink, "z1", 9), now);
      CHECK_FALSE(follower.PeerAhead({ 5, 1 }, now));
      now += options.m_readerGracePeriod;
      CHECK(follower.PeerAhead({ 5, 1 }, now) == Address(21));
      CHECK_FALSE(follower.PeerAhead({ 9, 1 }, now));
      CHECK(follower.IsBehind(0, 5, now));
      CHECK_FALSE(follower.IsBehind(0, 9, now));
      CHECK_FALSE(follower.IsBehind(1, 1, now));
    }
  }

  SECTION("has the configured number of readers if all links are equal")
  {
    constexpr int kRouters = 30;
    int readers = 0;
    for (int i = 0; i < kRouters; ++i) {
      FeedSource source(Address(i), kSlowLink, "a");
      for (int peer = 0; peer < kRouters; ++peer) {
        if (peer != i) {
          source.NoteStatus(
            Address(peer), ReaderStatus(kSlowLink, "a", 5), now);
        }
      }
      readers += source.ReadsStore(now) ? 1 : 0;
    }
    CHECK(readers == static_cast<int>(options.m_readerCount));
  }
}
