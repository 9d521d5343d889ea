/// \file
/// The timeline: each process keeps a bounded ring of events, timestamped by a
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

/// A hybrid logical timestamp: wall-clock milliseconds in the upper 48 bits, a
/// counter in the lower 16.
using LogicalTime = std::uint64_t;

/// Hybrid logical clock: returns strictly increasing timestamps that are
/// greater than every timestamp received.
class LogicalClock
{
public:
  /// \p aWallMilliseconds returns the wall-clock time in milliseconds.
  explicit LogicalClock(std::function<std::uint64_t()> aWallMilliseconds);

  /// Returns the timestamp of a local event that happens now.
  LogicalTime Tick();
  /// Advances the clock to the timestamp of a received message.
  void Receive(LogicalTime aTime);

private:
  std::function<std::uint64_t()> m_wallMilliseconds;
  LogicalTime m_last = 0;
};

/// The content of an event, without its timestamp and process.
struct EventFields
{
  std::string m_name;
  std::string m_request;  ///< Request key, or empty.
  std::string m_account;  ///< Client account, or empty.
  std::string m_upstream; ///< Upstream, or empty.
  std::string m_detail;   ///< One line of human-readable text.
  auto operator<=>(const EventFields&) const = default;
};

/// Receives the events of a component.
using EventHook = std::function<void(EventFields)>;

/// An event of the timeline.
struct Event
{
  LogicalTime m_time = 0;
  std::string m_process;
  EventFields m_fields;
  auto operator<=>(const Event&) const = default;
};

/// Selects events; empty fields match every event.
struct EventFilter
{
  std::string m_request;
  std::string m_account;
  std::string m_upstream;
  LogicalTime m_since = 0; ///< Matches events at or after this time.

  bool Matches(const Event& aEvent) const;
};

/// Keeps the latest events of one process.
class EventRing
{
public:
  EventRing(std::string aProcess, std::size_t aCapacity, LogicalClock& aClock);

  /// Appends an event with the current logical time; evicts the oldest event if
  /// the ring is full.
  void Add(EventFields aFields);

  /// Returns the matching events, oldest first.
  std::vector<Event> Select(const EventFilter& aFilter) const;
  /// Number of events that were evicted because the ring was full.
  std::uint64_t Dropped() const { return m_dropped; }

private:
  std::string m_process;
  std::size_t m_capacity;
  LogicalClock* m_clock;
  std::deque<Event> m_events;
  std::uint64_t m_dropped = 0;
};

/// Serializes \p aEvents as a JSON array of objects. Invalid UTF-8 is replaced
/// by U+FFFD.
std::string
EventsToJson(const std::vector<Event>& aEvents);

} // namespace bergamotpaddle
