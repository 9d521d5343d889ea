/// \file
/// Internal to Operator: output and helpers that the commands share.
#pragma once

#include "bergamotpaddle/Operator/Commands.h"

#include <string>
#include <vector>

namespace bergamotpaddle {

/// Prints a table with aligned columns on standard output.
void
PrintTable(const std::vector<std::string>& aHeader,
           const std::vector<std::vector<std::string>>& aRows);

/// Prints \p aMessage on standard error and returns \p aCode.
ExitCode
FailWith(ExitCode aCode, const std::string& aMessage);

/// Blocks until every process has \p aVersion in force, but no longer than
/// \p aSeconds. kNotInForce: the time is up; the error printed names the
/// processes that lag or do not respond.
ExitCode
WaitUntilInForce(Session& aSession, std::uint64_t aVersion, int aSeconds);

/// The origin of a change made with \p aOptions at the current time.
struct ChangeOrigin
MakeOrigin(const CommandOptions& aOptions);

} // namespace bergamotpaddle
