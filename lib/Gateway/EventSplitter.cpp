#include "bergamotpaddle/Gateway/EventSplitter.h"
#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

/// Returns the value of the `id:` line of \p aEvent, if any.
std::optional<std::string_view>
IdOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::size_t end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    if (line.starts_with(kIdField)) {
      return Trim(line.substr(kIdField.size()));
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return std::nullopt;
}

} // namespace

EventSplitter::EventSplitter(std::optional<std::uint64_t> aAfterId)
  : m_lastNumber(aAfterId)
{
}

std::string
EventSplitter::Consume(std::string_view aBytes)
{
  // The buffered bytes hold no terminator, but may end with its first byte.
  const std::size_t searchFrom = m_partial.empty() ? 0 : m_partial.size() - 1;
  m_partial.append(aBytes);
  std::string complete;
  std::size_t begin = 0;
  for (std::size_t end = m_partial.find(kEventEnd, searchFrom);
       end != std::string::npos;
       end = m_partial.find(kEventEnd, begin)) {
    const std::size_t next = end + kEventEnd.size();
    const std::string_view event =
      std::string_view(m_partial).substr(begin, next - begin);
    if (Accept(event)) {
      complete.append(event);
    }
    begin = next;
  }
  m_partial.erase(0, begin);
  return complete;
}

bool
EventSplitter::Accept(std::string_view aEvent)
{
  const std::optional<std::string_view> id = IdOf(aEvent);
  const auto number = id ? ParseNumber<std::uint64_t>(*id) : std::nullopt;
  if (number) {
    if (m_lastNumber && *number <= *m_lastNumber) {
      return false;
    }
    m_hasGap = m_hasGap || (m_lastNumber && *number != *m_lastNumber + 1);
    m_lastNumber = number;
    m_lastId = std::string(*id);
  }
  ++m_events;
  return true;
}

} // namespace bergamotpaddle
