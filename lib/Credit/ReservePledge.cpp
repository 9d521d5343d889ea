#include "bergamotpaddle/Credit/ReservePledge.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

/// Number of witnesses of a router. If half of all routers fail at once, all
/// six witnesses fail with a probability of 1 in 64.
constexpr std::size_t kWitnessCount = 6;
/// Upper bound of the drift between the steady clocks of two hosts during a
/// pledge.
constexpr Duration kClockDriftMargin = std::chrono::milliseconds(300);

} // namespace

bool
ReservePledges::Pledge(const std::string& aWitness, Instant aNow)
{
  if (m_isWithdrawn) {
    return false;
  }
  m_expiryByWitness[aWitness] = aNow + kPledgeDuration + kClockDriftMargin;
  return true;
}

void
ReservePledges::Withdraw()
{
  if (!m_isWithdrawn) {
    m_isWithdrawn = true;
    ++m_withdrawalNumber;
  }
}

std::vector<std::string>
ReservePledges::UnreleasedWitnesses(Instant aNow) const
{
  std::vector<std::string> witnesses;
  for (const auto& [witness, expiresAt] : m_expiryByWitness) {
    if (aNow < expiresAt) {
      witnesses.push_back(witness);
    }
  }
  return witnesses;
}

void
ReservePledges::NoteReleased(const std::string& aWitness,
                             std::uint64_t aWithdrawalNumber)
{
  if (m_isWithdrawn && aWithdrawalNumber == m_withdrawalNumber) {
    m_expiryByWitness.erase(aWitness);
  }
}

bool
ReservePledges::CanOpenReserves(Instant aNow) const
{
  return m_isWithdrawn && UnreleasedWitnesses(aNow).empty();
}

void
PledgeWitness::NotePledge(const HolderId& aIncarnation, Instant aSentAt)
{
  PledgeState& pledge = m_pledges[aIncarnation];
  if (!pledge.m_hasWithdrawn || aSentAt > pledge.m_withdrawnAt) {
    pledge.m_expiresAt =
      std::max(pledge.m_expiresAt, aSentAt + kPledgeDuration);
  }
}

void
PledgeWitness::NoteWithdrawal(const HolderId& aIncarnation, Instant aNow)
{
  PledgeState& pledge = m_pledges[aIncarnation];
  pledge.m_expiresAt = Instant{};
  pledge.m_withdrawnAt = aNow;
  pledge.m_hasWithdrawn = true;
}

bool
PledgeWitness::HasValidPledge(const HolderId& aIncarnation, Instant aNow) const
{
  const auto pledge = m_pledges.find(aIncarnation);
  return pledge != m_pledges.end() && aNow < pledge->second.m_expiresAt;
}

void
PledgeWitness::RemoveExpired(Instant aNow)
{
  // A withdrawal is kept while responses to earlier probes may still arrive:
  // for one pledge duration.
  std::erase_if(m_pledges, [aNow](const auto& aEntry) {
    const PledgeState& pledge = aEntry.second;
    return aNow >= pledge.m_expiresAt &&
           (!pledge.m_hasWithdrawn ||
            aNow >= pledge.m_withdrawnAt + kPledgeDuration);
  });
}

std::vector<std::string>
RoutersToWitness(const std::string& aSelf, std::vector<std::string> aRouters)
{
  std::erase(aRouters, aSelf);
  std::sort(aRouters.begin(),
            aRouters.end(),
            [](const std::string& aLeft, const std::string& aRight) {
              return PlacementHash(aLeft) < PlacementHash(aRight);
            });
  const auto self =
    std::upper_bound(aRouters.begin(),
                     aRouters.end(),
                     aSelf,
                     [](const std::string& aLeft, const std::string& aRight) {
                       return PlacementHash(aLeft) < PlacementHash(aRight);
                     });
  const auto position = static_cast<std::size_t>(self - aRouters.begin());
  std::vector<std::string> chosen;
  for (std::size_t i = 1; i <= std::min(kWitnessCount, aRouters.size()); ++i) {
    const std::size_t index = position + aRouters.size() - i;
    chosen.push_back(aRouters[index % aRouters.size()]);
  }
  return chosen;
}

} // namespace bergamotpaddle
