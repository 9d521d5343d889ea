/// \file
/// Which router draws each account's credit for all.
///
/// Fault pattern: an account's home is cut off, has just started or loses
/// power, and its borrowers learn of that at different moments.
#pragma once

#include "bergamotpaddle/Gateway/CreditBook.h"
#include "bergamotpaddle/Support/Time.h"
#include "bergamotpaddle/Support/TypedId.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// Bounds of the choice.
struct CreditHomesOptions
{
  /// Fleets up to this size have no homes: few writers meet few conflicts, and
  /// a call to a home costs more than it saves.
  std::size_t m_mostWithoutHomes = 6;
  /// A router that has just started hears its peers within this time: three of
  /// their signs of life.
  Duration m_settleTime = std::chrono::milliseconds(1600);
  /// A router draws an account that others ask of it, though it takes another
  /// one for the home, for so long: they may know of its end already, and their
  /// wishes come three times a second.
  Duration m_actingSpan = std::chrono::seconds(2);
  /// A home that did not answer is passed over for so long.
  Duration m_silence = std::chrono::seconds(2);
};

/// The homes as one router sees them; routers are addresses.
class CreditHomes
{
public:
  CreditHomes(std::string aSelf,
              Instant aStartedAt,
              CreditHomesOptions aOptions = {});

  /// Decides anew: the home is the highest rendezvous weight among
  /// \p aReachable and this router. With \p aKnown routers, few of them heard
  /// yet, nobody draws here.
  void Choose(const std::vector<AccountId>& aAccounts,
              const std::vector<std::string>& aReachable,
              std::size_t aKnown,
              Instant aNow);

  /// Who draws \p aAccount; a router draws for itself until it is decided.
  CreditBook::DrawRole DrawRoleOf(const AccountId& aAccount,
                                  Instant aNow) const;
  /// The router to borrow \p aAccount of; empty if there is none.
  std::string HomeOf(const AccountId& aAccount) const;

  /// \p aRouter did not answer.
  void NoteUnresponsive(const std::string& aRouter, Instant aNow);
  /// Others ask this router for \p aAccount.
  void NoteBorrowRequest(const AccountId& aAccount, Instant aNow);

private:
  std::string m_self;
  Instant m_startedAt;
  CreditHomesOptions m_options;
  std::map<AccountId, std::string> m_homes; ///< Empty: none is known.
  std::map<AccountId, Instant> m_actingUntil;
  std::map<std::string, Instant> m_silentUntil;
};

} // namespace bergamotpaddle
