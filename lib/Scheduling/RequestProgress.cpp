#include "bergamotpaddle/Scheduling/RequestProgress.h"

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
  ++m_inFlight;
  m_tried.insert(aUpstream);
}

void
RequestProgress::NoteOutcome(SendOutcome aOutcome)
{
  --m_inFlight;
  if (aOutcome == SendOutcome::kNeverSent) {
    return;
  }
  ++m_arrivals;
  m_mayHaveRunCount += aOutcome == SendOutcome::kMayHaveRun ? 1 : 0;
}

bool
RequestProgress::MaySendAgain() const
{
  if (m_inFlight > 0 || m_sends >= kMaxSends) {
    return false;
  }
  return m_mayRepeat ? m_mayHaveRunCount < m_maxAttempts
                     : m_mayHaveRunCount == 0;
}

bool
RequestProgress::MaySendBeside() const
{
  return m_inFlight > 0 && m_sends < kMaxSends && m_mayRepeat &&
         m_mayHaveRunCount + m_inFlight < m_maxAttempts;
}

bool
RequestProgress::MayReturnTo(const UpstreamId& aUpstream) const
{
  return m_mayRepeat && m_sends < kMaxSends && m_tried.contains(aUpstream);
}

} // namespace bergamotpaddle
