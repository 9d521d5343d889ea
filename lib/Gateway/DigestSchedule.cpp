#include "bergamotpaddle/Gateway/DigestSchedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bergamotpaddle {

namespace {

/// IPv4 and UDP headers, in bytes.
constexpr std::size_t kDatagramOverhead = 28;
/// Largest payload in bytes that isn't fragmented on Ethernet.
constexpr std::size_t kMaxPayload = 1472;
/// Minimum size limit of a payload in bytes, for any fleet size: holds a
/// heartbeat and a few upstreams.
constexpr std::size_t kMinPayload = 128;
/// Number of announced prompt parts of one upstream above which old ones are
/// evicted.
constexpr std::size_t kMaxAnnouncedParts = 1024;

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
  Announcement& announcement = m_upstreams[aUpstream];
  announcement.m_isChanged = true;
  const PartTimes& announcedParts = m_announcedParts[aUpstream];
  for (const std::uint64_t part : aParts) {
    const auto announcedAt = announcedParts.find(part);
    if (announcedAt == announcedParts.end() ||
        aNow - announcedAt->second > m_options.m_partRepeatInterval) {
      announcement.m_newParts.insert(part);
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
    due = std::min(due, m_changedAt + m_options.m_coalesceInterval);
  }
  return std::max(due, m_nextAllowedAt);
}

std::size_t
DigestSchedule::MaxPayloadBytes() const
{
  const double bytesPerInterval =
    m_options.m_bytesPerSecond *
    std::chrono::duration<double>(m_options.m_heartbeat).count();
  const auto bytesPerPeer = static_cast<std::size_t>(
    bytesPerInterval /
    static_cast<double>(std::max<std::size_t>(m_peerCount, 1)));
  return std::clamp(bytesPerPeer,
                    kMinPayload + kDatagramOverhead,
                    kMaxPayload + kDatagramOverhead) -
         kDatagramOverhead;
}

std::vector<DigestSchedule::Entry>
DigestSchedule::Candidates(Instant aNow) const
{
  std::vector<std::pair<Instant, const UpstreamId*>> pending;
  for (const auto& [upstream, announcement] : m_upstreams) {
    const bool isRefreshDue =
      announcement.m_isLoaded &&
      aNow - announcement.m_announcedAt >= m_options.m_refreshInterval;
    if (announcement.m_isChanged || isRefreshDue) {
      pending.emplace_back(announcement.m_announcedAt, &upstream);
    }
  }
  std::sort(
    pending.begin(), pending.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.first, *aLeft.second) <
             std::tie(aRight.first, *aRight.second);
    });
  std::vector<Entry> entries;
  entries.reserve(pending.size());
  for (const auto& [announcedAt, upstream] : pending) {
    const Announcement& announcement = m_upstreams.at(*upstream);
    entries.push_back(
      { *upstream,
        { announcement.m_newParts.begin(), announcement.m_newParts.end() } });
  }
  return entries;
}

void
DigestSchedule::NoteAnnounced(const UpstreamId& aUpstream,
                              bool aIsLoaded,
                              Instant aNow)
{
  PartTimes& announcedParts = m_announcedParts[aUpstream];
  if (announcedParts.size() > kMaxAnnouncedParts) {
    std::erase_if(announcedParts, [&](const auto& aPart) {
      return aNow - aPart.second > m_options.m_partRepeatInterval;
    });
  }
  for (const std::uint64_t part : m_upstreams[aUpstream].m_newParts) {
    announcedParts[part] = aNow;
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
  const double bytes = static_cast<double>(
    (aBytes + kDatagramOverhead) * std::max<std::size_t>(m_peerCount, 1));
  m_sentAt = aNow;
  m_nextAllowedAt =
    aNow + std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(bytes / m_options.m_bytesPerSecond));
  m_isChanged =
    std::any_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& aEntry) {
      return aEntry.second.m_isChanged;
    });
  m_changedAt = aNow;
}

} // namespace bergamotpaddle
