/// \file
/// Proofs that a router which lost power had not begun to spend its reserves.
///
/// Fault pattern: many routers are killed or lose power at once, while the
/// store is well. What each was granted for an outage of the store would be
/// taken as spent with them, though it cannot have been.
///
/// A router answers the probes of a few others, its witnesses, with a pledge:
/// it will not open its reserves for `kPledgeSpan` from the answer. A witness
/// counts that span from the moment at which it sent the probe, so for it the
/// pledge ends earlier. Whoever follows the router on its host proves, by one
/// witness whose pledge still holds, that the reserves were closed when the
/// life before it ended. A router that needs its reserves withdraws its pledges
/// first and waits for each witness to confirm, or for its pledge to end.
///
/// No clock is compared with another one: each side measures spans. That of the
/// witness has to go on while its host is suspended, that of the router need
/// not.
#pragma once

#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// How long a pledge holds: the users' hosts are back within 3.5 s of a loss of
/// power, and the last probe may be a second old.
constexpr Duration kPledgeSpan = std::chrono::seconds(6);

/// The pledges that a router gave.
class ReservePledges
{
public:
  /// Answers a probe of \p aWitness; whether the answer is a pledge.
  bool Pledge(const std::string& aWitness, Instant aNow);

  /// From now on nothing is pledged.
  void Withdraw();
  /// Pledges may be given again: the reserves are closed.
  void AllowPledges() { m_isWithdrawn = false; }
  bool IsWithdrawn() const { return m_isWithdrawn; }

  /// Names this withdrawal in calls to witnesses.
  std::uint64_t WithdrawalNumber() const { return m_withdrawal; }
  /// Witnesses whose pledge may still hold.
  std::vector<std::string> UnreleasedWitnesses(Instant aNow) const;
  /// \p aWitness knows of withdrawal \p aWithdrawal.
  void NoteReleased(const std::string& aWitness, std::uint64_t aWithdrawal);

  /// Whether the reserves may be opened: withdrawn, and no pledge holds.
  bool CanOpenReserves(Instant aNow) const;

private:
  bool m_isWithdrawn = false;
  std::uint64_t m_withdrawal = 0;
  std::map<std::string, Instant> m_until; ///< By witness, of those that hold.
};

/// The pledges that a router witnesses. Its time goes on during suspension.
class PledgeWitness
{
public:
  /// \p aLife answered with a pledge a probe that this process sent at
  /// \p aSentAt. Answers to probes of an earlier process on the same host must
  /// not come here: its time may have been another.
  void NotePledge(const HolderId& aLife, Instant aSentAt);
  /// \p aLife withdrew its pledges; answers to earlier probes count no more.
  void NoteWithdrawal(const HolderId& aLife, Instant aNow);
  /// Whether a pledge of \p aLife holds, so that its reserves are closed.
  bool Holds(const HolderId& aLife, Instant aNow) const;
  /// Forgets lives whose pledge has ended.
  void RemoveExpired(Instant aNow);

private:
  struct Held
  {
    Instant m_until{};     ///< Of the pledge.
    Instant m_withdrawnAt; ///< Probes up to then do not count.
    bool m_hasWithdrawn = false;
  };
  std::map<HolderId, Held> m_lives;
};

/// Of \p aRouters the ones that \p aSelf is to witness: a fixed number before
/// it in an order that mixes hosts and availability zones.
std::vector<std::string>
RoutersToWitness(const std::string& aSelf, std::vector<std::string> aRouters);

} // namespace bergamotpaddle
