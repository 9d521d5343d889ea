/// \file
/// Simulated links between fake processes. A link delivers reliably and in
/// order while it is open, defers delivery while its path is cut, and closes
/// when either process is killed.
#pragma once

#include "bergamotpaddle/Testing/FakeProcess.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <set>

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// A process on the network and its callbacks for link events.
struct NetworkNode
{
  FakeProcess* m_process = nullptr;
  std::function<void(PeerId)> m_onOpened;
  std::function<void(PeerId, const Message&)> m_onMessage;
  std::function<void(PeerId)> m_onClosed;
};

/// The network with all its links. A node's name is its address.
class FakeNetwork
{
public:
  /// Every message, open and close takes \p aOneWayLatency.
  FakeNetwork(VirtualTime& aTime, Duration aOneWayLatency);

  /// Adds a node, or replaces it when its process restarts.
  void AddNode(const std::string& aName, NetworkNode aNode);
  /// Closes all links of a node. The other ends are notified, after the cut is
  /// healed if the path to them is cut.
  void CloseLinksOf(const std::string& aName);

  /// Opens a link to \p aTo. Reports it as closed to \p aFrom unless it is
  /// established within one second.
  PeerId Dial(const std::string& aFrom, const std::string& aTo);
  /// Returns false if the link is closed at the sending end.
  bool Send(const std::string& aFrom, PeerId aPeer, const Message& aMessage);
  void Close(const std::string& aFrom, PeerId aPeer);

  /// Defers delivery from \p aFrom to \p aTo until Heal().
  void Cut(const std::string& aFrom, const std::string& aTo)
  {
    m_cuts.emplace(aFrom, aTo);
  }
  /// Removes all cuts and delivers what was deferred, in order on each link.
  void Heal();
  bool IsCut(const std::string& aFrom, const std::string& aTo) const
  {
    return m_cuts.contains({ aFrom, aTo });
  }

  std::uint64_t MessagesSent() const { return m_messagesSent; }

private:
  /// One end of a link.
  struct End
  {
    std::string m_name;
    PeerId m_peer = 0;
    bool m_isOpen = false;
    std::deque<std::function<void()>>
      m_deferredTasks; ///< Deliveries to this end, while the path is cut.
  };

  /// A link; index 0 is the end that dialled.
  struct Link
  {
    End m_ends[2];
    bool m_isEstablished = false;
  };

  using LinkPtr = std::shared_ptr<Link>;

  /// Delivers \p aTask to an end after the one-way latency.
  void Transmit(const LinkPtr& aLink,
                int aReceivingEnd,
                std::function<void()> aTask);
  /// Runs \p aTask at an end, or defers it while the path is cut or the process
  /// is frozen.
  void Deliver(const LinkPtr& aLink,
               int aReceivingEnd,
               std::function<void()> aTask);
  void Establish(const LinkPtr& aLink);
  /// Closes one end and notifies its process.
  void CloseEnd(const LinkPtr& aLink, int aEndIndex);
  /// Returns the link of \p aPeer, or null, and sets \p aEndIndex to its end.
  LinkPtr FindLink(PeerId aPeer, int& aEndIndex) const;

  VirtualTime* m_time;
  Duration m_oneWayLatency;
  std::map<std::string, NetworkNode> m_nodes;
  std::map<PeerId, std::pair<LinkPtr, int>> m_links;
  std::set<std::pair<std::string, std::string>> m_cuts;
  PeerId m_lastPeerId = 0;
  std::uint64_t m_messagesSent = 0;
};

} // namespace bergamotpaddle
