/// \file
/// Entry points of the two roles of `bergamotpaddled`.
#pragma once

#include "bergamotpaddle/Config/ProcessSettings.h"

namespace bergamotpaddle {

/// Runs a router until it is stopped. Returns the exit code of the process.
int
RunRouter(const ProcessSettings& aSettings);

/// Runs an agent until it is stopped. Returns the exit code of the process.
int
RunAgent(const ProcessSettings& aSettings);

} // namespace bergamotpaddle
