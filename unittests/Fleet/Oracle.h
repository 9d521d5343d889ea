/// \file
/// Plain bookkeeping of what callers asked and got, judged against what the
/// upstreams ran. Shares no code with what it judges.
#pragma once

#include "bergamotpaddle/Testing/FakeFleet.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A request as its caller sees it, over all its calls.
struct CallerRequest
{
  std::string m_account;
  std::string m_key;
  bool m_isChat = true;
  bool m_isRepeatable = true;
  std::uint64_t m_tokens = 0;
  int m_calls = 0;
  int m_answers = 0; ///< Whole answers received.
  bool m_lastSaidNotRun = false;
  std::vector<RequestFailure> m_failures;
};

/// The callers of a fleet, and the verdict on what it did to them.
class Oracle
{
public:
  explicit Oracle(FakeFleet& aFleet);

  /// Makes a new request and its first call.
  void Ask(int aRouter,
           const std::string& aAccount,
           bool aIsChat,
           bool aIsRepeatable,
           bool aIsKeyed,
           std::uint64_t aTokens);
  /// Calls again with the key of an earlier request that has one.
  void AskAgain(std::size_t aRequest, int aRouter);

  std::size_t Count() const { return m_requests.size(); }
  const std::vector<CallerRequest>& Requests() const { return m_requests; }

  /// Findings that must never be there, at any moment.
  std::vector<std::string> CheckAlways(
    const std::map<std::string, std::uint64_t>& aPrepaid) const;
  /// Findings once all faults are over and the fleet has come to rest.
  std::vector<std::string> CheckAtRest() const;

private:
  void Call(std::size_t aRequest, int aRouter);
  std::string ExpectedAnswer(const CallerRequest& aRequest) const;
  std::size_t RunsOf(const CallerRequest& aRequest) const;

  FakeFleet* m_fleet;
  std::vector<CallerRequest> m_requests;
  std::vector<std::string> m_wrongAnswers;
};

} // namespace bergamotpaddle
