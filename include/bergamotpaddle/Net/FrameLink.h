/// \file
/// Links between the fleet's own processes: authenticated frames over nng's
/// byte streams.
///
/// nng's message sockets were weighed and not taken: a `pair1` socket with
/// many peers blocks all of them behind one that stopped reading, `req` sends
/// again by itself, and both hand a message over between threads several
/// times. nng's streams keep one peer's trouble to that peer.
///
/// Both ends prove that they know the fleet's secret, and every frame carries
/// a keyed digest over its sequence number and content, so a stranger can
/// neither send nor replay one.
#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamotpaddle {

/// Identifies one connection of this process; never used twice.
using LinkId = std::uint64_t;

/// What the owner of links is told, where the executor runs its closures.
struct LinkHooks
{
  std::function<void(LinkId)> m_opened;
  std::function<void(LinkId, std::string)> m_received;
  std::function<void(LinkId)> m_closed;
};

/// All links of one process, dialled and accepted.
class LinkHub
{
public:
  using Executor = std::function<void(std::function<void()>)>;

  /// \p aSecret is shared by the fleet's processes.
  LinkHub(std::string aSecret, Executor aExecutor, LinkHooks aHooks);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  /// Accepts links on \p aAddress ("127.0.0.1:7000").
  absl::Status Listen(const std::string& aAddress);

  /// Dials \p aAddress; m_opened or m_closed follows for the id returned.
  LinkId Dial(const std::string& aAddress);

  /// Queues a frame. False if the link is gone or more than the bound of
  /// bytes wait on it, in which case the link is closed.
  bool Send(LinkId aLink, const std::string& aFrame);

  /// Closes a link; m_closed follows.
  void Close(LinkId aLink);

  /// Bytes received and sent on all links so far, with framing.
  std::uint64_t BytesReceived() const;
  std::uint64_t BytesSent() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace bergamotpaddle
