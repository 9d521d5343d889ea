/// \file
/// Tells which holders live: each router keeps `member/<holder>` in existence
/// by a lease, and looks for ledgers whose holder has none.
///
/// A lease that lapsed proves nothing; it only starts a recovery, and a
/// recovery is safe against a holder that lives (it is fenced by the sealing).
#pragma once

#include "bergamotpaddle/Platform/KeyValue.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <set>

namespace bergamotpaddle {

/// Paces of the watch.
struct HolderWatchOptions
{
  Duration m_renewInterval = std::chrono::seconds(2);
  Duration m_timeToLive = std::chrono::seconds(8);
  Duration m_scanInterval = std::chrono::seconds(5);
  int m_missesBeforeRecovery =
    2; ///< Scans in a row, so that a long outage of the service seals nobody.
};

/// What the watch asks of its router.
struct HolderWatchHooks
{
  std::function<HolderId()> m_self;
  std::function<std::string()> m_selfValue; ///< Kept under the member key.
  std::function<void(const HolderId&)> m_recover;
};

/// Renews this router's membership and scans for the dead.
class HolderWatch
{
public:
  HolderWatch(HolderWatchOptions aOptions,
              KeyValueHooks aKeyValue,
              TimerHooks aTimers,
              HolderWatchHooks aHooks);

  void Start();
  /// Ends the renewals; the lease lapses by itself.
  void Stop() { m_stopped = true; }

private:
  void Renew();
  void Scan();
  void Judge(const std::set<std::string>& aLedgers,
             const std::set<std::string>& aMembers);

  HolderWatchOptions m_options;
  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  HolderWatchHooks m_hooks;
  std::map<std::string, int> m_misses;
  bool m_stopped = false;
};

} // namespace bergamotpaddle
