#include "bergamotpaddle/Router/ClaimRegister.h"

#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// A decision in a slot; slots list the oldest first.
struct SlotEntry
{
  std::string m_name;
  KeyPlacement m_placement;
};

json
ToJson(const std::vector<SlotEntry>& aEntries)
{
  json slot = json::array();
  for (const SlotEntry& entry : aEntries) {
    slot.push_back({ { "name", entry.m_name },
                     { "fingerprint", entry.m_placement.m_fingerprint },
                     { "place", entry.m_placement.m_place.Str() },
                     { "generation", entry.m_placement.m_generation },
                     { "claimant", entry.m_placement.m_claimant },
                     { "may_have_run", entry.m_placement.m_mayHaveRun } });
  }
  return slot;
}

/// Throws json::exception if \p aText is not a valid slot.
std::vector<SlotEntry>
ParseSlot(const std::optional<std::string>& aText)
{
  std::vector<SlotEntry> entries;
  if (!aText.has_value()) {
    return entries;
  }
  for (const json& item : json::parse(*aText)) {
    entries.push_back({ item.at("name").get<std::string>(),
                        { item.at("fingerprint").get<std::string>(),
                          UpstreamId(item.at("place").get<std::string>()),
                          item.at("generation").get<std::uint64_t>(),
                          item.at("claimant").get<std::string>(),
                          item.at("may_have_run").get<bool>() } });
  }
  return entries;
}

/// Adds \p aProposal to the slot unless its key is decided for this generation
/// or a later one; sets \p aDecided to the placement in force.
TransformResult
ApplyProposal(const std::optional<std::string>& aPresent,
              const std::string& aName,
              KeyPlacement aProposal,
              std::size_t aMaxEntries,
              KeyPlacement& aDecided)
{
  std::vector<SlotEntry> entries;
  try {
    entries = ParseSlot(aPresent);
  } catch (const json::exception& error) {
    return TransformResult::Stop(absl::DataLossError(
      absl::StrCat("claim slot cannot be parsed: ", error.what())));
  }
  const auto found =
    std::find_if(entries.begin(), entries.end(), [&](const SlotEntry& aEntry) {
      return aEntry.m_name == aName;
    });
  if (found != entries.end()) {
    if (found->m_placement.m_generation >= aProposal.m_generation) {
      aDecided = found->m_placement;
      return TransformResult::Stop(absl::OkStatus());
    }
    aProposal.m_mayHaveRun |= found->m_placement.m_mayHaveRun;
    entries.erase(found);
  }
  entries.push_back({ aName, aProposal });
  if (entries.size() > aMaxEntries) {
    entries.erase(entries.begin());
  }
  aDecided = aProposal;
  return TransformResult::Write(ToJson(entries).dump());
}

} // namespace

ClaimRegister::ClaimRegister(ClaimRegisterOptions aOptions,
                             KeyValueHooks aKeyValue,
                             TimerHooks aTimers)
  : m_options(aOptions)
  , m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
{
}

void
ClaimRegister::Decide(const AccountId& aAccount,
                      const RequestKey& aKey,
                      KeyPlacement aProposal,
                      DecisionHook aDone)
{
  const std::string name = absl::StrCat(aAccount.Str(), "|", aKey.Str());
  const std::string slotKey =
    absl::StrCat("claims/", PlacementHash(name) % m_options.m_slots);
  auto decided = std::make_shared<KeyPlacement>();
  UpdateOptions options;
  options.m_maxUnavailableResults = m_options.m_maxUnavailableResults;
  Update(
    m_keyValue,
    m_timers,
    slotKey,
    [name,
     proposal = std::move(aProposal),
     maxEntries = m_options.m_maxEntries,
     decided](const std::optional<std::string>& aPresent) {
      return ApplyProposal(aPresent, name, proposal, maxEntries, *decided);
    },
    [alive = std::weak_ptr(m_alive), decided, done = std::move(aDone)](
      const absl::StatusOr<KeyValueEntry>& aEntry) {
      if (alive.expired()) {
        return;
      }
      if (!aEntry.ok()) {
        done(aEntry.status());
        return;
      }
      done(*decided);
    },
    options);
}

} // namespace bergamotpaddle
