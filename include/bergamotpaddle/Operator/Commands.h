/// \file
/// The commands of `bergamotpaddlectl`. Each returns an exit code: 0 done, 1
/// the fleet or the platform could not do it, 2 wrong usage or settings, 3
/// conflict with another operator, 4 not in force everywhere in time.
#pragma once

#include "bergamotpaddle/Operator/Session.h"

namespace bergamotpaddle {

/// Exit codes of the tool.
enum class ExitCode : int
{
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kNotInForce = 4,
};

/// Options that several commands share.
struct CommandOptions
{
  bool m_json = false;   ///< Print JSON rather than tables.
  std::string m_base;    ///< Path of a base file.
  std::string m_overlay; ///< Path of a site's overlay, or empty.
  std::string m_author;
  std::string m_changeId; ///< Empty: a new one.
  std::string m_comment;
  std::string m_topUpId;
  bool m_wait = false;
  int m_waitSeconds = 14;
  std::string m_request; ///< Filters of the time line.
  std::string m_account;
  std::string m_upstream;
  std::string m_since;
};

ExitCode
RunConfigCommand(Session& aSession,
                 const std::vector<std::string>& aWords,
                 const CommandOptions& aOptions);

ExitCode
RunAccountCommand(Session& aSession,
                  const std::vector<std::string>& aWords,
                  const CommandOptions& aOptions);

ExitCode
RunBudgetCommand(Session& aSession,
                 const std::vector<std::string>& aWords,
                 const CommandOptions& aOptions);

/// `pool` and `upstream` with `drain` and `restore`.
ExitCode
RunDrainCommand(Session& aSession,
                const std::vector<std::string>& aWords,
                const CommandOptions& aOptions);

ExitCode
RunStatusCommand(Session& aSession, const CommandOptions& aOptions);

ExitCode
RunTimelineCommand(Session& aSession, const CommandOptions& aOptions);

} // namespace bergamotpaddle
