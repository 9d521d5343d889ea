#include "bergamotpaddle/Forwarding/GatewayState.h"

#include "bergamotpaddle/Support/Text.h"

#include <algorithm>

namespace bergamotpaddle {

void
LatencyHistogram::Record(Duration aValue)
{
  const double milliseconds =
    std::chrono::duration<double, std::milli>(aValue).count();
  const auto bound =
    std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), milliseconds);
  ++m_counts[static_cast<std::size_t>(bound - kBoundsMs.begin())];
  ++m_count;
  m_sumSeconds += std::chrono::duration<double>(aValue).count();
}

std::array<std::uint64_t, LatencyHistogram::kBoundsMs.size()>
LatencyHistogram::Cumulative() const
{
  std::array<std::uint64_t, kBoundsMs.size()> sums{};
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < sums.size(); ++i) {
    sum += m_counts[i];
    sums[i] = sum;
  }
  return sums;
}

MemoryQuotas
MemoryQuotas::ForProcess(std::uint64_t aMemoryBytes)
{
  constexpr std::uint64_t kFifth = 5;
  constexpr std::uint64_t kTenth = 10;
  MemoryQuotas quotas;
  quotas.m_requestBodies = aMemoryBytes / kFifth;
  quotas.m_responses = aMemoryBytes / kFifth;
  quotas.m_requestHeads = aMemoryBytes / kFifth;
  quotas.m_storeResponse = aMemoryBytes / kTenth;
  return quotas;
}

GatewayState::GatewayState(WireDialect aDialect,
                           PlacementOptions aPlacement,
                           CreditHolder aSelf,
                           RetryBudgetOptions aRetries,
                           EventLog& aLog)
  : m_dialect(std::move(aDialect))
  , m_placement(std::move(aPlacement))
  , m_waiting(m_upstreams, m_placement)
  , m_credit(std::move(aSelf), CreditOptions{})
  , m_retries(aRetries)
  , m_log(&aLog)
  , m_requestBodies(0)
  , m_responses(0)
  , m_requestHeads(0)
{
  SetMemoryQuotas(MemoryQuotas::ForProcess(kDefaultMemoryBytes));
  m_tasks.OnFailure([this](std::string_view aTask, std::string_view aReason) {
    Log(LogLine("task.failed").Text("task", aTask).Text("why", aReason), true);
  });
}

void
GatewayState::SetMemoryQuotas(const MemoryQuotas& aQuotas)
{
  m_requestBodies.SetMaxBytes(aQuotas.m_requestBodies);
  m_responses.SetMaxBytes(aQuotas.m_responses);
  m_requestHeads.SetMaxBytes(aQuotas.m_requestHeads);
}

Instant
GatewayState::Now() const
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t
GatewayState::UnixMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
GatewayState::Log(const LogLine& aLine, bool aIsVital)
{
  m_log->Write(aLine, Now(), UnixMs(), aIsVital);
}

std::string_view
GatewayState::WithholdsFrom(const UpstreamId& aId,
                            const ServiceId& aService,
                            Instant aNow)
{
  const UpstreamState* state = m_upstreams.Find(aId);
  if (state != nullptr &&
      m_upstreams.Evacuation().IsEvacuated(state->m_entry.m_zone)) {
    m_coldRate.Release(aId);
    ++m_counters.m_sendsWithheld;
    return "the zone of the upstream is evacuated";
  }
  if (!m_coldRate.Send(aId, aService, aNow)) {
    ++m_counters.m_sendsWithheld;
    return "the upstream is cold";
  }
  return {};
}

void
GatewayState::NoteCold(const UpstreamEntry& aEntry, Duration aLeft, bool aIsNew)
{
  const bool isChange =
    m_coldRate.NoteCold(aEntry.m_id, aEntry.m_service, aLeft, aIsNew, Now());
  if (!isChange) {
    return;
  }
  ++m_counters.m_coldUpstreams;
  Log(LogLine("upstream.cold")
        .Text("upstream", aEntry.m_id.Str())
        .Milliseconds("left_ms", aLeft)
        .Number("share", m_coldRate.Share(aEntry.m_id, aEntry.m_service)));
}

void
GatewayState::LogQuarantineChanges()
{
  constexpr std::array<const char*, 4> kEvents = { "prompt.quarantined",
                                                   "prompt.quarantine_adopted",
                                                   "prompt.trial",
                                                   "prompt.cleared" };
  for (const QuarantineChange& change : m_quarantine.TakeChanges()) {
    LogLine line(kEvents.at(static_cast<std::size_t>(change.m_kind)));
    line.Text("part", Hex(change.m_part)).Number("trials", change.m_trials);
    if (change.m_kind == QuarantineChange::Kind::kQuarantined) {
      line.Number("crashes", static_cast<std::int64_t>(change.m_crashes))
        .Number("incidents", static_cast<std::int64_t>(change.m_incidents));
    }
    Log(line, true);
  }
}

void
GatewayState::LogOverflowChanges()
{
  constexpr double kPercent = 100;
  for (const OverflowChange& change : m_placement.Overflow().TakeChanges()) {
    Log(
      LogLine("zone.overflow")
        .Text("service", change.m_service.Str())
        .Number("percent", static_cast<std::int64_t>(change.m_share * kPercent))
        .Milliseconds("home_wait_ms", change.m_homeWait)
        .Text("zone", change.m_bestZone)
        .Milliseconds("wait_ms", change.m_bestWait));
  }
}

} // namespace bergamotpaddle
