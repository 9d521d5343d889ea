/// \file
/// Decides when a router repeats a call to the platform's store for changes
/// after one that failed.
///
/// Load pattern: the store is unavailable for seconds. Soon no reader has a
/// current replica, so every router reads from the store itself, and the calls
/// that fail grow with the fleet, as do those that the store receives in the
/// moment in which it recovers.
#pragma once

#include "bergamotpaddle/Support/Time.h"

namespace bergamotpaddle {

/// Delays between calls that fail.
struct WatchBackoffOptions
{
  /// After the first failure of a reader; doubled with each further one.
  Duration m_initialReaderDelay = std::chrono::milliseconds(100);
  /// Upper bound for readers: they notice that the store is back for all.
  Duration m_maxReaderDelay = std::chrono::milliseconds(400);
  /// The same two delays for other routers, which learn from readers that the
  /// store is back. Their own calls are for the case that they alone reach it:
  /// then changes have to be in force after 3 s of contact and 2 s more.
  Duration m_initialFollowerDelay = std::chrono::milliseconds(400);
  Duration m_maxFollowerDelay = std::chrono::milliseconds(1600);
};

/// The delays of one series of calls. Performs no I/O.
class WatchBackoff
{
public:
  explicit WatchBackoff(WatchBackoffOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// Records a failure and returns the delay before the next call. \p aIsReader
  /// tells whether other routers rely on this one to read from the store.
  Duration NextDelay(bool aIsReader);
  /// Records a success.
  void Reset() { m_failures = 0; }

private:
  WatchBackoffOptions m_options;
  int m_failures = 0; ///< In a row.
};

} // namespace bergamotpaddle
