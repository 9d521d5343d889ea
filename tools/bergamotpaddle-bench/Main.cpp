/// \file
/// Prints the required measures of both deployments: target, baseline and
/// measured value side by side.
#include "bergamotpaddle/Bench/Measures.h"

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(output,
              "",
              "also write the rows to this file as comma-separated values");
DEFINE_string(site, "", "fernvale or landesamt; empty: both");
DEFINE_bool(check, false, "check the flags and exit: 0 if valid, 2 if not");

namespace {

using namespace bergamotpaddle;

constexpr int kExitInvalidSettings = 2;

void
Print(const MeasureRow& aRow)
{
  std::printf("%-10s %-64s %-8s %s %-8.4g %-23s %-10.4g %-10.4g %s\n",
              aRow.m_deployment.c_str(),
              aRow.m_measure.c_str(),
              aRow.m_unit.c_str(),
              aRow.m_isLowerBound ? ">=" : "<=",
              aRow.m_target,
              aRow.m_baselineName.c_str(),
              aRow.m_baseline,
              aRow.m_ours,
              aRow.MeetsTarget() ? "met" : "MISSED");
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "prints measures obtained from replays in virtual time");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  if (!FLAGS_site.empty() && FLAGS_site != "fernvale" &&
      FLAGS_site != "landesamt") {
    std::cerr << "--site: \"" << FLAGS_site
              << "\" is unknown; allowed: fernvale, landesamt\n";
    return kExitInvalidSettings;
  }
  if (FLAGS_check) {
    return 0;
  }
  std::ofstream file;
  if (!FLAGS_output.empty()) {
    file.open(FLAGS_output);
    file << "deployment,measure,unit,target,baseline_name,baseline,ours,met\n";
  }
  std::printf("%-10s %-64s %-8s %-11s %-23s %-10s %s\n",
              "DEPLOYMENT",
              "MEASURE",
              "UNIT",
              "TARGET",
              "BASELINE",
              "VALUE",
              "OURS");
  for (const Deployment& deployment : { Fernvale(), Landesamt() }) {
    if (!FLAGS_site.empty() && FLAGS_site != deployment.m_name) {
      continue;
    }
    for (const MeasureRow& row : MeasureAll(deployment)) {
      Print(row);
      file << row.m_deployment << ",\"" << row.m_measure << "\"," << row.m_unit
           << "," << row.m_target << ",\"" << row.m_baselineName << "\","
           << row.m_baseline << "," << row.m_ours << ","
           << (row.MeetsTarget() ? "yes" : "no") << "\n";
    }
  }
  return 0;
}
