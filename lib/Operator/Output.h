/// \file
/// Private to Operator: tables for people.
#pragma once

#include "bergamotpaddle/Operator/Commands.h"

#include <string>
#include <vector>

namespace bergamotpaddle {

/// Prints rows under a header, columns aligned.
void
PrintTable(const std::vector<std::string>& aHeader,
           const std::vector<std::vector<std::string>>& aRows);

/// Prints \p aMessage on standard error and returns \p aCode.
ExitCode
FailWith(ExitCode aCode, const std::string& aMessage);

/// Blocks until every process that answers has \p aVersion in force, and names
/// those that lag.
ExitCode
WaitInForce(Session& aSession, std::uint64_t aVersion, int aSeconds);

/// The origin of a change as the options have it.
struct ChangeOrigin
OriginOf(const CommandOptions& aOptions);

} // namespace bergamotpaddle
