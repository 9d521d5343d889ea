#include "bergamotpaddle/Net/HttpServer.h"

#include "HttpConnection.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <pistache/http.h>
#include <pistache/listener.h>
#include <pistache/peer.h>
#include <sys/socket.h>

namespace bergamotpaddle {

namespace {

std::string
ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return aText;
}

HttpRequest
ToHttpRequest(const Pistache::Http::Request& aRequest)
{
  HttpRequest request;
  request.m_method = Pistache::Http::methodString(aRequest.method());
  request.m_path = aRequest.resource();
  request.m_body = aRequest.body();
  for (auto it = aRequest.query().parameters_begin();
       it != aRequest.query().parameters_end();
       ++it) {
    request.m_query.emplace(it->first, it->second);
  }
  for (const auto& [name, raw] : aRequest.headers().rawList()) {
    request.m_headers.emplace(ToLower(name), raw.value());
  }
  return request;
}

} // namespace

std::string
HttpRequest::Header(const std::string& aName) const
{
  auto found = m_headers.find(aName);
  return found == m_headers.end() ? "" : found->second;
}

std::string
HttpRequest::Query(const std::string& aName) const
{
  auto found = m_query.find(aName);
  return found == m_query.end() ? "" : found->second;
}

/// Passes requests from Pistache to the server's handler. Pistache clones it
/// for each reactor thread.
class HttpHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(HttpHandler)

  HttpHandler(const HttpServerOptions& aOptions, HttpServer::Handler aHandler)
    : m_handler(std::move(aHandler))
  {
    setMaxRequestSize(aOptions.m_maxRequestBytes);
    setMaxResponseSize(kMaxResponseBytes);
  }

  void onRequest(const Pistache::Http::Request& aRequest,
                 Pistache::Http::ResponseWriter aWriter) override
  {
    auto* reactor = static_cast<ReactorTransport*>(transport());
    std::shared_ptr<Pistache::Tcp::Peer> peer = aWriter.peer();
    if (reactor->IsServing(peer)) {
      // Pipelining is not supported: responses could be sent out of order.
      shutdown(static_cast<int>(peer->fd()), SHUT_RDWR);
      return;
    }
    auto responder =
      std::make_shared<PistacheResponder>(std::move(aWriter), reactor->Queue());
    reactor->OnRequestBegan(peer, responder);
    m_handler(ToHttpRequest(aRequest), responder);
  }

  void onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {

    static_cast<ReactorTransport*>(transport())->OnPeerDisconnected(aPeer);
  }

private:
  static constexpr std::size_t kMaxResponseBytes = 64U << 20U;

  HttpServer::Handler m_handler;
};

class HttpServer::Impl
{
public:
  Impl(HttpServerOptions aOptions, Handler aHandler)
    : m_options(std::move(aOptions))
    , m_handler(std::move(aHandler))
  {
  }

  ~Impl()
  {
    if (m_listener.isBound()) {
      m_listener.shutdown();
    }
  }

  absl::Status Start()
  {
    try {
      m_listener.init(m_options.m_workers,
                      Pistache::Flags<Pistache::Tcp::Options>(
                        Pistache::Tcp::Options::ReuseAddr) |
                        Pistache::Tcp::Options::NoDelay);
      auto handler = std::make_shared<HttpHandler>(m_options, m_handler);
      m_listener.setTransportFactory([handler, this] {
        return std::make_shared<ReactorTransport>(
          handler,
          m_connectionCount,
          ReactorTimeouts{ m_options.m_requestTimeout,
                           m_options.m_idleTimeout });
      });
      m_listener.setHandler(handler);
      m_listener.bind(Pistache::Address(m_options.m_address,
                                        Pistache::Port(m_options.m_port)));
      m_listener.runThreaded();
    } catch (const std::exception& error) {
      return absl::UnavailableError(absl::StrCat("cannot listen on ",
                                                 m_options.m_address,
                                                 ":",
                                                 m_options.m_port,
                                                 ": ",
                                                 error.what(),
                                                 "; choose a free address"));
    }
    return absl::OkStatus();
  }

  std::uint16_t Port() const { return m_listener.getPort(); }
  std::size_t OpenConnections() const { return m_connectionCount->load(); }

private:
  HttpServerOptions m_options;
  Handler m_handler;
  ConnectionCountPtr m_connectionCount =
    std::make_shared<std::atomic<std::size_t>>(0);
  Pistache::Tcp::Listener m_listener;
};

HttpServer::HttpServer(HttpServerOptions aOptions, Handler aHandler)
  : m_impl(std::make_unique<Impl>(std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

absl::Status
HttpServer::Start()
{
  return m_impl->Start();
}

std::uint16_t
HttpServer::Port() const
{
  return m_impl->Port();
}

std::size_t
HttpServer::OpenConnections() const
{
  return m_impl->OpenConnections();
}

} // namespace bergamotpaddle
