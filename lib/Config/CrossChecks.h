/// \file
/// Internal to Config: consistency checks across several values.
#pragma once

#include "bergamotpaddle/Config/Checks.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

/// Checks references, uniqueness and limits across the values of a
/// configuration that matches its schema.
std::vector<Finding>
CrossCheck(const nlohmann::json& aContent, const std::string& aFile);

/// Reports members of \p aOverlay that \p aBase does not have: an overlay may
/// change or remove members, but not add any.
std::vector<Finding>
CheckOverlayNames(const nlohmann::json& aBase,
                  const nlohmann::json& aOverlay,
                  const std::string& aFile);

} // namespace bergamotpaddle
