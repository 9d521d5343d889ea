/// \file
/// Stateful fuzzing of callers that ask again at other routers while paths are
/// cut, each router from other agents.
#include "FleetCommands.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

TEST_CASE("one bill for a key whatever paths are cut", "[fuzz]")
{
  rc::prop("cuts and retries at other routers: books stay exact",
           [] { RunSequences<Ask, Ask, AskAgain, Pass, Pass, Cut>(true); });
}
