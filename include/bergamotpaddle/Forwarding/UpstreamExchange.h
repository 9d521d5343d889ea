/// \file
/// One request at one upstream, on a connection of its own.
///
/// A fresh connection for each exchange costs a round trip, and rules out that
/// an answer left over from another request, or a connection that went silent
/// or was closed while idle, meets this one.
#pragma once

#include "bergamotpaddle/Forwarding/GatewayState.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

namespace bergamotpaddle {

/// Why an exchange was broken off from this side.
enum class AbortReason
{
  kNone,
  kCallerLeft,
  kDeadline,
  kSilence, ///< No byte from the upstream for too long.
};

/// The exchange. Every wait ends when `Abort` is called.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  template<typename T>
  using Awaitable = boost::asio::awaitable<T>;

  explicit UpstreamExchange(const boost::asio::any_io_executor& aExecutor);

  /// False if no connection was made by then.
  Awaitable<bool> Connect(std::string aAddress);

  /// Starts to send; the answer may come before all is sent.
  void BeginSending(std::string aHead,
                    std::shared_ptr<const std::string> aBody);

  /// The status line and fields, or nullopt.
  struct Head
  {
    int m_status = 0;
    std::string m_reason;
    FieldList m_fields;
  };
  Awaitable<std::optional<Head>> ReadHead(bool aIsHeadRequest);

  /// More bytes of the body. An empty string: its end, whole, if `IsWhole`,
  /// else broken off.
  Awaitable<std::string> ReadBody();
  /// Whether the body has come to its proper end.
  bool IsWhole() const { return m_isWhole; }

  void Abort(AbortReason aReason);
  AbortReason Aborted() const { return m_aborted; }
  void Close();
  /// What went wrong last; empty if nothing did.
  const std::string& Error() const { return m_error; }
  const TrafficCount& Bytes() const { return m_bytes; }

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  Socket m_socket;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  AbortReason m_aborted = AbortReason::kNone;
  bool m_isWhole = false;
  std::string m_error;
  TrafficCount m_bytes;
};

} // namespace bergamotpaddle
