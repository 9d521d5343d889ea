/// \file
/// Chooses the router through which another one calls the platform's store.
///
/// Load pattern: most routers lose the store at once while they still reach one
/// another. A call through a router that lost it too costs a timeout, and while
/// the draws of credit wait for timeouts, requests are refused although the
/// account has credit.
#pragma once

#include "bergamotpaddle/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// Parameters of the choice.
struct StoreRelayOptions
{
  /// Age up to which a peer's last contact with the store shows that it reaches
  /// the store. Routers that read its changes hear from it twice a second, and
  /// their digests take another half.
  Duration m_maxContactAge = std::chrono::seconds(3);
  /// Peers whose contacts are at most this much older than the latest one take
  /// turns.
  Duration m_turnSpan = std::chrono::milliseconds(300);
  /// Time for which a peer is not used after a failure, if it does not report
  /// any contacts.
  Duration m_failureHoldTime = std::chrono::seconds(2);
};

/// The peers of one router that may relay its calls, by their addresses.
class StoreRelayPool
{
public:
  explicit StoreRelayPool(StoreRelayOptions aOptions = {});

  /// Sets the peers that can be reached. Their reports are kept.
  void SetPeers(const std::vector<std::string>& aPeers);
  /// Records that \p aPeer itself got a response from the store at \p aAt.
  void NoteContact(const std::string& aPeer, Instant aAt);
  /// Records that a call through \p aPeer failed. It is used again once it
  /// reports a later contact.
  void NoteFailure(const std::string& aPeer, Instant aAt);

  /// The peer to call the store through; nullopt if none is known to reach it.
  std::optional<std::string> Next(Instant aNow);

private:
  struct Peer
  {
    std::optional<Instant> m_contactAt;
    std::optional<Instant> m_failedAt;
  };

  /// Whether \p aPeer has shown that it reaches the store.
  bool IsInContact(const Peer& aPeer, Instant aNow) const;
  /// Whether nothing is known of \p aPeer's contacts and it may be tried.
  bool IsUntried(const Peer& aPeer, Instant aNow) const;

  StoreRelayOptions m_options;
  std::map<std::string, Peer> m_peers;
  std::size_t m_turn = 0;
};

} // namespace bergamotpaddle
