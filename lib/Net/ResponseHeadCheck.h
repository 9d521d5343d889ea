/// \file
/// Checks of response heads that libcurl leaves to its caller.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bergamotpaddle {

/// Checks the heads and trailers of the responses to one call, line by line.
/// libcurl takes every line with a colon for a field, and one of several
/// lengths, up to its first invalid character.
class ResponseHeadCheck
{
public:
  /// Returns whether \p aLine, with its line end, is valid after the previous
  /// lines.
  bool Accept(std::string_view aLine);

private:
  enum class Line
  {
    kEmpty, ///< None yet, or the end of a head.
    kStatus,
    kField,
    kFramingField ///< A field that frames the body.
  };

  bool AcceptField(std::string_view aLine);
  bool AcceptLength(std::string_view aValue);

  Line m_previous = Line::kEmpty;
  std::optional<std::uint64_t> m_length; ///< Of the body, from this head.
};

} // namespace bergamotpaddle
