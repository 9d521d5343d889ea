#include "Oracle.h"

#include <algorithm>
#include <memory>

namespace bergamotpaddle {

Oracle::Oracle(FakeFleet& aFleet)
  : m_fleet(&aFleet)
{
}

void
Oracle::Ask(int aRouter,
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
  Call(m_requests.size() - 1, aRouter);
}

void
Oracle::AskAgain(std::size_t aRequest, int aRouter)
{
  if (m_requests[aRequest].m_key.front() != '~') {
    Call(aRequest, aRouter);
  }
}

std::string
Oracle::ExpectedAnswer(const CallerRequest& aRequest) const
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
Oracle::Call(std::size_t aRequest, int aRouter)
{
  CallerRequest& asked = m_requests[aRequest];
  ++asked.m_calls;
  asked.m_lastSaidNotRun = false;
  NewRequest request =
    asked.m_isChat
      ? m_fleet->MakeChat(asked.m_account, asked.m_key, asked.m_tokens)
      : m_fleet->MakeServiceCall(
          asked.m_account, asked.m_key, asked.m_isRepeatable);
  auto text = std::make_shared<std::string>();
  const int call = asked.m_calls;
  request.m_caller.m_data = [text](const std::string& aBytes) {
    *text += aBytes;
  };
  request.m_caller.m_end = [this, aRequest, text](const AnswerEnd&) {
    CallerRequest& answered = m_requests[aRequest];
    ++answered.m_answers;
    if (*text != ExpectedAnswer(answered)) {
      m_wrongAnswers.push_back("request " + answered.m_key +
                               " was answered \"" + *text + "\"");
    }
  };
  request.m_caller.m_fail =
    [this, aRequest, call](const RequestFailure& aFailure) {
      CallerRequest& failed = m_requests[aRequest];
      failed.m_failures.push_back(aFailure);
      failed.m_lastSaidNotRun =
        aFailure.m_ran == Ran::kNo && call == failed.m_calls && call == 1;
    };
  m_fleet->Begin(aRouter, std::move(request));
}

std::size_t
Oracle::RunsOf(const CallerRequest& aRequest) const
{
  const auto& runs = m_fleet->Runs();
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_account.Str() == aRequest.m_account &&
             aRun.m_key.Str() == aRequest.m_key;
    }));
}

std::vector<std::string>
Oracle::CheckAlways(const std::map<std::string, std::uint64_t>& aPrepaid) const
{
  std::vector<std::string> findings = m_wrongAnswers;
  for (const CallerRequest& request : m_requests) {
    if (!request.m_isRepeatable && RunsOf(request) > 1) {
      findings.push_back("call " + request.m_key +
                         " that may not repeat ran more than once");
    }
    // Only a request asked once: another call may have started it meanwhile.
    if (request.m_lastSaidNotRun && request.m_calls == 1 &&
        RunsOf(request) > 0) {
      findings.push_back("request " + request.m_key +
                         " was refused as not run, but ran");
    }
  }
  for (const auto& [account, prepaid] : aPrepaid) {
    std::uint64_t spent = 0;
    for (const CallerRequest& request : m_requests) {
      if (request.m_account == account && request.m_answers > 0) {
        spent += request.m_isChat ? 10 + request.m_tokens : 50;
      }
    }
    if (spent > prepaid) {
      findings.push_back("answers of " + account + " cost " +
                         std::to_string(spent) + " of " +
                         std::to_string(prepaid));
    }
    if (m_fleet->BilledTokens(account) > prepaid) {
      findings.push_back("account " + account +
                         " was billed beyond its budget");
    }
  }
  return findings;
}

std::vector<std::string>
Oracle::CheckAtRest() const
{
  std::vector<std::string> findings;
  std::map<std::string, std::uint64_t> owed;
  for (const CallerRequest& request : m_requests) {
    std::uint64_t cost = 0;
    for (const RunRecord& run : m_fleet->Runs()) {
      const bool isOfRequest = run.m_account.Str() == request.m_account &&
                               run.m_key.Str() == request.m_key;
      if (isOfRequest && run.m_isComplete) {
        cost = std::max(cost, run.m_tokens);
      }
    }
    owed[request.m_account] += cost;
  }
  for (const auto& [account, tokens] : owed) {
    const std::uint64_t billed = m_fleet->BilledTokens(account);
    if (billed != tokens) {
      findings.push_back("account " + account + " was billed " +
                         std::to_string(billed) + " for work worth " +
                         std::to_string(tokens));
    }
  }
  return findings;
}

} // namespace bergamotpaddle
