/// \file
/// Readers of responses: attach, join, revoke and cancel.
#include "bergamotpaddle/Agent/AgentCore.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bergamotpaddle {

void
AgentCore::AttachToRecord(PeerId aPeer,
                          const Attach& aMessage,
                          WorkRecord& aRecord)
{
  RecordEvent(
    "attached", aRecord.m_dispatch, absl::StrCat("offset ", aMessage.m_offset));
  auto holder = m_holders.find(aPeer);
  const bool isSameDispatch =
    aRecord.m_dispatch.m_attempt == aMessage.m_attempt &&
    holder != m_holders.end() && holder->second == aRecord.m_dispatch.m_holder;
  m_hooks.m_send(aPeer,
                 Accepted{ aMessage.m_attempt, !isSameDispatch, Load() });
  AddReader(aRecord, { aPeer, aMessage.m_attempt }, aMessage.m_offset);
}

void
AgentCore::Revoke(PeerId aPeer, const Attach& aMessage)
{
  WorkRecord* record = m_work.Find(aMessage.m_account, aMessage.m_key);
  if (record == nullptr) {
    Dispatch revoked;
    revoked.m_account = aMessage.m_account;
    revoked.m_key = aMessage.m_key;
    record = &m_work.Add(revoked, WorkState::kRevoked, m_timers.m_now());
  }
  Dispatch& revoked = record->m_dispatch;
  revoked.m_generation = std::max(revoked.m_generation, aMessage.m_generation);
  RecordEvent("revoked", revoked);
  m_hooks.m_send(aPeer, Refused{ aMessage.m_attempt, ResultCode::kRevoked });
}

void
AgentCore::ExpireEarlyAttaches(const WorkTable::RequestIdentity& aIdentity)
{
  auto found = m_earlyAttaches.find(aIdentity);
  if (found == m_earlyAttaches.end()) {
    return;
  }
  const std::vector<std::pair<PeerId, Attach>> attaches =
    std::move(found->second);
  m_earlyAttaches.erase(found);
  for (const auto& [peer, attach] : attaches) {
    Revoke(peer, attach);
  }
}

void
AgentCore::ServeEarlyAttaches(const WorkTable::RequestIdentity& aIdentity)
{
  auto found = m_earlyAttaches.find(aIdentity);
  if (found == m_earlyAttaches.end()) {
    return;
  }
  const std::vector<std::pair<PeerId, Attach>> attaches =
    std::move(found->second);
  m_earlyAttaches.erase(found);
  for (const auto& [peer, attach] : attaches) {
    if (WorkRecord* record = m_work.Find(aIdentity.first, aIdentity.second)) {
      AttachToRecord(peer, attach, *record);
      continue;
    }
    Revoke(peer, attach);
  }
}

void
AgentCore::AddReader(WorkRecord& aRecord, Reader aReader, std::uint64_t aOffset)
{
  std::erase(aRecord.m_readers, aReader);
  if (aOffset < aRecord.m_response.size()) {
    m_hooks.m_send(aReader.m_peer,
                   ResponseData{ aReader.m_attempt,
                                 aOffset,
                                 aRecord.m_response.substr(aOffset),
                                 aRecord.TotalTokens(),
                                 Load() });
  }
  if (aRecord.m_state == WorkState::kFinished) {
    SendEnd(aRecord, aReader);
    return;
  }
  aRecord.m_readers.push_back(aReader);
}

void
AgentCore::SendEnd(const WorkRecord& aRecord, const Reader& aReader)
{
  ResponseEnd end = aRecord.m_end;
  end.m_attempt = aReader.m_attempt;
  end.m_load = Load();
  m_hooks.m_send(aReader.m_peer, end);
}

void
AgentCore::CancelIfUnread(WorkRecord& aRecord)
{
  // A caller that chose the key may retry and read the response; a
  // non-repeatable call must not be interrupted.
  if (!aRecord.m_readers.empty() || aRecord.m_dispatch.m_hasCallerKey ||
      !aRecord.m_dispatch.m_repeatable) {
    return;
  }
  RecordEvent("cancelled", aRecord.m_dispatch);
  if (aRecord.m_state == WorkState::kWaiting) {
    EndUnstarted(aRecord.m_run, ResultCode::kCancelled);
    return;
  }
  m_hooks.m_cancel(aRecord.m_run);
}

void
AgentCore::Join(PeerId aPeer, const Dispatch& aDispatch, WorkRecord& aRecord)
{
  if (aRecord.m_state == WorkState::kRevoked) {
    Refuse(aPeer, aDispatch, ResultCode::kRevoked);
    return;
  }
  if (aRecord.m_dispatch.m_fingerprint != aDispatch.m_fingerprint) {
    Refuse(aPeer, aDispatch, ResultCode::kKeyReused);
    return;
  }
  // The caller has received part of another run's response, which this run
  // cannot continue.
  if (!aDispatch.m_resumeText.empty()) {
    Refuse(aPeer, aDispatch, ResultCode::kRevoked);
    return;
  }
  RecordEvent("joined", aDispatch);
  m_hooks.m_send(aPeer, Accepted{ aDispatch.m_attempt, true, Load() });
  AddReader(aRecord, { aPeer, aDispatch.m_attempt }, 0);
}

} // namespace bergamotpaddle
