/// \file
/// The HTTP server shell over Pistache. Every touch of a connection happens on
/// that connection's reactor thread, so callers may leave at any moment.
#pragma once

#include <absl/status/status.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A request as it came in. Header names are in lower case.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::map<std::string, std::string> m_headers;
  std::string m_body;

  /// The header's value, or "" if it is absent. \p aName is in lower case.
  std::string Header(const std::string& aName) const;
  /// The query parameter's value, or "" if it is absent.
  std::string Query(const std::string& aName) const;
};

/// Headers of an answer, in the order sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Answers one request. Every method may be called from any thread; after the
/// caller left they do nothing.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  /// Sends a whole answer.
  virtual void Send(int aStatus,
                    std::string aBody,
                    std::string aContentType,
                    HttpHeaders aHeaders) = 0;
  /// Opens a streamed answer.
  virtual void Start(int aStatus,
                     std::string aContentType,
                     HttpHeaders aHeaders) = 0;
  /// Sends a piece of a streamed answer.
  virtual void Write(std::string aChunk) = 0;
  /// Ends a streamed answer.
  virtual void End() = 0;
  /// Ends the connection without ending the answer: the caller sees a cut.
  virtual void Abort() = 0;
  /// Sets what to run, on the reactor's thread, when the caller leaves before
  /// the answer ended.
  virtual void OnClosed(std::function<void()> aCallback) = 0;

  /// Sends \p aJson, already encoded, as a whole answer.
  void SendJson(int aStatus, std::string aJson, HttpHeaders aHeaders = {})
  {
    Send(aStatus, std::move(aJson), "application/json", std::move(aHeaders));
  }
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;

/// Settings of a server.
struct HttpServerOptions
{
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;                  ///< 0: any free port.
  std::size_t m_workers = 2;                 ///< Reactor threads.
  std::size_t m_maxRequestBytes = 1U << 20U; ///< Head and body together.
  std::chrono::milliseconds m_requestTimeout{
    10'000
  }; ///< From first to last byte of a request.
  std::chrono::milliseconds m_idleTimeout{
    60'000
  }; ///< Of a connection with nothing under way.
};

/// Listens and hands each request to one handler.
class HttpServer
{
public:
  /// Called on a reactor's thread.
  using Handler = std::function<void(HttpRequest, HttpResponderPtr)>;

  HttpServer(HttpServerOptions aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts the threads; an error names the address.
  absl::Status Start();

  /// The port bound.
  std::uint16_t Port() const;

  /// Connections open, counted once a second.
  std::size_t OpenConnections() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bergamotpaddle
