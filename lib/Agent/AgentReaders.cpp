// Who reads an answer: attaching, joining and leaving.
#include "bergamotpaddle/Agent/AgentCore.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bergamotpaddle {

void
AgentCore::AttachKnown(PeerId aPeer,
                       const Attach& aMessage,
                       WorkRecord& aRecord)
{
  Note(
    "attached", aRecord.m_dispatch, absl::StrCat("offset ", aMessage.m_offset));
  auto holder = m_holders.find(aPeer);
  const bool isOwn = aRecord.m_dispatch.m_attempt == aMessage.m_attempt &&
                     holder != m_holders.end() &&
                     holder->second == aRecord.m_dispatch.m_holder;
  m_hooks.m_send(aPeer, Accepted{ aMessage.m_attempt, !isOwn, Load() });
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
  Note("revoked", revoked);
  m_hooks.m_send(aPeer, Refused{ aMessage.m_attempt, ResultCode::kRevoked });
}

void
AgentCore::EarlyOver(const WorkTable::Name& aName)
{
  auto found = m_early.find(aName);
  if (found == m_early.end()) {
    return;
  }
  const std::vector<std::pair<PeerId, Attach>> early = std::move(found->second);
  m_early.erase(found);
  for (const auto& [peer, attach] : early) {
    Revoke(peer, attach);
  }
}

void
AgentCore::AttachEarly(const WorkTable::Name& aName)
{
  auto found = m_early.find(aName);
  if (found == m_early.end()) {
    return;
  }
  const std::vector<std::pair<PeerId, Attach>> early = std::move(found->second);
  m_early.erase(found);
  for (const auto& [peer, attach] : early) {
    if (WorkRecord* record = m_work.Find(aName.first, aName.second)) {
      AttachKnown(peer, attach, *record);
      continue;
    }
    Revoke(peer, attach);
  }
}

void
AgentCore::AddReader(WorkRecord& aRecord, Reader aReader, std::uint64_t aOffset)
{
  std::erase(aRecord.m_readers, aReader);
  if (aOffset < aRecord.m_answer.size()) {
    m_hooks.m_send(aReader.m_peer,
                   AnswerData{ aReader.m_attempt,
                               aOffset,
                               aRecord.m_answer.substr(aOffset),
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
  AnswerEnd end = aRecord.m_end;
  end.m_attempt = aReader.m_attempt;
  end.m_load = Load();
  m_hooks.m_send(aReader.m_peer, end);
}

void
AgentCore::CancelIfUnread(WorkRecord& aRecord)
{
  // With a key the caller may ask again, and a call that may not repeat must
  // not be cut short.
  if (!aRecord.m_readers.empty() || aRecord.m_dispatch.m_keyed ||
      !aRecord.m_dispatch.m_repeatable) {
    return;
  }
  Note("cancelled", aRecord.m_dispatch);
  if (aRecord.m_state == WorkState::kWaiting) {
    GiveBack(aRecord.m_run, ResultCode::kCancelled);
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
  // The caller holds the beginning of another run's answer: this one cannot
  // continue it.
  if (!aDispatch.m_resumeText.empty()) {
    Refuse(aPeer, aDispatch, ResultCode::kRevoked);
    return;
  }
  Note("joined", aDispatch);
  m_hooks.m_send(aPeer, Accepted{ aDispatch.m_attempt, true, Load() });
  AddReader(aRecord, { aPeer, aDispatch.m_attempt }, 0);
}

} // namespace bergamotpaddle
