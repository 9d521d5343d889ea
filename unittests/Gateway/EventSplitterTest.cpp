/// \file
/// Splitting of event streams into complete events, and detection of gaps.
#include "bergamotpaddle/Gateway/EventSplitter.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

TEST_CASE("an event stream", "[events]")
{
  SECTION("yields only complete events, however it is fragmented")
  {
    const std::string stream =
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: half";
    for (std::size_t size = 1; size < stream.size(); ++size) {
      EventSplitter splitter;
      std::string output;
      for (std::size_t offset = 0; offset < stream.size(); offset += size) {
        output += splitter.Consume(stream.substr(offset, size));
      }
      CHECK(output == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      CHECK(splitter.HasPartial());
      CHECK(splitter.LastId() == "2");
      CHECK(splitter.Events() == 2);
      CHECK_FALSE(splitter.HasGap());
    }
  }

  SECTION("that is resumed does not repeat events already received")
  {
    EventSplitter splitter(7);
    CHECK(splitter.Consume("id: 6\n\nid: 7\n\nid: 8\ndata: x\n\n") ==
          "id: 8\ndata: x\n\n");
    CHECK_FALSE(splitter.HasGap());
  }

  SECTION("that resumes too late reports a gap")
  {
    EventSplitter splitter(7);
    splitter.Consume("id: 9\n\n");
    CHECK(splitter.HasGap());
  }

  SECTION("that skips an id reports a gap")
  {
    EventSplitter splitter;
    splitter.Consume("id: 1\n\nid: 3\n\n");
    CHECK(splitter.HasGap());
  }

  SECTION("without ids is passed through unmodified")
  {
    EventSplitter splitter;
    CHECK(splitter.Consume("data: a\n\ndata: b\n\n") ==
          "data: a\n\ndata: b\n\n");
    CHECK_FALSE(splitter.HasGap());
    CHECK(splitter.LastId().empty());
  }
}
