#include "bergamotpaddle/Budget/Recovery.h"

#include "bergamotpaddle/Budget/Closing.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kAskAgainInterval = std::chrono::seconds(1);

/// Adds an agent's unsettled charges to \p aLedger, each once.
void
MergeCharges(const SealReply& aReply, LedgerValue& aLedger)
{
  std::uint64_t& through = aLedger.m_through[aReply.m_agent];
  for (const Charge& charge : aReply.m_unsettled) {
    if (charge.m_sequence != through + 1) {
      continue;
    }
    through = charge.m_sequence;
    auto doubled =
      aLedger.m_doubled.find(DoubledName(charge.m_account, charge.m_key));
    const bool isBilled =
      doubled != aLedger.m_doubled.end() && doubled->second > 0;
    if (isBilled) {
      continue;
    }
    if (doubled != aLedger.m_doubled.end()) {
      doubled->second = charge.m_tokens;
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
  if (m_cases.contains(aHolder)) {
    return;
  }
  m_cases.emplace(aHolder, Case{});
  Seal(aHolder);
}

void
Recovery::Prioritize(const AccountId& aAccount)
{
  if (m_cases.empty()) {
    return;
  }
  m_hurried.insert(aAccount);
}

void
Recovery::UpdateLedger(const HolderId& aHolder,
                       std::function<TransformResult(LedgerValue)> aTransform,
                       std::function<void(Case&)> aThen)
{
  m_cases.at(aHolder).m_writing = true;
  UpdateOptions options;
  options.m_maxUnclear = 0;
  Update(
    m_keyValue,
    m_timers,
    LedgerKey(aHolder),
    [transform =
       std::move(aTransform)](const std::optional<std::string>& aPresent) {
      if (!aPresent.has_value()) {
        return TransformResult::Stop(
          absl::NotFoundError("the holder is closed"));
      }
      absl::StatusOr<LedgerValue> ledger = LedgerValue::FromJson(*aPresent);
      return ledger.ok() ? transform(*ledger)
                         : TransformResult::Stop(ledger.status());
    },
    [this, alive = std::weak_ptr(m_alive), aHolder, then = std::move(aThen)](
      const absl::StatusOr<KeyValueEntry>& aEntry) {
      if (alive.expired() || !m_cases.contains(aHolder)) {
        return;
      }
      if (!aEntry.ok()) {
        // Another recovery, or the holder itself, has finished the work.
        Finish(aHolder);
        return;
      }
      Case& recovered = m_cases.at(aHolder);
      recovered.m_writing = false;
      recovered.m_ledger = *LedgerValue::FromJson(aEntry->m_value);
      then(recovered);
    },
    options);
}

void
Recovery::Seal(const HolderId& aHolder)
{
  UpdateLedger(
    aHolder,
    [](LedgerValue aLedger) {
      if (aLedger.m_sealed) {
        return TransformResult::Stop(absl::OkStatus());
      }
      aLedger.m_sealed = true;
      return TransformResult::Write(aLedger.ToJson());
    },
    [this, aHolder](Case& aCase) {
      aCase.m_sealed = true;
      AskAgents(aHolder);
    });
}

void
Recovery::AskAgents(const HolderId& aHolder)
{
  if (!m_cases.contains(aHolder)) {
    return;
  }
  Case& recovered = m_cases.at(aHolder);
  for (const UpstreamId& upstream : m_hooks.m_upstreams()) {
    auto known = recovered.m_agents.find(upstream);
    const bool isDone =
      known != recovered.m_agents.end() && known->second.m_running.empty();
    if (!isDone) {
      m_hooks.m_send(upstream, SealRequest{ aHolder });
    }
  }
  CloseReady(aHolder);
  m_timers.m_after(kAskAgainInterval,
                   [this, alive = std::weak_ptr(m_alive), aHolder] {
                     if (!alive.expired()) {
                       AskAgents(aHolder);
                     }
                   });
}

void
Recovery::OnSealReply(const SealReply& aReply)
{
  auto found = m_cases.find(aReply.m_holder);
  if (found == m_cases.end() || !found->second.m_sealed) {
    return;
  }
  Case& recovered = found->second;
  AgentState state{ aReply.m_agent, aReply.m_lastSequence, {} };
  state.m_running.insert(aReply.m_running.begin(), aReply.m_running.end());
  recovered.m_agents[aReply.m_upstream] = std::move(state);
  if (!aReply.m_unsettled.empty()) {
    recovered.m_collected[aReply.m_upstream] = aReply;
  }
  Step(aReply.m_holder);
}

void
Recovery::Step(const HolderId& aHolder)
{
  Case& recovered = m_cases.at(aHolder);
  if (recovered.m_writing) {
    return;
  }
  const std::set<AccountId>& marked = recovered.m_ledger.m_closed;
  const bool allMarked = std::includes(marked.begin(),
                                       marked.end(),
                                       recovered.m_released.begin(),
                                       recovered.m_released.end());
  if (recovered.m_collected.empty() && allMarked) {
    CloseReady(aHolder);
    return;
  }
  std::map<UpstreamId, SealReply> collected;
  collected.swap(recovered.m_collected);
  UpdateLedger(
    aHolder,
    [collected, released = recovered.m_released](LedgerValue aLedger) {
      for (const auto& [upstream, reply] : collected) {
        MergeCharges(reply, aLedger);
      }
      aLedger.m_closed.insert(released.begin(), released.end());
      return TransformResult::Write(aLedger.ToJson());
    },
    [this, aHolder, collected](Case& aCase) {
      for (const auto& [upstream, reply] : collected) {
        m_hooks.m_send(upstream,
                       Settled{ aHolder,
                                reply.m_agent,
                                aCase.m_ledger.m_through[reply.m_agent] });
      }
      Step(aHolder);
    });
}

bool
Recovery::IsReady(const Case& aCase, const AccountId& aAccount) const
{
  const std::set<UpstreamId> upstreams = m_hooks.m_upstreams();
  return std::all_of(
    upstreams.begin(), upstreams.end(), [&](const UpstreamId& aUpstream) {
      auto agent = aCase.m_agents.find(aUpstream);
      if (agent == aCase.m_agents.end() ||
          agent->second.m_running.contains(aAccount)) {
        return false;
      }
      auto through = aCase.m_ledger.m_through.find(agent->second.m_agent);
      const std::uint64_t merged =
        through == aCase.m_ledger.m_through.end() ? 0 : through->second;
      return merged >= agent->second.m_lastSequence;
    });
}

void
Recovery::CloseReady(const HolderId& aHolder)
{
  Case& recovered = m_cases.at(aHolder);
  if (recovered.m_writing) {
    return;
  }
  std::vector<AccountId> ready;
  for (const auto& [account, charged] : recovered.m_ledger.m_charged) {
    const bool isTaken = recovered.m_ledger.m_closed.contains(account) ||
                         recovered.m_closing.contains(account);
    if (!isTaken && IsReady(recovered, account)) {
      ready.push_back(account);
    }
  }
  std::stable_partition(
    ready.begin(), ready.end(), [this](const AccountId& aAccount) {
      return m_hurried.contains(aAccount);
    });
  recovered.m_closing.insert(ready.begin(), ready.end());
  for (const AccountId& account : ready) {
    Close(aHolder, account);
  }
  const bool isOver =
    std::all_of(recovered.m_ledger.m_charged.begin(),
                recovered.m_ledger.m_charged.end(),
                [&](const auto& aItem) {
                  return recovered.m_ledger.m_closed.contains(aItem.first);
                });
  if (ready.empty() && isOver) {
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
  Case& recovered = m_cases.at(aHolder);
  CloseAccount(m_keyValue,
               m_timers,
               { aAccount,
                 aHolder,
                 recovered.m_ledger.m_charged.at(aAccount),
                 m_hooks.m_initialBudget(aAccount) },
               [this, alive = std::weak_ptr(m_alive), aHolder, aAccount](
                 const absl::Status& aStatus) {
                 if (alive.expired() || !m_cases.contains(aHolder)) {
                   return;
                 }
                 if (!aStatus.ok()) {
                   return;
                 }
                 m_cases.at(aHolder).m_released.insert(aAccount);
                 m_hooks.m_released(aHolder, aAccount);
                 Step(aHolder);
               });
}

void
Recovery::Finish(const HolderId& aHolder)
{
  if (m_cases.erase(aHolder) == 0) {
    return;
  }
  if (m_cases.empty()) {
    m_hurried.clear();
  }
  m_hooks.m_recovered(aHolder);
}

} // namespace bergamotpaddle
