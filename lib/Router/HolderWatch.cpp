#include "bergamotpaddle/Router/HolderWatch.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr const char* kLedgerPrefix = "ledger/";
constexpr const char* kMemberPrefix = "member/";

std::set<std::string>
NamesUnder(const std::map<std::string, KeyValueEntry>& aEntries,
           const std::string& aPrefix)
{
  std::set<std::string> names;
  for (const auto& [key, entry] : aEntries) {
    names.insert(key.substr(aPrefix.size()));
  }
  return names;
}

/// Returns the member that is to recover a holder, so that not every router
/// does.
std::string
ElectRecoverer(const std::string& aHolder,
               const std::set<std::string>& aMembers)
{
  return *std::max_element(
    aMembers.begin(),
    aMembers.end(),
    [&](const std::string& aLeft, const std::string& aRight) {
      return RendezvousWeight(aHolder, aLeft) <
             RendezvousWeight(aHolder, aRight);
    });
}

} // namespace

HolderWatch::HolderWatch(HolderWatchOptions aOptions,
                         KeyValueHooks aKeyValue,
                         TimerHooks aTimers,
                         HolderWatchHooks aHooks)
  : m_options(aOptions)
  , m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
{
}

void
HolderWatch::Start()
{
  Renew();
  m_timers.m_after(m_options.m_scanInterval, [this] { Scan(); });
}

void
HolderWatch::Renew()
{
  if (m_isStopped) {
    return;
  }
  m_keyValue.m_keepAlive(kMemberPrefix + m_hooks.m_holder().Str(),
                         m_hooks.m_memberValue(),
                         m_options.m_timeToLive,
                         [](const absl::StatusOr<std::uint64_t>&) {});
  m_timers.m_after(m_options.m_renewInterval, [this] { Renew(); });
}

void
HolderWatch::Scan()
{
  if (m_isStopped) {
    return;
  }
  m_timers.m_after(m_options.m_scanInterval, [this] { Scan(); });
  m_keyValue.m_list(
    kLedgerPrefix,
    [this](
      const absl::StatusOr<std::map<std::string, KeyValueEntry>>& aLedgers) {
      if (!aLedgers.ok() || m_isStopped) {
        m_missedScans.clear();
        return;
      }
      const std::set<std::string> ledgers =
        NamesUnder(*aLedgers, kLedgerPrefix);
      m_keyValue.m_list(
        kMemberPrefix,
        [this,
         ledgers](const absl::StatusOr<std::map<std::string, KeyValueEntry>>&
                    aMembers) {
          if (!aMembers.ok() || m_isStopped) {
            m_missedScans.clear();
            return;
          }
          ProcessScan(ledgers, NamesUnder(*aMembers, kMemberPrefix));
        });
    });
}

void
HolderWatch::ProcessScan(const std::set<std::string>& aLedgers,
                         const std::set<std::string>& aMembers)
{
  const std::string self = m_hooks.m_holder().Str();
  if (!aMembers.contains(self)) {
    // This router's own renewal has not succeeded, so it must not draw
    // conclusions from missing members.
    m_missedScans.clear();
    return;
  }
  std::map<std::string, int> missedScans;
  for (const std::string& holder : aLedgers) {
    if (!aMembers.contains(holder)) {
      missedScans[holder] = m_missedScans[holder] + 1;
    }
  }
  m_missedScans.swap(missedScans);
  for (const auto& [holder, count] : m_missedScans) {
    if (count >= m_options.m_missedScansBeforeRecovery &&
        ElectRecoverer(holder, aMembers) == self) {
      m_hooks.m_recover(HolderId(holder));
    }
  }
}

} // namespace bergamotpaddle
