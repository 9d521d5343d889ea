/// \file
/// An HTTP client over libcurl's multi interface; one thread runs all calls of
/// a client.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// An HTTP request and its timeouts.
struct HttpCall
{
  std::string m_method = "GET";
  std::string m_url;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  std::chrono::milliseconds m_connectTimeout{ 1'000 };
  std::chrono::milliseconds m_totalTimeout{ 10'000 }; ///< 0: no limit.
  /// Longest body; a longer one fails the call.
  std::size_t m_maxBodyBytes = 16UL << 20U;
  /// Makes the call on a new connection, which is closed afterwards. On a
  /// persistent connection that the remote endpoint has closed, libcurl resends
  /// the call by itself, so that a call that must run once could run twice.
  bool m_useNewConnection = false;
};

/// Result of a call.
struct HttpReply
{
  int m_status = 0;    ///< 0: no complete response was received.
  std::string m_body;  ///< Empty if the chunks went to a ChunkHook.
  std::string m_error; ///< Why there is no complete response.
  bool m_isUnsent =
    false; ///< The remote endpoint cannot have received the call.
  /// A success whose body has neither a length nor chunks nor a byte: nothing
  /// tells an empty body from a server that crashed after the head.
  bool m_isBare = false;

  bool HasResponse() const { return m_status != 0; }
};

/// A response whose connection closed after its status line and before the end
/// of its head.
struct TruncatedHead
{
  std::string m_method; ///< Of the call.
  std::string m_server; ///< Scheme, host and port of the call's URL.
  int m_status = 0;     ///< From the last status line, which may be interim.
  auto operator<=>(const TruncatedHead&) const = default;
};

/// Identifies a call in flight.
using HttpCallId = std::uint64_t;

/// Makes HTTP calls; the executor runs every hook. Calls that are in flight
/// when the client is destroyed end without a hook.
class HttpClient
{
public:
  using Executor = std::function<void(std::function<void()>)>;
  using DoneHook = std::function<void(HttpReply)>;
  using ChunkHook = std::function<void(std::string)>;
  using TruncationHook = std::function<void(const TruncatedHead&)>;

  explicit HttpClient(Executor aExecutor,
                      TruncationHook aOnTruncatedHead = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts \p aCall. If \p aOnChunk is set, it gets the pieces of a body with
  /// status 200 as they are received.
  HttpCallId Start(HttpCall aCall,
                   DoneHook aOnDone,
                   ChunkHook aOnChunk = nullptr);

  /// Cancels a call; its DoneHook still runs, with an error. Does nothing if
  /// the call has ended.
  void Cancel(HttpCallId aId);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bergamotpaddle
