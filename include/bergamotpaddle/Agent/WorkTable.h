/// \file
/// The requests that an agent knows: waiting, running, finished or revoked,
/// each with the answer so far and whoever is reading it.
#pragma once

#include "bergamotpaddle/Agent/Admission.h"
#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <deque>
#include <functional>

namespace bergamotpaddle {

/// A link of this process, as Net numbers them.
using PeerId = std::uint64_t;

/// Where a request stands at its agent.
enum class WorkState
{
  kJournaling, ///< Its start is being written to the journal.
  kWaiting,    ///< Accepted, no slot yet.
  kRunning,
  kFinished,
  kRevoked, ///< Known only as "must not start".
};

/// Who reads an answer.
struct Reader
{
  PeerId m_peer = 0;
  AttemptId m_attempt = 0;
  auto operator<=>(const Reader&) const = default;
};

/// One request at its agent.
struct WorkRecord
{
  RunId m_run = 0;
  WorkState m_state = WorkState::kWaiting;
  Dispatch m_dispatch;
  std::string m_answer;
  std::uint64_t m_generated = 0; ///< Tokens generated here.
  AnswerEnd m_end;
  std::vector<Reader> m_readers;
  Instant m_changedAt{};

  /// Tokens of the whole answer so far, those resumed from included.
  std::uint64_t TotalTokens() const
  {
    return m_dispatch.m_resumeTokens + m_generated;
  }
};

/// Finds records by request and by run, and forgets finished ones.
class WorkTable
{
public:
  using Name = std::pair<AccountId, RequestKey>;

  /// Finished records are kept for \p aRetention and within \p aMaxBytes.
  WorkTable(Duration aRetention, std::size_t aMaxBytes);

  WorkRecord* Find(const AccountId& aAccount, const RequestKey& aKey);
  WorkRecord* Find(RunId aRun);

  /// Adds a record; the request must not be known.
  WorkRecord& Add(Dispatch aDispatch, WorkState aState, Instant aNow);

  /// Forgets a record that never ran.
  void Remove(RunId aRun);

  /// Moves a record to kFinished; it ages from now on.
  void Finish(WorkRecord& aRecord, Instant aNow);

  /// Accounts of \p aHolder with work that may still be charged.
  std::vector<AccountId> OpenAccounts(const HolderId& aHolder) const;

  /// Records that have not finished.
  std::size_t OpenCount() const;

  /// Records that \p aPeer reads.
  std::vector<RunId> ReadBy(PeerId aPeer) const;

  /// Applies the bounds.
  void Forget(Instant aNow);

private:
  Duration m_retention;
  std::size_t m_maxBytes;
  std::size_t m_finishedBytes = 0;
  RunId m_lastRun = 0;
  std::map<RunId, WorkRecord> m_records;
  std::map<Name, RunId> m_byName;
  std::deque<std::pair<Instant, RunId>> m_finished;
};

} // namespace bergamotpaddle
