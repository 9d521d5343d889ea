/// \file
/// The measures of the brief, each from replays in virtual time: the same
/// figures every run.
#pragma once

#include "bergamotpaddle/Bench/Workload.h"

namespace bergamotpaddle {

/// One row of the table.
struct MeasureRow
{
  std::string m_deployment;
  std::string m_measure;
  std::string m_unit;
  double m_target = 0;
  bool m_isLowerBound = false; ///< The target is a lower bound.
  std::string m_baselineName;
  double m_baseline = 0;
  double m_ours = 0;

  bool MeetsTarget() const
  {
    return m_isLowerBound ? m_ours >= m_target : m_ours <= m_target;
  }
};

/// All measures of a deployment.
std::vector<MeasureRow>
MeasureAll(const Deployment& aDeployment);

} // namespace bergamotpaddle
