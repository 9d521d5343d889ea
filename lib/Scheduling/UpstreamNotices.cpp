#include "bergamotpaddle/Scheduling/UpstreamNotices.h"

#include <algorithm>
#include <utility>

namespace bergamotpaddle {

UpstreamNotices::Notice&
UpstreamNotices::Insert(const UpstreamIncarnation& aUpstream, Instant aNow)
{
  const bool isKnown = m_notices.contains(aUpstream);
  if (!isKnown && m_notices.size() >= kMaxNotices) {
    m_notices.erase(std::min_element(m_notices.begin(),
                                     m_notices.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.m_notedAt <
                                              aRight.second.m_notedAt;
                                     }));
  }
  Notice& notice = m_notices[aUpstream];
  notice.m_notedAt = aNow;
  return notice;
}

bool
UpstreamNotices::NoteLeaving(const UpstreamIncarnation& aUpstream,
                             Source aSource,
                             Instant aNow)
{
  Notice& notice = Insert(aUpstream, aNow);
  if (aSource == Source::kResponse && !notice.m_toldLeavingAt) {
    notice.m_toldLeavingAt = aNow;
  }
  return !std::exchange(notice.m_isLeaving, true);
}

void
UpstreamNotices::NoteClosed(const UpstreamIncarnation& aUpstream,
                            Instant aUntil,
                            Instant aNow)
{
  Notice& notice = Insert(aUpstream, aNow);
  notice.m_closedUntil = std::max(notice.m_closedUntil, aUntil);
}

bool
UpstreamNotices::IsLeaving(const UpstreamIncarnation& aUpstream) const
{
  const auto found = m_notices.find(aUpstream);
  return found != m_notices.end() && found->second.m_isLeaving;
}

Instant
UpstreamNotices::ClosedUntil(const UpstreamIncarnation& aUpstream) const
{
  const auto found = m_notices.find(aUpstream);
  return found == m_notices.end() ? Instant{} : found->second.m_closedUntil;
}

std::vector<UpstreamIncarnation>
UpstreamNotices::ToldLeavingSince(Instant aSince) const
{
  std::vector<UpstreamIncarnation> leaving;
  for (const auto& [upstream, notice] : m_notices) {
    if (notice.m_toldLeavingAt && *notice.m_toldLeavingAt > aSince) {
      leaving.push_back(upstream);
    }
  }
  return leaving;
}

} // namespace bergamotpaddle
