/// \file
/// The HTTP client shell over libcurl's multi interface: one thread carries
/// every call of the process.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// A call to make.
struct HttpCall
{
  std::string m_method = "GET";
  std::string m_url;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  std::chrono::milliseconds m_connectTimeout{ 1'000 };
  std::chrono::milliseconds m_totalTimeout{ 10'000 }; ///< 0: no bound.
  /// Use a connection of its own. On a kept one libcurl sends a call again by
  /// itself if the other end had closed it: a second run of what must run once.
  bool m_ownConnection = false;
};

/// How a call ended.
struct HttpReply
{
  int m_status = 0;    ///< 0: no whole answer came.
  std::string m_body;  ///< Empty if the chunks were handed on.
  std::string m_error; ///< Why no whole answer came.
  bool m_neverSent =
    false; ///< Proved: the other end cannot have seen the call.

  bool HasResponse() const { return m_status != 0; }
};

/// Identifies a call under way.
using HttpCallId = std::uint64_t;

/// Makes calls; every hook runs where the executor runs its closures.
class HttpClient
{
public:
  using Executor = std::function<void(std::function<void()>)>;
  using DoneHook = std::function<void(HttpReply)>;
  using ChunkHook = std::function<void(std::string)>;

  explicit HttpClient(Executor aExecutor);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts \p aCall. With \p aOnChunk, pieces of a body with status 200 go
  /// there as they come in.
  HttpCallId Start(HttpCall aCall,
                   DoneHook aOnDone,
                   ChunkHook aOnChunk = nullptr);

  /// Ends a call; its done hook still runs, with an error.
  void Cancel(HttpCallId aId);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bergamotpaddle
