#include "bergamotpaddle/Router/HolderWatch.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr const char* kLedgerPrefix = "ledger/";
constexpr const char* kMemberPrefix = "member/";

std::set<std::string>
NamesBelow(const std::map<std::string, KeyValueEntry>& aEntries,
           const std::string& aPrefix)
{
  std::set<std::string> names;
  for (const auto& [key, entry] : aEntries) {
    names.insert(key.substr(aPrefix.size()));
  }
  return names;
}

/// The member that recovers a holder, so that not everybody does.
std::string
ElectedFor(const std::string& aHolder, const std::set<std::string>& aMembers)
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
  if (m_stopped) {
    return;
  }
  m_keyValue.m_keepAlive(kMemberPrefix + m_hooks.m_self().Str(),
                         m_hooks.m_selfValue(),
                         m_options.m_timeToLive,
                         [](const absl::StatusOr<std::uint64_t>&) {});
  m_timers.m_after(m_options.m_renewInterval, [this] { Renew(); });
}

void
HolderWatch::Scan()
{
  if (m_stopped) {
    return;
  }
  m_timers.m_after(m_options.m_scanInterval, [this] { Scan(); });
  m_keyValue.m_list(
    kLedgerPrefix,
    [this](
      const absl::StatusOr<std::map<std::string, KeyValueEntry>>& aLedgers) {
      if (!aLedgers.ok() || m_stopped) {
        m_misses.clear();
        return;
      }
      const std::set<std::string> ledgers =
        NamesBelow(*aLedgers, kLedgerPrefix);
      m_keyValue.m_list(
        kMemberPrefix,
        [this,
         ledgers](const absl::StatusOr<std::map<std::string, KeyValueEntry>>&
                    aMembers) {
          if (!aMembers.ok() || m_stopped) {
            m_misses.clear();
            return;
          }
          Judge(ledgers, NamesBelow(*aMembers, kMemberPrefix));
        });
    });
}

void
HolderWatch::Judge(const std::set<std::string>& aLedgers,
                   const std::set<std::string>& aMembers)
{
  const std::string self = m_hooks.m_self().Str();
  if (!aMembers.contains(self)) {
    // Our own renewal has not got through: we are no judge of others.
    m_misses.clear();
    return;
  }
  std::map<std::string, int> misses;
  for (const std::string& holder : aLedgers) {
    if (!aMembers.contains(holder)) {
      misses[holder] = m_misses[holder] + 1;
    }
  }
  m_misses.swap(misses);
  for (const auto& [holder, count] : m_misses) {
    if (count >= m_options.m_missesBeforeRecovery &&
        ElectedFor(holder, aMembers) == self) {
      m_hooks.m_recover(HolderId(holder));
    }
  }
}

} // namespace bergamotpaddle
