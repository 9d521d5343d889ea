/// \file
/// Text helpers over std::string_view. Debian's build of Abseil has a string
/// view of its own that std::string_view does not convert to.
#pragma once

#include <charconv>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotpaddle {

/// Appends text as it is and numbers in decimal digits.
inline void
AppendOne(std::string& aTarget, std::string_view aText)
{
  aTarget.append(aText);
}

template<std::integral Number>
void
AppendOne(std::string& aTarget, Number aNumber)
{
  aTarget.append(std::to_string(aNumber));
}

inline void
AppendOne(std::string& aTarget, double aNumber)
{
  constexpr std::size_t kMaxDigits = 32;
  char digits[kMaxDigits];
  const auto end = std::to_chars(digits, digits + kMaxDigits, aNumber).ptr;
  aTarget.append(digits, end);
}

/// Appends all \p aParts to \p aTarget.
template<typename... Parts>
void
Append(std::string& aTarget, const Parts&... aParts)
{
  (AppendOne(aTarget, aParts), ...);
}

/// All \p aParts as one text.
template<typename... Parts>
std::string
Cat(const Parts&... aParts)
{
  std::string text;
  Append(text, aParts...);
  return text;
}

/// \p aNumber in lower-case hexadecimal, at least \p aDigits long.
std::string
Hex(std::uint64_t aNumber, std::size_t aDigits = 1);

/// The number that all of \p aText spells, or nullopt.
template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || aText.empty()) {
    return std::nullopt;
  }
  return number;
}

/// The number that all of \p aText spells in hexadecimal, or nullopt.
std::optional<std::uint64_t>
ParseHex(std::string_view aText);

/// The pieces between \p aSeparator; one piece if there is none.
std::vector<std::string_view>
Split(std::string_view aText, char aSeparator);

/// Without blanks at both ends.
std::string_view
Trim(std::string_view aText);

/// ASCII letters in lower case.
std::string
ToLower(std::string_view aText);

/// Whether two texts are the same but for the case of ASCII letters.
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Whether \p aText begins with \p aPrefix, whatever the case.
bool
StartsWithIgnoreCase(std::string_view aText, std::string_view aPrefix);

} // namespace bergamotpaddle
