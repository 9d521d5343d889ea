/// \file
/// One request to one upstream, on a connection of its own.
///
/// A new connection for each exchange costs a round trip. It rules out that the
/// request receives a response left over from another request, or is sent on a
/// connection that stalled or was closed while idle.
#pragma once

#include "bergamotpaddle/Forwarding/GatewayState.h"
#include "bergamotpaddle/Forwarding/IncrementalBody.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>

namespace bergamotpaddle {

/// Why the router aborted an exchange.
enum class AbortReason
{
  kNone,
  kCallerDisconnected,
  kDeadline,
  kIdleTimeout, ///< Connecting or waiting for data took too long.
  kReplaced,    ///< Another exchange of the request answers it.
  kMemory,      ///< Its response was evicted from the memory quota.
};

/// Names \p aReason for the log; without an abort the upstream ended the
/// exchange.
std::string_view
Describe(AbortReason aReason);

/// An exchange with an upstream. Every pending operation ends when `Abort` is
/// called.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  explicit UpstreamExchange(const boost::asio::any_io_executor& aExecutor);

  /// Connects to \p aAddress, an IP:PORT; returns false if the attempt failed
  /// or was aborted.
  Awaitable<bool> Connect(std::string aAddress);

  /// Starts to send the request. The response may be read at the same time, as
  /// it may arrive before the whole request is sent.
  void BeginSending(std::string aHead,
                    std::shared_ptr<const std::string> aBody);

  /// Status line and fields of a response.
  struct Head
  {
    int m_status = 0;
    std::string m_reason;
    FieldList m_fields;
  };
  /// Reads the head of the final response and skips interim ones; nullopt on a
  /// read error, with its message in `Error`.
  Awaitable<std::optional<Head>> ReadHead(bool aIsHeadRequest);

  /// Returns more bytes of the body. An empty string marks the end of a
  /// complete body if `IsComplete`, and an incomplete one otherwise.
  Awaitable<std::string> ReadBody();
  /// The length of the body as the head announces it, which may be wrong.
  std::optional<std::uint64_t> AnnouncedLength() const;
  /// Whether the body was received completely.
  bool IsComplete() const { return m_isComplete; }

  /// Whether bytes have arrived that are not read yet.
  bool HasUnreadBytes() const;

  /// Closes the connection; the first reason is kept.
  void Abort(AbortReason aReason);
  AbortReason GetAbortReason() const { return m_abortReason; }
  void Close();
  /// Whether the upstream ended the connection before a complete response, or
  /// at the end of one without framing.
  bool WasEndedByUpstream() const { return m_wasEnded; }
  /// Message of the last error; empty if there was none.
  const std::string& Error() const { return m_error; }
  /// Payload bytes sent and received.
  const TrafficCount& Bytes() const { return m_bytes; }

private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::response_parser<IncrementalBody>;

  /// Called at the end of the connection. Returns the error if it was reset or
  /// the exchange aborted.
  ///
  /// The kernel reports a reset to one call only. If that is a write, a read
  /// sees a normal end, and may complete before the write does. And a host
  /// whose process is gone may end the connection normally and reset it when
  /// more of the request arrives. So this waits for the write, but only as long
  /// as a reset takes: an upstream that reads on may end its response early.
  Awaitable<ErrorCode> FindReset();
  /// Whether the response is a success of which only the header was received.
  /// Without framing, the upstream may have failed after it sent the header.
  bool IsBare() const;
  void NoteReadError(const boost::system::error_code& aError);

  Socket m_socket;
  boost::asio::steady_timer m_sendingEnded; ///< Cancelled when it has.
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  AbortReason m_abortReason = AbortReason::kNone;
  bool m_isComplete = false;
  std::chrono::steady_clock::duration m_connectTime{ 0 }; ///< A round trip.
  bool m_isSending = false;
  ErrorCode m_sendError;
  bool m_hasBody = false;
  bool m_wasEnded = false;
  std::string m_error;
  TrafficCount m_bytes;
};

} // namespace bergamotpaddle
