#include "bergamotpaddle/Forwarding/WireDialect.h"
#include "bergamotpaddle/Support/Text.h"

#include <algorithm>
#include <array>

namespace bergamotpaddle {

namespace {

/// Hop-by-hop fields of RFC 9110, section 7.6.1, and the framing fields of RFC
/// 9112, section 6.
constexpr std::array<std::string_view, 10> kHopByHopFields = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Expect"
};

} // namespace

bool
IsField(std::string_view aLeft, std::string_view aRight)
{
  return EqualsIgnoreCase(aLeft, aRight);
}

const std::string*
FindField(const FieldList& aFields, std::string_view aName)
{
  const auto found =
    std::find_if(aFields.begin(), aFields.end(), [aName](const auto& aField) {
      return IsField(aField.first, aName);
    });
  return found == aFields.end() ? nullptr : &found->second;
}

FieldList
EndToEndFields(const FieldList& aFields)
{
  std::vector<std::string> connectionOptions;
  for (const auto& [name, value] : aFields) {
    if (IsField(name, "Connection")) {
      for (std::string_view token : Split(value, ',')) {
        connectionOptions.emplace_back(Trim(token));
      }
    }
  }
  const auto equals = [](std::string_view aName) {
    return [aName](std::string_view aOther) { return IsField(aName, aOther); };
  };
  FieldList endToEnd;
  for (const auto& field : aFields) {
    const auto isFieldName = equals(field.first);
    if (std::none_of(
          kHopByHopFields.begin(), kHopByHopFields.end(), isFieldName) &&
        std::none_of(
          connectionOptions.begin(), connectionOptions.end(), isFieldName)) {
      endToEnd.push_back(field);
    }
  }
  return endToEnd;
}

} // namespace bergamotpaddle
