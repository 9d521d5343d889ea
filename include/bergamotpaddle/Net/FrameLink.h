/// \file
/// Links between the fleet's own processes: authenticated frames over nng byte
/// streams.
///
/// nng's message sockets do not fit: a `pair1` socket with many peers blocks
/// all of them behind one that stopped reading, `req` resends by itself, and
/// both pass a message between threads several times. With nng's byte streams a
/// stalled peer affects no other peer.
///
/// Both peers prove that they know the fleet's secret, and every frame carries
/// a keyed digest of its sequence number and content, so a process without the
/// secret can neither forge nor replay one.
#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamotpaddle {

/// Identifies one connection of this process; never reused.
using LinkId = std::uint64_t;

/// Notifications to the owner of the links, run by the executor.
struct LinkHooks
{
  std::function<void(LinkId)> m_opened;
  std::function<void(LinkId, std::string)> m_received;
  std::function<void(LinkId)> m_closed;
};

/// Manages all links of one process, both dialled and accepted.
class LinkHub
{
public:
  using Executor = std::function<void(std::function<void()>)>;

  /// \p aSecret is shared by the fleet's processes.
  LinkHub(std::string aSecret, Executor aExecutor, LinkHooks aHooks);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  /// Accepts links on \p aAddress, such as "127.0.0.1:7000". Returns
  /// `Unavailable` if the address cannot be bound.
  absl::Status Listen(const std::string& aAddress);

  /// Connects to \p aAddress. LinkHooks::m_opened or m_closed is called for the
  /// ID returned.
  LinkId Dial(const std::string& aAddress);

  /// Queues a frame, which must not be empty. False if the link is closed or
  /// the peer's nonce has not arrived, or if the limit of pending bytes would
  /// be exceeded, in which case the link is closed.
  bool Send(LinkId aLink, const std::string& aFrame);

  /// Closes a link; LinkHooks::m_closed is called.
  void Close(LinkId aLink);

  /// Bytes received and sent on all links so far, framing included.
  std::uint64_t BytesReceived() const;
  std::uint64_t BytesSent() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace bergamotpaddle
