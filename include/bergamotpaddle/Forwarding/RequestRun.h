/// \file
/// Serves one request: checks, credit, placement, and the exchanges with
/// upstreams until the caller has its answer.
#pragma once

#include "bergamotpaddle/Forwarding/CallerConnection.h"
#include "bergamotpaddle/Forwarding/UpstreamExchange.h"
#include "bergamotpaddle/Gateway/EventSplitter.h"
#include "bergamotpaddle/Gateway/RequestProgress.h"

namespace bergamotpaddle {

/// One request under way.
class RequestRun
{
public:
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  RequestRun(GatewayState& aState,
             CallerConnection& aCaller,
             boost::asio::any_io_executor aExecutor);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  /// Returns when the answer is out or the caller is gone.
  Awaitable<void> Serve();

  /// Ends waits whose time is up.
  void Tick(Instant aNow);

private:
  /// How an exchange ended.
  enum class ExchangeEnd
  {
    kNeverSent,
    kNotRun,    ///< The upstream proved it.
    kFailed,    ///< A whole answer that is a failure; kept in m_answer.
    kDelivered, ///< The caller has the whole answer.
    kBroken,    ///< No whole answer; the upstream may have run the request.
    kCallerGone,
  };

  /// Route, key and credit; an answer of our own ends the request.
  std::optional<OwnAnswer> Admit();
  std::optional<OwnAnswer> CheckCaller();
  /// The refusal of what only a newer configuration may know.
  OwnAnswer UnknownYet(const char* aWhat) const;
  Awaitable<std::optional<OwnAnswer>> AllotCredit();
  /// Waits a moment for the next draw of credit.
  Awaitable<CreditVerdict> AwaitCredit(std::uint64_t aMost);
  Awaitable<void> Forward();
  /// Places the request or answers for it; false: the request has ended.
  bool PlaceNext();
  /// Whether to go on at another upstream after \p aEnd.
  bool GoesOn(ExchangeEnd aEnd);
  Awaitable<ExchangeEnd> Exchange();
  Awaitable<ExchangeEnd> ReadAnswer(bool aIsHeadRequest);
  Awaitable<ExchangeEnd> Collect(const UpstreamResponse& aAnswer);
  Awaitable<ExchangeEnd> Stream(const UpstreamResponse& aAnswer);
  Awaitable<void> Conclude(ExchangeEnd aEnd);
  Awaitable<void> Refuse(OwnAnswer aAnswer);
  std::string UpstreamHead() const;
  bool IsSpoiled(const UpstreamResponse& aAnswer) const;
  void NoteExchange(ExchangeEnd aEnd);
  void ArmSilence(Duration aSilence);
  std::optional<Duration> FirstByteSilence() const;
  void SettleCredit();
  void LogEnd() const;
  Duration Passed() const { return m_state->Now() - m_arrivedAt; }

  GatewayState* m_state;
  CallerConnection* m_caller;
  boost::asio::any_io_executor m_executor;
  std::shared_ptr<const RouteTable> m_table; ///< In force on arrival.
  CallerRequest m_request;
  const Route* m_route = nullptr;
  const Account* m_account = nullptr;
  ServiceId m_service;
  const Service* m_serviceInfo = nullptr;
  std::optional<RequestProgress> m_progress;
  std::shared_ptr<const std::string> m_body;
  std::string m_method;
  std::string m_target;
  Instant m_arrivedAt;
  Instant m_deadline;
  std::optional<Instant> m_silentAt;
  std::uint64_t m_allotted = 0;
  std::uint64_t m_charged = 0; ///< Of what was allotted, once the run ended.
  Duration m_creditWaited{ 0 };
  std::uint64_t m_eventsDelivered = 0;
  bool m_hasRun = false;
  bool m_isCallerGone = false;
  bool m_isStreamBegun = false;
  std::string m_lastEventId;
  PlacementChoice m_choice;
  std::string m_upstreamAddress;
  std::shared_ptr<UpstreamExchange> m_exchange;
  UpstreamResponse m_answer; ///< The latest whole failure.
  std::string m_answerBody;
  std::uint64_t m_answerCharge = 0; ///< Counted in m_bufferedAnswers.
  bool m_hasAnswer = false;
  // For the log.
  ResultCode m_code = ResultCode::kInternal;
  int m_status = 0;
  std::string m_why;
  std::optional<Duration> m_firstByteAfter;
  std::optional<Instant> m_lastEventAt;
  Duration m_longestPause{ 0 };
};

} // namespace bergamotpaddle
