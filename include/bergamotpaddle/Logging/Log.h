/// \file
/// Log of JSON lines on standard error, written through log4cplus.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// Severity of a line, in ascending order.
enum class LogLevel
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

/// Parses "debug", "info", "warn" or "error"; any other name is kInfo.
LogLevel
ParseLogLevel(const std::string& aName);

/// Fields of a line in addition to time, level, process and event. Fields with
/// an empty value are omitted.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes the log of one process. Callers must not pass secrets or API keys.
class Log
{
public:
  Log(std::string aProcess, LogLevel aMinimumLevel);
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
