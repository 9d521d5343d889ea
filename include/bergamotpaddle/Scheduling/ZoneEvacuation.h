/// \file
/// The availability zones whose upstreams get no new requests, as the operators
/// ask.
///
/// Failure handled here: a zone is emptied before work on it, or since it is
/// failing, while requests, retries and resumed streams are under way at every
/// router, and some routers don't reach the platform's store. The last known
/// state holds until a newer one is read.
#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace bergamotpaddle {

/// The set of evacuated zones. Performs no I/O.
class ZoneEvacuation
{
public:
  /// Evacuates \p aZone, or takes it back; returns whether that is a change.
  /// Beyond `kMaxZones` zones none is added.
  bool Set(const std::string& aZone, bool aIsEvacuated);

  bool IsEvacuated(const std::string& aZone) const
  {
    return m_zones.contains(aZone);
  }
  std::size_t Size() const { return m_zones.size(); }

  /// Bounds what names of zones that don't exist may take: far beyond the zones
  /// of one deployment.
  static constexpr std::size_t kMaxZones = 256;

private:
  std::set<std::string> m_zones;
};

} // namespace bergamotpaddle
