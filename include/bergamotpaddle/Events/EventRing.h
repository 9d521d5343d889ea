/// \file
/// The time line: a bounded ring of events in each process, stamped by a
/// hybrid logical clock so that the rings of all processes merge in causal
/// order.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A hybrid logical time: milliseconds of the wall clock in the upper 48 bits,
/// a counter in the lower 16.
using LogicalTime = std::uint64_t;

/// Gives rising logical times that are beyond every one received.
class LogicalClock
{
public:
  /// \p aWallMilliseconds reads the wall clock.
  explicit LogicalClock(std::function<std::uint64_t()> aWallMilliseconds);

  /// The time of something that happens now.
  LogicalTime Tick();
  /// Takes in the time of a message received.
  void Receive(LogicalTime aTime);

private:
  std::function<std::uint64_t()> m_wallMilliseconds;
  LogicalTime m_last = 0;
};

/// What happened, without when and where.
struct EventFields
{
  std::string m_name;
  std::string m_request;  ///< Request key, or empty.
  std::string m_account;  ///< Client account, or empty.
  std::string m_upstream; ///< Upstream, or empty.
  std::string m_detail;   ///< One line for people.
  auto operator<=>(const EventFields&) const = default;
};

/// Where components hand their events.
using EventHook = std::function<void(EventFields)>;

/// An event of the time line.
struct Event
{
  LogicalTime m_time = 0;
  std::string m_process;
  EventFields m_fields;
  auto operator<=>(const Event&) const = default;
};

/// Which events are wanted; empty fields match all.
struct EventFilter
{
  std::string m_request;
  std::string m_account;
  std::string m_upstream;
  LogicalTime m_since = 0;

  bool Matches(const Event& aEvent) const;
};

/// Keeps the newest events of one process.
class EventRing
{
public:
  EventRing(std::string aProcess, std::size_t aCapacity, LogicalClock& aClock);

  void Add(EventFields aFields);

  /// Matching events, oldest first.
  std::vector<Event> Select(const EventFilter& aFilter) const;
  /// Events that fell out of the ring.
  std::uint64_t Dropped() const { return m_dropped; }

private:
  std::string m_process;
  std::size_t m_capacity;
  LogicalClock* m_clock;
  std::deque<Event> m_events;
  std::uint64_t m_dropped = 0;
};

/// Events as a JSON array of objects.
std::string
EventsToJson(const std::vector<Event>& aEvents);

} // namespace bergamotpaddle
