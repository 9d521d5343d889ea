#include "bergamotpaddle/Forwarding/PeerLink.h"

#include "bergamotpaddle/Forwarding/Endpoint.h"
#include "bergamotpaddle/Support/Text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;

namespace {

using ErrorCode = boost::system::error_code;

constexpr std::size_t kMaxDatagram = 60'000;

auto
Into(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

std::string
Text(const asio::ip::udp::endpoint& aEndpoint)
{
  return Cat(aEndpoint.address().to_string(), ":", aEndpoint.port());
}

} // namespace

PeerLink::PeerLink(asio::io_context& aIo,
                   GatewayState& aState,
                   std::string aLife,
                   PeerLinkOptions aOptions)
  : m_io(&aIo)
  , m_state(&aState)
  , m_life(std::move(aLife))
  , m_options(aOptions)
  , m_socket(aIo)
  , m_next(aIo)
{
}

absl::Status
PeerLink::Start(const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  try {
    const Udp::endpoint own(endpoint->address(), endpoint->port());
    m_socket.open(own.protocol());
    m_socket.bind(own);
    m_socket.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    return absl::UnavailableError(
      Cat("cannot take datagrams on ", aAddress, ": ", error.what()));
  }
  asio::co_spawn(*m_io, Receive(), asio::detached);
  asio::co_spawn(*m_io, Send(), asio::detached);
  return absl::OkStatus();
}

void
PeerLink::SetPeers(const std::set<std::string>& aAddresses)
{
  std::map<Udp::endpoint, Instant> peers;
  for (const std::string& address : aAddresses) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint.ok()) {
      continue;
    }
    const Udp::endpoint peer(endpoint->address(), endpoint->port());
    const auto known = m_peers.find(peer);
    peers[peer] = known == m_peers.end() ? Instant{} : known->second;
  }
  m_peers = std::move(peers);
}

void
PeerLink::NoteChanged(const UpstreamId& aUpstream,
                      const std::vector<PromptPart>& aParts)
{
  std::set<std::uint64_t>& parts = m_changed[aUpstream];
  for (const PromptPart& part : aParts) {
    parts.insert(part.m_id);
  }
  const Instant soon = m_state->Now() + m_options.m_coalesce;
  if (!m_peers.empty() && m_nextAt > soon) {
    m_nextAt = soon;
    m_next.cancel();
  }
}

std::vector<std::string>
PeerLink::Reachable() const
{
  std::vector<std::string> reachable;
  const Instant now = m_state->Now();
  for (const auto& [peer, heardAt] : m_peers) {
    if (heardAt != Instant{} && now - heardAt < m_options.m_silence) {
      reachable.push_back(Text(peer));
    }
  }
  return reachable;
}

std::string
PeerLink::NextDigest()
{
  const Instant now = m_state->Now();
  PeerDigest digest;
  digest.m_from = m_life;
  std::map<UpstreamId, std::set<std::uint64_t>> told = std::move(m_changed);
  m_changed.clear();
  for (const UpstreamId& id : m_toldLast) {
    told.try_emplace(id);
  }
  m_toldLast.clear();
  for (const auto& [id, parts] : told) {
    const UpstreamState* state = m_state->m_upstreams.Find(id);
    if (state == nullptr) {
      continue;
    }
    const SentLoad own = m_state->m_upstreams.Own(*state, now);
    UpstreamDigest& line = digest.m_upstreams.emplace_back();
    line.m_upstream = id.Str();
    line.m_requests = own.m_requests;
    line.m_streams = own.m_streams;
    line.m_prefillLeftUs = own.m_prefillLeft.count();
    if (state->m_reported) {
      line.m_slowness = state->m_reported->m_slowness;
      line.m_slownessAgeUs = (now - state->m_reported->m_at).count();
    }
    line.m_newParts.assign(parts.begin(), parts.end());
    if (own.m_requests > 0 || !parts.empty()) {
      m_toldLast.insert(id);
    }
  }
  return digest.Encode();
}

PeerLink::Awaitable<void>
PeerLink::Send()
{
  while (true) {
    ErrorCode error;
    const Duration wait = m_nextAt - m_state->Now();
    m_next.expires_after(std::max(wait, Duration(0)));
    co_await m_next.async_wait(Into(error));
    if (error == asio::error::operation_aborted) {
      continue; // A change moved the next datagram ahead.
    }
    m_nextAt = m_state->Now() + m_options.m_heartbeat;
    if (m_peers.empty()) {
      continue;
    }
    const std::string digest = NextDigest();
    if (digest.size() > kMaxDatagram) {
      m_state->Log(
        LogLine("peer.digest_too_long")
          .Number("bytes", static_cast<std::int64_t>(digest.size())));
      continue;
    }
    for (const auto& [peer, heardAt] : m_peers) {
      // A datagram that cannot leave now is made good by the next.
      const std::size_t sent =
        m_socket.send_to(asio::buffer(digest), peer, 0, error);
      m_state->m_counters.m_traffic.Note(TrafficPeer::kRouters, sent, 0);
    }
  }
}

PeerLink::Awaitable<void>
PeerLink::Receive()
{
  std::string bytes(kMaxDatagram, '\0');
  while (true) {
    ErrorCode error;
    Udp::endpoint from;
    const std::size_t count = co_await m_socket.async_receive_from(
      asio::buffer(bytes), from, Into(error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue;
    }
    m_state->m_counters.m_traffic.Note(TrafficPeer::kRouters, 0, count);
    const auto peer = m_peers.find(from);
    const auto digest =
      PeerDigest::Decode(std::string_view(bytes).substr(0, count));
    if (!digest.ok()) {
      m_state->Log(LogLine("peer.unreadable")
                     .Text("from", Text(from))
                     .Reason(digest.status()));
      continue;
    }
    if (peer != m_peers.end()) {
      peer->second = m_state->Now();
      ApplyDigest(*digest, m_state->m_upstreams, m_state->Now());
    }
  }
}

} // namespace bergamotpaddle
