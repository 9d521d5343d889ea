/// \file
/// Benchmarks with targets. Each replays traces in virtual time, so that every
/// run yields the same values.
#pragma once

#include "bergamotpaddle/Bench/Workload.h"

namespace bergamotpaddle {

/// A benchmark result for one deployment, in \p m_unit.
struct MeasureRow
{
  std::string m_deployment;
  std::string m_measure;
  std::string m_unit;
  double m_target = 0;
  bool m_isLowerBound = false; ///< Otherwise the target is an upper bound.
  std::string m_baselineName;
  double m_baseline = 0;
  double m_ours = 0;

  bool MeetsTarget() const
  {
    return m_isLowerBound ? m_ours >= m_target : m_ours <= m_target;
  }
};

/// Runs all benchmarks for \p aDeployment.
std::vector<MeasureRow>
MeasureAll(const Deployment& aDeployment);

} // namespace bergamotpaddle
