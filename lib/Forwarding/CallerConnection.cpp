#include "bergamotpaddle/Forwarding/CallerConnection.h"
#include "bergamotpaddle/Forwarding/Endpoint.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using ErrorCode = boost::system::error_code;

constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// How long a caller may take to read the last response before its connection
/// is closed.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);
/// Read buffer that an idle connection keeps; the users' requests fit.
constexpr std::size_t kMaxIdleBufferBytes = 16UL * 1024;
/// Statuses for which callers honor `Retry-After`.
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

auto
Into(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

std::string
ToString(boost::string_view aView)
{
  return { aView.data(), aView.size() };
}

/// Whether the framing fields have only one interpretation. The parser itself
/// rejects a `Content-Length` together with chunked coding, and differing
/// lengths.
bool
IsFramingUnambiguous(const http::fields& aFields)
{
  const auto codings = aFields.equal_range(http::field::transfer_encoding);
  for (auto it = codings.first; it != codings.second; ++it) {
    if (!IsField(ToString(it->value()), "chunked")) {
      return false;
    }
  }
  return aFields.count(http::field::transfer_encoding) <= 1 &&
         aFields.count(http::field::content_length) <= 1 &&
         aFields.count(http::field::host) == 1;
}

LocalResponse
ResponseToParseError(const ErrorCode& aError)
{
  if (aError == http::error::body_limit) {
    return { 413, ResultCode::kBodyTooLarge, "the body is too long", {} };
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return { 431, ResultCode::kInvalidHeader, "the head is too long", {} };
  }
  return { 400,
           ResultCode::kMalformedRequest,
           Cat("the request cannot be read: ", aError.message()),
           {} };
}

std::string
RetryAfterText(Duration aDuration)
{
  constexpr double kMillisecondsPerSecond = 1000;
  const double milliseconds =
    std::round(std::chrono::duration<double, std::milli>(aDuration).count());
  return Cat(milliseconds / kMillisecondsPerSecond);
}

} // namespace

CallerConnection::CallerConnection(Socket aSocket, GatewayState& aState)
  : m_socket(std::move(aSocket))
  , m_state(&aState)
  , m_headBufferId(aState.m_requestHeads.Add([this] { OnEvicted(); }))
{
}

CallerConnection::~CallerConnection()
{
  m_state->m_requestHeads.Remove(m_headBufferId);
  ReleaseBody();
}

void
CallerConnection::ReleaseBody()
{
  if (m_bodyBufferId) {
    m_state->m_requestBodies.Remove(*std::exchange(m_bodyBufferId, {}));
  }
}

void
CallerConnection::OnEvicted()
{
  m_isEvicted = true;
  ErrorCode ignored;
  m_socket.cancel(ignored);
}

CallerConnection::Awaitable<bool>
CallerConnection::WaitForBytes()
{
  m_isIdle = true;
  if (m_buffer.size() == 0) {
    if (m_buffer.capacity() > kMaxIdleBufferBytes) {
      m_buffer.shrink_to_fit();
    }
    m_waitDeadline =
      m_state->Now() + (m_state->m_routes
                          ? m_state->m_routes->Limits().m_idleTimeout
                          : CallerLimits().m_idleTimeout);
    ErrorCode error;
    co_await m_socket.async_wait(Socket::wait_read, Into(error));
    if (error) {
      co_return false;
    }
  }
  m_isIdle = false;
  co_return true;
}

CallerConnection::Awaitable<ReadResult>
CallerConnection::ReadRequest()
{
  ReleaseBody();
  m_request = {};
  m_hasBegunResponse = false;
  // A rejection must not be framed like the response to an earlier request.
  m_keepAlive = false;
  m_isHttp10 = false;
  m_isHeadRequest = false;
  if (!m_isOpen || !co_await WaitForBytes()) {
    co_return ReadResult::kClosed;
  }
  const CallerLimits limits =
    m_state->m_routes ? m_state->m_routes->Limits() : CallerLimits{};
  Parser parser;
  parser.header_limit(limits.m_maxHeaderBytes);
  m_buffer.max_size(
    std::max<std::size_t>(kMaxUnparsedBytes, limits.m_maxHeaderBytes));
  parser.body_limit(limits.m_maxBodyBytes);
  ErrorCode error;
  const Instant startedAt = m_state->Now();
  m_isReadingRequest = true;
  m_waitDeadline = startedAt + limits.m_headerTimeout;
  std::size_t received =
    co_await http::async_read_header(m_socket, m_buffer, parser, Into(error));
  m_isHeadRequest = parser.get().method() == http::verb::head;
  if (!error && !IsFramingUnambiguous(parser.get().base())) {
    error = http::error::bad_field;
  }
  if (!error) {
    m_waitDeadline = m_state->Now() + m_state->m_options.m_bodyTimeout;
    if (parser.get().count(http::field::expect) != 0 && !parser.is_done()) {
      std::string interim(kContinue);
      co_await Write(std::move(interim));
    }
    co_await ReadBody(parser, error, received);
  }
  m_state->m_counters.m_traffic.Record(TrafficPeer::kCallers, 0, received);
  m_waitDeadline.reset();
  m_isReadingRequest = false;
  // From here on the connection must not be cancelled to save memory.
  m_state->m_requestHeads.Resize(m_headBufferId, 0);
  if (error == http::error::end_of_stream) {
    co_return ReadResult::kClosed;
  }
  if (m_isEvicted) {
    const LocalResponse refusal{ kUnavailable,
                                 ResultCode::kOverloaded,
                                 "too many requests are in memory",
                                 std::chrono::milliseconds(500) };
    co_await SendLocalResponse(refusal);
    co_return ReadResult::kRejected;
  }
  const bool isCutByStop = error == asio::error::operation_aborted &&
                           m_socket.is_open() && m_state->m_answersDueBy &&
                           m_state->Now() >= *m_state->m_answersDueBy;
  if (isCutByStop) {
    const LocalResponse refusal{ kUnavailable,
                                 ResultCode::kDraining,
                                 "the router stops before the request arrived",
                                 m_state->m_options.m_retryAfterStop };
    co_await SendLocalResponse(refusal);
    co_return ReadResult::kRejected;
  }
  if (error) {
    const bool isTransportError =
      error.category() != make_error_code(http::error::bad_field).category();
    if (!isTransportError) {
      const LocalResponse rejection = ResponseToParseError(error);
      co_await SendLocalResponse(rejection);
    } else if (!m_socket.is_open()) {
      co_return ReadResult::kClosed;
    }
    co_return isTransportError ? ReadResult::kClosed : ReadResult::kRejected;
  }
  auto message = parser.release();
  m_keepAlive = message.keep_alive() && !m_state->m_isStopping;
  m_isHttp10 = message.version() < 11;
  m_request.m_method = ToString(message.method_string());
  m_request.m_target = ToString(message.target());
  for (const auto& field : message) {
    m_request.m_fields.emplace_back(ToString(field.name_string()),
                                    ToString(field.value()));
  }
  m_request.m_body = std::move(message.body());
  if (m_bodyBufferId) {
    m_state->m_requestBodies.Complete(*m_bodyBufferId);
  }
  co_return ReadResult::kRequest;
}

CallerConnection::Awaitable<void>
CallerConnection::ReadBody(Parser& aParser,
                           ErrorCode& aError,
                           std::size_t& aReceived)
{
  while (!aError && !aParser.is_done() && !m_isEvicted) {
    aReceived +=
      co_await http::async_read_some(m_socket, m_buffer, aParser, Into(aError));
    const std::size_t size = aParser.get().body().size();
    if (size == 0) {
      continue;
    }
    if (!m_bodyBufferId) {
      m_bodyBufferId = m_state->m_requestBodies.Add([this] { OnEvicted(); });
    }
    m_state->m_requestBodies.Resize(*m_bodyBufferId, size);
  }
}

CallerConnection::Awaitable<void>
CallerConnection::Write(std::string aBytes)
{
  ErrorCode error;
  const std::size_t sent =
    co_await asio::async_write(m_socket, asio::buffer(aBytes), Into(error));
  m_state->m_counters.m_traffic.Record(TrafficPeer::kCallers, sent, 0);
  if (error) {
    Close();
  }
}

std::string
CallerConnection::FormatHead(int aStatus,
                             std::string_view aReason,
                             const FieldList& aFields) const
{
  std::string head = Cat("HTTP/1.1 ", aStatus, " ", aReason, "\r\n");
  for (const auto& [name, value] : aFields) {
    Append(head, name, ": ", value, "\r\n");
  }
  if (!m_keepAlive || m_state->m_isStopping) {
    head += "Connection: close\r\n";
  }
  return head;
}

CallerConnection::Awaitable<void>
CallerConnection::SendLocalResponse(const LocalResponse& aResponse)
{
  const std::string body = nlohmann::json{
    { "error",
      { { "code", static_cast<int>(aResponse.m_code) },
        { "name", std::string(Describe(aResponse.m_code).m_name) },
        { "message", aResponse.m_errorMessage } } }
  }.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  FieldList fields = { { "Content-Type", "application/json" } };
  const bool isRefusal = aResponse.m_status == kUnavailable ||
                         aResponse.m_status == kTooManyRequests;
  if (isRefusal && aResponse.m_retryAfter.count() > 0) {
    fields.emplace_back("Retry-After", RetryAfterText(aResponse.m_retryAfter));
  }
  UpstreamResponse response;
  response.m_status = aResponse.m_status;
  response.m_reason = ToString(http::obsolete_reason(
    http::int_to_status(static_cast<unsigned>(aResponse.m_status))));
  response.m_forwardedFields = std::move(fields);
  co_await SendFullResponse(response, body);
}

CallerConnection::Awaitable<void>
CallerConnection::SendFullResponse(const UpstreamResponse& aResponse,
                                   const std::string& aBody)
{
  m_hasBegunResponse = true;
  m_keepAlive = m_keepAlive && !m_state->m_levelling.TakeClose();
  std::string bytes = FormatHead(
    aResponse.m_status, aResponse.m_reason, aResponse.m_forwardedFields);
  Append(bytes, "Content-Length: ", aBody.size(), "\r\n\r\n");
  if (!m_isHeadRequest) {
    bytes += aBody;
  }
  co_await Write(std::move(bytes));
  FinishResponse();
}

void
CallerConnection::FinishResponse()
{
  // A stream that began before the stop request announced a persistent
  // connection; it is closed nevertheless.
  if (!m_keepAlive || m_state->m_isStopping) {
    m_isOpen = false;
  }
}

CallerConnection::Awaitable<void>
CallerConnection::BeginStream(const UpstreamResponse& aResponse,
                              const std::string& aFirstEvents)
{
  m_hasBegunResponse = true;
  if (m_isHttp10 || m_state->m_isStopping ||
      (m_keepAlive && m_state->m_levelling.TakeClose())) {
    m_keepAlive = false;
  }
  if (m_isHttp10) {
    // A normal close would make an interrupted stream look complete.
    SetResetOnClose(true);
  }
  std::string bytes = FormatHead(
    aResponse.m_status, aResponse.m_reason, aResponse.m_forwardedFields);
  bytes += m_isHttp10 ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
  if (!aFirstEvents.empty()) {
    m_isHttp10
      ? Append(bytes, aFirstEvents)
      : Append(bytes, Hex(aFirstEvents.size()), "\r\n", aFirstEvents, "\r\n");
  }
  co_await Write(std::move(bytes));
}

CallerConnection::Awaitable<void>
CallerConnection::SendEvents(const std::string& aEvents)
{
  if (aEvents.empty()) {
    co_return;
  }
  std::string bytes =
    m_isHttp10 ? aEvents : Cat(Hex(aEvents.size()), "\r\n", aEvents, "\r\n");
  co_await Write(std::move(bytes));
}

CallerConnection::Awaitable<void>
CallerConnection::EndStream()
{
  if (m_isHttp10) {
    SetResetOnClose(false);
  } else {
    std::string lastChunk(kLastChunk);
    co_await Write(std::move(lastChunk));
  }
  FinishResponse();
}

void
CallerConnection::SetResetOnClose(bool aIsReset)
{
  ErrorCode ignored;
  m_socket.set_option(asio::socket_base::linger(aIsReset, 0), ignored);
}

void
CallerConnection::WatchForDisconnect(std::function<void()> aOnDisconnect)
{
  m_onDisconnect = std::move(aOnDisconnect);
  if (m_buffer.size() != 0) {
    return; // The next request has arrived, so the caller is still connected.
  }
  const std::uint64_t watchId = ++m_watchId;
  m_socket.async_wait(
    Socket::wait_read,
    [this, watchId, lifetimeToken = std::weak_ptr<bool>(m_lifetimeToken)](
      const ErrorCode& aError) {
      if (!lifetimeToken.expired() &&
          aError != asio::error::operation_aborted) {
        CheckForDisconnect(watchId);
      }
    });
}

void
CallerConnection::CheckForDisconnect(std::uint64_t aWatchId)
{
  if (aWatchId != m_watchId || !m_onDisconnect) {
    return;
  }
  ErrorCode error;
  char byte = 0;
  m_socket.non_blocking(true, error);
  const std::size_t count =
    m_socket.receive(asio::buffer(&byte, 1), Socket::message_peek, error);
  const bool isConnected =
    error == asio::error::would_block || (!error && count > 0);
  if (!isConnected) {
    auto onDisconnect = std::exchange(m_onDisconnect, nullptr);
    onDisconnect();
  }
}

void
CallerConnection::StopDisconnectWatch()
{
  m_onDisconnect = nullptr;
  ++m_watchId;
  ErrorCode ignored;
  m_socket.cancel(ignored);
}

CallerConnection::Awaitable<void>
CallerConnection::CloseGracefully()
{
  // Closing a socket with unread bytes resets the connection, and the caller
  // may lose the response: read and discard until the linger timeout.
  ErrorCode error;
  m_socket.shutdown(Socket::shutdown_send, error);
  m_waitDeadline = m_state->Now() + kLingerTimeout;
  std::array<char, 4096> discarded{};
  while (!error && m_state->Now() < *m_waitDeadline) {
    co_await m_socket.async_read_some(asio::buffer(discarded), Into(error));
  }
  m_waitDeadline.reset();
  Close();
}

bool
CallerConnection::HasUnreadBytes() const
{
  ErrorCode ignored;
  return m_socket.available(ignored) > 0;
}

void
CallerConnection::Tick(Instant aNow, Duration aStall)
{
  m_state->m_requestHeads.Resize(m_headBufferId,
                                 m_isReadingRequest ? m_buffer.capacity() : 0);
  if (!m_waitDeadline) {
    return;
  }
  *m_waitDeadline += aStall;
  if (m_isReadingRequest && m_state->m_answersDueBy) {
    m_waitDeadline = std::min(*m_waitDeadline, *m_state->m_answersDueBy);
  }
  if (aNow >= *m_waitDeadline) {
    EndWait();
  }
}

void
CallerConnection::EndIdleWait()
{
  if (m_isIdle) {
    EndWait();
  }
}

void
CallerConnection::EndWait()
{
  if (HasUnreadBytes()) {
    return;
  }
  // Unlike Close, this does not affect a read that has completed but whose
  // handler has not run yet.
  ErrorCode ignored;
  m_socket.cancel(ignored);
}

void
CallerConnection::Close()
{
  m_isOpen = false;
  ErrorCode ignored;
  m_socket.close(ignored);
}

} // namespace bergamotpaddle
