/// \file
/// Private to Config: checks that look across values.
#pragma once

#include "bergamotpaddle/Config/Checks.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

/// Findings across the values of a configuration that matches its schema.
std::vector<Finding>
CrossCheck(const nlohmann::json& aContent, const std::string& aFile);

/// Findings on members that \p aOverlay names and \p aBase does not have.
std::vector<Finding>
CheckOverlayNames(const nlohmann::json& aBase,
                  const nlohmann::json& aOverlay,
                  const std::string& aFile);

} // namespace bergamotpaddle
