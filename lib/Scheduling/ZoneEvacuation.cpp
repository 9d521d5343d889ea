#include "bergamotpaddle/Scheduling/ZoneEvacuation.h"

namespace bergamotpaddle {

bool
ZoneEvacuation::Set(const std::string& aZone, bool aIsEvacuated)
{
  if (!aIsEvacuated) {
    return m_zones.erase(aZone) > 0;
  }
  return m_zones.size() < kMaxZones && m_zones.insert(aZone).second;
}

} // namespace bergamotpaddle
