/// \file
/// Entry point of the daemon. Its settings select the role: a router on an
/// entry host or an agent next to an upstream.
#include "bergamotpaddle/Daemon/Roles.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(
  settings,
  "",
  "path of the process's settings, a JSON file (docs/CONFIGURATION.md)");
DEFINE_bool(check, false, "check the settings and exit: 0 if valid, 2 if not");

namespace {

constexpr int kExitInvalidSettings = 2;

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("runs a router or an agent of the bergamotpaddle "
                          "fleet\n  bergamotpaddled --settings FILE");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const bergamotpaddle::LoadedSettings loaded =
    bergamotpaddle::LoadProcessSettings(FLAGS_settings);
  for (const bergamotpaddle::Finding& finding : loaded.m_findings) {
    std::cerr << finding.Str() << "\n";
  }
  if (!loaded.m_findings.empty()) {
    return kExitInvalidSettings;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  const bool isRouter =
    loaded.m_settings.m_role == bergamotpaddle::ProcessRole::kRouter;
  return isRouter ? bergamotpaddle::RunRouter(loaded.m_settings)
                  : bergamotpaddle::RunAgent(loaded.m_settings);
}
