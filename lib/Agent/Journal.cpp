#include "bergamotpaddle/Agent/Journal.h"

#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// Consecutive writes with unknown outcome before an update gives up.
constexpr int kMaxUnknownWritesOfOutcomes = 0; // 0: no limit.
constexpr int kMaxUnknownWritesOfStarts = 2;
constexpr Duration kRetryInterval = std::chrono::seconds(1);

json
ToJson(const JournalEntry& aEntry)
{
  json value = { { "starter", aEntry.m_starter },
                 { "fingerprint", aEntry.m_fingerprint },
                 { "started_at_ms", aEntry.m_startedAtMs } };
  if (aEntry.m_hasOutcome) {
    value["status"] = aEntry.m_httpStatus;
    value["content_type"] = aEntry.m_contentType;
    value["body"] = aEntry.m_body;
  }
  return value;
}

JournalEntry
FromJson(const json& aValue)
{
  JournalEntry entry;
  entry.m_starter = aValue.at("starter").get<std::string>();
  entry.m_fingerprint = aValue.at("fingerprint").get<std::string>();
  entry.m_startedAtMs = aValue.at("started_at_ms").get<std::uint64_t>();
  entry.m_hasOutcome = aValue.contains("status");
  if (entry.m_hasOutcome) {
    entry.m_httpStatus = aValue.at("status").get<int>();
    entry.m_contentType = aValue.at("content_type").get<std::string>();
    entry.m_body = aValue.at("body").get<std::string>();
  }
  return entry;
}

std::string
CallName(const AccountId& aAccount, const RequestKey& aKey)
{
  return aAccount.Str() + "|" + aKey.Str();
}

} // namespace

Journal::Journal(JournalOptions aOptions,
                 AgentId aAgent,
                 KeyValueHooks aKeyValue,
                 TimerHooks aTimers,
                 WallClock aWallClock)
  : m_options(aOptions)
  , m_agent(std::move(aAgent))
  , m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
  , m_wallClock(std::move(aWallClock))
{
}

std::string
Journal::SlotKey(const std::string& aService, const std::string& aName) const
{
  return absl::StrCat(
    "journal/", aService, "/", PlacementHash(aName) % m_options.m_slots);
}

void
Journal::Start(const std::string& aService,
               const AccountId& aAccount,
               const RequestKey& aKey,
               const std::string& aFingerprint,
               StartHook aDone)
{
  const std::string name = CallName(aAccount, aKey);
  const std::string slotKey = SlotKey(aService, name);
  m_slots[slotKey].m_starts.push_back({ name, aFingerprint, std::move(aDone) });
  WriteSlot(slotKey);
}

void
Journal::Finish(const std::string& aService,
                const AccountId& aAccount,
                const RequestKey& aKey,
                JournalEntry aOutcome)
{
  if (aOutcome.m_body.size() > m_options.m_maxBodyBytes) {
    aOutcome.m_body =
      R"({"note":"the call ran; its answer was too long to keep"})";
    aOutcome.m_contentType = "application/json";
  }
  aOutcome.m_hasOutcome = true;
  const std::string name = CallName(aAccount, aKey);
  const std::string slotKey = SlotKey(aService, name);
  m_slots[slotKey].m_outcomes[name] = std::move(aOutcome);
  WriteSlot(slotKey);
}

void
Journal::Withdraw(const std::string& aService,
                  const AccountId& aAccount,
                  const RequestKey& aKey)
{
  JournalEntry withdrawn;
  withdrawn.m_isWithdrawn = true;
  const std::string name = CallName(aAccount, aKey);
  const std::string slotKey = SlotKey(aService, name);
  m_slots[slotKey].m_outcomes[name] = std::move(withdrawn);
  WriteSlot(slotKey);
}

std::size_t
Journal::PendingOutcomes() const
{
  std::size_t count = 0;
  for (const auto& [key, slot] : m_slots) {
    count += slot.m_outcomes.size();
  }
  return count;
}

void
Journal::WriteSlot(const std::string& aSlotKey)
{
  Slot& slot = m_slots[aSlotKey];
  if (slot.m_isBusy || (slot.m_starts.empty() && slot.m_outcomes.empty())) {
    return;
  }
  slot.m_isBusy = true;
  auto starts = std::make_shared<std::vector<PendingStart>>();
  starts->swap(slot.m_starts);
  auto outcomes =
    std::make_shared<std::map<std::string, JournalEntry>>(slot.m_outcomes);
  auto verdicts = std::make_shared<Verdicts>();
  UpdateOptions options;
  options.m_maxUnavailableResults =
    starts->empty() ? kMaxUnknownWritesOfOutcomes : kMaxUnknownWritesOfStarts;
  Update(
    m_keyValue,
    m_timers,
    aSlotKey,
    [this, alive = std::weak_ptr(m_alive), starts, outcomes, verdicts](
      const std::optional<std::string>& aPresent) {
      if (alive.expired()) {
        return TransformResult::Stop(
          absl::CancelledError("the agent is stopping"));
      }
      return ApplyPending(aPresent, *starts, *outcomes, *verdicts);
    },
    [this,
     alive = std::weak_ptr(m_alive),
     aSlotKey,
     starts,
     outcomes,
     verdicts](const absl::StatusOr<KeyValueEntry>& aEntry) {
      if (!alive.expired()) {
        OnSlotWritten(
          aSlotKey, std::move(*starts), *outcomes, *verdicts, aEntry.status());
      }
    },
    options);
}

TransformResult
Journal::ApplyPending(const std::optional<std::string>& aPresent,
                      const std::vector<PendingStart>& aStarts,
                      const std::map<std::string, JournalEntry>& aOutcomes,
                      Verdicts& aVerdicts)
{
  Entries entries;
  if (aPresent.has_value()) {
    const json value = json::parse(*aPresent, nullptr, false);
    if (value.is_discarded()) {
      return TransformResult::Stop(
        absl::DataLossError("cannot parse the journal value"));
    }
    for (const auto& [name, entry] : value.items()) {
      entries.emplace(name, FromJson(entry));
    }
  }
  Prune(entries);
  for (const auto& [name, outcome] : aOutcomes) {
    auto found = entries.find(name);
    if (found == entries.end()) {
      continue;
    }
    if (outcome.m_isWithdrawn) {
      entries.erase(found);
      continue;
    }
    const JournalEntry start = found->second;
    found->second = outcome;
    found->second.m_starter = start.m_starter;
    found->second.m_fingerprint = start.m_fingerprint;
    found->second.m_startedAtMs = start.m_startedAtMs;
  }
  aVerdicts.clear();
  for (const PendingStart& start : aStarts) {
    aVerdicts.push_back(TryStart(entries, start));
  }
  json value = json::object();
  for (const auto& [name, entry] : entries) {
    value[name] = ToJson(entry);
  }
  return TransformResult::Write(value.dump());
}

std::pair<JournalVerdict, JournalEntry>
Journal::TryStart(Entries& aEntries, const PendingStart& aStart)
{
  auto found = aEntries.find(aStart.m_name);
  if (found == aEntries.end()) {
    if (aEntries.size() >= m_options.m_maxEntries) {
      return { JournalVerdict::kFull, {} };
    }
    JournalEntry entry;
    entry.m_starter = m_agent.Str();
    entry.m_fingerprint = aStart.m_fingerprint;
    entry.m_startedAtMs = m_wallClock();
    aEntries.emplace(aStart.m_name, entry);
    return { JournalVerdict::kStart, entry };
  }
  const JournalEntry& entry = found->second;
  if (entry.m_fingerprint != aStart.m_fingerprint) {
    return { JournalVerdict::kMismatch, entry };
  }
  if (entry.m_hasOutcome) {
    return { JournalVerdict::kDone, entry };
  }
  // An entry of this incarnation for a call that it has not started is a start
  // whose write response was lost: no other agent may run the call, and this
  // incarnation has not run it.
  const bool isOwnStart =
    entry.m_starter == m_agent.Str() && !m_startedCalls.contains(aStart.m_name);
  return { isOwnStart ? JournalVerdict::kStart : JournalVerdict::kUnknown,
           entry };
}

void
Journal::Prune(Entries& aEntries) const
{
  const std::uint64_t now = m_wallClock();
  const auto retention = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(m_options.m_retention)
      .count());
  std::erase_if(aEntries, [&](const auto& aItem) {
    return aItem.second.m_startedAtMs + retention < now;
  });
}

void
Journal::OnSlotWritten(const std::string& aSlotKey,
                       std::vector<PendingStart> aStarts,
                       const std::map<std::string, JournalEntry>& aOutcomes,
                       const Verdicts& aVerdicts,
                       const absl::Status& aStatus)
{
  Slot& slot = m_slots[aSlotKey];
  slot.m_isBusy = false;
  if (aStatus.ok()) {
    for (const auto& [name, outcome] : aOutcomes) {
      slot.m_outcomes.erase(name);
      m_startedCalls.erase(name);
    }
  }
  for (std::size_t i = 0; i < aStarts.size(); ++i) {
    if (!aStatus.ok()) {
      aStarts[i].m_done(JournalVerdict::kUnavailable, {});
      continue;
    }
    auto [verdict, entry] = aVerdicts[i];
    if (verdict == JournalVerdict::kStart &&
        !m_startedCalls.insert(aStarts[i].m_name).second) {
      verdict = JournalVerdict::kUnknown; // Same key twice in one write.
    }
    aStarts[i].m_done(verdict, entry);
  }
  if (aStatus.ok()) {
    WriteSlot(aSlotKey);
    return;
  }
  m_timers.m_after(kRetryInterval,
                   [this, alive = std::weak_ptr(m_alive), aSlotKey] {
                     if (!alive.expired()) {
                       WriteSlot(aSlotKey);
                     }
                   });
}

} // namespace bergamotpaddle
