#include "bergamotpaddle/Forwarding/UpstreamExchange.h"

#include "bergamotpaddle/Forwarding/Endpoint.h"
#include "bergamotpaddle/Forwarding/ResponseHead.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using ErrorCode = boost::system::error_code;

/// Limit on all response heads of one exchange, interim responses included;
/// those of upstreams are below 1 KB.
constexpr std::uint64_t kMaxHeadBytes = 32ULL * 1024;
/// Callers of ReadBody limit the body size. An empty value for "no limit" fails
/// in Beast of Boost 1.74.
constexpr std::uint64_t kNoLimit = std::numeric_limits<std::uint64_t>::max();
/// Longest delay of a reset beyond the time on the network: the kernel of a
/// host sends it, however busy the processes there are.
constexpr auto kMaxResetDelay = std::chrono::milliseconds(50);

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

} // namespace

std::string_view
Describe(AbortReason aReason)
{
  switch (aReason) {
    case AbortReason::kNone:
      return "upstream";
    case AbortReason::kCallerDisconnected:
      return "caller";
    case AbortReason::kDeadline:
      return "deadline";
    case AbortReason::kIdleTimeout:
      return "silence";
    case AbortReason::kReplaced:
      return "replaced";
    case AbortReason::kMemory:
      return "memory";
  }
  return "";
}

UpstreamExchange::UpstreamExchange(const asio::any_io_executor& aExecutor)
  : m_socket(aExecutor)
  , m_sendingEnded(aExecutor)
  , m_buffer(kMaxUnparsedBytes)
{
}

UpstreamExchange::Awaitable<bool>
UpstreamExchange::Connect(std::string aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    co_return false;
  }
  ErrorCode error;
  const auto startedAt = std::chrono::steady_clock::now();
  co_await m_socket.async_connect(*endpoint, Into(error));
  m_connectTime = std::chrono::steady_clock::now() - startedAt;
  if (error || m_abortReason != AbortReason::kNone) {
    m_error = error.message();
    co_return false;
  }
  m_socket.set_option(asio::ip::tcp::no_delay(true), error);
  co_return true;
}

void
UpstreamExchange::BeginSending(std::string aHead,
                               std::shared_ptr<const std::string> aBody)
{
  auto send = [](std::shared_ptr<UpstreamExchange> aSelf,
                 std::string aHead,
                 std::shared_ptr<const std::string> aBody) -> Awaitable<void> {
    const std::array<asio::const_buffer, 2> buffers = { asio::buffer(aHead),
                                                        asio::buffer(*aBody) };
    aSelf->m_bytes.m_sent += co_await asio::async_write(
      aSelf->m_socket, buffers, Into(aSelf->m_sendError));
    aSelf->m_isSending = false;
    aSelf->m_sendingEnded.cancel();
  };
  m_isSending = true;
  asio::co_spawn(m_socket.get_executor(),
                 send(shared_from_this(), std::move(aHead), std::move(aBody)),
                 asio::detached);
}

UpstreamExchange::Awaitable<std::optional<UpstreamExchange::Head>>
UpstreamExchange::ReadHead(bool aIsHeadRequest)
{
  ErrorCode error;
  do {
    m_parser.emplace();
    m_parser->body_limit(kNoLimit);
    m_parser->skip(aIsHeadRequest);
    m_bytes.m_received += co_await http::async_read_header(
      m_socket, m_buffer, *m_parser, Into(error));
    if (!error && m_bytes.m_received > kMaxHeadBytes) {
      error = http::error::header_limit;
    }
    if (!error) {
      error = CheckResponseHead(m_parser->get());
    }
  } while (!error && m_parser->get().result_int() < kFirstFinalStatus);
  if (error) {
    NoteReadError(error);
    co_return std::nullopt;
  }
  Head head;
  head.m_status = static_cast<int>(m_parser->get().result_int());
  head.m_reason = ToString(m_parser->get().reason());
  for (const auto& field : m_parser->get()) {
    head.m_fields.emplace_back(ToString(field.name_string()),
                               ToString(field.value()));
  }
  m_isComplete = m_parser->is_done();
  co_return head;
}

UpstreamExchange::Awaitable<UpstreamExchange::ErrorCode>
UpstreamExchange::FindReset()
{
  if (m_isSending) {
    ErrorCode ignored;
    m_sendingEnded.expires_after(2 * m_connectTime + kMaxResetDelay);
    co_await m_sendingEnded.async_wait(Into(ignored));
  }
  if (m_abortReason != AbortReason::kNone) {
    co_return asio::error::operation_aborted;
  }
  co_return m_sendError;
}

UpstreamExchange::Awaitable<std::string>
UpstreamExchange::ReadBody()
{
  std::string bytes;
  ErrorCode error;
  while (bytes.empty() && !m_parser->is_done() && !error) {
    m_bytes.m_received += co_await http::async_read_some(
      m_socket, m_buffer, *m_parser, Into(error));
    bytes.swap(m_parser->get().body());
  }
  m_error.clear();
  // A response without a length is complete when the connection ends, unless
  // the connection was reset or the exchange aborted.
  const bool isEndedByConnection =
    !error && m_parser->is_done() && m_parser->need_eof();
  if (isEndedByConnection) {
    error = co_await FindReset();
  }
  if (error) {
    NoteReadError(error);
  } else if (isEndedByConnection) {
    m_wasEnded = true;
  }
  m_hasBody = m_hasBody || !bytes.empty();
  m_isComplete =
    m_parser->is_done() && !error && !(isEndedByConnection && IsBare());
  co_return bytes;
}

std::optional<std::uint64_t>
UpstreamExchange::AnnouncedLength() const
{
  const boost::optional<std::uint64_t> length = m_parser->content_length();
  return length ? std::optional(*length) : std::nullopt;
}

bool
UpstreamExchange::IsBare() const
{
  return !m_hasBody && http::to_status_class(m_parser->get().result()) ==
                         http::status_class::successful;
}

void
UpstreamExchange::NoteReadError(const ErrorCode& aError)
{
  m_error = aError.message();
  const bool isMalformed =
    aError.category() == make_error_code(http::error::bad_field).category() &&
    aError != http::error::end_of_stream &&
    aError != http::error::partial_message;
  m_wasEnded = !isMalformed && m_abortReason == AbortReason::kNone;
}

bool
UpstreamExchange::HasUnreadBytes() const
{
  ErrorCode ignored;
  return m_socket.available(ignored) > 0;
}

void
UpstreamExchange::Abort(AbortReason aReason)
{
  if (m_abortReason == AbortReason::kNone) {
    m_abortReason = aReason;
  }
  Close();
}

void
UpstreamExchange::Close()
{
  ErrorCode ignored;
  m_socket.close(ignored);
}

} // namespace bergamotpaddle
