#include "bergamotpaddle/Gateway/ReservePledge.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>

namespace bergamotpaddle {

namespace {

/// Half of all routers may be lost at once: that all witnesses of one are among
/// them has a chance of 1 in 64.
constexpr std::size_t kWitnesses = 6;
/// Two hosts' steady clocks differ by less over a pledge.
constexpr Duration kClockMargin = std::chrono::milliseconds(300);

} // namespace

bool
ReservePledges::Pledge(const std::string& aWitness, Instant aNow)
{
  if (m_isWithdrawn) {
    return false;
  }
  m_until[aWitness] = aNow + kPledgeSpan + kClockMargin;
  return true;
}

void
ReservePledges::Withdraw()
{
  if (!m_isWithdrawn) {
    m_isWithdrawn = true;
    ++m_withdrawal;
  }
}

std::vector<std::string>
ReservePledges::UnreleasedWitnesses(Instant aNow) const
{
  std::vector<std::string> witnesses;
  for (const auto& [witness, until] : m_until) {
    if (aNow < until) {
      witnesses.push_back(witness);
    }
  }
  return witnesses;
}

void
ReservePledges::NoteReleased(const std::string& aWitness,
                             std::uint64_t aWithdrawal)
{
  if (m_isWithdrawn && aWithdrawal == m_withdrawal) {
    m_until.erase(aWitness);
  }
}

bool
ReservePledges::CanOpenReserves(Instant aNow) const
{
  return m_isWithdrawn && UnreleasedWitnesses(aNow).empty();
}

void
PledgeWitness::NotePledge(const HolderId& aLife, Instant aSentAt)
{
  Held& held = m_lives[aLife];
  if (!held.m_hasWithdrawn || aSentAt > held.m_withdrawnAt) {
    held.m_until = std::max(held.m_until, aSentAt + kPledgeSpan);
  }
}

void
PledgeWitness::NoteWithdrawal(const HolderId& aLife, Instant aNow)
{
  Held& held = m_lives[aLife];
  held.m_until = Instant{};
  held.m_withdrawnAt = aNow;
  held.m_hasWithdrawn = true;
}

bool
PledgeWitness::Holds(const HolderId& aLife, Instant aNow) const
{
  const auto held = m_lives.find(aLife);
  return held != m_lives.end() && aNow < held->second.m_until;
}

void
PledgeWitness::RemoveExpired(Instant aNow)
{
  // An answer to a probe of the last span could still arrive.
  std::erase_if(m_lives, [aNow](const auto& aEntry) {
    const Held& held = aEntry.second;
    return aNow >= held.m_until &&
           (!held.m_hasWithdrawn || aNow >= held.m_withdrawnAt + kPledgeSpan);
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
  const auto place = static_cast<std::size_t>(self - aRouters.begin());
  std::vector<std::string> chosen;
  for (std::size_t i = 1; i <= std::min(kWitnesses, aRouters.size()); ++i) {
    const std::size_t before = place + aRouters.size() - i;
    chosen.push_back(aRouters[before % aRouters.size()]);
  }
  return chosen;
}

} // namespace bergamotpaddle
