/// \file
/// Tracks the attempts to send one request to upstreams, and what is known
/// about its execution.
#pragma once

#include "bergamotpaddle/Gateway/RouteTable.h"

#include <set>
#include <string>

namespace bergamotpaddle {

/// The outcome of sending a request, with regard to its execution.
enum class SendOutcome
{
  kNeverSent,    ///< The connection failed before any byte was sent.
  kProvedNotRun, ///< The upstream confirmed that it didn't run.
  kMayHaveRun,   ///< Anything else short of a complete response.
};

/// Tracks the sends of one request.
class RequestProgress
{
public:
  RequestProgress(CallKind aKind, bool aIsResumable, int aMaxAttempts);

  void NoteSending(const UpstreamId& aUpstream);
  void NoteOutcome(SendOutcome aOutcome);

  /// Whether the request may be sent to another upstream.
  bool MaySendAgain() const;
  /// Whether it is certain that the request hasn't run and won't run.
  bool IsProvedNotRun() const
  {
    return !m_isInFlight && m_mayHaveRunCount == 0;
  }
  /// Whether a further send would repeat one that reached an upstream.
  bool WouldRepeat() const { return m_arrivals > 0; }

  int Arrivals() const { return m_arrivals; }
  const std::set<UpstreamId>& Tried() const { return m_tried; }

private:
  /// Maximum number of sends of one request, whatever their outcomes, since the
  /// caller waits meanwhile.
  static constexpr int kMaxSends = 4;

  bool m_mayRepeat;
  int m_maxAttempts;
  int m_sends = 0;
  int m_arrivals = 0;
  int m_mayHaveRunCount = 0;
  bool m_isInFlight = false;
  std::set<UpstreamId> m_tried;
};

} // namespace bergamotpaddle
