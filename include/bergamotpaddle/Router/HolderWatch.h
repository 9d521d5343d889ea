/// \file
/// Detects failed holders: each router renews the lease of `member/<holder>`
/// and scans for ledgers whose holder has no such key.
///
/// An expired lease does not prove a failure; it only starts a recovery, which
/// is safe if the holder is alive, because sealing the ledger fences it.
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <set>

namespace bergamotpaddle {

/// Intervals of the watch.
struct HolderWatchOptions
{
  Duration m_renewInterval = std::chrono::seconds(2);
  Duration m_timeToLive = std::chrono::seconds(8);
  Duration m_scanInterval = std::chrono::seconds(5);
  /// Consecutive scans without the member key. More than one, so that a long
  /// outage of the key-value service does not get live holders sealed.
  int m_missedScansBeforeRecovery = 2;
};

/// Callbacks of a holder watch, implemented by its router.
struct HolderWatchHooks
{
  std::function<HolderId()> m_holder;
  std::function<std::string()> m_memberValue; ///< Value of the member key.
  std::function<void(const HolderId&)> m_recover;
};

/// Renews this router's membership and starts recoveries of failed holders.
class HolderWatch
{
public:
  HolderWatch(HolderWatchOptions aOptions,
              KeyValueHooks aKeyValue,
              TimerHooks aTimers,
              HolderWatchHooks aHooks);

  void Start();
  /// Stops renewals and scans; the lease then expires.
  void Stop() { m_isStopped = true; }

private:
  void Renew();
  void Scan();
  void ProcessScan(const std::set<std::string>& aLedgers,
                   const std::set<std::string>& aMembers);

  HolderWatchOptions m_options;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  HolderWatchHooks m_hooks;
  std::map<std::string, int> m_missedScans;
  bool m_isStopped = false;
};

} // namespace bergamotpaddle
