/// \file
/// Cutting event streams into whole events.
#include "bergamotpaddle/Gateway/EventSplitter.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

TEST_CASE("an event stream", "[events]")
{
  SECTION("passes on whole events only, whatever the pieces")
  {
    const std::string stream =
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: half";
    for (std::size_t piece = 1; piece < stream.size(); ++piece) {
      EventSplitter splitter;
      std::string passed;
      for (std::size_t at = 0; at < stream.size(); at += piece) {
        passed += splitter.Take(stream.substr(at, piece));
      }
      CHECK(passed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      CHECK(splitter.HasPartial());
      CHECK(splitter.LastId() == "2");
      CHECK(splitter.Events() == 2);
      CHECK_FALSE(splitter.HasGap());
    }
  }

  SECTION("that is resumed repeats nothing")
  {
    EventSplitter splitter(7);
    CHECK(splitter.Take("id: 6\n\nid: 7\n\nid: 8\ndata: x\n\n") ==
          "id: 8\ndata: x\n\n");
    CHECK_FALSE(splitter.HasGap());
  }

  SECTION("that is resumed too far on shows a gap")
  {
    EventSplitter splitter(7);
    splitter.Take("id: 9\n\n");
    CHECK(splitter.HasGap());
  }

  SECTION("that passes an id over shows a gap")
  {
    EventSplitter splitter;
    splitter.Take("id: 1\n\nid: 3\n\n");
    CHECK(splitter.HasGap());
  }

  SECTION("without ids is passed on as it is")
  {
    EventSplitter splitter;
    CHECK(splitter.Take("data: a\n\ndata: b\n\n") == "data: a\n\ndata: b\n\n");
    CHECK_FALSE(splitter.HasGap());
    CHECK(splitter.LastId().empty());
  }
}
