/// \file
/// The parts of the HTTP server that run on a reactor thread; private to Net.
///
/// Pistache 0.0.5 aborts when another thread writes to a peer that has just
/// disconnected. Therefore each reactor has a queue of closures, and an
/// `eventfd` in its poller wakes it to run them. The closures check that the
/// peer still exists.
#pragma once

#include "bergamotpaddle/Net/HttpServer.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <pistache/http.h>
#include <pistache/transport.h>
#include <unordered_map>

namespace bergamotpaddle {

using ConnectionCountPtr = std::shared_ptr<std::atomic<std::size_t>>;

/// Queue of closures for one reactor thread.
class ReactorQueue
{
public:
  ReactorQueue();
  ~ReactorQueue();
  ReactorQueue(const ReactorQueue&) = delete;
  ReactorQueue& operator=(const ReactorQueue&) = delete;

  /// Queues \p aTask for the reactor's thread. Thread-safe.
  void Post(std::function<void()> aTask);
  /// Runs the queued closures. Reactor thread only.
  void Drain();
  int Descriptor() const { return m_descriptor; }

private:
  int m_descriptor;
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_tasks;
};

using ReactorQueuePtr = std::shared_ptr<ReactorQueue>;

/// Limits on how long an inactive connection may hold a descriptor.
struct ReactorTimeouts
{
  std::chrono::milliseconds m_request;
  std::chrono::milliseconds m_idle;
};

/// Responds to one request on its reactor's thread.
class PistacheResponder
  : public HttpResponder
  , public std::enable_shared_from_this<PistacheResponder>
{
public:
  PistacheResponder(Pistache::Http::ResponseWriter aWriter,
                    ReactorQueuePtr aQueue);
  ~PistacheResponder() override;

  void Send(int aStatus,
            std::string aBody,
            std::string aContentType,
            HttpHeaders aHeaders) override;
  void Start(int aStatus,
             std::string aContentType,
             HttpHeaders aHeaders) override;
  void Write(std::string aChunk) override;
  void End() override;
  void Abort() override;
  void OnClosed(std::function<void()> aCallback) override;

  /// Handles the disconnection of the caller. Reactor thread only.
  void OnPeerDisconnected();
  /// Whether the response has ended. Reactor thread only.
  bool HasEnded() const { return m_hasEnded; }

private:
  void PostIfAlive(std::function<void()> aTask);
  void SetHeaders(const std::string& aContentType, const HttpHeaders& aHeaders);

  ReactorQueuePtr m_queue;
  std::weak_ptr<Pistache::Tcp::Peer> m_peer;
  // Used by the reactor's thread only.
  std::optional<Pistache::Http::ResponseWriter> m_writer;
  std::optional<Pistache::Http::ResponseStream> m_stream;
  std::function<void()> m_onClosed;
  bool m_hasEnded = false;
  bool m_isDisconnected = false;
};

/// A reactor's transport that also runs queued closures and closes connections
/// whose timeout has expired.
class ReactorTransport : public Pistache::Tcp::Transport
{
public:
  ReactorTransport(const std::shared_ptr<Pistache::Tcp::Handler>& aHandler,
                   ConnectionCountPtr aCount,
                   ReactorTimeouts aTimeouts);
  ~ReactorTransport() override;

  void registerPoller(Pistache::Polling::Epoll& aPoller) override;
  void onReady(const Pistache::Aio::FdSet& aReady) override;
  std::shared_ptr<Pistache::Aio::Handler> clone() const override;

  ReactorQueuePtr Queue() const { return m_queue; }

  /// Whether a response to \p aPeer is in progress.
  bool IsServing(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) const;
  void OnRequestBegan(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer,
                      const std::shared_ptr<PistacheResponder>& aResponder);
  void OnPeerDisconnected(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer);

private:
  /// State of one connection.
  struct Connection
  {
    std::shared_ptr<PistacheResponder> m_responder;
    std::chrono::steady_clock::time_point m_lastProgress;
  };

  void DispatchEvent(const Pistache::Aio::FdSet::Entry& aEntry);
  void CloseExpiredConnections();

  std::shared_ptr<Pistache::Tcp::Handler> m_handlerPrototype;
  ConnectionCountPtr m_connectionCount;
  ReactorTimeouts m_timeouts;
  ReactorQueuePtr m_queue;
  int m_expiryTimer;
  std::size_t m_countedConnections =
    0; ///< This reactor's share of m_connectionCount.
  std::unordered_map<std::size_t, Connection>
    m_connections; ///< By Pistache's peer ID.
};

} // namespace bergamotpaddle
