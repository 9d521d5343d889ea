#include "bergamotpaddle/Events/EventRing.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

constexpr unsigned kCounterBits = 16;

} // namespace

LogicalClock::LogicalClock(std::function<std::uint64_t()> aWallMilliseconds)
  : m_wallMilliseconds(std::move(aWallMilliseconds))
{
}

LogicalTime
LogicalClock::Tick()
{
  const LogicalTime wall = m_wallMilliseconds() << kCounterBits;
  m_last = std::max(wall, m_last + 1);
  return m_last;
}

void
LogicalClock::Receive(LogicalTime aTime)
{
  m_last = std::max(m_last, aTime);
}

bool
EventFilter::Matches(const Event& aEvent) const
{
  const EventFields& fields = aEvent.m_fields;
  return (m_request.empty() || fields.m_request == m_request) &&
         (m_account.empty() || fields.m_account == m_account) &&
         (m_upstream.empty() || fields.m_upstream == m_upstream) &&
         aEvent.m_time >= m_since;
}

EventRing::EventRing(std::string aProcess,
                     std::size_t aCapacity,
                     LogicalClock& aClock)
  : m_process(std::move(aProcess))
  , m_capacity(aCapacity)
  , m_clock(&aClock)
{
}

void
EventRing::Add(EventFields aFields)
{
  m_events.push_back({ m_clock->Tick(), m_process, std::move(aFields) });
  if (m_events.size() > m_capacity) {
    m_events.pop_front();
    ++m_dropped;
  }
}

std::vector<Event>
EventRing::Select(const EventFilter& aFilter) const
{
  std::vector<Event> events;
  std::copy_if(m_events.begin(),
               m_events.end(),
               std::back_inserter(events),
               [&](const Event& aEvent) { return aFilter.Matches(aEvent); });
  return events;
}

std::string
EventsToJson(const std::vector<Event>& aEvents)
{
  nlohmann::json array = nlohmann::json::array();
  for (const Event& event : aEvents) {
    array.push_back({ { "time", event.m_time },
                      { "process", event.m_process },
                      { "event", event.m_fields.m_name },
                      { "request", event.m_fields.m_request },
                      { "account", event.m_fields.m_account },
                      { "upstream", event.m_fields.m_upstream },
                      { "detail", event.m_fields.m_detail } });
  }
  return array.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bergamotpaddle
