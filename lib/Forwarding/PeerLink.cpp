#include "bergamotpaddle/Forwarding/PeerLink.h"

#include "bergamotpaddle/Forwarding/Endpoint.h"
#include "bergamotpaddle/Support/Text.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;

namespace {

using ErrorCode = boost::system::error_code;

/// Largest datagram that is received, in bytes.
constexpr std::size_t kMaxDatagram = 60'000;
/// First byte of datagrams about reserves. MessagePack never uses it, so no
/// digest begins with it.
constexpr char kReserveFrameMarker = '\xc1';
/// Interval of the check for peers while there are none.
constexpr Duration kNoPeersPollInterval = std::chrono::milliseconds(100);

auto
Into(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

int
ToMilliseconds(Duration aTime)
{
  return static_cast<int>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

std::string
AddressOf(const asio::ip::udp::endpoint& aEndpoint)
{
  return Cat(aEndpoint.address().to_string(), ":", aEndpoint.port());
}

} // namespace

PeerLink::PeerLink(asio::io_context& aIo,
                   GatewayState& aState,
                   std::string aIncarnation,
                   PeerLinkOptions aOptions)
  : m_io(&aIo)
  , m_state(&aState)
  , m_incarnation(std::move(aIncarnation))
  , m_options(aOptions)
  , m_socket(aIo)
  , m_sendTimer(aIo)
  , m_schedule(aOptions.m_schedule)
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
    const Udp::endpoint local(endpoint->address(), endpoint->port());
    m_socket.open(local.protocol());
    m_socket.bind(local);
    m_socket.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    return absl::UnavailableError(
      Cat("cannot receive datagrams on ", aAddress, ": ", error.what()));
  }
  TaskSupervisor& tasks = m_state->m_tasks;
  tasks.SpawnPermanent(
    m_io->get_executor(), "peer.receive", [this] { return Receive(); });
  tasks.SpawnPermanent(
    m_io->get_executor(), "peer.send", [this] { return Send(); });
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
  m_schedule.SetPeers(m_peers.size());
}

void
PeerLink::NoteLoadChanged(const UpstreamId& aUpstream,
                          const std::vector<PromptPart>& aParts)
{
  // The last part is specific to the request: no other request shares it.
  std::vector<std::uint64_t> shared;
  for (std::size_t i = 0; i + 1 < aParts.size(); ++i) {
    shared.push_back(aParts[i].m_id);
  }
  const Instant previousDueAt = m_schedule.DueAt();
  m_schedule.NoteChanged(aUpstream, shared, m_state->Now());
  if (m_schedule.DueAt() < previousDueAt) {
    m_sendTimer.cancel();
  }
}

void
PeerLink::NoteFeedChanged()
{
  const Instant previousDueAt = m_schedule.DueAt();
  m_schedule.NoteOtherChange(m_state->Now());
  if (m_schedule.DueAt() < previousDueAt) {
    m_sendTimer.cancel();
  }
}

void
PeerLink::SendReserve(const std::string& aTo, const std::string& aBytes)
{
  const auto endpoint = ParseEndpoint(aTo);
  if (!endpoint.ok()) {
    return; // Not a valid address of a router.
  }
  ErrorCode error;
  const std::array<asio::const_buffer, 2> parts = {
    asio::buffer(&kReserveFrameMarker, 1), asio::buffer(aBytes)
  };
  // A datagram that cannot be sent now is dropped; the component that waits for
  // the reply sends another one.
  const std::size_t sent = m_socket.send_to(
    parts, Udp::endpoint(endpoint->address(), endpoint->port()), 0, error);
  m_state->m_counters.m_traffic.Record(TrafficPeer::kRouters, sent, 0);
}

std::vector<std::string>
PeerLink::ReachablePeers() const
{
  std::vector<std::string> reachable;
  const Instant now = m_state->Now();
  for (const auto& [peer, lastDigestAt] : m_peers) {
    if (lastDigestAt != Instant{} &&
        now - lastDigestAt < m_options.m_peerTimeout) {
      reachable.push_back(AddressOf(peer));
    }
  }
  return reachable;
}

UpstreamDigest
PeerLink::MakeUpstreamDigest(const UpstreamState& aState,
                             const std::vector<std::uint64_t>& aNewParts,
                             Instant aNow) const
{
  constexpr double kPercent = 100;
  const SentLoad ownLoad = m_state->m_upstreams.OwnLoad(aState, aNow);
  UpstreamDigest upstreamDigest;
  upstreamDigest.m_upstream = UpstreamView::ShortHash(aState.m_entry.m_id);
  upstreamDigest.m_requests = ownLoad.m_requests;
  upstreamDigest.m_streams = ownLoad.m_streams;
  upstreamDigest.m_prefillLeftMs = ToMilliseconds(ownLoad.m_prefillLeft);
  if (m_state->m_upstreams.HasFreshReport(aState, aNow)) {
    upstreamDigest.m_slownessPercent =
      static_cast<int>(aState.m_reported->m_slowness * kPercent);
    upstreamDigest.m_slownessAgeMs =
      ToMilliseconds(aNow - aState.m_reported->m_reportedAt);
  }
  upstreamDigest.m_newParts = aNewParts;
  return upstreamDigest;
}

std::string
PeerLink::NextDigest(Instant aNow)
{
  PeerDigest digest;
  digest.m_senderIncarnation = m_incarnation;
  digest.SetFeedStatus(m_feedStatusProvider());
  if (const auto respondedAt = m_state->m_storeAvailability.LastResponseAt()) {
    digest.m_storeAgeMs = ToMilliseconds(aNow - *respondedAt);
  }
  if (const std::optional<Duration> age = m_storeContactAge()) {
    digest.m_storeContactAgeMs = ToMilliseconds(*age);
  }
  digest.m_quarantine = m_state->m_quarantine.NextReport(aNow);
  for (const UpstreamIncarnation& upstream :
       m_state->m_upstreams.Notices().ToldLeavingSince(
         aNow - m_options.m_leavingRepeatTime)) {
    if (digest.m_leaving.size() < PeerDigest::kMaxLeaving) {
      digest.m_leaving.push_back(
        { UpstreamView::ShortHash(upstream.m_id), upstream.m_startedAtMs });
    }
  }
  digest.m_load = m_state->m_levelling.Report(aNow);
  digest.m_speeds = m_state->m_upstreams.NextSpeedReports();
  digest.m_waiting = m_state->m_waiting.Report();
  std::size_t size = digest.Encode().size();
  for (const auto& [id, newParts] : m_schedule.Candidates(aNow)) {
    const UpstreamState* state = m_state->m_upstreams.Find(id);
    if (state == nullptr) {
      m_schedule.NoteAnnounced(id, false, aNow);
      continue;
    }
    UpstreamDigest upstreamDigest = MakeUpstreamDigest(*state, newParts, aNow);
    size += upstreamDigest.EncodedSize();
    if (size > m_schedule.MaxPayloadBytes() && !digest.m_upstreams.empty()) {
      break; // The remaining upstreams come first in the next digest.
    }
    m_schedule.NoteAnnounced(id, upstreamDigest.m_requests > 0, aNow);
    digest.m_upstreams.push_back(std::move(upstreamDigest));
  }
  return digest.Encode();
}

PeerLink::Awaitable<void>
PeerLink::Send()
{
  while (true) {
    ErrorCode error;
    const Instant now = m_state->Now();
    const Instant due =
      m_peers.empty() ? now + kNoPeersPollInterval : m_schedule.DueAt();
    m_sendTimer.expires_after(std::max(due - now, Duration(0)));
    co_await m_sendTimer.async_wait(Into(error));
    if (error == asio::error::operation_aborted) {
      continue; // A change made the next digest due earlier.
    }
    if (m_peers.empty()) {
      continue;
    }
    const std::string digest = NextDigest(m_state->Now());
    m_schedule.NoteSent(digest.size(), m_state->Now());
    for (const auto& [peer, lastDigestAt] : m_peers) {
      // The next digest makes up for one that cannot be sent now.
      const std::size_t sent =
        m_socket.send_to(asio::buffer(digest), peer, 0, error);
      m_state->m_counters.m_traffic.Record(TrafficPeer::kRouters, sent, 0);
    }
  }
}

void
PeerLink::ApplyLeaving(const PeerDigest& aDigest, const Udp::endpoint& aFrom)
{
  UpstreamView& upstreams = m_state->m_upstreams;
  for (const LeavingUpstream& leaving : aDigest.m_leaving) {
    const auto id = upstreams.FindByShortHash(leaving.m_upstream);
    if (id && upstreams.NotePeerLeaving({ *id, leaving.m_startedAtMs },
                                        m_state->Now())) {
      ++m_state->m_counters.m_upstreamsLeaving;
      m_state->Log(LogLine("upstream.leaving")
                     .Text("upstream", id->Str())
                     .Text("from", AddressOf(aFrom)));
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
    m_state->m_counters.m_traffic.Record(TrafficPeer::kRouters, 0, count);
    const std::string_view datagram = std::string_view(bytes).substr(0, count);
    if (datagram.starts_with(kReserveFrameMarker)) {
      m_onReserve(AddressOf(from), datagram.substr(1));
      continue;
    }
    const auto peer = m_peers.find(from);
    const auto digest = PeerDigest::Decode(datagram);
    if (!digest.ok()) {
      m_state->Log(LogLine("peer.unreadable")
                     .Text("from", AddressOf(from))
                     .Reason(digest.status()));
      continue;
    }
    if (peer == m_peers.end()) {
      m_onUnknownRouter();
    } else {
      peer->second = m_state->Now();
      ApplyDigest(*digest, m_state->m_upstreams, m_state->Now());
      ApplyLeaving(*digest, from);
      m_state->m_quarantine.Apply(digest->m_quarantine, m_state->Now());
      m_state->LogQuarantineChanges();
      m_state->m_levelling.NoteReport(
        AddressOf(from), digest->m_zone, digest->m_load, m_state->Now());
      m_state->m_waiting.Apply(
        digest->m_senderIncarnation, digest->m_waiting, m_state->Now());
      m_onFeedStatus(AddressOf(from), digest->ToFeedStatus());
      if (digest->m_storeContactAgeMs >= 0) {
        m_onStoreContact(
          AddressOf(from),
          std::chrono::milliseconds(digest->m_storeContactAgeMs));
      }
      if (digest->m_storeAgeMs >= 0) {
        m_state->m_storeAvailability.NotePeerResponse(
          m_state->Now(), std::chrono::milliseconds(digest->m_storeAgeMs));
      }
    }
  }
}

} // namespace bergamotpaddle
