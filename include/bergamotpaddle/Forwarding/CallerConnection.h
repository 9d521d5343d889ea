/// \file
/// One caller's connection: requests come in whole, answers go out framed.
#pragma once

#include "bergamotpaddle/Forwarding/GatewayState.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

namespace bergamotpaddle {

/// How reading a request ended.
enum class ReadEnd
{
  kRequest,
  kClosed,   ///< The caller went, or the connection was idle for too long.
  kRejected, ///< A failure was answered; the connection is to be closed.
};

/// An answer of the router's own.
struct OwnAnswer
{
  int m_status = 503;
  ResultCode m_code = ResultCode::kInternal;
  std::string m_why;
  Duration m_retryAfter{ 0 }; ///< 0: not told.
};

/// A caller's connection.
class CallerConnection
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  CallerConnection(Socket aSocket, GatewayState& aState);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  Awaitable<ReadEnd> ReadRequest();
  WireRequest& Request() { return m_request; }

  Awaitable<void> SendOwn(const OwnAnswer& aAnswer);
  Awaitable<void> SendWhole(const UpstreamResponse& aAnswer,
                            const std::string& aBody);
  Awaitable<void> BeginStream(const UpstreamResponse& aAnswer,
                              const std::string& aFirstEvents);
  Awaitable<void> SendEvents(const std::string& aEvents);
  Awaitable<void> EndStream();

  /// Calls \p aOnGone once if the caller leaves before `StopWatching`.
  void WatchForLeaving(std::function<void()> aOnGone);
  void StopWatching();

  /// Ends what is waited for if its time is up.
  void Tick(Instant aNow);
  void Close();
  /// Lets the caller read the last answer to its end, then closes.
  Awaitable<void> CloseGently();

  /// Whether another request may follow on this connection.
  bool IsOpen() const { return m_isOpen; }
  bool IsIdle() const { return m_isIdle; }
  bool HasBegunAnswer() const { return m_hasBegunAnswer; }

private:
  Awaitable<bool> WaitForBytes();
  Awaitable<bool> ReadMessage();
  Awaitable<void> Write(std::string aBytes);
  std::string HeadOf(int aStatus,
                     std::string_view aReason,
                     const FieldList& aFields) const;
  void EndAnswer();
  void CheckForLeaving(std::uint64_t aWatch);

  Socket m_socket;
  GatewayState* m_state;
  boost::beast::flat_buffer m_buffer;
  WireRequest m_request;
  std::uint64_t m_bodyCharge = 0;
  std::optional<Instant> m_waitUntil;
  bool m_isIdle = true;
  bool m_isOpen = true;
  bool m_keepAlive = true;
  bool m_isHttp10 = false;
  bool m_isHeadRequest = false;
  bool m_hasBegunAnswer = false;
  std::function<void()> m_onGone;
  /// Goes with this object; handlers that outlive it look here first.
  std::shared_ptr<bool> m_life = std::make_shared<bool>(true);
  std::uint64_t m_watch = 0;
};

} // namespace bergamotpaddle
