/// \file
/// The wait of a request for room at an upstream, and its refusal if there will
/// be none in time.
#include "bergamotpaddle/Forwarding/RequestRun.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;

namespace {

/// Priorities of accounts range from 0 to 9; upstreams assume 5 without one.
constexpr int kLowestPriority = 9;
constexpr int kDefaultPriority = 5;

/// Takes a request out of the queue at the end of the scope, also if the
/// coroutine is destroyed.
class PlaceInQueue
{
public:
  PlaceInQueue(WaitingRoom& aRoom, WaitId aId)
    : m_room(&aRoom)
    , m_id(aId)
  {
  }
  ~PlaceInQueue() { m_room->Leave(m_id); }
  PlaceInQueue(const PlaceInQueue&) = delete;
  PlaceInQueue& operator=(const PlaceInQueue&) = delete;

private:
  WaitingRoom* m_room;
  WaitId m_id;
};

/// A number from 0 to 1 that differs among callers' attempts.
double
SpreadOf(const std::string& aAttemptId)
{
  constexpr double kHashRange = 1U << 24U;
  return static_cast<double>(PlacementHash(aAttemptId) >> 40U) / kHashRange;
}

} // namespace

WaitRequest
RequestRun::MakeWaitRequest(Instant aNow) const
{
  WaitRequest request;
  request.m_service = m_service;
  request.m_urgency = m_route->m_priority;
  int priority = kDefaultPriority;
  if (m_account != nullptr) {
    request.m_account = m_account->m_id;
    priority = m_account->m_priority.value_or(kDefaultPriority);
    request.m_urgency = m_account->m_priority.value_or(request.m_urgency);
  }
  request.m_weight =
    1 + kLowestPriority - std::clamp(priority, 0, kLowestPriority);
  // An upstream needs time too: what is left after the objective has to suffice
  // for it.
  request.m_usefulUntil =
    std::min(m_arrivedAt + m_route->m_objective,
             std::max(m_deadline - m_route->m_objective, aNow));
  return request;
}

void
RequestRun::NoteNoRoom(Duration aForecast, std::string_view aCause)
{
  m_code = ResultCode::kOverloaded;
  m_errorMessage = "every upstream would answer too late";
  m_queueResult = aCause;
  m_retryAfter = m_state->m_waiting.Queue().RetryAfter(
    aForecast, m_deadline - m_state->Now(), SpreadOf(m_request.m_attemptId));
}

RequestRun::Awaitable<std::optional<PlacementChoice>>
RequestRun::AwaitUpstream()
{
  // A request that may have run can't be refused with a retry: it takes the
  // room that there is, or fails.
  const bool mayWait = m_progress->IsProvedNotRun() && !m_isStreamBegun;
  const bool mustWait =
    mayWait && m_state->m_waiting.Queue().MustWaitBehind(
                 m_service, MakeWaitRequest(m_state->Now()).m_urgency);
  std::optional<PlacementChoice> choice;
  if (!mustWait) {
    choice = ChooseUpstream();
    if (choice || !mayWait || m_code != ResultCode::kOverloaded) {
      co_return choice;
    }
    if (!m_isPoolFull) {
      // Prefills in progress end at a known time, and the caller's patience
      // shrinks as fast as they do.
      NoteNoRoom(m_lateBy, "backlog");
      co_return std::nullopt;
    }
  }
  co_return co_await AwaitRoom();
}

RequestRun::Awaitable<std::optional<PlacementChoice>>
RequestRun::AwaitRoom()
{
  const Instant since = m_state->Now();
  asio::steady_timer wakeUp(m_executor, asio::steady_timer::time_point::max());
  std::optional<bool> maySend;
  const WaitDecision decision = m_state->m_waiting.Offer(
    MakeWaitRequest(since), since, [&wakeUp, &maySend](bool aMaySend) {
      maySend = aMaySend;
      wakeUp.cancel();
    });
  if (!decision.m_isQueued) {
    NoteNoRoom(decision.m_forecast, "forecast");
    co_return std::nullopt;
  }
  const PlaceInQueue place(m_state->m_waiting, decision.m_id);
  m_endWait = [&wakeUp] { wakeUp.cancel(); };
  std::optional<PlacementChoice> choice;
  const Duration queuedBefore = m_queueTime;
  while (!choice) {
    if (!maySend && !m_isCallerDisconnected) {
      boost::system::error_code ignored;
      co_await wakeUp.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_queueTime = queuedBefore + (m_state->Now() - since);
    if (m_isCallerDisconnected) {
      ++m_state->m_waiting.Counters().m_left;
      m_queueResult = "caller_left";
      break;
    }
    if (!maySend.has_value()) {
      continue;
    }
    if (!*std::exchange(maySend, std::nullopt)) {
      NoteNoRoom(decision.m_forecast, "pushed_out");
      break;
    }
    if (IsPromptQuarantined() || IsTooLateForStop()) {
      m_queueResult = "withdrawn";
      break;
    }
    choice = ChooseUpstream();
    if (choice) {
      ++m_state->m_waiting.Counters().m_admitted;
      m_state->m_waiting.Queue().NoteAdmitted(decision.m_id, m_state->Now());
      m_queueResult = "admitted";
      m_code = ResultCode::kInternal;
      m_errorMessage.clear();
    } else if (m_code == ResultCode::kOverloaded && m_isPoolFull) {
      m_state->m_waiting.PutBack(decision.m_id);
    } else {
      m_queueResult = "no_upstream";
      break;
    }
  }
  m_endWait = nullptr;
  co_return choice;
}

} // namespace bergamotpaddle
