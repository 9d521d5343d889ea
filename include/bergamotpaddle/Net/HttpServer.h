/// \file
/// An HTTP server over Pistache. A connection is accessed only on its reactor
/// thread, so that callers may disconnect at any time.
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

/// A request as received. Header names are in lower case.
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

/// Headers of a response, in the order sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Responds to one request. Every method may be called from any thread; after
/// the caller has disconnected, sending does nothing.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  /// Sends a complete response.
  virtual void Send(int aStatus,
                    std::string aBody,
                    std::string aContentType,
                    HttpHeaders aHeaders) = 0;
  /// Starts a streamed response.
  virtual void Start(int aStatus,
                     std::string aContentType,
                     HttpHeaders aHeaders) = 0;
  /// Sends a chunk of a streamed response.
  virtual void Write(std::string aChunk) = 0;
  /// Ends a streamed response.
  virtual void End() = 0;
  /// Shuts the connection down without ending the response: the caller sees an
  /// incomplete response.
  virtual void Abort() = 0;
  /// Sets a callback that runs on the reactor's thread if the caller
  /// disconnects before the response has ended.
  virtual void OnClosed(std::function<void()> aCallback) = 0;

  /// Sends \p aJson, which is encoded already, as a complete response.
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
  }; ///< Of a connection without a request in flight.
};

/// Listens for connections and passes each request to one handler.
class HttpServer
{
public:
  /// Called on a reactor's thread.
  using Handler = std::function<void(HttpRequest, HttpResponderPtr)>;

  HttpServer(HttpServerOptions aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address and starts the threads. Returns `Unavailable` if the
  /// address cannot be bound; the message contains the address.
  absl::Status Start();

  /// The port that the server is bound to.
  std::uint16_t Port() const;

  /// Number of open connections, updated once a second.
  std::size_t OpenConnections() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bergamotpaddle
