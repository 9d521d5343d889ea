#include "bergamotpaddle/Agent/WorkTable.h"

#include <algorithm>
#include <cassert>

namespace bergamotpaddle {

namespace {

bool
IsOpen(const WorkRecord& aRecord)
{
  return aRecord.m_state != WorkState::kFinished &&
         aRecord.m_state != WorkState::kRevoked;
}

std::size_t
BytesOf(const WorkRecord& aRecord)
{
  return aRecord.m_response.size() + aRecord.m_dispatch.m_body.size() +
         sizeof(WorkRecord);
}

} // namespace

WorkTable::WorkTable(Duration aRetention, std::size_t aMaxBytes)
  : m_retention(aRetention)
  , m_maxBytes(aMaxBytes)
{
}

WorkRecord*
WorkTable::Find(const AccountId& aAccount, const RequestKey& aKey)
{
  auto found = m_byRequest.find({ aAccount, aKey });
  return found == m_byRequest.end() ? nullptr : Find(found->second);
}

WorkRecord*
WorkTable::Find(RunId aRun)
{
  auto found = m_records.find(aRun);
  return found == m_records.end() ? nullptr : &found->second;
}

WorkRecord&
WorkTable::Add(Dispatch aDispatch, WorkState aState, Instant aNow)
{
  const RequestIdentity identity{ aDispatch.m_account, aDispatch.m_key };
  assert(!m_byRequest.contains(identity) &&
         "there is no record of the request yet");
  const RunId run = ++m_lastRun;
  m_byRequest.emplace(identity, run);
  WorkRecord& record = m_records[run];
  record.m_run = run;
  record.m_state = aState;
  record.m_dispatch = std::move(aDispatch);
  record.m_changedAt = aNow;
  if (aState == WorkState::kRevoked) {
    m_finishedBytes += BytesOf(record);
    m_finished.emplace_back(aNow, run);
  }
  return record;
}

void
WorkTable::Remove(RunId aRun)
{
  auto found = m_records.find(aRun);
  if (found == m_records.end()) {
    return;
  }
  m_byRequest.erase(
    { found->second.m_dispatch.m_account, found->second.m_dispatch.m_key });
  m_records.erase(found);
}

void
WorkTable::Finish(WorkRecord& aRecord, Instant aNow)
{
  aRecord.m_state = WorkState::kFinished;
  aRecord.m_changedAt = aNow;
  aRecord.m_dispatch.m_body.clear();
  m_finishedBytes += BytesOf(aRecord);
  m_finished.emplace_back(aNow, aRecord.m_run);
}

std::vector<AccountId>
WorkTable::OpenAccounts(const HolderId& aHolder) const
{
  std::set<AccountId> accounts;
  for (const auto& [run, record] : m_records) {
    if (IsOpen(record) && record.m_dispatch.m_holder == aHolder) {
      accounts.insert(record.m_dispatch.m_account);
    }
  }
  return { accounts.begin(), accounts.end() };
}

std::size_t
WorkTable::OpenCount() const
{
  return std::count_if(m_records.begin(),
                       m_records.end(),
                       [](const auto& aItem) { return IsOpen(aItem.second); });
}

std::vector<RunId>
WorkTable::RunsReadBy(PeerId aPeer) const
{
  std::vector<RunId> runs;
  for (const auto& [run, record] : m_records) {
    const bool isReader = std::any_of(
      record.m_readers.begin(),
      record.m_readers.end(),
      [&](const Reader& aReader) { return aReader.m_peer == aPeer; });
    if (isReader) {
      runs.push_back(run);
    }
  }
  return runs;
}

void
WorkTable::EvictFinished(Instant aNow)
{
  while (!m_finished.empty()) {
    const auto [finishedAt, run] = m_finished.front();
    if (finishedAt + m_retention >= aNow && m_finishedBytes <= m_maxBytes) {
      return;
    }
    m_finished.pop_front();
    if (const WorkRecord* record = Find(run)) {
      m_finishedBytes -= std::min(m_finishedBytes, BytesOf(*record));
    }
    Remove(run);
  }
}

} // namespace bergamotpaddle
