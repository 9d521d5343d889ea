/// \file
/// Deltas between versions of a document: their size, and round trips with
/// generated documents.
#include "bergamotpaddle/Feed/DocumentDelta.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

namespace {

/// Limit for the target of a delta.
constexpr std::uint64_t kMaxBytes = 4'000'000;

/// Returns a document of \p aCount routes; that of \p aChangedRoute depends on
/// \p aVersion.
std::string
RoutesDocument(int aCount, int aVersion, int aChangedRoute)
{
  std::string text = Cat(R"({"version":)", aVersion, R"(,"routes":[)");
  for (int i = 0; i < aCount; ++i) {
    const int service = i == aChangedRoute ? aVersion : 0;
    Append(text,
           i == 0 ? "" : ",",
           R"({"name":"r-)",
           i,
           R"(","host":"desk.example","pathPrefix":"/p)",
           i,
           R"(/","service":"s)",
           service,
           R"("})");
  }
  return text + "]}";
}

} // namespace

TEST_CASE("the delta between two versions of a document", "[delta]")
{
  const std::string before = RoutesDocument(3000, 7, -1);

  SECTION("is proportional to the change, not to the document")
  {
    constexpr std::size_t kOnePacket = 1400;
    for (const int changedRoute : { 0, 1500, 2999 }) {
      const std::string after = RoutesDocument(3000, 8, changedRoute);
      const std::string delta = MakeDelta(before, after);
      CHECK(delta.size() < kOnePacket);
      CHECK(ApplyDelta(before, delta, kMaxBytes).value() == after);
    }
    const std::string grown = RoutesDocument(3001, 8, 5);
    CHECK(MakeDelta(before, grown).size() < kOnePacket);
    CHECK(MakeDelta(grown, before).size() < kOnePacket);
  }

  SECTION("is rejected for another base and when corrupted")
  {
    std::string delta = MakeDelta(before, RoutesDocument(3000, 8, 3));
    CHECK_FALSE(ApplyDelta(RoutesDocument(3000, 6, 3), delta, kMaxBytes).ok());
    CHECK_FALSE(
      ApplyDelta(before, delta.substr(0, delta.size() / 2), kMaxBytes).ok());
    CHECK_FALSE(ApplyDelta(before, "", kMaxBytes).ok());
    delta[delta.size() - 3] ^= 1;
    CHECK_FALSE(ApplyDelta(before, delta, kMaxBytes).ok());
  }
}

TEST_CASE("applying a delta", "[delta][fuzz]")
{
  rc::prop("between generated documents yields the target", [] {
    // With a small alphabet that includes the entry terminator, many entries
    // are equal.
    const auto document = rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab}{\n\0", 6)));
    const std::string base = *document;
    const std::string target = *document;
    const auto result = ApplyDelta(base, MakeDelta(base, target), kMaxBytes);
    RC_ASSERT(result.ok());
    RC_ASSERT(*result == target);
  });

  rc::prop("of arbitrary bytes does not crash", [] {
    const auto base = *rc::gen::arbitrary<std::string>();
    const auto bytes = *rc::gen::arbitrary<std::string>();
    (void)ApplyDelta(base, bytes, kMaxBytes);
  });
}
