#include "Oracle.h"

#include <algorithm>
#include <memory>

namespace bergamotpaddle {

Oracle::Oracle(FakeFleet& aFleet)
  : m_fleet(&aFleet)
{
}

void
Oracle::Submit(int aRouter,
               const std::string& aAccount,
               bool aIsChat,
               bool aIsRepeatable,
               bool aIsKeyed,
               std::uint64_t aTokens)
{
  CallerRequest request;
  request.m_account = aAccount;
  request.m_key = (aIsKeyed ? "k" : "~u") + std::to_string(m_requests.size());
  request.m_isChat = aIsChat;
  request.m_isRepeatable = aIsRepeatable;
  request.m_tokens = aTokens;
  m_requests.push_back(request);
  Send(m_requests.size() - 1, aRouter);
}

void
Oracle::Resubmit(std::size_t aRequest, int aRouter)
{
  if (m_requests[aRequest].m_key.front() != '~') {
    Send(aRequest, aRouter);
  }
}

std::string
Oracle::ExpectedResponse(const CallerRequest& aRequest) const
{
  if (!aRequest.m_isChat) {
    return "done " + aRequest.m_key;
  }
  std::string text;
  for (std::uint64_t i = 0; i < aRequest.m_tokens; ++i) {
    text += FakeToken(RequestKey(aRequest.m_key), i);
  }
  return text;
}

void
Oracle::Send(std::size_t aRequest, int aRouter)
{
  CallerRequest& submitted = m_requests[aRequest];
  ++submitted.m_submissions;
  submitted.m_lastReportedNotRun = false;
  NewRequest request =
    submitted.m_isChat
      ? m_fleet->MakeChat(
          submitted.m_account, submitted.m_key, submitted.m_tokens)
      : m_fleet->MakeServiceCall(
          submitted.m_account, submitted.m_key, submitted.m_isRepeatable);
  auto text = std::make_shared<std::string>();
  const int submission = submitted.m_submissions;
  request.m_caller.m_data = [text](const std::string& aBytes) {
    *text += aBytes;
  };
  request.m_caller.m_end = [this, aRequest, text](const ResponseEnd&) {
    CallerRequest& completed = m_requests[aRequest];
    ++completed.m_completeResponses;
    if (*text != ExpectedResponse(completed)) {
      m_wrongResponses.push_back("request " + completed.m_key +
                                 " received the response \"" + *text + "\"");
    }
  };
  request.m_caller.m_fail =
    [this, aRequest, submission](const RequestFailure& aFailure) {
      CallerRequest& failed = m_requests[aRequest];
      failed.m_failures.push_back(aFailure);
      failed.m_lastReportedNotRun = aFailure.m_ran == Ran::kNo &&
                                    submission == failed.m_submissions &&
                                    submission == 1;
    };
  m_fleet->Begin(aRouter, std::move(request));
}

std::size_t
Oracle::CountRuns(const CallerRequest& aRequest) const
{
  const auto& runs = m_fleet->Runs();
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_account.Str() == aRequest.m_account &&
             aRun.m_key.Str() == aRequest.m_key;
    }));
}

std::vector<std::string>
Oracle::CheckInvariants(
  const std::map<std::string, std::uint64_t>& aPrepaid) const
{
  std::vector<std::string> violations = m_wrongResponses;
  for (const CallerRequest& request : m_requests) {
    if (!request.m_isRepeatable && CountRuns(request) > 1) {
      violations.push_back("call " + request.m_key +
                           " is not repeatable but ran more than once");
    }
    // Only requests submitted once: a later submission may have run in the
    // meantime.
    if (request.m_lastReportedNotRun && request.m_submissions == 1 &&
        CountRuns(request) > 0) {
      violations.push_back("request " + request.m_key +
                           " was reported as not run, but ran");
    }
  }
  for (const auto& [account, prepaid] : aPrepaid) {
    std::uint64_t completedCost = 0;
    for (const CallerRequest& request : m_requests) {
      if (request.m_account == account && request.m_completeResponses > 0) {
        completedCost += request.m_isChat ? 10 + request.m_tokens : 50;
      }
    }
    if (completedCost > prepaid) {
      violations.push_back("prepaid tokens overspent: responses to account " +
                           account + " cost " + std::to_string(completedCost) +
                           " of " + std::to_string(prepaid));
    }
    if (m_fleet->BilledTokens(account) > prepaid) {
      violations.push_back("account " + account +
                           " was billed beyond its budget");
    }
  }
  return violations;
}

std::vector<std::string>
Oracle::CheckFinalBills() const
{
  std::vector<std::string> violations;
  std::map<std::string, std::uint64_t> expectedBills;
  for (const CallerRequest& request : m_requests) {
    std::uint64_t cost = 0;
    for (const RunRecord& run : m_fleet->Runs()) {
      const bool isOfRequest = run.m_account.Str() == request.m_account &&
                               run.m_key.Str() == request.m_key;
      if (isOfRequest && run.m_isComplete) {
        cost = std::max(cost, run.m_tokens);
      }
    }
    expectedBills[request.m_account] += cost;
  }
  for (const auto& [account, tokens] : expectedBills) {
    const std::uint64_t billed = m_fleet->BilledTokens(account);
    if (billed != tokens) {
      violations.push_back(
        "account " + account + " was billed " + std::to_string(billed) +
        " tokens, but its requests cost " + std::to_string(tokens));
    }
  }
  return violations;
}

} // namespace bergamotpaddle
