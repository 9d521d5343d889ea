#include "bergamotpaddle/Gateway/DigestSchedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bergamotpaddle {

namespace {

/// Headers of IPv4 and UDP.
constexpr std::size_t kDatagramOverhead = 28;
/// A datagram that is not fragmented on Ethernet holds this much.
constexpr std::size_t kMostPayload = 1472;
/// A sign of life and a few upstreams, whatever the size of the fleet.
constexpr std::size_t kLeastPayload = 128;
/// Prompt parts remembered as told for one upstream; beyond, the old ones go.
constexpr std::size_t kMostParts = 1024;

} // namespace

DigestSchedule::DigestSchedule(DigestScheduleOptions aOptions)
  : m_options(aOptions)
{
}

void
DigestSchedule::NoteChanged(const UpstreamId& aUpstream,
                            const std::vector<std::uint64_t>& aParts,
                            Instant aNow)
{
  Told& told = m_upstreams[aUpstream];
  told.m_isChanged = true;
  const PartTimes& partsTold = m_partsTold[aUpstream];
  for (const std::uint64_t part : aParts) {
    const auto toldAt = partsTold.find(part);
    if (toldAt == partsTold.end() ||
        aNow - toldAt->second > m_options.m_partRepeat) {
      told.m_newParts.insert(part);
    }
  }
  NoteOtherChange(aNow);
}

void
DigestSchedule::NoteOtherChange(Instant aNow)
{
  if (!std::exchange(m_isChanged, true)) {
    m_changedAt = aNow;
  }
}

Instant
DigestSchedule::DueAt() const
{
  Instant due = m_sentAt + m_options.m_heartbeat;
  if (m_isChanged) {
    due = std::min(due, m_changedAt + m_options.m_coalesce);
  }
  return std::max(due, m_freeAt);
}

std::size_t
DigestSchedule::MaxPayloadBytes() const
{
  const double round =
    m_options.m_bytesPerSecond *
    std::chrono::duration<double>(m_options.m_heartbeat).count();
  const auto each = static_cast<std::size_t>(
    round / static_cast<double>(std::max<std::size_t>(m_peers, 1)));
  return std::clamp(each,
                    kLeastPayload + kDatagramOverhead,
                    kMostPayload + kDatagramOverhead) -
         kDatagramOverhead;
}

std::vector<DigestSchedule::Entry>
DigestSchedule::Candidates(Instant aNow) const
{
  std::vector<std::pair<Instant, const UpstreamId*>> order;
  for (const auto& [upstream, told] : m_upstreams) {
    const bool isStale =
      told.m_isLoaded && aNow - told.m_toldAt >= m_options.m_refresh;
    if (told.m_isChanged || isStale) {
      order.emplace_back(told.m_toldAt, &upstream);
    }
  }
  std::sort(
    order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.first, *aLeft.second) <
             std::tie(aRight.first, *aRight.second);
    });
  std::vector<Entry> entries;
  entries.reserve(order.size());
  for (const auto& [toldAt, upstream] : order) {
    const Told& told = m_upstreams.at(*upstream);
    entries.push_back(
      { *upstream, { told.m_newParts.begin(), told.m_newParts.end() } });
  }
  return entries;
}

void
DigestSchedule::NoteAnnounced(const UpstreamId& aUpstream,
                              bool aIsLoaded,
                              Instant aNow)
{
  PartTimes& partsTold = m_partsTold[aUpstream];
  if (partsTold.size() > kMostParts) {
    std::erase_if(partsTold, [&](const auto& aTold) {
      return aNow - aTold.second > m_options.m_partRepeat;
    });
  }
  for (const std::uint64_t part : m_upstreams[aUpstream].m_newParts) {
    partsTold[part] = aNow;
  }
  if (!aIsLoaded) {
    m_upstreams.erase(aUpstream);
    return;
  }
  m_upstreams[aUpstream] = { false, true, aNow, {} };
}

void
DigestSchedule::NoteSent(std::size_t aBytes, Instant aNow)
{
  const double bytes = static_cast<double>((aBytes + kDatagramOverhead) *
                                           std::max<std::size_t>(m_peers, 1));
  m_sentAt = aNow;
  m_freeAt =
    aNow + std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(bytes / m_options.m_bytesPerSecond));
  m_isChanged =
    std::any_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& aEntry) {
      return aEntry.second.m_isChanged;
    });
  m_changedAt = aNow;
}

} // namespace bergamotpaddle
