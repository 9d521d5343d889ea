/// \file
/// Stateful fuzzing of callers that retry at other routers while each router is
/// cut off from different agents.
#include "FleetCommands.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

TEST_CASE("a key is billed once whatever paths are cut", "[fuzz]")
{
  rc::prop("network cuts and retries at other routers: bills are exact", [] {
    CheckCommandSequences<SubmitRequest,
                          SubmitRequest,
                          ResubmitRequest,
                          AdvanceTime,
                          AdvanceTime,
                          NetworkFault>(true);
  });
}
