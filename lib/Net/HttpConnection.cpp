#include "HttpConnection.h"

#include <pistache/peer.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace bergamotpaddle {

namespace {

constexpr int kExpiryCheckSeconds = 1;

void
ReadCounter(int aDescriptor)
{
  std::uint64_t count = 0;
  [[maybe_unused]] ssize_t bytesRead = read(aDescriptor, &count, sizeof(count));
}

} // namespace

ReactorQueue::ReactorQueue()
  : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

ReactorQueue::~ReactorQueue()
{
  close(m_descriptor);
}

void
ReactorQueue::Post(std::function<void()> aTask)
{
  bool wasEmpty = false;
  {
    std::lock_guard lock(m_mutex);
    wasEmpty = m_tasks.empty();
    m_tasks.push_back(std::move(aTask));
  }
  if (!wasEmpty) {
    return;
  }
  std::uint64_t increment = 1;
  [[maybe_unused]] ssize_t written =
    write(m_descriptor, &increment, sizeof(increment));
}

void
ReactorQueue::Drain()
{
  ReadCounter(m_descriptor);
  std::vector<std::function<void()>> tasks;
  {
    std::lock_guard lock(m_mutex);
    tasks.swap(m_tasks);
  }
  for (auto& task : tasks) {
    try {
      task();
    } catch (const std::exception&) {
      // The connection failed during this write; Pistache reports its
      // disconnection later.
      continue;
    }
  }
}

PistacheResponder::PistacheResponder(Pistache::Http::ResponseWriter aWriter,
                                     ReactorQueuePtr aQueue)
  : m_queue(std::move(aQueue))
  , m_peer(aWriter.peer())
  , m_writer(std::move(aWriter))
{
}

PistacheResponder::~PistacheResponder()
{
  if (!m_writer.has_value() && !m_stream.has_value()) {
    return;
  }
  // The last reference may be released on any thread, but Pistache's objects
  // must be destroyed on their reactor's thread.
  struct PistacheHandles
  {
    std::optional<Pistache::Http::ResponseWriter> m_writer;
    std::optional<Pistache::Http::ResponseStream> m_stream;
  };
  auto handles = std::make_shared<PistacheHandles>(
    PistacheHandles{ std::move(m_writer), std::move(m_stream) });
  m_queue->Post([handles] {});
}

void
PistacheResponder::PostIfAlive(std::function<void()> aTask)
{
  m_queue->Post([self = shared_from_this(), task = std::move(aTask)] {
    auto peer = self->m_peer.lock();
    if (self->m_isDisconnected || self->m_hasEnded || peer == nullptr) {
      return;
    }
    task();
  });
}

void
PistacheResponder::SetHeaders(const std::string& aContentType,
                              const HttpHeaders& aHeaders)
{
  m_writer->headers().addRaw(
    Pistache::Http::Header::Raw("Content-Type", aContentType));
  for (const auto& [name, value] : aHeaders) {
    m_writer->headers().addRaw(Pistache::Http::Header::Raw(name, value));
  }
}

void
PistacheResponder::Send(int aStatus,
                        std::string aBody,
                        std::string aContentType,
                        HttpHeaders aHeaders)
{
  PostIfAlive([this,
               aStatus,
               body = std::move(aBody),
               type = std::move(aContentType),
               headers = std::move(aHeaders)] {
    m_hasEnded = true;
    SetHeaders(type, headers);
    m_writer->send(static_cast<Pistache::Http::Code>(aStatus), body);
  });
}

void
PistacheResponder::Start(int aStatus,
                         std::string aContentType,
                         HttpHeaders aHeaders)
{
  PostIfAlive([this,
               aStatus,
               type = std::move(aContentType),
               headers = std::move(aHeaders)] {
    SetHeaders(type, headers);
    m_stream.emplace(
      m_writer->stream(static_cast<Pistache::Http::Code>(aStatus)));
    m_stream->flush();
  });
}

void
PistacheResponder::Write(std::string aChunk)
{
  if (aChunk.empty()) {
    return;
  }
  PostIfAlive([this, chunk = std::move(aChunk)] {
    if (!m_stream.has_value()) {
      return;
    }
    m_stream->write(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    m_stream->flush();
  });
}

void
PistacheResponder::End()
{
  PostIfAlive([this] {
    m_hasEnded = true;
    if (m_stream.has_value()) {
      m_stream->ends();
    }
  });
}

void
PistacheResponder::Abort()
{
  PostIfAlive([this] {
    m_hasEnded = true;
    // Only shut the socket down: the reactor then sees the end of the
    // connection and removes the peer as usual.
    auto peer = m_peer.lock();
    shutdown(static_cast<int>(peer->fd()), SHUT_RDWR);
  });
}

void
PistacheResponder::OnClosed(std::function<void()> aCallback)
{
  m_queue->Post(
    [self = shared_from_this(), callback = std::move(aCallback)]() mutable {
      if (self->m_hasEnded) {
        return;
      }
      if (self->m_isDisconnected) {
        callback();
        return;
      }
      self->m_onClosed = std::move(callback);
    });
}

void
PistacheResponder::OnPeerDisconnected()
{
  m_isDisconnected = true;
  auto callback = std::move(m_onClosed);
  m_onClosed = nullptr;
  if (callback && !m_hasEnded) {
    callback();
  }
}

ReactorTransport::ReactorTransport(
  const std::shared_ptr<Pistache::Tcp::Handler>& aHandler,
  ConnectionCountPtr aCount,
  ReactorTimeouts aTimeouts)
  : Transport(aHandler)
  , m_handlerPrototype(aHandler)
  , m_connectionCount(std::move(aCount))
  , m_timeouts(aTimeouts)
  , m_queue(std::make_shared<ReactorQueue>())
  , m_expiryTimer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
  itimerspec interval{};
  interval.it_interval.tv_sec = kExpiryCheckSeconds;
  interval.it_value.tv_sec = kExpiryCheckSeconds;
  timerfd_settime(m_expiryTimer, 0, &interval, nullptr);
}

ReactorTransport::~ReactorTransport()
{
  close(m_expiryTimer);
}

std::shared_ptr<Pistache::Aio::Handler>
ReactorTransport::clone() const
{
  return std::make_shared<ReactorTransport>(
    m_handlerPrototype->clone(), m_connectionCount, m_timeouts);
}

void
ReactorTransport::registerPoller(Pistache::Polling::Epoll& aPoller)
{
  Transport::registerPoller(aPoller);
  for (int descriptor : { m_queue->Descriptor(), m_expiryTimer }) {
    aPoller.addFd(
      descriptor,
      Pistache::Flags<Pistache::Polling::NotifyOn>(
        Pistache::Polling::NotifyOn::Read),
      Pistache::Polling::Tag(static_cast<std::uint64_t>(descriptor)));
  }
}

void
ReactorTransport::onReady(const Pistache::Aio::FdSet& aReady)
{
  for (const auto& entry : aReady) {
    const auto tag = static_cast<int>(entry.getTag().value());
    if (tag == m_queue->Descriptor()) {
      m_queue->Drain();
      continue;
    }
    if (tag == m_expiryTimer) {
      CloseExpiredConnections();
      continue;
    }
    DispatchEvent(entry);
  }
}

void
ReactorTransport::DispatchEvent(const Pistache::Aio::FdSet::Entry& aEntry)
{
  using Pistache::Polling::NotifyOn;
  Pistache::Polling::Event event(aEntry.getTag());
  const std::pair<bool, NotifyOn> conditions[] = {
    { aEntry.isReadable(), NotifyOn::Read },
    { aEntry.isWritable(), NotifyOn::Write },
    { aEntry.isHangup(), NotifyOn::Hangup }
  };
  for (const auto& [isSet, flag] : conditions) {
    if (isSet) {
      event.flags.setFlag(flag);
    }
  }
  // Pass on one event at a time, so that an exception loses no event of another
  // peer.
  std::vector<Pistache::Polling::Event> singleEvent{ event };
  try {
    Transport::onReady(Pistache::Aio::FdSet(std::move(singleEvent)));
  } catch (const std::exception&) {
    // The peer's connection has failed; Pistache removes it on its next event.
    return;
  }
}

bool
ReactorTransport::IsServing(
  const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) const
{
  auto found = m_connections.find(aPeer->getID());
  return found != m_connections.end() && found->second.m_responder != nullptr &&
         !found->second.m_responder->HasEnded();
}

void
ReactorTransport::OnRequestBegan(
  const std::shared_ptr<Pistache::Tcp::Peer>& aPeer,
  const std::shared_ptr<PistacheResponder>& aResponder)
{
  m_connections[aPeer->getID()] = { aResponder,
                                    std::chrono::steady_clock::now() };
}

void
ReactorTransport::OnPeerDisconnected(
  const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
{
  auto found = m_connections.find(aPeer->getID());
  if (found == m_connections.end()) {
    return;
  }
  auto responder = std::move(found->second.m_responder);
  m_connections.erase(found);
  if (responder != nullptr) {
    responder->OnPeerDisconnected();
  }
}

void
ReactorTransport::CloseExpiredConnections()
{
  // Unless it is read, the timer stays readable and wakes the reactor in a busy
  // loop.
  ReadCounter(m_expiryTimer);
  const auto now = std::chrono::steady_clock::now();
  const auto peers = getAllPeer();
  *m_connectionCount += peers.size() - m_countedConnections;
  m_countedConnections = peers.size();
  for (const auto& peer : peers) {
    auto [entry, isNew] =
      m_connections.try_emplace(peer->getID(), Connection{ nullptr, now });
    Connection& connection = entry->second;
    const bool isServing =
      connection.m_responder != nullptr && !connection.m_responder->HasEnded();
    if (isServing) {
      connection.m_lastProgress = now;
      continue;
    }
    // A peer without a responder is still sending its first request.
    const auto timeout = connection.m_responder == nullptr
                           ? m_timeouts.m_request
                           : m_timeouts.m_idle;
    if (now - connection.m_lastProgress > timeout) {
      shutdown(static_cast<int>(peer->fd()), SHUT_RDWR);
    }
  }
}

} // namespace bergamotpaddle
