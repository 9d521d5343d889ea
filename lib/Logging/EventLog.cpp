#include "bergamotpaddle/Logging/EventLog.h"
#include "bergamotpaddle/Support/Text.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace bergamotpaddle {

namespace {

void
AppendEscaped(std::string& aTarget, std::string_view aText)
{
  for (const char letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      aTarget += '\\';
      aTarget += letter;
    } else if (code < 0x20 || code >= 0x7F) {
      Append(aTarget, "\\u00", Hex(code, 2));
    } else {
      aTarget += letter;
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
  , m_allowance(aOptions.m_burst)
{
  const int flags = fcntl(aDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool
EventLog::TakeAllowance(Instant aNow)
{
  const double passed =
    std::chrono::duration<double>(aNow - m_filledAt).count();
  m_filledAt = aNow;
  m_allowance = std::min(m_options.m_burst,
                         m_allowance + passed * m_options.m_linesPerSecond);
  if (m_allowance < 1) {
    return false;
  }
  m_allowance -= 1;
  return true;
}

void
EventLog::Write(const LogLine& aLine,
                Instant aNow,
                std::int64_t aUnixMs,
                bool aIsVital)
{
  const bool isAllowed = TakeAllowance(aNow) || aIsVital;
  if (!isAllowed ||
      m_buffer.size() + aLine.Body().size() > m_options.m_maxBufferedBytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped != m_droppedTold) {
    LogLine told("log.dropped");
    told.Number("lines", static_cast<std::int64_t>(m_dropped - m_droppedTold));
    m_droppedTold = m_dropped;
    AppendLine(told, aUnixMs);
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
  std::size_t done = 0;
  while (done < m_buffer.size()) {
    const ssize_t count =
      ::write(m_descriptor, m_buffer.data() + done, m_buffer.size() - done);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    done += static_cast<std::size_t>(count);
  }
  m_buffer.erase(0, done);
}

} // namespace bergamotpaddle
