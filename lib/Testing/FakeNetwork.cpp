#include "bergamotpaddle/Testing/FakeNetwork.h"

namespace bergamotpaddle {

namespace {

constexpr Duration kDialTimeout = std::chrono::seconds(1);

} // namespace

FakeNetwork::FakeNetwork(VirtualTime& aTime, Duration aOneWayLatency)
  : m_time(&aTime)
  , m_oneWayLatency(aOneWayLatency)
{
}

void
FakeNetwork::AddNode(const std::string& aName, NetworkNode aNode)
{
  m_nodes[aName] = std::move(aNode);
}

FakeNetwork::LinkPtr
FakeNetwork::FindLink(PeerId aPeer, int& aEndIndex) const
{
  auto found = m_links.find(aPeer);
  if (found == m_links.end()) {
    return nullptr;
  }
  aEndIndex = found->second.second;
  return found->second.first;
}

PeerId
FakeNetwork::Dial(const std::string& aFrom, const std::string& aTo)
{
  auto link = std::make_shared<Link>();
  link->m_ends[0] = { aFrom, ++m_lastPeerId, true, {} };
  link->m_ends[1] = { aTo, ++m_lastPeerId, false, {} };
  m_links[link->m_ends[0].m_peer] = { link, 0 };
  m_links[link->m_ends[1].m_peer] = { link, 1 };
  auto node = m_nodes.find(aTo);
  const bool isListening =
    node != m_nodes.end() && node->second.m_process->IsAlive();
  if (isListening) {
    Transmit(link, 1, [this, link] { Establish(link); });
  }
  m_time->After(kDialTimeout, [this, link] {
    if (!link->m_isEstablished) {
      CloseEnd(link, 0);
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
  // The acceptance is sent before any message of the listener, so that the
  // dialling end opens first.
  Transmit(aLink, 0, [this, aLink] {
    aLink->m_isEstablished = true;
    m_nodes.at(aLink->m_ends[0].m_name).m_onOpened(aLink->m_ends[0].m_peer);
  });
  listener.m_onOpened(aLink->m_ends[1].m_peer);
}

bool
FakeNetwork::Send(const std::string&, PeerId aPeer, const Message& aMessage)
{
  int end = 0;
  const LinkPtr link = FindLink(aPeer, end);
  if (link == nullptr || !link->m_ends[end].m_isOpen) {
    return false;
  }
  ++m_messagesSent;
  const int other = 1 - end;
  Transmit(link, other, [this, link, other, aMessage] {
    m_nodes.at(link->m_ends[other].m_name)
      .m_onMessage(link->m_ends[other].m_peer, aMessage);
  });
  return true;
}

void
FakeNetwork::Transmit(const LinkPtr& aLink,
                      int aReceivingEnd,
                      std::function<void()> aTask)
{
  m_time->After(m_oneWayLatency,
                [this, aLink, aReceivingEnd, task = std::move(aTask)] {
                  Deliver(aLink, aReceivingEnd, task);
                });
}

void
FakeNetwork::Deliver(const LinkPtr& aLink,
                     int aReceivingEnd,
                     std::function<void()> aTask)
{
  End& target = aLink->m_ends[aReceivingEnd];
  const End& source = aLink->m_ends[1 - aReceivingEnd];
  if (IsCut(source.m_name, target.m_name) || !target.m_deferredTasks.empty()) {
    target.m_deferredTasks.push_back(std::move(aTask));
    return;
  }
  auto node = m_nodes.find(target.m_name);
  if (node == m_nodes.end() || !node->second.m_process->IsAlive()) {
    return;
  }
  // The end is checked when the task runs: a process that was frozen until then
  // may have closed it in the meantime.
  node->second.m_process->Guard(
    [aLink, aReceivingEnd, task = std::move(aTask)] {
      const bool isHandshake = aReceivingEnd == 1 &&
                               !aLink->m_ends[1].m_isOpen &&
                               !aLink->m_isEstablished;
      if (aLink->m_ends[aReceivingEnd].m_isOpen || isHandshake) {
        task();
      }
    })();
}

void
FakeNetwork::Heal()
{
  m_cuts.clear();
  std::map<PeerId, std::pair<LinkPtr, int>> links = m_links;
  for (auto& [peer, linkEnd] : links) {
    End& end = linkEnd.first->m_ends[linkEnd.second];
    std::deque<std::function<void()>> deferredTasks;
    deferredTasks.swap(end.m_deferredTasks);
    for (auto& task : deferredTasks) {
      Deliver(linkEnd.first, linkEnd.second, std::move(task));
    }
  }
}

void
FakeNetwork::CloseEnd(const LinkPtr& aLink, int aEndIndex)
{
  End& end = aLink->m_ends[aEndIndex];
  if (!end.m_isOpen) {
    return;
  }
  end.m_isOpen = false;
  m_links.erase(end.m_peer);
  const NetworkNode& node = m_nodes.at(end.m_name);
  if (node.m_process->IsAlive()) {
    node.m_process->Guard(
      [closed = node.m_onClosed, peer = end.m_peer] { closed(peer); })();
  }
}

void
FakeNetwork::Close(const std::string&, PeerId aPeer)
{
  int end = 0;
  const LinkPtr link = FindLink(aPeer, end);
  if (link == nullptr) {
    return;
  }
  link->m_ends[end].m_isOpen = false;
  m_links.erase(aPeer);
  const int other = 1 - end;
  Transmit(link, other, [this, link, other] { CloseEnd(link, other); });
}

void
FakeNetwork::CloseLinksOf(const std::string& aName)
{
  std::map<PeerId, std::pair<LinkPtr, int>> links = m_links;
  for (auto& [peer, linkEnd] : links) {
    End& end = linkEnd.first->m_ends[linkEnd.second];
    if (end.m_name != aName || !end.m_isOpen) {
      continue;
    }
    Close(aName, peer);
  }
}

} // namespace bergamotpaddle
