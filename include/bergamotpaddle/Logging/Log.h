/// \file
/// Logs as JSON lines on standard error, through log4cplus.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// Least level written.
enum class LogLevel
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

/// The level named "debug", "info", "warn" or "error".
LogLevel
ParseLogLevel(const std::string& aName);

/// Fields of a line besides time, level, process and event.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes lines for one process. Secrets and API keys are never passed in.
class Log
{
public:
  Log(std::string aProcess, LogLevel aLeast);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void Write(LogLevel aLevel,
             const std::string& aEvent,
             const LogFields& aFields = {}) const;

private:
  std::string m_process;
};

} // namespace bergamotpaddle
