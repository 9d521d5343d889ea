#include "bergamotpaddle/Support/Text.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr int kHexBase = 16;
constexpr std::string_view kWhitespace = " \t\r\n";

char
ToLowerLetter(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z'
           ? static_cast<char>(aLetter - 'A' + 'a')
           : aLetter;
}

} // namespace

std::string
Hex(std::uint64_t aNumber, std::size_t aMinDigits)
{
  constexpr std::size_t kMaxDigits = 16;
  char digits[kMaxDigits];
  const auto end =
    std::to_chars(digits, digits + kMaxDigits, aNumber, kHexBase).ptr;
  std::string text(digits, end);
  if (text.size() < aMinDigits) {
    text.insert(0, aMinDigits - text.size(), '0');
  }
  return text;
}

std::optional<std::uint64_t>
ParseHex(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number, kHexBase);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> pieces;
  std::size_t begin = 0;
  for (std::size_t end = aText.find(aSeparator); end != std::string_view::npos;
       end = aText.find(aSeparator, begin)) {
    pieces.push_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
  pieces.push_back(aText.substr(begin));
  return pieces;
}

std::string_view
Trim(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kWhitespace) - begin + 1);
}

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), ToLowerLetter);
  return lower;
}

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](char aOne, char aOther) {
                      return ToLowerLetter(aOne) == ToLowerLetter(aOther);
                    });
}

bool
StartsWithIgnoreCase(std::string_view aText, std::string_view aPrefix)
{
  return EqualsIgnoreCase(aText.substr(0, aPrefix.size()), aPrefix);
}

} // namespace bergamotpaddle
