#include "bergamotpaddle/Logging/EventLog.h"
#include "bergamotpaddle/Support/Text.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace bergamotpaddle {

namespace {

void
AppendEscaped(std::string& aOutput, std::string_view aText)
{
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aOutput += '\\';
      aOutput += character;
    } else if (code < 0x20 || code >= 0x7F) {
      Append(aOutput, "\\u00", Hex(code, 2));
    } else {
      aOutput += character;
    }
  }
}

} // namespace

LogLine::LogLine(std::string_view aEvent)
{
  Text("event", aEvent);
}

LogLine&
LogLine::Text(std::string_view aName, std::string_view aValue)
{
  Append(m_body, ",\"", aName, "\":\"");
  AppendEscaped(m_body, aValue);
  m_body += '"';
  return *this;
}

LogLine&
LogLine::Number(std::string_view aName, std::int64_t aValue)
{
  Append(m_body, ",\"", aName, "\":", aValue);
  return *this;
}

LogLine&
LogLine::Milliseconds(std::string_view aName, Duration aValue)
{
  return Number(
    aName,
    std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count());
}

LogLine&
LogLine::Reason(const absl::Status& aStatus)
{
  return Text("why", std::string(aStatus.message()));
}

LogLine&
LogLine::Flag(std::string_view aName, bool aValue)
{
  Append(m_body, ",\"", aName, "\":", aValue ? "true" : "false");
  return *this;
}

EventLog::EventLog(int aDescriptor,
                   std::string aProcess,
                   EventLogOptions aOptions)
  : m_descriptor(aDescriptor)
  , m_process(std::move(aProcess))
  , m_options(aOptions)
  , m_availableLines(aOptions.m_burst)
{
  const int flags = fcntl(aDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool
EventLog::TryAcquireLine(Instant aNow)
{
  const double elapsed =
    std::chrono::duration<double>(aNow - m_refilledAt).count();
  m_refilledAt = aNow;
  m_availableLines = std::min(
    m_options.m_burst, m_availableLines + elapsed * m_options.m_linesPerSecond);
  if (m_availableLines < 1) {
    return false;
  }
  m_availableLines -= 1;
  return true;
}

void
EventLog::Write(const LogLine& aLine,
                Instant aNow,
                std::int64_t aUnixMs,
                bool aIsVital)
{
  const bool isAllowed = TryAcquireLine(aNow) || aIsVital;
  if (!isAllowed ||
      m_buffer.size() + aLine.Body().size() > m_options.m_maxBufferedBytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped != m_droppedReported) {
    LogLine report("log.dropped");
    report.Number("lines",
                  static_cast<std::int64_t>(m_dropped - m_droppedReported));
    m_droppedReported = m_dropped;
    AppendLine(report, aUnixMs);
  }
  AppendLine(aLine, aUnixMs);
}

void
EventLog::AppendLine(const LogLine& aLine, std::int64_t aUnixMs)
{
  Append(m_buffer,
         "{\"time_ms\":",
         aUnixMs,
         ",\"process\":\"",
         m_process,
         "\"",
         aLine.Body(),
         "}\n");
  ++m_written;
}

void
EventLog::Flush()
{
  std::size_t written = 0;
  while (written < m_buffer.size()) {
    const ssize_t count = ::write(
      m_descriptor, m_buffer.data() + written, m_buffer.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  m_buffer.erase(0, written);
}

} // namespace bergamotpaddle
