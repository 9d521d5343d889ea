#include "bergamotpaddle/Credit/CreditHomes.h"

#include "bergamotpaddle/Support/Hash.h"

#include <algorithm>

namespace bergamotpaddle {

CreditHomes::CreditHomes(std::string aSelf,
                         Instant aStartedAt,
                         CreditHomesOptions aOptions)
  : m_self(std::move(aSelf))
  , m_startedAt(aStartedAt)
  , m_options(aOptions)
{
}

void
CreditHomes::Choose(const std::vector<AccountId>& aAccounts,
                    const std::vector<std::string>& aReachable,
                    std::size_t aKnownCount,
                    Instant aNow)
{
  std::vector<std::string> candidates = { m_self };
  for (const std::string& peer : aReachable) {
    const auto unresponsiveUntil = m_unresponsiveUntil.find(peer);
    if (unresponsiveUntil == m_unresponsiveUntil.end() ||
        aNow >= unresponsiveUntil->second) {
      candidates.push_back(peer);
    }
  }
  m_homes.clear();
  if (std::max(candidates.size(), aKnownCount) <=
      m_options.m_maxRoutersWithoutHomes) {
    return;
  }
  const bool isDiscovering = aNow - m_startedAt < m_options.m_discoveryTime &&
                             candidates.size() * 2 < aKnownCount;
  for (const AccountId& account : aAccounts) {
    if (isDiscovering) {
      m_homes[account].clear();
      continue;
    }
    const auto weight = [&account](const std::string& aRouter) {
      return RendezvousWeight(account.Str(), aRouter);
    };
    m_homes[account] = *std::max_element(
      candidates.begin(),
      candidates.end(),
      [&weight](const std::string& aLeft, const std::string& aRight) {
        return weight(aLeft) < weight(aRight);
      });
  }
}

CreditBook::DrawRole
CreditHomes::DrawRoleOf(const AccountId& aAccount, Instant aNow) const
{
  const auto home = m_homes.find(aAccount);
  if (home == m_homes.end()) {
    return CreditBook::DrawRole::kIndependent;
  }
  if (home->second == m_self) {
    return CreditBook::DrawRole::kHome;
  }
  const auto actingUntil = m_actingUntil.find(aAccount);
  return actingUntil != m_actingUntil.end() && aNow < actingUntil->second
           ? CreditBook::DrawRole::kHome
           : CreditBook::DrawRole::kBorrower;
}

std::string
CreditHomes::HomeOf(const AccountId& aAccount) const
{
  const auto home = m_homes.find(aAccount);
  return home == m_homes.end() ? std::string() : home->second;
}

void
CreditHomes::NoteUnresponsive(const std::string& aRouter, Instant aNow)
{
  m_unresponsiveUntil[aRouter] = aNow + m_options.m_unresponsiveTime;
}

void
CreditHomes::NoteBorrowRequest(const AccountId& aAccount, Instant aNow)
{
  m_actingUntil[aAccount] = aNow + m_options.m_actingHomeTime;
}

} // namespace bergamotpaddle
