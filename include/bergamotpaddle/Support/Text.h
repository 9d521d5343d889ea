/// \file
/// Text helpers for std::string_view. They replace those of Abseil because
/// Debian builds it with its own string_view class, to which std::string_view
/// does not convert.
#pragma once

#include <charconv>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotpaddle {

/// Appends text unchanged and numbers in decimal notation.
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

/// Returns the concatenation of \p aParts.
template<typename... Parts>
std::string
Cat(const Parts&... aParts)
{
  std::string text;
  Append(text, aParts...);
  return text;
}

/// Returns \p aNumber in lower-case hexadecimal, padded with zeros to at least
/// \p aMinDigits digits.
std::string
Hex(std::uint64_t aNumber, std::size_t aMinDigits = 1);

/// Parses all of \p aText as a decimal number. Returns nullopt if it is empty,
/// malformed or out of range.
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

/// Parses all of \p aText as a hexadecimal number. Returns nullopt if it is
/// empty, malformed or out of range.
std::optional<std::uint64_t>
ParseHex(std::string_view aText);

/// Splits \p aText at each \p aSeparator. Returns one piece if there is none;
/// pieces may be empty.
std::vector<std::string_view>
Split(std::string_view aText, char aSeparator);

/// Removes whitespace from both ends.
std::string_view
Trim(std::string_view aText);

/// Converts ASCII letters to lower case.
std::string
ToLower(std::string_view aText);

/// Returns whether two texts are equal, ignoring the case of ASCII letters.
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Returns whether \p aText starts with \p aPrefix, ignoring the case of ASCII
/// letters.
bool
StartsWithIgnoreCase(std::string_view aText, std::string_view aPrefix);

} // namespace bergamotpaddle
