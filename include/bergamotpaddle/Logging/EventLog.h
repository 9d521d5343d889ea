/// \file
/// Structured log of a router's decisions: JSON lines on standard output,
/// bounded in rate and memory, never blocking.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <absl/status/status.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Builds one line; strings are escaped, numbers written plainly.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);
  LogLine& Text(std::string_view aName, std::string_view aValue);
  LogLine& Number(std::string_view aName, std::int64_t aValue);
  LogLine& Milliseconds(std::string_view aName, Duration aValue);
  /// Why something failed.
  LogLine& Reason(const absl::Status& aStatus);
  LogLine& Flag(std::string_view aName, bool aValue);
  const std::string& Body() const { return m_body; }

private:
  std::string m_body;
};

/// Bounds of the log.
struct EventLogOptions
{
  double m_linesPerSecond = 400; ///< Sustained; requests at twice the usual.
  double m_burst = 800;
  std::size_t m_maxBufferedBytes = 256ULL * 1024;
};

/// Collects lines and writes them when the output takes them without waiting.
class EventLog
{
public:
  /// \p aDescriptor is set to non-blocking. \p aUnixTime tells the time of day
  /// for the lines, in milliseconds.
  EventLog(int aDescriptor, std::string aProcess, EventLogOptions aOptions);

  /// Adds a line, or counts it as dropped where a bound is reached. \p aIsVital
  /// lines pass the bound on the rate: start, stop, dependencies.
  void Write(const LogLine& aLine,
             Instant aNow,
             std::int64_t aUnixMs,
             bool aIsVital = false);

  /// Writes what the output takes now. Call it several times a second.
  void Flush();

  std::uint64_t Dropped() const { return m_dropped; }
  std::uint64_t Written() const { return m_written; }

private:
  bool TakeAllowance(Instant aNow);
  void AppendLine(const LogLine& aLine, std::int64_t aUnixMs);

  int m_descriptor;
  std::string m_process;
  EventLogOptions m_options;
  std::string m_buffer;
  double m_allowance;
  Instant m_filledAt{};
  std::uint64_t m_dropped = 0;
  std::uint64_t m_droppedTold = 0;
  std::uint64_t m_written = 0;
};

} // namespace bergamotpaddle
