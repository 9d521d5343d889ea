#include "ResponseHeadCheck.h"

#include "bergamotpaddle/Support/Text.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

bool
IsBlank(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

/// Whether \p aName is a token of RFC 9110, section 5.6.2.
bool
IsToken(std::string_view aName)
{
  constexpr std::string_view kTokenCharacters =
    "!#$%&'*+-.^_`|~0123456789"
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
  return !aName.empty() &&
         aName.find_first_not_of(kTokenCharacters) == std::string_view::npos;
}

/// Whether \p aValue has no control character but tabs: RFC 9110, section 5.5.
bool
IsFieldValue(std::string_view aValue)
{
  constexpr char kFirstPrintable = ' ';
  constexpr char kDelete = '\x7f';
  return std::all_of(aValue.begin(), aValue.end(), [](char aCharacter) {
    const auto code = static_cast<unsigned char>(aCharacter);
    return IsBlank(aCharacter) ||
           (code >= kFirstPrintable && aCharacter != kDelete);
  });
}

/// Returns \p aLine without its line end.
std::string_view
WithoutLineEnd(std::string_view aLine)
{
  for (const char character : { '\n', '\r' }) {
    if (aLine.ends_with(character)) {
      aLine.remove_suffix(1);
    }
  }
  return aLine;
}

} // namespace

bool
ResponseHeadCheck::Accept(std::string_view aLine)
{
  const std::string_view line = WithoutLineEnd(aLine);
  if (line.empty()) {
    m_previous = Line::kEmpty;
    return true;
  }
  if (m_previous == Line::kEmpty && line.starts_with("HTTP/")) {
    m_previous = Line::kStatus; // libcurl has parsed it.
    m_length.reset();
    return true;
  }
  if (IsBlank(line.front())) {
    // The line continues the value of a field. libcurl has used that of a
    // framing field already.
    return m_previous == Line::kField && IsFieldValue(line);
  }
  return AcceptField(line);
}

bool
ResponseHeadCheck::AcceptField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = aLine.substr(colon + 1);
  const bool isLength = EqualsIgnoreCase(name, "Content-Length");
  m_previous = isLength || EqualsIgnoreCase(name, "Transfer-Encoding")
                 ? Line::kFramingField
                 : Line::kField;
  return IsToken(name) && IsFieldValue(value) &&
         (!isLength || AcceptLength(value));
}

bool
ResponseHeadCheck::AcceptLength(std::string_view aValue)
{
  const auto length = ParseNumber<std::uint64_t>(Trim(aValue));
  const bool isAmbiguous = m_length && m_length != length;
  m_length = length;
  return length && !isAmbiguous;
}

} // namespace bergamotpaddle
