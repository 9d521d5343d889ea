/// \file
/// One caller's connection: reads complete requests and writes framed
/// responses.
#pragma once

#include "bergamotpaddle/Forwarding/GatewayState.h"
#include "bergamotpaddle/Forwarding/IncrementalBody.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>

namespace bergamotpaddle {

/// Result of reading a request.
enum class ReadResult
{
  kRequest,
  kClosed,   ///< The caller disconnected, or the idle timeout expired.
  kRejected, ///< An error response was sent; the connection is to be closed.
};

/// A response that the router generates itself.
struct LocalResponse
{
  int m_status = 503;
  ResultCode m_code = ResultCode::kInternal;
  std::string m_errorMessage;
  Duration m_retryAfter{ 0 }; ///< 0: no `Retry-After` field.
};

/// Reads requests from one caller and writes their responses. A write error
/// closes the connection.
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

  /// Reads the next request, which `Request` then returns.
  Awaitable<ReadResult> ReadRequest();
  WireRequest& Request() { return m_request; }

  Awaitable<void> SendLocalResponse(const LocalResponse& aResponse);
  /// Sends a complete response; a response to a HEAD request has no body.
  Awaitable<void> SendFullResponse(const UpstreamResponse& aResponse,
                                   const std::string& aBody);
  /// Sends the head of a streamed response and \p aFirstEvents.
  Awaitable<void> BeginStream(const UpstreamResponse& aResponse,
                              const std::string& aFirstEvents);
  Awaitable<void> SendEvents(const std::string& aEvents);
  Awaitable<void> EndStream();

  /// Calls \p aOnDisconnect once if the caller disconnects before
  /// `StopDisconnectWatch` is called.
  void WatchForDisconnect(std::function<void()> aOnDisconnect);
  void StopDisconnectWatch();

  /// Ends the current wait for bytes if its deadline has passed and no bytes
  /// have arrived. \p aStall, a time during which the event loop was blocked,
  /// does not count.
  void Tick(Instant aNow, Duration aStall);
  /// Ends the wait for the first byte of a request, unless bytes have arrived.
  void EndIdleWait();
  void Close();
  /// Closes the connection after the caller has read the last response or a
  /// timeout has expired.
  Awaitable<void> CloseGracefully();

  /// Whether another request may be read from this connection.
  bool IsOpen() const { return m_isOpen; }
  bool HasBegunResponse() const { return m_hasBegunResponse; }
  /// Whether a request has arrived in part.
  bool IsReadingRequest() const { return m_isReadingRequest; }

private:
  Awaitable<bool> WaitForBytes();
  using Parser = boost::beast::http::request_parser<IncrementalBody>;
  /// Reads the rest of a request whose head was read.
  Awaitable<void> ReadBody(Parser& aParser,
                           boost::system::error_code& aError,
                           std::size_t& aReceived);
  void ReleaseBody();
  /// Ends the pending read of a request that uses too much memory.
  void OnEvicted();
  Awaitable<void> Write(std::string aBytes);
  std::string FormatHead(int aStatus,
                         std::string_view aReason,
                         const FieldList& aFields) const;
  void FinishResponse();
  /// Sets whether closing the connection resets it.
  void SetResetOnClose(bool aIsReset);
  void CheckForDisconnect(std::uint64_t aWatchId);
  /// Ends a pending read, unless bytes have arrived.
  void EndWait();
  /// Whether bytes have arrived that are not read yet.
  bool HasUnreadBytes() const;

  Socket m_socket;
  GatewayState* m_state;
  boost::beast::flat_buffer m_buffer;
  WireRequest m_request;
  BufferId m_headBufferId; ///< In `GatewayState::m_requestHeads`.
  /// In `GatewayState::m_requestBodies`, from the first byte of the body to the
  /// next request.
  std::optional<BufferId> m_bodyBufferId;
  bool m_isEvicted = false;              ///< The request uses too much memory.
  std::optional<Instant> m_waitDeadline; ///< The wait for bytes ends then.
  bool m_isIdle = true;
  bool m_isReadingRequest = false;
  bool m_isOpen = true;
  bool m_keepAlive = true;
  bool m_isHttp10 = false;
  bool m_isHeadRequest = false;
  bool m_hasBegunResponse = false;
  std::function<void()> m_onDisconnect;
  /// Expires with this object. Handlers that may outlive the object check it
  /// before they use the object.
  std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
  std::uint64_t m_watchId = 0; ///< Identifies the latest disconnect watch.
};

} // namespace bergamotpaddle
