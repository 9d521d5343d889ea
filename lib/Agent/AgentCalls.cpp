// Calls that may not repeat: started and answered by the journal.
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
                     Journaled(run, aVerdict, aEntry);
                   });
}

void
AgentCore::Journaled(RunId aRun,
                     JournalVerdict aVerdict,
                     const JournalEntry& aEntry)
{
  WorkRecord* record = m_work.Find(aRun);
  if (record == nullptr) {
    return;
  }
  switch (aVerdict) {
    case JournalVerdict::kStart:
      Note("journaled", record->m_dispatch);
      // The slots of a plain service are taken in the order of the journal.
      record->m_state = WorkState::kRunning;
      m_hooks.m_start(aRun, record->m_dispatch);
      return;
    case JournalVerdict::kDone:
      AnswerFromJournal(aRun, aEntry);
      return;
    case JournalVerdict::kUnknown: {
      UpstreamOutcome outcome;
      outcome.m_code = ResultCode::kOutcomeUnknown;
      outcome.m_ran = Ran::kUnknown;
      EndRun(*record, outcome);
      return;
    }
    case JournalVerdict::kMismatch:
      GiveBack(aRun, ResultCode::kKeyReused);
      return;
    case JournalVerdict::kFull:
      GiveBack(aRun, ResultCode::kJournalFull);
      return;
    case JournalVerdict::kUnavailable:
      GiveBack(aRun, ResultCode::kJournalUnavailable);
      return;
  }
}

void
AgentCore::AnswerFromJournal(RunId aRun, const JournalEntry& aEntry)
{
  WorkRecord& record = *m_work.Find(aRun);
  Note("answered_from_journal", record.m_dispatch);
  record.m_answer = aEntry.m_body;
  record.m_end.m_httpStatus = aEntry.m_httpStatus;
  record.m_end.m_contentType = aEntry.m_contentType;
  record.m_end.m_length = record.m_answer.size();
  // The run was charged when it happened.
  BookCharge(record, 0);
  m_work.Finish(record, m_timers.m_now());
  std::vector<Reader> readers;
  readers.swap(record.m_readers);
  for (const Reader& reader : readers) {
    AddReader(record, reader, 0);
  }
}

} // namespace bergamotpaddle
