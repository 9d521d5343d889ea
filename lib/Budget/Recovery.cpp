#include "bergamotpaddle/Budget/Recovery.h"

#include "bergamotpaddle/Budget/Closing.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kSealRequestInterval = std::chrono::seconds(1);

/// Adds an agent's unsettled charges to \p aLedger, each exactly once.
void
MergeCharges(const SealReply& aReply, LedgerValue& aLedger)
{
  std::uint64_t& settledThrough = aLedger.m_settledThrough[aReply.m_agent];
  for (const Charge& charge : aReply.m_unsettled) {
    if (charge.m_sequence != settledThrough + 1) {
      continue;
    }
    settledThrough = charge.m_sequence;
    auto duplicate =
      aLedger.m_duplicates.find(DuplicateName(charge.m_account, charge.m_key));
    const bool isBilled =
      duplicate != aLedger.m_duplicates.end() && duplicate->second > 0;
    if (isBilled) {
      continue;
    }
    if (duplicate != aLedger.m_duplicates.end()) {
      duplicate->second = charge.m_tokens;
    }
    aLedger.m_charged[charge.m_account] += charge.m_tokens;
  }
}

} // namespace

Recovery::Recovery(KeyValueHooks aKeyValue,
                   TimerHooks aTimers,
                   RecoveryHooks aHooks)
  : m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
{
}

void
Recovery::Recover(const HolderId& aHolder)
{
  if (m_recoveries.contains(aHolder)) {
    return;
  }
  m_recoveries.emplace(aHolder, HolderRecovery{});
  Seal(aHolder);
}

void
Recovery::Prioritize(const AccountId& aAccount)
{
  if (m_recoveries.empty()) {
    return;
  }
  m_prioritized.insert(aAccount);
}

void
Recovery::UpdateLedger(const HolderId& aHolder,
                       std::function<TransformResult(LedgerValue)> aTransform,
                       std::function<void(HolderRecovery&)> aOnWritten)
{
  m_recoveries.at(aHolder).m_isWriting = true;
  UpdateOptions options;
  options.m_maxUnavailableResults = 0; // No limit.
  Update(
    m_keyValue,
    m_timers,
    LedgerKey(aHolder),
    [transform =
       std::move(aTransform)](const std::optional<std::string>& aPresent) {
      if (!aPresent.has_value()) {
        return TransformResult::Stop(
          absl::NotFoundError("the holder's ledger does not exist"));
      }
      absl::StatusOr<LedgerValue> ledger = LedgerValue::FromJson(*aPresent);
      return ledger.ok() ? transform(*ledger)
                         : TransformResult::Stop(ledger.status());
    },
    [this,
     alive = std::weak_ptr(m_alive),
     aHolder,
     onWritten =
       std::move(aOnWritten)](const absl::StatusOr<KeyValueEntry>& aEntry) {
      if (alive.expired() || !m_recoveries.contains(aHolder)) {
        return;
      }
      if (!aEntry.ok()) {
        // Another recovery, or the holder itself, has already finished.
        Finish(aHolder);
        return;
      }
      HolderRecovery& recovery = m_recoveries.at(aHolder);
      recovery.m_isWriting = false;
      recovery.m_ledger = *LedgerValue::FromJson(aEntry->m_value);
      onWritten(recovery);
    },
    options);
}

void
Recovery::Seal(const HolderId& aHolder)
{
  UpdateLedger(
    aHolder,
    [](LedgerValue aLedger) {
      if (aLedger.m_isSealed) {
        return TransformResult::Stop(absl::OkStatus());
      }
      aLedger.m_isSealed = true;
      return TransformResult::Write(aLedger.ToJson());
    },
    [this, aHolder](HolderRecovery& aRecovery) {
      aRecovery.m_isSealed = true;
      SendSealRequests(aHolder);
    });
}

void
Recovery::SendSealRequests(const HolderId& aHolder)
{
  if (!m_recoveries.contains(aHolder)) {
    return;
  }
  HolderRecovery& recovery = m_recoveries.at(aHolder);
  for (const UpstreamId& upstream : m_hooks.m_upstreams()) {
    auto agent = recovery.m_agents.find(upstream);
    const bool isDone =
      agent != recovery.m_agents.end() && agent->second.m_running.empty();
    if (!isDone) {
      m_hooks.m_send(upstream, SealRequest{ aHolder });
    }
  }
  CloseReadyAccounts(aHolder);
  m_timers.m_after(kSealRequestInterval,
                   [this, alive = std::weak_ptr(m_alive), aHolder] {
                     if (!alive.expired()) {
                       SendSealRequests(aHolder);
                     }
                   });
}

void
Recovery::OnSealReply(const SealReply& aReply)
{
  auto found = m_recoveries.find(aReply.m_holder);
  if (found == m_recoveries.end() || !found->second.m_isSealed) {
    return;
  }
  HolderRecovery& recovery = found->second;
  AgentState state{ aReply.m_agent, aReply.m_lastSequence, {} };
  state.m_running.insert(aReply.m_running.begin(), aReply.m_running.end());
  recovery.m_agents[aReply.m_upstream] = std::move(state);
  if (!aReply.m_unsettled.empty()) {
    recovery.m_collected[aReply.m_upstream] = aReply;
  }
  PersistProgress(aReply.m_holder);
}

void
Recovery::PersistProgress(const HolderId& aHolder)
{
  HolderRecovery& recovery = m_recoveries.at(aHolder);
  if (recovery.m_isWriting) {
    return;
  }
  const std::set<AccountId>& recorded = recovery.m_ledger.m_closed;
  const bool areAllRecorded = std::includes(recorded.begin(),
                                            recorded.end(),
                                            recovery.m_released.begin(),
                                            recovery.m_released.end());
  if (recovery.m_collected.empty() && areAllRecorded) {
    CloseReadyAccounts(aHolder);
    return;
  }
  std::map<UpstreamId, SealReply> collected;
  collected.swap(recovery.m_collected);
  UpdateLedger(
    aHolder,
    [collected, released = recovery.m_released](LedgerValue aLedger) {
      for (const auto& [upstream, reply] : collected) {
        MergeCharges(reply, aLedger);
      }
      aLedger.m_closed.insert(released.begin(), released.end());
      return TransformResult::Write(aLedger.ToJson());
    },
    [this, aHolder, collected](HolderRecovery& aRecovery) {
      for (const auto& [upstream, reply] : collected) {
        m_hooks.m_send(
          upstream,
          Settled{ aHolder,
                   reply.m_agent,
                   aRecovery.m_ledger.m_settledThrough[reply.m_agent] });
      }
      PersistProgress(aHolder);
    });
}

bool
Recovery::IsReady(const HolderRecovery& aRecovery,
                  const AccountId& aAccount) const
{
  const std::set<UpstreamId> upstreams = m_hooks.m_upstreams();
  return std::all_of(
    upstreams.begin(), upstreams.end(), [&](const UpstreamId& aUpstream) {
      auto agent = aRecovery.m_agents.find(aUpstream);
      if (agent == aRecovery.m_agents.end() ||
          agent->second.m_running.contains(aAccount)) {
        return false;
      }
      auto settledThrough =
        aRecovery.m_ledger.m_settledThrough.find(agent->second.m_agent);
      const std::uint64_t merged =
        settledThrough == aRecovery.m_ledger.m_settledThrough.end()
          ? 0
          : settledThrough->second;
      return merged >= agent->second.m_lastSequence;
    });
}

void
Recovery::CloseReadyAccounts(const HolderId& aHolder)
{
  HolderRecovery& recovery = m_recoveries.at(aHolder);
  if (recovery.m_isWriting) {
    return;
  }
  std::vector<AccountId> ready;
  for (const auto& [account, charged] : recovery.m_ledger.m_charged) {
    const bool isClosingOrClosed =
      recovery.m_ledger.m_closed.contains(account) ||
      recovery.m_closing.contains(account);
    if (!isClosingOrClosed && IsReady(recovery, account)) {
      ready.push_back(account);
    }
  }
  std::stable_partition(
    ready.begin(), ready.end(), [this](const AccountId& aAccount) {
      return m_prioritized.contains(aAccount);
    });
  recovery.m_closing.insert(ready.begin(), ready.end());
  for (const AccountId& account : ready) {
    Close(aHolder, account);
  }
  const bool areAllClosed =
    std::all_of(recovery.m_ledger.m_charged.begin(),
                recovery.m_ledger.m_charged.end(),
                [&](const auto& aItem) {
                  return recovery.m_ledger.m_closed.contains(aItem.first);
                });
  if (ready.empty() && areAllClosed) {
    RemoveLedger(
      m_keyValue,
      m_timers,
      aHolder,
      [this, alive = std::weak_ptr(m_alive), aHolder](const absl::Status&) {
        if (!alive.expired()) {
          Finish(aHolder);
        }
      });
  }
}

void
Recovery::Close(const HolderId& aHolder, const AccountId& aAccount)
{
  HolderRecovery& recovery = m_recoveries.at(aHolder);
  CloseAccount(m_keyValue,
               m_timers,
               { aAccount,
                 aHolder,
                 recovery.m_ledger.m_charged.at(aAccount),
                 m_hooks.m_initialBudget(aAccount) },
               [this, alive = std::weak_ptr(m_alive), aHolder, aAccount](
                 const absl::Status& aStatus) {
                 if (alive.expired() || !m_recoveries.contains(aHolder)) {
                   return;
                 }
                 if (!aStatus.ok()) {
                   return;
                 }
                 m_recoveries.at(aHolder).m_released.insert(aAccount);
                 m_hooks.m_released(aHolder, aAccount);
                 PersistProgress(aHolder);
               });
}

void
Recovery::Finish(const HolderId& aHolder)
{
  if (m_recoveries.erase(aHolder) == 0) {
    return;
  }
  if (m_recoveries.empty()) {
    m_prioritized.clear();
  }
  m_hooks.m_recovered(aHolder);
}

} // namespace bergamotpaddle
