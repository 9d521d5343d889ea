/// \file
/// One request's sends to upstreams, and what may truthfully be said of it.
#pragma once

#include "bergamotpaddle/Gateway/RouteTable.h"

#include <set>
#include <string>

namespace bergamotpaddle {

/// How a send to an upstream ended, as far as running goes.
enum class SendOutcome
{
  kNeverSent,    ///< No byte of the request left: the connection failed.
  kProvedNotRun, ///< The upstream said so.
  kMayHaveRun,   ///< Anything else that is not a whole answer.
};

/// Follows the sends of one request.
class RequestProgress
{
public:
  RequestProgress(CallKind aKind, bool aIsResumable, int aMaxAttempts);

  void NoteSending(const UpstreamId& aUpstream);
  void NoteOutcome(SendOutcome aOutcome);

  /// Whether another upstream may get the request.
  bool MaySendAgain() const;
  /// Whether "not run" is true now and stays true.
  bool IsProvedNotRun() const { return !m_isUnderWay && m_mayHaveRun == 0; }
  /// Whether a further send repeats one that arrived.
  bool WouldRepeat() const { return m_arrivals > 0; }

  int Arrivals() const { return m_arrivals; }
  const std::set<UpstreamId>& Tried() const { return m_tried; }

private:
  /// Upstreams that one request is offered to, whatever they answer: the
  /// caller waits meanwhile.
  static constexpr int kMaxSends = 4;

  bool m_mayRepeat;
  int m_maxAttempts;
  int m_sends = 0;
  int m_arrivals = 0;
  int m_mayHaveRun = 0;
  bool m_isUnderWay = false;
  std::set<UpstreamId> m_tried;
};

} // namespace bergamotpaddle
