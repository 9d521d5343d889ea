/// \file
/// The commands of `bergamotpaddlectl`. They print results on standard output,
/// errors on standard error, and return the exit code of the process.
#pragma once

#include "bergamotpaddle/Operator/Session.h"

namespace bergamotpaddle {

/// Exit codes of `bergamotpaddlectl`.
enum class ExitCode : int
{
  kDone = 0,
  kFailed = 1,     ///< The fleet or the platform failed or did not respond.
  kUsage = 2,      ///< Invalid arguments, files or settings.
  kConflict = 3,   ///< Another operator's change was accepted first.
  kNotInForce = 4, ///< Accepted, but not in force everywhere in time.
};

/// Options from the command line. Each command uses those that apply to it.
struct CommandOptions
{
  bool m_json = false;   ///< Print JSON rather than tables.
  std::string m_base;    ///< Path of a base file.
  std::string m_overlay; ///< Path of a site's overlay; empty: none.
  std::string m_author;
  std::string m_changeId; ///< Empty: a random one is generated.
  std::string m_comment;
  std::string m_topUpId;  ///< Identifies a top-up, so that retries are safe.
  bool m_wait = false;    ///< Wait until a change is in force everywhere.
  int m_waitSeconds = 14; ///< Time limit for m_wait.
  // Filters of the timeline.
  std::string m_request;
  std::string m_account;
  std::string m_upstream;
  std::string m_since; ///< Logical time.
};

/// `config` with `validate`, `diff`, `apply`, `status`, `history` or
/// `rollback`.
ExitCode
RunConfigCommand(Session& aSession,
                 const std::vector<std::string>& aArguments,
                 const CommandOptions& aOptions);

/// `account` with `list` or `show`.
ExitCode
RunAccountCommand(Session& aSession,
                  const std::vector<std::string>& aArguments,
                  const CommandOptions& aOptions);

/// `budget` with `show` or `top-up`.
ExitCode
RunBudgetCommand(Session& aSession,
                 const std::vector<std::string>& aArguments,
                 const CommandOptions& aOptions);

/// `pool` or `upstream` with `drain` or `restore`.
ExitCode
RunDrainCommand(Session& aSession,
                const std::vector<std::string>& aArguments,
                const CommandOptions& aOptions);

/// `status`: one row for each process. kFailed: a process did not respond, and
/// the output is not JSON.
ExitCode
RunStatusCommand(Session& aSession, const CommandOptions& aOptions);

/// `timeline`: the events of all processes, ordered by logical time.
ExitCode
RunTimelineCommand(Session& aSession, const CommandOptions& aOptions);

} // namespace bergamotpaddle
