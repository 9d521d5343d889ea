#include "bergamotpaddle/Scheduling/UpstreamView.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

/// Number of prompt parts of one upstream above which stale ones are removed.
constexpr std::size_t kMaxParts = 4096;

UpstreamIncarnation
IncarnationOf(const UpstreamEntry& aEntry)
{
  return { aEntry.m_id, aEntry.m_startedAtMs };
}

} // namespace

UpstreamView::UpstreamView(UpstreamViewOptions aOptions)
  : m_options(aOptions)
{
}

void
UpstreamView::Upsert(const UpstreamEntry& aEntry)
{
  const auto [position, isNew] = m_upstreams.try_emplace(aEntry.m_id);
  UpstreamState& state = position->second;
  const bool isRestarted =
    !isNew && (state.m_entry.m_startedAtMs != aEntry.m_startedAtMs ||
               state.m_entry.m_address != aEntry.m_address);
  if (isRestarted) {
    // Requests in flight are counted until each of them ends.
    state.m_partSentAt.clear();
    state.m_reported.reset();
    state.m_peerLoads.clear();
    state.m_consecutiveFailures = 0;
    state.m_avoidUntil = {};
  }
  if (isNew) {
    m_idByShortHash.insert_or_assign(ShortHash(aEntry.m_id), aEntry.m_id);
  }
  state.m_entry = aEntry;
  state.m_hash = PlacementHash(aEntry.m_id.Str());
  m_speeds.Upsert(
    ShortHash(aEntry.m_id), aEntry.m_service, aEntry.m_startedAtMs);
  RefreshSpeeds();
}

void
UpstreamView::Remove(const UpstreamId& aId)
{
  m_upstreams.erase(aId);
  m_idByShortHash.erase(ShortHash(aId));
  m_speeds.Remove(ShortHash(aId));
}

std::uint32_t
UpstreamView::ShortHash(const UpstreamId& aId)
{
  return static_cast<std::uint32_t>(PlacementHash(aId.Str()));
}

std::optional<UpstreamId>
UpstreamView::FindByShortHash(std::uint32_t aHash) const
{
  const auto found = m_idByShortHash.find(aHash);
  return found == m_idByShortHash.end() ? std::nullopt
                                        : std::optional(found->second);
}

UpstreamState*
UpstreamView::Find(const UpstreamId& aId)
{
  const auto found = m_upstreams.find(aId);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

const UpstreamState*
UpstreamView::Find(const UpstreamId& aId) const
{
  const auto found = m_upstreams.find(aId);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

std::vector<const UpstreamState*>
UpstreamView::Usable(const ServiceId& aService) const
{
  std::vector<const UpstreamState*> usable;
  for (const auto& [id, state] : m_upstreams) {
    if (state.m_entry.m_service == aService && !state.m_entry.m_isDraining &&
        !m_notices.IsLeaving(IncarnationOf(state.m_entry)) &&
        !m_evacuation.IsEvacuated(state.m_entry.m_zone)) {
      usable.push_back(&state);
    }
  }
  return usable;
}

bool
UpstreamView::IsUsable(const UpstreamId& aId, Instant aNow) const
{
  const UpstreamState* state = Find(aId);
  return state != nullptr && !state->m_entry.m_isDraining &&
         !m_notices.IsLeaving(IncarnationOf(state->m_entry)) &&
         !m_evacuation.IsEvacuated(state->m_entry.m_zone) &&
         !IsClosed(*state, aNow);
}

bool
UpstreamView::NoteNotice(const UpstreamIncarnation& aUpstream,
                         const UpstreamNotice& aNotice,
                         Instant aNow)
{
  if (aNotice.m_closedFor) {
    m_notices.NoteClosed(aUpstream, aNow + *aNotice.m_closedFor, aNow);
  }
  return aNotice.m_isLeaving &&
         m_notices.NoteLeaving(
           aUpstream, UpstreamNotices::Source::kResponse, aNow);
}

bool
UpstreamView::NotePeerLeaving(const UpstreamIncarnation& aUpstream,
                              Instant aNow)
{
  return m_notices.NoteLeaving(aUpstream, UpstreamNotices::Source::kPeer, aNow);
}

bool
UpstreamView::IsClosed(const UpstreamState& aState, Instant aNow) const
{
  return ClosedUntil(aState) > aNow;
}

Instant
UpstreamView::ClosedUntil(const UpstreamState& aState) const
{
  return m_notices.ClosedUntil(IncarnationOf(aState.m_entry));
}

void
UpstreamView::NoteSent(const UpstreamId& aId,
                       bool aIsStream,
                       Duration aPrefill,
                       const std::vector<PromptPart>& aParts,
                       Instant aNow)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr) {
    return;
  }
  ++state->m_requests;
  state->m_streams += aIsStream ? 1 : 0;
  state->m_prefillDoneAt = std::max(state->m_prefillDoneAt, aNow) + aPrefill;
  if (state->m_partSentAt.size() > kMaxParts) {
    absl::erase_if(state->m_partSentAt, [&](const auto& aPart) {
      return aNow - aPart.second > m_options.m_partValidity;
    });
  }
  for (const PromptPart& part : aParts) {
    state->m_partSentAt[part.m_id] = aNow;
  }
}

void
UpstreamView::NoteEnded(const UpstreamId& aId, bool aIsStream)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr) {
    return;
  }
  state->m_requests = std::max(0, state->m_requests - 1);
  state->m_streams = std::max(0, state->m_streams - (aIsStream ? 1 : 0));
}

void
UpstreamView::NoteFirstEvent(const UpstreamId& aId, Instant aNow)
{
  UpstreamState* state = Find(aId);
  if (state != nullptr && state->m_requests <= 1) {
    state->m_prefillDoneAt = std::min(state->m_prefillDoneAt, aNow);
  }
}

void
UpstreamView::NoteReport(const UpstreamId& aId, const ReportedLoad& aLoad)
{
  if (UpstreamState* state = Find(aId)) {
    state->m_reported = aLoad;
  }
}

void
UpstreamView::NoteSlowness(const UpstreamId& aId, double aSlowness, Instant aAt)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr ||
      (state->m_reported && state->m_reported->m_reportedAt > aAt)) {
    return;
  }
  if (!state->m_reported) {
    state->m_reported.emplace();
  }
  state->m_reported->m_slowness = aSlowness;
  state->m_reported->m_reportedAt = aAt;
}

void
UpstreamView::NoteOutcome(const UpstreamId& aId,
                          ExchangeOutcome aOutcome,
                          Instant aNow)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr) {
    return;
  }
  if (aOutcome == ExchangeOutcome::kSucceeded) {
    state->m_consecutiveFailures = 0;
    state->m_avoidUntil = {};
    return;
  }
  ++state->m_consecutiveFailures;
  const int threshold = aOutcome == ExchangeOutcome::kUnreachable
                          ? 1
                          : m_options.m_failuresBeforeAvoid;
  if (state->m_consecutiveFailures < threshold) {
    return;
  }
  const int doublings = std::min(state->m_consecutiveFailures - threshold, 6);
  state->m_avoidUntil =
    aNow + std::min(m_options.m_initialAvoidTime * (1 << doublings),
                    m_options.m_maxAvoidTime);
}

void
UpstreamView::NotePeerLoad(const std::string& aPeer,
                           const UpstreamId& aId,
                           const SentLoad& aLoad,
                           Instant aNow)
{
  if (UpstreamState* state = Find(aId)) {
    state->m_peerLoads[aPeer] = { aLoad, aNow };
  }
}

void
UpstreamView::NotePeerParts(const UpstreamId& aId,
                            const std::vector<std::uint64_t>& aParts,
                            Instant aNow)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr) {
    return;
  }
  for (std::uint64_t part : aParts) {
    state->m_partSentAt[part] = aNow;
  }
}

void
UpstreamView::NoteSpeed(const UpstreamId& aId, SpeedKind aKind, double aRatio)
{
  m_speeds.Note(ShortHash(aId), aKind, aRatio);
  RefreshSpeeds();
}

void
UpstreamView::NotePeerSpeeds(const std::string& aPeer,
                             const std::vector<SpeedReport>& aReports)
{
  m_speeds.Apply(aPeer, aReports);
  RefreshSpeeds();
}

void
UpstreamView::RefreshSpeeds()
{
  for (const std::uint32_t hash : m_speeds.TakeChanged()) {
    if (const std::optional<UpstreamId> id = FindByShortHash(hash)) {
      if (UpstreamState* state = Find(*id)) {
        state->m_speed = m_speeds.Factors(hash);
      }
    }
  }
}

int
UpstreamView::Requests(const UpstreamState& aState, Instant aNow) const
{
  int sum = aState.m_requests;
  for (const auto& [peer, report] : aState.m_peerLoads) {
    sum += aNow - report.second < m_options.m_peerLoadValidity
             ? report.first.m_requests
             : 0;
  }
  return sum;
}

int
UpstreamView::Streams(const UpstreamState& aState, Instant aNow) const
{
  int sum = aState.m_streams;
  for (const auto& [peer, report] : aState.m_peerLoads) {
    sum += aNow - report.second < m_options.m_peerLoadValidity
             ? report.first.m_streams
             : 0;
  }
  return sum;
}

Duration
UpstreamView::PrefillBacklog(const UpstreamState& aState, Instant aNow) const
{
  Duration sum = std::max(aState.m_prefillDoneAt - aNow, Duration(0));
  for (const auto& [peer, report] : aState.m_peerLoads) {
    sum += std::max(report.first.m_prefillLeft - (aNow - report.second),
                    Duration(0));
  }
  return sum;
}

bool
UpstreamView::HasFreshReport(const UpstreamState& aState, Instant aNow) const
{
  return aState.m_reported &&
         aNow - aState.m_reported->m_reportedAt <= m_options.m_reportValidity;
}

double
UpstreamView::Slowness(const UpstreamState& aState, Instant aNow) const
{
  if (!HasFreshReport(aState, aNow)) {
    return 1;
  }
  return std::max(aState.m_reported->m_slowness, 0.1);
}

std::uint32_t
UpstreamView::UncachedTokens(const UpstreamState& aState,
                             const std::vector<PromptPart>& aParts,
                             Instant aNow) const
{
  std::uint32_t uncached = 0;
  bool isCached = true; // A cached part is usable only if all earlier ones
                        // are cached.
  for (const PromptPart& part : aParts) {
    const auto sentAt = aState.m_partSentAt.find(part.m_id);
    isCached = isCached && sentAt != aState.m_partSentAt.end() &&
               aNow - sentAt->second < m_options.m_partValidity;
    uncached += isCached ? 0 : part.m_tokens;
  }
  return uncached;
}

SentLoad
UpstreamView::OwnLoad(const UpstreamState& aState, Instant aNow) const
{
  return { aState.m_requests,
           aState.m_streams,
           std::max(aState.m_prefillDoneAt - aNow, Duration(0)) };
}

} // namespace bergamotpaddle
