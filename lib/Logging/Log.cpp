#include "bergamotpaddle/Logging/Log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

/// Writes messages unchanged, since they are already JSON.
class MessageOnlyLayout : public log4cplus::Layout
{
public:
  void formatAndAppend(
    log4cplus::tostream& aOutput,
    const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    aOutput << aEvent.getMessage() << '\n';
  }
};

log4cplus::LogLevel
ToLog4cplus(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

const char*
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

std::string
CurrentTimestamp()
{
  return log4cplus::helpers::getFormattedTime(
    "%Y-%m-%dT%H:%M:%S.%qZ", log4cplus::helpers::now(), true);
}

} // namespace

LogLevel
ParseLogLevel(const std::string& aName)
{
  for (LogLevel level :
       { LogLevel::kDebug, LogLevel::kWarn, LogLevel::kError }) {
    if (aName == LevelName(level)) {
      return level;
    }
  }
  return LogLevel::kInfo;
}

Log::Log(std::string aProcess, LogLevel aMinimumLevel)
  : m_process(std::move(aProcess))
{
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<MessageOnlyLayout>());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(aMinimumLevel));
}

Log::~Log()
{
  log4cplus::Logger::getRoot().removeAllAppenders();
}

void
Log::Write(LogLevel aLevel,
           const std::string& aEvent,
           const LogFields& aFields) const
{
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  if (!root.isEnabledFor(ToLog4cplus(aLevel))) {
    return;
  }
  nlohmann::ordered_json line = { { "time", CurrentTimestamp() },
                                  { "level", LevelName(aLevel) },
                                  { "process", m_process },
                                  { "event", aEvent } };
  for (const auto& [name, value] : aFields) {
    if (!value.empty()) {
      line[name] = value;
    }
  }
  root.log(ToLog4cplus(aLevel),
           line.dump(
             -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace bergamotpaddle
