/// \file
/// An item of the platform's store.
#pragma once

#include <cstdint>
#include <string>

namespace bergamotpaddle {

/// An item of the store, or the removal of a key.
struct StoreItem
{
  std::string m_key;
  std::string m_value;
  std::uint64_t m_revision = 0; ///< 0: the key does not exist.
  bool m_isRemoved = false;
  auto operator<=>(const StoreItem&) const = default;
};

} // namespace bergamotpaddle
