/// \file
/// Chooses for each account its home: the router that draws credit for all.
///
/// Fault pattern: an account's home is partitioned, has just started or loses
/// power, and its borrowers detect that at different times.
#pragma once

#include "bergamotpaddle/Credit/CreditBook.h"
#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// Limits and timeouts of the choice of homes.
struct CreditHomesOptions
{
  /// Fleets up to this size have no homes: few writers rarely conflict, and a
  /// call to a home costs more than it saves.
  std::size_t m_maxRoutersWithoutHomes = 6;
  /// A router that has just started discovers its peers within this time, which
  /// covers three of their heartbeats.
  Duration m_discoveryTime = std::chrono::milliseconds(1600);
  /// A router that receives a request to lend credit of an account acts as its
  /// home for this long, even if it considers another router to be the home:
  /// the borrowers may have detected a failure of the other one first. They
  /// repeat their requests three times a second.
  Duration m_actingHomeTime = std::chrono::seconds(2);
  /// A home that did not respond is not chosen again for this long.
  Duration m_unresponsiveTime = std::chrono::seconds(2);
};

/// The home of each account from one router's point of view. Routers are
/// identified by their addresses.
class CreditHomes
{
public:
  CreditHomes(std::string aSelf,
              Instant aStartedAt,
              CreditHomesOptions aOptions = {});

  /// Recomputes the homes: an account's home is the router with the highest
  /// rendezvous weight among \p aReachable and this router. Within the
  /// discovery time after the start, while less than half of the \p aKnownCount
  /// routers are reachable, accounts have no home and this router does not
  /// draw. Small fleets have no homes.
  void Choose(const std::vector<AccountId>& aAccounts,
              const std::vector<std::string>& aReachable,
              std::size_t aKnownCount,
              Instant aNow);

  /// This router's role for \p aAccount; `kIndependent` until homes are chosen
  /// and in small fleets.
  CreditBook::DrawRole DrawRoleOf(const AccountId& aAccount,
                                  Instant aNow) const;
  /// The router to borrow \p aAccount from; empty if there is none.
  std::string HomeOf(const AccountId& aAccount) const;

  /// Records that \p aRouter did not respond.
  void NoteUnresponsive(const std::string& aRouter, Instant aNow);
  /// Records that another router requested a loan of \p aAccount's credit.
  void NoteBorrowRequest(const AccountId& aAccount, Instant aNow);

private:
  std::string m_self;
  Instant m_startedAt;
  CreditHomesOptions m_options;
  std::map<AccountId, std::string>
    m_homes; ///< Empty address: not discovered yet.
  std::map<AccountId, Instant> m_actingUntil;
  std::map<std::string, Instant> m_unresponsiveUntil;
};

} // namespace bergamotpaddle
