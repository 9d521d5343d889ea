/// \file
/// A test oracle that records what callers request and receive and checks it
/// against the runs at the upstreams. It shares no code with the decisions
/// under test.
#pragma once

#include "bergamotpaddle/Testing/FakeFleet.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotpaddle {

/// A request as its caller sees it, over all its submissions.
struct CallerRequest
{
  std::string m_account;
  std::string m_key;
  bool m_isChat = true;
  bool m_isRepeatable = true;
  std::uint64_t m_tokens = 0;
  int m_submissions = 0;
  int m_completeResponses = 0;
  bool m_lastReportedNotRun = false;
  std::vector<RequestFailure> m_failures;
};

/// Submits the requests of all callers of a fleet and checks the outcomes.
class Oracle
{
public:
  explicit Oracle(FakeFleet& aFleet);

  /// Creates a request and submits it for the first time.
  void Submit(int aRouter,
              const std::string& aAccount,
              bool aIsChat,
              bool aIsRepeatable,
              bool aIsKeyed,
              std::uint64_t aTokens);
  /// Submits an earlier request again. Has no effect on a request without a
  /// key.
  void Resubmit(std::size_t aRequest, int aRouter);

  std::size_t RequestCount() const { return m_requests.size(); }
  const std::vector<CallerRequest>& Requests() const { return m_requests; }

  /// Returns violations of the invariants, which hold at any time: complete
  /// responses are correct, a non-repeatable call runs at most once, a request
  /// that was reported as not run did not run, and neither the cost of an
  /// account's responses nor its bill exceeds its prepaid tokens.
  std::vector<std::string> CheckInvariants(
    const std::map<std::string, std::uint64_t>& aPrepaid) const;
  /// Returns the accounts whose bill differs from the cost of their requests,
  /// where each request costs as much as its most expensive complete run. Valid
  /// once all faults have ended and all work has completed.
  std::vector<std::string> CheckFinalBills() const;

private:
  /// Submits a request to a router.
  void Send(std::size_t aRequest, int aRouter);
  std::string ExpectedResponse(const CallerRequest& aRequest) const;
  /// Counts the runs of a request at all upstreams.
  std::size_t CountRuns(const CallerRequest& aRequest) const;

  FakeFleet* m_fleet;
  std::vector<CallerRequest> m_requests;
  std::vector<std::string> m_wrongResponses;
};

} // namespace bergamotpaddle
