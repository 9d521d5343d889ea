/// \file
/// Structured log of a router's decisions: JSON lines on standard output. Rate
/// and memory are bounded, and writes never block.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <absl/status/status.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Builds the fields of one JSON line. Strings are escaped, numbers are not
/// quoted.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);
  LogLine& Text(std::string_view aName, std::string_view aValue);
  LogLine& Number(std::string_view aName, std::int64_t aValue);
  LogLine& Milliseconds(std::string_view aName, Duration aValue);
  /// Adds the message of \p aStatus as the field `why`.
  LogLine& Reason(const absl::Status& aStatus);
  LogLine& Flag(std::string_view aName, bool aValue);
  /// The fields in JSON, each preceded by a comma, without braces.
  const std::string& Body() const { return m_body; }

private:
  std::string m_body;
};

/// Limits of the log.
struct EventLogOptions
{
  /// Sustained rate: enough for twice the usual request rate.
  double m_linesPerSecond = 400;
  double m_burst = 800; ///< Lines that may exceed the sustained rate at once.
  std::size_t m_maxBufferedBytes = 256ULL * 1024;
};

/// Buffers lines and writes them when the output accepts them without blocking.
class EventLog
{
public:
  /// Sets \p aDescriptor to non-blocking mode. \p aProcess is the value of the
  /// field `process` in each line.
  EventLog(int aDescriptor, std::string aProcess, EventLogOptions aOptions);

  /// Buffers a line, or counts it as dropped if the rate limit or the buffer
  /// size is exceeded. \p aIsVital exempts a line from the rate limit; it is
  /// set for start, stop and changes of dependencies. \p aUnixMs is the
  /// wall-clock time of the line in milliseconds since the Unix epoch.
  void Write(const LogLine& aLine,
             Instant aNow,
             std::int64_t aUnixMs,
             bool aIsVital = false);

  /// Writes as much of the buffer as the output accepts without blocking. Must
  /// be called several times per second.
  void Flush();

  /// Number of lines dropped since the start.
  std::uint64_t Dropped() const { return m_dropped; }
  /// Number of lines buffered for output since the start.
  std::uint64_t Written() const { return m_written; }

private:
  /// Takes one line from the token bucket of the rate limit; false if it is
  /// empty.
  bool TryAcquireLine(Instant aNow);
  void AppendLine(const LogLine& aLine, std::int64_t aUnixMs);

  int m_descriptor;
  std::string m_process;
  EventLogOptions m_options;
  std::string m_buffer;
  double m_availableLines;
  Instant m_refilledAt{};
  std::uint64_t m_dropped = 0;
  std::uint64_t m_droppedReported = 0;
  std::uint64_t m_written = 0;
};

} // namespace bergamotpaddle
