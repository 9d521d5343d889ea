#include "bergamotpaddle/Forwarding/ReserveExchange.h"

#include "bergamotpaddle/Support/MessagePack.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>
#include <msgpack.hpp>

namespace bergamotpaddle {

namespace asio = boost::asio;

namespace {

/// A datagram of the reserve protocol.
struct ReserveFrame
{
  enum Kind
  {
    kProbe,
    kPledge,
    kWithdrawal,
    kRelease,
    kProofRequest,
    kProof
  };
  int m_kind = kProbe;
  std::string m_router;  ///< The incarnation whose reserves are concerned.
  std::string m_witness; ///< The incarnation that probes.
  /// Send time of the probe, in microseconds of the witness's clock, or the
  /// number of the withdrawal.
  std::uint64_t m_number = 0;
  MSGPACK_DEFINE(m_kind, m_router, m_witness, m_number)

  std::string Encode() const
  {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, *this);
    return { buffer.data(), buffer.size() };
  }
};

/// Time since boot; the clock continues while the host is suspended.
Instant
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace

ReserveExchange::ReserveExchange(asio::io_context& aIo,
                                 GatewayState& aState,
                                 HolderId aIncarnation,
                                 std::string aAddress,
                                 ReserveExchangeOptions aOptions)
  : m_io(&aIo)
  , m_state(&aState)
  , m_incarnation(std::move(aIncarnation))
  , m_address(std::move(aAddress))
  , m_options(aOptions)
  , m_timer(aIo)
{
}

void
ReserveExchange::Start(ReserveHooks aHooks)
{
  m_hooks = std::move(aHooks);
  m_state->m_tasks.SpawnPermanent(
    m_io->get_executor(), "reserves", [this] { return RunPeriodically(); });
}

ReserveExchange::Awaitable<void>
ReserveExchange::RunPeriodically()
{
  Instant probeDue = m_state->Now();
  while (true) {
    const Instant now = m_state->Now();
    if (now >= probeDue) {
      probeDue = now + m_options.m_probeInterval;
      Probe();
    }
    UpdateReserves();
    m_timer.expires_after(m_options.m_interval);
    boost::system::error_code ignored;
    co_await m_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void
ReserveExchange::Probe()
{
  const Instant now = BootTime();
  m_witness.RemoveExpired(now);
  ReserveFrame probe;
  probe.m_witness = m_incarnation.Str();
  probe.m_number = static_cast<std::uint64_t>(now.time_since_epoch().count());
  const std::string bytes = probe.Encode();
  for (const std::string& router :
       RoutersToWitness(m_address, m_hooks.m_reachable())) {
    m_hooks.m_send(router, bytes);
  }
}

void
ReserveExchange::UpdateReserves()
{
  CreditBook& credit = m_state->m_credit;
  const Instant now = m_state->Now();
  const bool isStoreUnavailable = m_hooks.m_isStoreUnavailable();
  if (!m_pledges.IsWithdrawn()) {
    if (isStoreUnavailable && credit.NeedsReserve(now)) {
      m_pledges.Withdraw();
      m_state->Log(LogLine("credit.reserve_withdrawing")
                     .Number("witnesses",
                             static_cast<std::int64_t>(
                               m_pledges.UnreleasedWitnesses(now).size())),
                   true);
    }
  } else if (!credit.HasOpenReserve() && !isStoreUnavailable) {
    m_pledges.AllowPledges();
    m_state->Log(LogLine("credit.reserve_closed"), true);
  } else if (!credit.HasOpenReserve() && m_pledges.CanOpenReserves(now)) {
    credit.OpenReserves();
    m_state->Log(LogLine("credit.reserve_opened"), true);
  }
  if (m_pledges.IsWithdrawn()) {
    ReserveFrame withdrawal;
    withdrawal.m_kind = ReserveFrame::kWithdrawal;
    withdrawal.m_router = m_incarnation.Str();
    withdrawal.m_number = m_pledges.WithdrawalNumber();
    const std::string bytes = withdrawal.Encode();
    for (const std::string& witness : m_pledges.UnreleasedWitnesses(now)) {
      m_hooks.m_send(witness, bytes);
    }
  }
}

void
ReserveExchange::HandleDatagram(const std::string& aFrom,
                                std::string_view aBytes)
{
  ReserveFrame frame;
  try {
    UnpackMessage(aBytes).get().convert(frame);
  } catch (const std::exception& error) {
    m_state->Log(LogLine("peer.unreadable")
                   .Text("from", aFrom)
                   .Reason(absl::InvalidArgumentError(error.what())));
    return;
  }
  const HolderId router(frame.m_router);
  switch (frame.m_kind) {
    case ReserveFrame::kProbe:
      if (m_pledges.Pledge(aFrom, m_state->Now())) {
        frame.m_kind = ReserveFrame::kPledge;
        frame.m_router = m_incarnation.Str();
        m_hooks.m_send(aFrom, frame.Encode());
      }
      break;
    case ReserveFrame::kPledge:
      if (frame.m_witness == m_incarnation.Str()) {
        m_witness.NotePledge(
          router,
          Instant(Duration(static_cast<Duration::rep>(frame.m_number))));
      }
      break;
    case ReserveFrame::kWithdrawal:
      m_witness.NoteWithdrawal(router, BootTime());
      frame.m_kind = ReserveFrame::kRelease;
      m_hooks.m_send(aFrom, frame.Encode());
      break;
    case ReserveFrame::kRelease:
      if (router == m_incarnation) {
        m_pledges.NoteReleased(aFrom, frame.m_number);
      }
      break;
    case ReserveFrame::kProofRequest:
      if (m_witness.HasValidPledge(router, BootTime())) {
        frame.m_kind = ReserveFrame::kProof;
        m_hooks.m_send(aFrom, frame.Encode());
      }
      break;
    case ReserveFrame::kProof:
      m_provenClosed.insert(router);
      break;
    default:
      break; // A kind that a later version added.
  }
}

ReserveExchange::Awaitable<std::set<HolderId>>
ReserveExchange::RequestProofs(std::vector<HolderId> aIncarnations,
                               std::vector<std::string> aRouters)
{
  const Instant until = m_state->Now() + m_options.m_proofTimeout;
  asio::steady_timer timer(*m_io);
  while (m_state->Now() < until) {
    std::erase_if(aIncarnations, [this](const HolderId& aIncarnation) {
      return m_provenClosed.contains(aIncarnation);
    });
    if (aIncarnations.empty()) {
      break;
    }
    for (const HolderId& incarnation : aIncarnations) {
      ReserveFrame proofRequest;
      proofRequest.m_kind = ReserveFrame::kProofRequest;
      proofRequest.m_router = incarnation.Str();
      const std::string bytes = proofRequest.Encode();
      for (const std::string& router : aRouters) {
        m_hooks.m_send(router, bytes);
      }
    }
    timer.expires_after(m_options.m_interval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return m_provenClosed;
}

} // namespace bergamotpaddle
