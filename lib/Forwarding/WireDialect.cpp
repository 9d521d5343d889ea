#include "bergamotpaddle/Forwarding/WireDialect.h"
#include "bergamotpaddle/Support/Text.h"

#include <algorithm>
#include <array>

namespace bergamotpaddle {

namespace {

/// RFC 9110, section 7.6.1, and the framing of RFC 9112, section 6.
constexpr std::array<std::string_view, 10> kOneHopFields = {
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
  std::vector<std::string> named;
  for (const auto& [name, value] : aFields) {
    if (IsField(name, "Connection")) {
      for (std::string_view token : Split(value, ',')) {
        named.emplace_back(Trim(token));
      }
    }
  }
  const auto isSame = [](std::string_view aName) {
    return [aName](std::string_view aOther) { return IsField(aName, aOther); };
  };
  FieldList kept;
  for (const auto& field : aFields) {
    const auto is = isSame(field.first);
    if (std::none_of(kOneHopFields.begin(), kOneHopFields.end(), is) &&
        std::none_of(named.begin(), named.end(), is)) {
      kept.push_back(field);
    }
  }
  return kept;
}

} // namespace bergamotpaddle
