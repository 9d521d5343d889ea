/// \file
/// Tracks the attempts to send one request to upstreams, and what is known
/// about its execution.
#pragma once

#include "bergamotpaddle/Routing/RouteTable.h"

#include <set>
#include <string>

namespace bergamotpaddle {

/// The outcome of sending a request, with regard to its execution.
enum class SendOutcome
{
  kNeverSent,    ///< The connection failed before any byte was sent.
  kProvedNotRun, ///< The upstream confirmed that the request didn't run.
  kMayHaveRun,   ///< Any other failure before a complete response.
};

/// Tracks the sends of one request.
class RequestProgress
{
public:
  RequestProgress(CallKind aKind, bool aIsResumable, int aMaxAttempts);

  /// Records that a send to \p aUpstream starts.
  void NoteSending(const UpstreamId& aUpstream);
  /// Records how a send in flight ended.
  void NoteOutcome(SendOutcome aOutcome);

  /// Whether the request may be sent to another upstream.
  bool MaySendAgain() const;
  /// Whether the request may be sent to another upstream beside the only send
  /// in flight, which may have reached its upstream.
  bool MaySendBeside() const;
  /// Whether the request may be sent to \p aUpstream, which had it before and
  /// doesn't count as a further upstream, in place of the send in flight.
  bool MayReturnTo(const UpstreamId& aUpstream) const;
  /// Whether it is certain that the request hasn't run and won't run.
  bool IsProvedNotRun() const
  {
    return m_inFlight == 0 && m_mayHaveRunCount == 0;
  }
  /// Whether a further send would repeat one that may have reached an upstream.
  bool WouldRepeat() const { return m_arrivals > 0; }

  /// Number of ended sends that may have reached an upstream.
  int Arrivals() const { return m_arrivals; }
  /// The upstreams of all sends, including those in flight.
  const std::set<UpstreamId>& Tried() const { return m_tried; }

private:
  /// Maximum number of sends of one request, whatever their outcomes: the
  /// caller waits for all of them.
  static constexpr int kMaxSends = 4;

  bool m_mayRepeat;
  int m_maxAttempts;
  int m_sends = 0;
  int m_arrivals = 0;
  int m_mayHaveRunCount = 0;
  int m_inFlight = 0;
  std::set<UpstreamId> m_tried;
};

} // namespace bergamotpaddle
