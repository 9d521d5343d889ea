/// \file
/// Replicas of the store's items that follow one another: examples, and random
/// operations that are checked against a reference model.
#include "bergamotpaddle/Feed/FeedMessages.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

namespace {

/// Reference model of the store: a map and the history of all changes.
class ReferenceStore
{
public:
  void Put(const std::string& aKey, const std::string& aValue)
  {
    m_items[aKey] = { aKey, aValue, ++m_revision, false };
    m_history.push_back(m_items[aKey]);
  }
  void Remove(const std::string& aKey)
  {
    if (m_items.erase(aKey) > 0) {
      m_history.push_back({ aKey, {}, ++m_revision, true });
    }
  }
  std::vector<StoreItem> List() const
  {
    std::vector<StoreItem> items;
    for (const auto& [key, item] : m_items) {
      items.push_back(item);
    }
    return items;
  }
  std::vector<StoreItem> After(std::uint64_t aRevision) const
  {
    std::vector<StoreItem> items;
    for (const StoreItem& item : m_history) {
      if (item.m_revision > aRevision) {
        items.push_back(item);
      }
    }
    return items;
  }

  std::uint64_t m_revision = 1;
  std::map<std::string, StoreItem> m_items;

private:
  std::vector<StoreItem> m_history;
};

/// A replica and the items as reported to its router.
struct Follower
{
  FeedReplica m_replica;
  std::map<std::string, StoreItem> m_reported;
  bool m_needsAllItems = false;

  explicit Follower(FeedReplicaOptions aOptions = {})
    : m_replica(aOptions)
  {
  }

  void RecordChanges(const std::vector<StoreItem>& aChanged)
  {
    for (const StoreItem& item : aChanged) {
      if (item.m_isRemoved) {
        m_reported.erase(item.m_key);
      } else {
        m_reported[item.m_key] = item;
      }
    }
  }
  /// Reads the complete list from the store.
  void List(const ReferenceStore& aStore)
  {
    RecordChanges(m_replica.ApplyList(aStore.List(), aStore.m_revision));
  }
  /// Reads the changes from the store.
  void Watch(const ReferenceStore& aStore)
  {
    RecordChanges(m_replica.ApplyStoreChanges(
      aStore.After(m_replica.Revision()), aStore.m_revision));
  }
  /// Requests the changes from another router and applies them. After a failure
  /// the next request is for all items in full.
  FeedChanges CatchUpWith(const Follower& aOther)
  {
    const FeedChanges changes =
      m_needsAllItems ? aOther.m_replica.ChangesSince(0, {})
                      : aOther.m_replica.ChangesSince(
                          m_replica.Revision(), m_replica.BaseRevisions());
    const auto changed = m_replica.ApplyFeedChanges(changes);
    m_needsAllItems = !changed.ok();
    if (changed.ok()) {
      RecordChanges(*changed);
    }
    return changes;
  }
};

std::size_t
BytesOf(const FeedChanges& aChanges)
{
  std::size_t bytes = 0;
  for (const FeedChange& change : aChanges.m_changes) {
    bytes += change.m_bytes.size();
  }
  return bytes;
}

/// Returns a large document of which one entry depends on \p aVersion.
std::string
Document(int aVersion)
{
  std::string text;
  for (int i = 0; i < 2000; ++i) {
    Append(text, "{entry ", i, i == 1000 ? aVersion : 0, "}");
  }
  return text;
}

} // namespace

TEST_CASE("a router that follows another router's replica", "[feed]")
{
  ReferenceStore store;
  store.Put("config", Document(1));
  store.Put("u1", "ready");
  store.Put("u2", "ready");
  Follower reader;
  reader.List(store);
  Follower follower;

  SECTION("starts with all items")
  {
    follower.CatchUpWith(reader);
    CHECK(follower.m_reported == store.m_items);

    SECTION("and is then sent only the changes")
    {
      CHECK(BytesOf(follower.CatchUpWith(reader)) == 0);
      store.Put("config", Document(2));
      store.Put("u2", "draining");
      store.Remove("u1");
      reader.Watch(store);
      constexpr std::size_t kOnePacket = 1400;
      CHECK(BytesOf(follower.CatchUpWith(reader)) < kOnePacket);
      CHECK(follower.m_reported == store.m_items);
    }

    // Guards against large versions that are sent uncompressed: new routes took
    // up 528 KB.
    SECTION("and thousands of new entries are sent compressed")
    {
      std::string grown = Document(1);
      for (int i = 0; i < 3000; ++i) {
        Append(grown,
               R"({"name":"r-)",
               i,
               R"(","host":"desk.example","kind":"safe","pathPrefix":"/p)",
               i,
               R"(/","timeoutMs":1500,"attempts":2,"service":"desk"})");
      }
      store.Put("config", grown);
      reader.Watch(store);
      const std::size_t uncompressedSize = grown.size() - Document(1).size();
      CHECK(BytesOf(follower.CatchUpWith(reader)) < uncompressedSize / 4);
      CHECK(follower.m_reported == store.m_items);
    }

    SECTION("and catches up with a reader that skipped its version")
    {
      store.Put("config", Document(2));
      Follower other;
      other.List(store);
      follower.CatchUpWith(other);
      store.Put("config", Document(3));
      reader.Watch(store);
      follower.CatchUpWith(reader);
      follower.CatchUpWith(reader); // All items if the first delta had no base.
      CHECK(follower.m_reported == store.m_items);
    }

    SECTION("and never reverts to an older revision")
    {
      Follower stale;
      stale.List(store);
      store.Put("config", Document(2));
      store.Remove("u1");
      store.Put("u3", "ready");
      reader.Watch(store);
      follower.CatchUpWith(reader);
      follower.CatchUpWith(stale);
      CHECK(follower.m_reported == store.m_items);
    }

    SECTION("and ignores a list that was requested before a removal")
    {
      const std::vector<StoreItem> list = store.List();
      const std::uint64_t revision = store.m_revision;
      store.Remove("u1");
      reader.Watch(store);
      follower.CatchUpWith(reader);
      CHECK(follower.m_replica.ApplyList(list, revision).empty());
    }

    SECTION("and receives a removal that its reader detected from a list")
    {
      store.Remove("u1");
      reader.List(store);
      follower.CatchUpWith(reader);
      CHECK(follower.m_reported == store.m_items);
      CHECK(follower.m_replica.ChangedRevision() ==
            reader.m_replica.ChangedRevision());
    }
  }
}

TEST_CASE("replicas that follow one another converge to the store",
          "[feed][fuzz]")
{
  rc::prop("after any sequence of changes and requests", [] {
    FeedReplicaOptions small;
    small.m_largeItemBytes = 8;
    small.m_maxEarlierVersions = 2;
    small.m_maxRemovals = 2;
    ReferenceStore store;
    std::vector<Follower> routers(4, Follower(small));
    const auto index = rc::gen::inRange<std::size_t>(0, routers.size());
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const std::string key = Cat("k", *rc::gen::inRange(0, 4));
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
          store.Put(key,
                    *rc::gen::container<std::string>(
                      rc::gen::elementOf(std::string("ab}"))));
          break;
        case 2:
          store.Remove(key);
          break;
        case 3:
          routers[*index].List(store);
          break;
        case 4: {
          // A watch needs a revision to start from.
          Follower& router = routers[*index];
          router.m_replica.Revision() == 0 ? router.List(store)
                                           : router.Watch(store);
          break;
        }
        default: {
          Follower& follower = routers[*index];
          const Follower& source = routers[*index];
          const std::uint64_t before = follower.m_replica.Revision();
          if (&follower != &source && source.m_replica.Revision() != 0) {
            follower.CatchUpWith(source);
          }
          RC_ASSERT(follower.m_replica.Revision() >= before);
        }
      }
      for (const Follower& router : routers) {
        for (const auto& [reportedKey, item] : router.m_reported) {
          RC_ASSERT(item.m_revision <= store.m_revision);
        }
      }
    }
    routers[0].List(store);
    for (std::size_t i = 1; i < routers.size(); ++i) {
      routers[i].CatchUpWith(routers[0]);
      routers[i].CatchUpWith(routers[0]); // All items if a base was missing.
      RC_ASSERT(routers[i].m_reported == store.m_items);
    }
    RC_ASSERT(routers[0].m_reported == store.m_items);
  });
}

TEST_CASE("feed messages", "[feed]")
{
  FeedRequest request;
  request.m_waitMs = 800;
  request.m_queries = { { "servers/", 17, { 3, 9 } } };
  CHECK(FeedRequest::Decode(request.Encode()).value() == request);
  FeedResponse response;
  response.m_updates = {
    { "servers/",
      12,
      { 20,
        19,
        false,
        { { "servers/1", FeedChange::Kind::kDelta, 19, 3, "bytes", 5 } } } }
  };
  CHECK(FeedResponse::Decode(response.Encode()).value() == response);

  SECTION("of another layout or malformed are rejected")
  {
    request.m_layout = FeedRequest::kLayout + 1;
    CHECK_FALSE(FeedRequest::Decode(request.Encode()).ok());
    CHECK_FALSE(FeedResponse::Decode("").ok());
    rc::prop("decoding arbitrary bytes does not crash", [] {
      const auto bytes = *rc::gen::arbitrary<std::string>();
      (void)FeedResponse::Decode(bytes);
      (void)FeedRequest::Decode(bytes);
    });
  }
}
