/// \file
/// Pledges that prove that a failed router had not started to spend its
/// reserves.
///
/// Fault pattern: many routers are killed or lose power at once while the store
/// is available. Without such proof, all credit granted to them for an outage
/// of the store would count as spent, although they cannot have spent it.
///
/// A router responds to the probes of a few other routers, its witnesses, with
/// a pledge not to open its reserves for `kPledgeDuration` after the response.
/// A witness measures that time from when it sent the probe, so for the witness
/// the pledge ends earlier. The next incarnation of the router on
/// the same host needs a single witness with an unexpired pledge to prove that
/// the reserves were closed when the previous one ended. A router that needs
/// its reserves first withdraws its pledges, and waits until each witness has
/// confirmed the withdrawal or its pledge has expired.
///
/// Clocks of different hosts are never compared: each side measures durations.
/// The witness's clock has to advance while its host is suspended; that of the
/// router need not.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// How long a pledge is valid. Hosts restart within 3.5 s of a power loss, and
/// the last probe before it may be a second old.
constexpr Duration kPledgeDuration = std::chrono::seconds(6);

/// The pledges that a router gave to its witnesses.
class ReservePledges
{
public:
  /// Responds to a probe of \p aWitness; returns whether a pledge is given.
  bool Pledge(const std::string& aWitness, Instant aNow);

  /// Withdraws all pledges and gives no others until `AllowPledges`.
  void Withdraw();
  /// Allows pledges again. The reserves must be closed.
  void AllowPledges() { m_isWithdrawn = false; }
  bool IsWithdrawn() const { return m_isWithdrawn; }

  /// Number of the last withdrawal, sent to witnesses to identify it.
  std::uint64_t WithdrawalNumber() const { return m_withdrawalNumber; }
  /// Witnesses whose pledge may still be valid.
  std::vector<std::string> UnreleasedWitnesses(Instant aNow) const;
  /// Records that \p aWitness confirmed withdrawal \p aWithdrawalNumber.
  void NoteReleased(const std::string& aWitness,
                    std::uint64_t aWithdrawalNumber);

  /// Whether pledges are withdrawn and none of them is valid any more.
  bool CanOpenReserves(Instant aNow) const;

private:
  bool m_isWithdrawn = false;
  std::uint64_t m_withdrawalNumber = 0;
  std::map<std::string, Instant> m_expiryByWitness; ///< Unreleased pledges.
};

/// The pledges that a router received as a witness. All times are of a clock
/// that advances while the host is suspended.
class PledgeWitness
{
public:
  /// Records that \p aIncarnation responded with a pledge to a probe that this
  /// process sent at \p aSentAt. Responses to probes of an earlier process on
  /// this host must not be passed: its clock may have had another origin.
  void NotePledge(const HolderId& aIncarnation, Instant aSentAt);
  /// Records that \p aIncarnation withdrew its pledges. Responses to probes
  /// sent until \p aNow are ignored from then on.
  void NoteWithdrawal(const HolderId& aIncarnation, Instant aNow);
  /// Whether a pledge of \p aIncarnation is valid, which proves that its
  /// reserves are closed.
  bool HasValidPledge(const HolderId& aIncarnation, Instant aNow) const;
  /// Removes incarnations whose pledge has expired.
  void RemoveExpired(Instant aNow);

private:
  struct PledgeState
  {
    Instant m_expiresAt{};
    Instant m_withdrawnAt; ///< Pledges to probes sent until then are ignored.
    bool m_hasWithdrawn = false;
  };
  std::map<HolderId, PledgeState> m_pledges;
};

/// Returns those of \p aRouters that \p aSelf witnesses: a fixed number of its
/// predecessors in an order that mixes hosts and availability zones.
std::vector<std::string>
RoutersToWitness(const std::string& aSelf, std::vector<std::string> aRouters);

} // namespace bergamotpaddle
