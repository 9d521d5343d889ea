/// \file
/// Several routers and agents, their real decision code, over the fakes of
/// time, network, key-value service and upstreams. What the upstreams ran is
/// recorded as an oracle's input.
#pragma once

#include "bergamotpaddle/Agent/AgentNode.h"
#include "bergamotpaddle/Router/RouterCore.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"
#include "bergamotpaddle/Testing/FakeNetwork.h"

namespace bergamotpaddle {

/// Something that an upstream really ran.
struct RunRecord
{
  AccountId m_account;
  RequestKey m_key;
  std::string m_upstream;
  WorkKind m_kind = WorkKind::kChat;
  std::uint64_t m_tokens =
    0; ///< Charged if it is the run that counts: prompt and whole output.
  bool m_isComplete = false;
  Instant m_startedAt{};
};

/// Pace of the fake upstreams.
struct FakeUpstreamOptions
{
  Duration m_timeToFirstToken = std::chrono::milliseconds(20);
  Duration m_tokenInterval = std::chrono::milliseconds(20);
  Duration m_callTime = std::chrono::milliseconds(20);
  std::uint64_t m_promptTokens = 10;
};

/// Shape of a fleet.
struct FakeFleetOptions
{
  int m_routers = 2;
  int m_chatUpstreams = 3;
  int m_serviceUpstreams = 2;
  std::map<std::string, std::uint64_t> m_budgets;
  AdmissionOptions m_admission;
  FakeUpstreamOptions m_upstream;
  std::uint64_t m_seed = 1;
  BalancerOptions m_balancer;
  std::uint64_t m_requestTimeoutMilliseconds = 120'000;
  std::map<std::string, std::uint32_t> m_weights; ///< Of accounts; 1 if absent.
  std::vector<std::string> m_zones = { "z1", "z2" };
};

/// The text that a fake engine generates for a request: token \p aIndex.
std::string
FakeToken(const RequestKey& aKey, std::uint64_t aIndex);

/// The fleet.
class FakeFleet
{
public:
  explicit FakeFleet(FakeFleetOptions aOptions);
  ~FakeFleet();
  FakeFleet(const FakeFleet&) = delete;
  FakeFleet& operator=(const FakeFleet&) = delete;

  VirtualTime& Time() { return m_time; }
  FakeKeyValue& KeyValue() { return m_keyValue; }
  FakeNetwork& Network() { return m_network; }

  /// A request in the shape that callers of this fleet use.
  NewRequest MakeChat(const std::string& aAccount,
                      const std::string& aKey,
                      std::uint64_t aTokens) const;
  NewRequest MakeCall(const std::string& aAccount,
                      const std::string& aKey,
                      bool aRepeatable) const;

  /// Hands a request to a router; nothing happens if it is not alive.
  void Begin(int aRouter, NewRequest aRequest);

  std::size_t RouterCount() const { return m_routers.size(); }
  std::size_t AgentCount() const { return m_agents.size(); }
  RouterCore* Router(int aIndex);
  AgentNode* Agent(int aIndex);
  std::string RouterName(int aIndex) const
  {
    return "router-" + std::to_string(aIndex);
  }
  std::string AgentName(int aIndex) const;

  void KillRouter(int aIndex);
  void StartRouter(int aIndex);
  void StopRouter(int aIndex, std::function<void()> aDone);
  void KillAgent(int aIndex);
  void StartAgent(int aIndex);
  FakeProcess& RouterProcess(int aIndex);
  FakeProcess& AgentProcess(int aIndex);
  /// Whether a node reaches the key-value service.
  void SetReachesKeyValue(const std::string& aName, bool aReaches);
  void SetSlowdown(int aAgent, double aFactor);
  /// Every run at this upstream fails after its first token.
  void SetFailing(int aAgent, bool aFails);

  /// Writes the next configuration, with \p aDrained upstreams drained.
  std::uint64_t ApplyConfig(const std::set<std::string>& aDrained);
  bool TopUp(const std::string& aAccount,
             const std::string& aId,
             std::uint64_t aTokens);

  /// Ends every fault and starts what is dead.
  void HealAll();

  const std::vector<RunRecord>& Runs() const { return m_runs; }
  /// Tokens billed to an account, as the key-value service has it.
  std::uint64_t Billed(const std::string& aAccount) const;
  BudgetValue Budget(const std::string& aAccount) const;
  /// Events of all processes, newest last.
  const std::vector<Event>& Events() const { return m_events; }

private:
  struct RouterHost;
  struct AgentHost;

  EventHook EventsOf(const std::string& aName);
  RouterHooks MakeRouterHooks(const std::string& aName);
  AgentNodeHooks MakeAgentHooks(int aIndex);
  void StartWork(int aAgent, RunId aRun, const Dispatch& aDispatch);
  void StartChat(int aAgent,
                 RunId aRun,
                 const Dispatch& aDispatch,
                 std::size_t aRecord);
  void NextToken(int aAgent,
                 RunId aRun,
                 const Dispatch& aDispatch,
                 std::uint64_t aIndex,
                 std::size_t aRecord);
  void CancelWork(int aAgent, RunId aRun);
  std::string ConfigText(std::uint64_t aVersion,
                         const std::set<std::string>& aDrained) const;

  FakeFleetOptions m_options;
  VirtualTime m_time;
  FakeKeyValue m_keyValue;
  FakeNetwork m_network;
  std::vector<std::unique_ptr<RouterHost>> m_routers;
  std::vector<std::unique_ptr<AgentHost>> m_agents;
  std::set<std::string> m_cutFromKeyValue;
  std::vector<RunRecord> m_runs;
  std::vector<Event> m_events;
  std::uint64_t m_lives = 0;
};

} // namespace bergamotpaddle
