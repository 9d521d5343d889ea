/// \file
/// Links between fake processes: reliable and in order while they last, silent
/// while cut, gone with their process.
#pragma once

#include "bergamotpaddle/Testing/FakeProcess.h"
#include "bergamotpaddle/Wire/Messages.h"

#include <set>

namespace bergamotpaddle {

using PeerId = std::uint64_t;

/// A process on the network.
struct NetworkNode
{
  FakeProcess* m_process = nullptr;
  std::function<void(PeerId)> m_opened;
  std::function<void(PeerId, const Message&)> m_message;
  std::function<void(PeerId)> m_closed;
};

/// All links. Nodes are named by their address.
class FakeNetwork
{
public:
  FakeNetwork(VirtualTime& aTime, Duration aOneWay);

  /// Adds a node, or replaces it when its process starts a new life.
  void Add(const std::string& aName, NetworkNode aNode);
  /// Ends all links of a node; the other ends learn of it unless cut off.
  void Kill(const std::string& aName);

  PeerId Dial(const std::string& aFrom, const std::string& aTo);
  bool Send(const std::string& aFrom, PeerId aPeer, const Message& aMessage);
  void Close(const std::string& aFrom, PeerId aPeer);

  /// Nothing passes from \p aFrom to \p aTo until healed.
  void Cut(const std::string& aFrom, const std::string& aTo)
  {
    m_cuts.emplace(aFrom, aTo);
  }
  void Heal();
  bool IsCut(const std::string& aFrom, const std::string& aTo) const
  {
    return m_cuts.contains({ aFrom, aTo });
  }

  std::uint64_t MessagesSent() const { return m_messages; }

private:
  /// One end of a link.
  struct End
  {
    std::string m_name;
    PeerId m_peer = 0;
    bool m_isOpen = false;
    std::deque<std::function<void()>> m_held; ///< Towards this end, while cut.
  };

  /// A link; index 0 is the dialling end.
  struct Link
  {
    End m_ends[2];
    bool m_isEstablished = false;
  };

  using LinkPtr = std::shared_ptr<Link>;

  void Transmit(const LinkPtr& aLink, int aToEnd, std::function<void()> aTask);
  void Arrive(const LinkPtr& aLink, int aToEnd, std::function<void()> aTask);
  void Establish(const LinkPtr& aLink);
  void EndAt(const LinkPtr& aLink, int aEnd);
  LinkPtr Find(PeerId aPeer, int& aEnd) const;

  VirtualTime* m_time;
  Duration m_oneWay;
  std::map<std::string, NetworkNode> m_nodes;
  std::map<PeerId, std::pair<LinkPtr, int>> m_links;
  std::set<std::pair<std::string, std::string>> m_cuts;
  PeerId m_lastPeer = 0;
  std::uint64_t m_messages = 0;
};

} // namespace bergamotpaddle
