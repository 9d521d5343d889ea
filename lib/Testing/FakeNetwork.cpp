#include "bergamotpaddle/Testing/FakeNetwork.h"

namespace bergamotpaddle {

namespace {

constexpr Duration kDialTimeout = std::chrono::seconds(1);

} // namespace

FakeNetwork::FakeNetwork(VirtualTime& aTime, Duration aOneWay)
  : m_time(&aTime)
  , m_oneWay(aOneWay)
{
}

void
FakeNetwork::Add(const std::string& aName, NetworkNode aNode)
{
  m_nodes[aName] = std::move(aNode);
}

FakeNetwork::LinkPtr
FakeNetwork::Find(PeerId aPeer, int& aEnd) const
{
  auto found = m_links.find(aPeer);
  if (found == m_links.end()) {
    return nullptr;
  }
  aEnd = found->second.second;
  return found->second.first;
}

PeerId
FakeNetwork::Dial(const std::string& aFrom, const std::string& aTo)
{
  auto link = std::make_shared<Link>();
  link->m_ends[0] = { aFrom, ++m_lastPeer, true, {} };
  link->m_ends[1] = { aTo, ++m_lastPeer, false, {} };
  m_links[link->m_ends[0].m_peer] = { link, 0 };
  m_links[link->m_ends[1].m_peer] = { link, 1 };
  auto node = m_nodes.find(aTo);
  const bool isThere =
    node != m_nodes.end() && node->second.m_process->IsAlive();
  if (isThere) {
    Transmit(link, 1, [this, link] { Establish(link); });
  }
  m_time->After(kDialTimeout, [this, link] {
    if (!link->m_isEstablished) {
      EndAt(link, 0);
    }
  });
  return link->m_ends[0].m_peer;
}

void
FakeNetwork::Establish(const LinkPtr& aLink)
{
  if (!aLink->m_ends[0].m_isOpen) {
    return;
  }
  aLink->m_ends[1].m_isOpen = true;
  const NetworkNode& listener = m_nodes.at(aLink->m_ends[1].m_name);
  // The answer to the dialler is sent before anything the listener says.
  Transmit(aLink, 0, [this, aLink] {
    aLink->m_isEstablished = true;
    m_nodes.at(aLink->m_ends[0].m_name).m_opened(aLink->m_ends[0].m_peer);
  });
  listener.m_opened(aLink->m_ends[1].m_peer);
}

bool
FakeNetwork::Send(const std::string&, PeerId aPeer, const Message& aMessage)
{
  int end = 0;
  const LinkPtr link = Find(aPeer, end);
  if (link == nullptr || !link->m_ends[end].m_isOpen) {
    return false;
  }
  ++m_messages;
  const int other = 1 - end;
  Transmit(link, other, [this, link, other, aMessage] {
    m_nodes.at(link->m_ends[other].m_name)
      .m_message(link->m_ends[other].m_peer, aMessage);
  });
  return true;
}

void
FakeNetwork::Transmit(const LinkPtr& aLink,
                      int aToEnd,
                      std::function<void()> aTask)
{
  m_time->After(m_oneWay, [this, aLink, aToEnd, task = std::move(aTask)] {
    Arrive(aLink, aToEnd, task);
  });
}

void
FakeNetwork::Arrive(const LinkPtr& aLink,
                    int aToEnd,
                    std::function<void()> aTask)
{
  End& target = aLink->m_ends[aToEnd];
  const End& source = aLink->m_ends[1 - aToEnd];
  if (IsCut(source.m_name, target.m_name) || !target.m_held.empty()) {
    target.m_held.push_back(std::move(aTask));
    return;
  }
  auto node = m_nodes.find(target.m_name);
  if (node == m_nodes.end() || !node->second.m_process->IsAlive()) {
    return;
  }
  // Checked when it runs: a frozen process may have closed this end by then.
  node->second.m_process->Guard([aLink, aToEnd, task = std::move(aTask)] {
    const bool isHandshake =
      aToEnd == 1 && !aLink->m_ends[1].m_isOpen && !aLink->m_isEstablished;
    if (aLink->m_ends[aToEnd].m_isOpen || isHandshake) {
      task();
    }
  })();
}

void
FakeNetwork::Heal()
{
  m_cuts.clear();
  std::map<PeerId, std::pair<LinkPtr, int>> links = m_links;
  for (auto& [peer, place] : links) {
    End& end = place.first->m_ends[place.second];
    std::deque<std::function<void()>> held;
    held.swap(end.m_held);
    for (auto& task : held) {
      Arrive(place.first, place.second, std::move(task));
    }
  }
}

void
FakeNetwork::EndAt(const LinkPtr& aLink, int aEnd)
{
  End& end = aLink->m_ends[aEnd];
  if (!end.m_isOpen) {
    return;
  }
  end.m_isOpen = false;
  m_links.erase(end.m_peer);
  const NetworkNode& node = m_nodes.at(end.m_name);
  if (node.m_process->IsAlive()) {
    node.m_process->Guard(
      [closed = node.m_closed, peer = end.m_peer] { closed(peer); })();
  }
}

void
FakeNetwork::Close(const std::string&, PeerId aPeer)
{
  int end = 0;
  const LinkPtr link = Find(aPeer, end);
  if (link == nullptr) {
    return;
  }
  link->m_ends[end].m_isOpen = false;
  m_links.erase(aPeer);
  const int other = 1 - end;
  Transmit(link, other, [this, link, other] { EndAt(link, other); });
}

void
FakeNetwork::Kill(const std::string& aName)
{
  std::map<PeerId, std::pair<LinkPtr, int>> links = m_links;
  for (auto& [peer, place] : links) {
    End& end = place.first->m_ends[place.second];
    if (end.m_name != aName || !end.m_isOpen) {
      continue;
    }
    Close(aName, peer);
  }
}

} // namespace bergamotpaddle
