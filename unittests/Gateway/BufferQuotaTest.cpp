/// \file
/// Tests of the quota for messages being received. They replay the load of
/// faulty endpoints that send without end beside sound ones.
#include "bergamotpaddle/Gateway/BufferQuota.h"

#include <catch2/catch.hpp>
#include <set>

using namespace bergamotpaddle;

TEST_CASE("a quota for buffers", "[quota]")
{
  constexpr std::uint64_t kMaxBytes = 1000;
  BufferQuota quota(kMaxBytes);
  std::set<int> evicted;
  const auto add = [&](int aName) {
    return quota.Add([&evicted, aName] { evicted.insert(aName); });
  };
  const BufferId endless = add(1);
  const BufferId sound = add(2);

  SECTION("evicts the endpoint that sends without end, not the one that reads")
  {
    quota.Resize(endless, 990);
    quota.Resize(sound, 20);
    CHECK(evicted == std::set<int>{ 1 });
    CHECK(quota.Bytes() == 20);
    CHECK(quota.Evictions() == 1);
  }

  SECTION("evicts many endless senders one after another")
  {
    std::vector<BufferId> senders;
    constexpr int kFirstSender = 10;
    for (int i = 0; i < 50; ++i) {
      senders.push_back(add(kFirstSender + i));
    }
    quota.Resize(sound, 10);
    for (std::uint64_t size = 1; size <= kMaxBytes; ++size) {
      for (const BufferId sender : senders) {
        quota.Resize(sender, size);
        REQUIRE(quota.Bytes() <= kMaxBytes);
      }
    }
    CHECK_FALSE(evicted.contains(2));
    CHECK(quota.Evictions() >= 49);
  }

  SECTION("evicts the one that grows if it is the largest")
  {
    quota.Resize(sound, 10);
    quota.Resize(endless, kMaxBytes + 1);
    CHECK(evicted == std::set<int>{ 1 });
    quota.Resize(endless, kMaxBytes + 2);
    CHECK(quota.Bytes() == 10);
  }

  SECTION("never evicts a complete message, and counts it until it is removed")
  {
    quota.Resize(endless, 900);
    quota.Complete(endless);
    quota.Resize(sound, 200);
    CHECK(evicted == std::set<int>{ 2 });
    CHECK(quota.Bytes() == 900);
    quota.Remove(endless);
    CHECK(quota.Bytes() == 0);
  }

  SECTION("counts nothing of buffers that were removed")
  {
    quota.Resize(endless, 400);
    quota.Remove(endless);
    quota.Remove(endless);
    quota.Resize(endless, 5000);
    CHECK(quota.Bytes() == 0);
    CHECK(evicted.empty());
  }
}
