/// \file
/// Stateful fuzzing of whole fleets in virtual time against the oracle.
///
/// RC_PARAMS fixes the seed and the number of sequences; `make fuzz SEED=...
/// RUNS=...` runs long ones.
#include "FleetCommands.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bergamotpaddle;

TEST_CASE("whole fleets keep their promises in any sequence of faults",
          "[fuzz]")
{
  rc::prop("without faults every request is billed once, exactly",
           [] { RunSequences<Ask, Ask, AskAgain, Pass, Operate>(true); });

  rc::prop("platform faults: books stay exact", [] {
    RunSequences<Ask, Ask, AskAgain, Pass, Pass, PlatformFault, Operate>(true);
  });

  rc::prop("router kills and freezes: books stay exact", [] {
    RunSequences<Ask, Ask, AskAgain, Pass, Pass, RouterFault, PlatformFault>(
      true);
  });

  rc::prop("frozen agents: books stay exact", [] {
    RunSequences<Ask, Ask, Pass, Pass, AgentPause, PlatformFault>(true);
  });

  rc::prop("cuts without retries by callers: books stay exact", [] {
    RunSequences<Ask, Ask, Pass, Pass, Cut, AgentPause, PlatformFault>(true);
  });

  rc::prop("everything at once: no overspend, no second run, no crossed "
           "answer, no false refusal",
           [] {
             RunSequences<Ask,
                          Ask,
                          AskAgain,
                          Pass,
                          Pass,
                          RouterFault,
                          AgentPause,
                          AgentKill,
                          Cut,
                          PlatformFault,
                          Operate>(false);
           });
}
