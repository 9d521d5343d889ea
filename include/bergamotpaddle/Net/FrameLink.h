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
  std::function<void(LinkId)> m_opened; ///< Both peers are authenticated.
  std::function<void(LinkId, std::string)> m_received; ///< A frame.
  std::function<void(LinkId)> m_closed; ///< By either peer or on a failure.
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

  /// Starts to connect to \p aAddress and returns the link's ID. The result is
  /// reported by LinkHooks::m_opened or m_closed.
  LinkId Dial(const std::string& aAddress);

  /// Queues a frame, which must not be empty. Returns false if the link is
  /// closed or the peer's nonce has not arrived, or if the limit of pending
  /// bytes would be exceeded, in which case the link is closed.
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
