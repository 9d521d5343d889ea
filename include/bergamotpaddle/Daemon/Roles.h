/// \file
/// The two roles of `bergamotpaddled`.
#pragma once

#include "bergamotpaddle/Config/ProcessSettings.h"

namespace bergamotpaddle {

/// Runs a router until it is stopped; the process's exit code.
int
RunRouter(const ProcessSettings& aSettings);

/// Runs an agent until it is stopped; the process's exit code.
int
RunAgent(const ProcessSettings& aSettings);

} // namespace bergamotpaddle
