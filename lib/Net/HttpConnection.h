/// \file
/// Private to Net: what runs on a reactor thread of the HTTP server.
///
/// Pistache 0.0.5 aborts when another thread writes to a peer that just left.
/// So each reactor owns a queue of closures, and an `eventfd` in its poller
/// wakes it to run them; closures check that the peer still lives.
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

/// Closures for one reactor thread.
class ReactorQueue
{
public:
  ReactorQueue();
  ~ReactorQueue();
  ReactorQueue(const ReactorQueue&) = delete;
  ReactorQueue& operator=(const ReactorQueue&) = delete;

  /// Queues \p aTask for the reactor's thread; callable from any thread.
  void Post(std::function<void()> aTask);
  /// Runs what is queued; the reactor's thread alone.
  void Drain();
  int Descriptor() const { return m_descriptor; }

private:
  int m_descriptor;
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_tasks;
};

using ReactorQueuePtr = std::shared_ptr<ReactorQueue>;

/// Bounds on how long a connection may hold a descriptor.
struct ReactorTimeouts
{
  std::chrono::milliseconds m_request;
  std::chrono::milliseconds m_idle;
};

/// Answers one request on its reactor's thread.
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

  /// The caller left; the reactor's thread alone.
  void PeerLeft();
  /// The answer has ended; the reactor's thread alone.
  bool Ended() const { return m_ended; }

private:
  void PostIfAlive(std::function<void()> aTask);
  void SetHeaders(const std::string& aContentType, const HttpHeaders& aHeaders);

  ReactorQueuePtr m_queue;
  std::weak_ptr<Pistache::Tcp::Peer> m_peer;
  // Touched by the reactor's thread alone.
  std::optional<Pistache::Http::ResponseWriter> m_writer;
  std::optional<Pistache::Http::ResponseStream> m_stream;
  std::function<void()> m_onClosed;
  bool m_ended = false;
  bool m_left = false;
};

/// A reactor's transport with a queue of closures and a sweep of connections.
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

  /// Whether an answer to \p aPeer has not ended yet.
  bool IsServing(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) const;
  void RequestBegan(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer,
                    const std::shared_ptr<PistacheResponder>& aResponder);
  void PeerLeft(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer);

private:
  /// What is known of one connection.
  struct Connection
  {
    std::shared_ptr<PistacheResponder> m_responder;
    std::chrono::steady_clock::time_point m_lastProgress;
  };

  void Forward(const Pistache::Aio::FdSet::Entry& aEntry);
  void Sweep();

  std::shared_ptr<Pistache::Tcp::Handler> m_handlerPrototype;
  ConnectionCountPtr m_count;
  ReactorTimeouts m_timeouts;
  ReactorQueuePtr m_queue;
  int m_sweepTimer;
  std::size_t m_counted = 0; ///< Own part of m_count.
  std::unordered_map<std::size_t, Connection>
    m_connections; ///< By peer number.
};

} // namespace bergamotpaddle
