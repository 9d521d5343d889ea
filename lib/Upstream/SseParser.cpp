#include "bergamotpaddle/Upstream/SseParser.h"

namespace bergamotpaddle {

namespace {

constexpr std::size_t kMaxLineBytes = 4U << 20U;
constexpr std::string_view kDataField = "data:";

} // namespace

SseParser::SseParser(DataHook aHook)
  : m_hook(std::move(aHook))
{
}

bool
SseParser::Feed(const std::string& aBytes)
{
  if (m_hasOverflowed) {
    return false;
  }
  // The buffered bytes hold no line end.
  const std::size_t searchFrom = m_buffer.size();
  m_buffer += aBytes;
  std::size_t begin = 0;
  for (std::size_t end = m_buffer.find('\n', searchFrom);
       end != std::string::npos;
       end = m_buffer.find('\n', begin)) {
    ParseLine(m_buffer.substr(begin, end - begin));
    begin = end + 1;
  }
  m_buffer.erase(0, begin);
  if (m_buffer.size() > kMaxLineBytes) {
    m_hasOverflowed = true;
    m_buffer = {};
  }
  return !m_hasOverflowed;
}

void
SseParser::ParseLine(const std::string& aLine)
{
  if (!aLine.starts_with(kDataField)) {
    return;
  }
  std::string data = aLine.substr(kDataField.size());
  if (!data.empty() && data.front() == ' ') {
    data.erase(0, 1);
  }
  if (!data.empty() && data.back() == '\r') {
    data.pop_back();
  }
  m_hook(data);
}

} // namespace bergamotpaddle
