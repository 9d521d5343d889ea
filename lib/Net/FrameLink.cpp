#include "bergamotpaddle/Net/FrameLink.h"

#include "FrameConnection.h"

#include <absl/strings/str_cat.h>
#include <map>
#include <mutex>

namespace bergamotpaddle {

/// Owns the connections. Only the executor's thread may use its state, except
/// for the counters and the executor, which any thread may use.
class LinkHub::Impl : public std::enable_shared_from_this<LinkHub::Impl>
{
public:
  Impl(std::string aSecret, Executor aExecutor, LinkHooks aHooks)
    : m_secret(std::move(aSecret))
    , m_executor(std::move(aExecutor))
    , m_hooks(std::move(aHooks))
  {
  }

  ~Impl()
  {
    if (m_listener != nullptr) {
      nng_stream_listener_close(m_listener);
    }
    for (nng_aio* aio : { m_acceptAio }) {
      if (aio != nullptr) {
        nng_aio_stop(aio);
        nng_aio_free(aio);
      }
    }
    if (m_listener != nullptr) {
      nng_stream_listener_free(m_listener);
    }
  }

  absl::Status Listen(const std::string& aAddress)
  {
    const std::string url = "tcp://" + aAddress;
    int failure = nng_stream_listener_alloc(&m_listener, url.c_str());
    if (failure == 0) {
      failure = nng_stream_listener_listen(m_listener);
    }
    if (failure != 0) {
      return absl::UnavailableError(absl::StrCat("cannot listen on ",
                                                 aAddress,
                                                 ": ",
                                                 nng_strerror(failure),
                                                 "; choose a free address"));
    }
    nng_aio_alloc(&m_acceptAio, &Impl::OnAccepted, this);
    nng_stream_listener_accept(m_listener, m_acceptAio);
    return absl::OkStatus();
  }

  LinkId Dial(const std::string& aAddress)
  {
    const LinkId id = ++m_lastId;
    auto connection =
      std::make_unique<FrameConnection>(m_secret, MakeConnectionHooks(id));
    FrameConnection& added = *connection;
    m_connections.emplace(id, std::move(connection));
    added.Dial("tcp://" + aAddress);
    return id;
  }

  bool Send(LinkId aLink, const std::string& aFrame)
  {
    auto found = m_connections.find(aLink);
    return found != m_connections.end() && found->second->Send(aFrame);
  }

  void Close(LinkId aLink)
  {
    auto found = m_connections.find(aLink);
    if (found != m_connections.end()) {
      found->second->Close();
    }
  }

  std::uint64_t BytesReceived() const { return m_bytesReceived; }
  std::uint64_t BytesSent() const { return m_bytesSent; }

private:
  static void OnAccepted(void* aSelf)
  {
    auto* self = static_cast<Impl*>(aSelf);
    if (nng_aio_result(self->m_acceptAio) == NNG_ECLOSED) {
      return;
    }
    if (nng_aio_result(self->m_acceptAio) == 0) {
      auto* stream =
        static_cast<nng_stream*>(nng_aio_get_output(self->m_acceptAio, 0));
      self->m_executor([weak = self->weak_from_this(), stream] {
        auto hub = weak.lock();
        if (hub == nullptr) {
          nng_stream_free(stream);
          return;
        }
        hub->AddAccepted(stream);
      });
    }
    nng_stream_listener_accept(self->m_listener, self->m_acceptAio);
  }

  void AddAccepted(nng_stream* aStream)
  {
    const LinkId id = ++m_lastId;
    auto connection =
      std::make_unique<FrameConnection>(m_secret, MakeConnectionHooks(id));
    FrameConnection& added = *connection;
    m_connections.emplace(id, std::move(connection));
    added.Accept(aStream);
  }

  FrameConnectionHooks MakeConnectionHooks(LinkId aId)
  {
    auto post = [weak = weak_from_this(),
                 executor = m_executor](std::function<void(Impl&)> aTask) {
      executor([weak, task = std::move(aTask)] {
        if (auto hub = weak.lock()) {
          task(*hub);
        }
      });
    };
    FrameConnectionHooks hooks;
    hooks.m_opened = [post, aId] {
      post([aId](Impl& aHub) { aHub.m_hooks.m_opened(aId); });
    };
    hooks.m_received = [post, aId](std::string aFrame) {
      post([aId, frame = std::move(aFrame)](Impl& aHub) {
        aHub.m_hooks.m_received(aId, frame);
      });
    };
    hooks.m_closed = [post, aId] {
      post([aId](Impl& aHub) {
        if (aHub.m_connections.erase(aId) != 0) {
          aHub.m_hooks.m_closed(aId);
        }
      });
    };
    hooks.m_bytesReceived = &m_bytesReceived;
    hooks.m_bytesSent = &m_bytesSent;
    return hooks;
  }

  std::string m_secret;
  Executor m_executor;
  LinkHooks m_hooks;
  std::atomic<std::uint64_t> m_bytesReceived = 0;
  std::atomic<std::uint64_t> m_bytesSent = 0;
  nng_stream_listener* m_listener = nullptr;
  nng_aio* m_acceptAio = nullptr;
  std::atomic<LinkId> m_lastId = 0;
  std::map<LinkId, std::unique_ptr<FrameConnection>> m_connections;
};

LinkHub::LinkHub(std::string aSecret, Executor aExecutor, LinkHooks aHooks)
  : m_impl(std::make_shared<Impl>(std::move(aSecret),
                                  std::move(aExecutor),
                                  std::move(aHooks)))
{
}

LinkHub::~LinkHub() = default;

absl::Status
LinkHub::Listen(const std::string& aAddress)
{
  return m_impl->Listen(aAddress);
}

LinkId
LinkHub::Dial(const std::string& aAddress)
{
  return m_impl->Dial(aAddress);
}

bool
LinkHub::Send(LinkId aLink, const std::string& aFrame)
{
  return m_impl->Send(aLink, aFrame);
}

void
LinkHub::Close(LinkId aLink)
{
  m_impl->Close(aLink);
}

std::uint64_t
LinkHub::BytesReceived() const
{
  return m_impl->BytesReceived();
}

std::uint64_t
LinkHub::BytesSent() const
{
  return m_impl->BytesSent();
}

} // namespace bergamotpaddle
