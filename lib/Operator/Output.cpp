#include "Output.h"

#include "bergamotpaddle/Operator/ConfigChange.h"
#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <iostream>
#include <thread>

namespace bergamotpaddle {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 200 };
constexpr int kChangeIdBytes = 6;

void
PrintRow(const std::vector<std::string>& aCells,
         const std::vector<std::size_t>& aWidths)
{
  std::string line;
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    line += aCells[i] + std::string(aWidths[i] - aCells[i].size() + 2, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  std::cout << line << "\n";
}

/// Returns the names of the processes with a version older than \p aVersion, as
/// reported by themselves or by their peers, and of those that do not respond.
std::vector<std::string>
ListLaggingProcesses(Session& aSession, std::uint64_t aVersion)
{
  std::vector<std::string> lagging;
  const std::vector<nlohmann::json> responses =
    aSession.QueryAll("/admin/status");
  for (std::size_t i = 0; i < responses.size(); ++i) {
    if (!responses[i].is_object()) {
      lagging.push_back(aSession.Settings().m_processes[i] + " (no response)");
      continue;
    }
    for (const auto& version :
         responses[i].value("versions", nlohmann::json::array())) {
      if (version.at("version").get<std::uint64_t>() < aVersion) {
        lagging.push_back(version.at("process").get<std::string>());
      }
    }
    if (responses[i].value("config_version", std::uint64_t{ 0 }) < aVersion) {
      lagging.push_back(responses[i].value("process", std::string()));
    }
  }
  std::sort(lagging.begin(), lagging.end());
  lagging.erase(std::unique(lagging.begin(), lagging.end()), lagging.end());
  return lagging;
}

} // namespace

void
PrintTable(const std::vector<std::string>& aHeader,
           const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < aHeader.size(); ++i) {
    std::size_t width = aHeader[i].size();
    for (const auto& row : aRows) {
      width = std::max(width, row[i].size());
    }
    widths.push_back(width);
  }
  PrintRow(aHeader, widths);
  for (const auto& row : aRows) {
    PrintRow(row, widths);
  }
}

ExitCode
FailWith(ExitCode aCode, const std::string& aMessage)
{
  std::cerr << "bergamotpaddlectl: " << aMessage << "\n";
  return aCode;
}

ExitCode
WaitUntilInForce(Session& aSession, std::uint64_t aVersion, int aSeconds)
{
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(aSeconds);
  while (true) {
    const std::vector<std::string> lagging =
      ListLaggingProcesses(aSession, aVersion);
    if (lagging.empty()) {
      std::cout << "version " << aVersion << " is in force everywhere\n";
      return ExitCode::kDone;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return FailWith(ExitCode::kNotInForce,
                      absl::StrCat("version ",
                                   aVersion,
                                   " is not in force at: ",
                                   absl::StrJoin(lagging, ", ")));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

ChangeOrigin
MakeOrigin(const CommandOptions& aOptions)
{
  ChangeOrigin origin;
  origin.m_changeId = aOptions.m_changeId.empty() ? RandomHex(kChangeIdBytes)
                                                  : aOptions.m_changeId;
  origin.m_author = aOptions.m_author;
  origin.m_comment = aOptions.m_comment;
  origin.m_timeMs = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  return origin;
}

} // namespace bergamotpaddle
