/// \file
/// Stateful fuzzing of fleets in virtual time, checked by the oracle.
///
/// RC_PARAMS sets the seed and the number of sequences; `make fuzz SEED=...
/// RUNS=...` sets both for long runs.
#include "FleetCommands.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

TEST_CASE("a fleet upholds its guarantees in any sequence of faults", "[fuzz]")
{
  rc::prop("without faults, each request is billed once for its exact cost",
           [] {
             CheckCommandSequences<SubmitRequest,
                                   SubmitRequest,
                                   ResubmitRequest,
                                   AdvanceTime,
                                   OperatorAction>(true);
           });

  rc::prop("faults of the key-value service: bills are exact", [] {
    CheckCommandSequences<SubmitRequest,
                          SubmitRequest,
                          ResubmitRequest,
                          AdvanceTime,
                          AdvanceTime,
                          KeyValueFault,
                          OperatorAction>(true);
  });

  rc::prop("killed and frozen routers: bills are exact", [] {
    CheckCommandSequences<SubmitRequest,
                          SubmitRequest,
                          ResubmitRequest,
                          AdvanceTime,
                          AdvanceTime,
                          RouterFault,
                          KeyValueFault>(true);
  });

  rc::prop("frozen agents: bills are exact", [] {
    CheckCommandSequences<SubmitRequest,
                          SubmitRequest,
                          AdvanceTime,
                          AdvanceTime,
                          AgentFreeze,
                          KeyValueFault>(true);
  });

  rc::prop("network cuts without retries by callers: bills are exact", [] {
    CheckCommandSequences<SubmitRequest,
                          SubmitRequest,
                          AdvanceTime,
                          AdvanceTime,
                          NetworkFault,
                          AgentFreeze,
                          KeyValueFault>(true);
  });

  rc::prop("all faults combined: no overspending, no second run of a "
           "non-repeatable call, no wrong response and no false report that a "
           "request did not run",
           [] {
             CheckCommandSequences<SubmitRequest,
                                   SubmitRequest,
                                   ResubmitRequest,
                                   AdvanceTime,
                                   AdvanceTime,
                                   RouterFault,
                                   AgentFreeze,
                                   AgentKill,
                                   NetworkFault,
                                   KeyValueFault,
                                   OperatorAction>(false);
           });
}
