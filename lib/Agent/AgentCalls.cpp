/// \file
/// Non-repeatable calls: the journal decides whether to start a call, and
/// supplies the recorded response if the call ran before.
#include "bergamotpaddle/Agent/AgentCore.h"

namespace bergamotpaddle {

void
AgentCore::JournalStart(PeerId aPeer, WorkRecord& aRecord)
{
  const Dispatch& dispatch = aRecord.m_dispatch;
  const Reader reader{ aPeer, dispatch.m_attempt };
  m_hooks.m_send(aPeer, Accepted{ dispatch.m_attempt, false, Load() });
  aRecord.m_readers.push_back(reader);
  m_journal->Start(dispatch.m_target,
                   dispatch.m_account,
                   dispatch.m_key,
                   dispatch.m_fingerprint,
                   [this, run = aRecord.m_run](JournalVerdict aVerdict,
                                               const JournalEntry& aEntry) {
                     OnJournalVerdict(run, aVerdict, aEntry);
                   });
}

void
AgentCore::OnJournalVerdict(RunId aRun,
                            JournalVerdict aVerdict,
                            const JournalEntry& aEntry)
{
  WorkRecord* record = m_work.Find(aRun);
  if (record == nullptr) {
    return;
  }
  switch (aVerdict) {
    case JournalVerdict::kStart:
      RecordEvent("journaled", record->m_dispatch);
      // Starts at once, without admission; calls of a plain service start in
      // the order of the journal.
      record->m_state = WorkState::kRunning;
      m_hooks.m_start(aRun, record->m_dispatch);
      return;
    case JournalVerdict::kDone:
      RespondFromJournal(aRun, aEntry);
      return;
    case JournalVerdict::kUnknown: {
      UpstreamOutcome outcome;
      outcome.m_code = ResultCode::kOutcomeUnknown;
      outcome.m_ran = Ran::kUnknown;
      EndRun(*record, outcome);
      return;
    }
    case JournalVerdict::kMismatch:
      EndUnstarted(aRun, ResultCode::kKeyReused);
      return;
    case JournalVerdict::kFull:
      EndUnstarted(aRun, ResultCode::kJournalFull);
      return;
    case JournalVerdict::kUnavailable:
      EndUnstarted(aRun, ResultCode::kJournalUnavailable);
      return;
  }
}

void
AgentCore::RespondFromJournal(RunId aRun, const JournalEntry& aEntry)
{
  WorkRecord& record = *m_work.Find(aRun);
  RecordEvent("answered_from_journal", record.m_dispatch);
  record.m_response = aEntry.m_body;
  record.m_end.m_httpStatus = aEntry.m_httpStatus;
  record.m_end.m_contentType = aEntry.m_contentType;
  record.m_end.m_length = record.m_response.size();
  // The call was charged when it ran.
  RecordCharge(record, 0);
  m_work.Finish(record, m_timers.m_now());
  std::vector<Reader> readers;
  readers.swap(record.m_readers);
  for (const Reader& reader : readers) {
    AddReader(record, reader, 0);
  }
}

} // namespace bergamotpaddle
