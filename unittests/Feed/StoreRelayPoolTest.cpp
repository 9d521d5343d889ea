/// \file
/// Tests of the choice of store relays. They replay a fleet of which most
/// routers lose the store at once.
#include "bergamotpaddle/Feed/StoreRelayPool.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>
#include <set>

using namespace bergamotpaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kRouters = 33;
/// Routers that keep the store.
constexpr int kConnected = 4;
/// Interval of the digests in which peers report their contacts.
constexpr milliseconds kDigestInterval{ 500 };

std::string
Address(int aRouter)
{
  return Cat("10.0.0.", aRouter, ":7200");
}

} // namespace

TEST_CASE("a router that loses the store beside most others", "[relay]")
{
  StoreRelayPool pool;
  std::vector<std::string> peers;
  for (int i = 1; i < kRouters; ++i) {
    peers.push_back(Address(i));
  }
  pool.SetPeers(peers);
  const Instant cutAt{ seconds(100) };
  const auto report = [&](Instant aNow, bool aIsCut) {
    for (int i = 1; i < kRouters; ++i) {
      const bool isConnected = !aIsCut || i <= kConnected;
      pool.NoteContact(Address(i), isConnected ? aNow : cutAt);
    }
  };
  report(cutAt, false);

  SECTION("calls through routers that still reach the store")
  {
    constexpr milliseconds kCallTimeout{ 700 };
    int failed = 0;
    int served = 0;
    std::set<std::string> used;
    Instant digestDue = cutAt + kDigestInterval;
    Instant now = cutAt;
    while (now < cutAt + seconds(8)) {
      while (digestDue <= now) {
        report(digestDue, true);
        digestDue += kDigestInterval;
      }
      const std::optional<std::string> relay = pool.Next(now);
      REQUIRE(relay);
      bool isConnected = false;
      for (int i = 1; i <= kConnected; ++i) {
        isConnected = isConnected || *relay == Address(i);
      }
      if (isConnected) {
        ++served;
        used.insert(*relay);
        now += milliseconds(10);
      } else {
        ++failed;
        now += kCallTimeout;
        pool.NoteFailure(*relay, now);
      }
    }
    // Until the first digest after the loss, nothing tells the routers apart.
    CHECK(failed <= 1);
    CHECK(served > 600);
    CHECK(used.size() == kConnected);
  }

  SECTION("makes no calls through others while the store is down for all")
  {
    const Instant later = cutAt + seconds(4);
    CHECK_FALSE(pool.Next(later));
  }

  SECTION("uses a relay again after a failure once it reports a contact")
  {
    pool.SetPeers({ Address(1) });
    REQUIRE(pool.Next(cutAt) == Address(1));
    pool.NoteFailure(Address(1), cutAt + milliseconds(700));
    CHECK_FALSE(pool.Next(cutAt + milliseconds(701)));
    pool.NoteContact(Address(1), cutAt + milliseconds(900));
    CHECK(pool.Next(cutAt + milliseconds(901)) == Address(1));
  }

  SECTION("tries peers that report no contacts, after a failure less often")
  {
    StoreRelayPool silent;
    silent.SetPeers({ Address(1), Address(2) });
    std::set<std::string> tried;
    for (int i = 0; i < 2; ++i) {
      const std::optional<std::string> relay = silent.Next(cutAt);
      REQUIRE(relay);
      tried.insert(*relay);
      silent.NoteFailure(*relay, cutAt);
    }
    CHECK(tried.size() == 2);
    CHECK_FALSE(silent.Next(cutAt + seconds(1)));
    CHECK(silent.Next(cutAt + seconds(3)));
  }
}
