#include "bergamotpaddle/Gateway/RequestProgress.h"

namespace bergamotpaddle {

RequestProgress::RequestProgress(CallKind aKind,
                                 bool aIsResumable,
                                 int aMaxAttempts)
  : m_mayRepeat(aKind == CallKind::kRepeatable ||
                (aKind == CallKind::kStream && aIsResumable))
  , m_maxAttempts(aMaxAttempts)
{
}

void
RequestProgress::NoteSending(const UpstreamId& aUpstream)
{
  ++m_sends;
  m_isUnderWay = true;
  m_tried.insert(aUpstream);
}

void
RequestProgress::NoteOutcome(SendOutcome aOutcome)
{
  m_isUnderWay = false;
  if (aOutcome == SendOutcome::kNeverSent) {
    return;
  }
  ++m_arrivals;
  m_mayHaveRun += aOutcome == SendOutcome::kMayHaveRun ? 1 : 0;
}

bool
RequestProgress::MaySendAgain() const
{
  if (m_isUnderWay || m_sends >= kMaxSends) {
    return false;
  }
  return m_mayRepeat ? m_mayHaveRun < m_maxAttempts : m_mayHaveRun == 0;
}

} // namespace bergamotpaddle
