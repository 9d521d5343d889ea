/// \file
/// Routers and agents with their production decision code on simulated time,
/// network, key-value service and upstreams. Every run at an upstream is
/// recorded, for a test oracle to check against.
#pragma once

#include "bergamotpaddle/Agent/AgentNode.h"
#include "bergamotpaddle/Router/RouterCore.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"
#include "bergamotpaddle/Testing/FakeNetwork.h"

namespace bergamotpaddle {

/// A run that an upstream started.
struct RunRecord
{
  AccountId m_account;
  RequestKey m_key;
  std::string m_upstream;
  WorkKind m_kind = WorkKind::kChat;
  std::uint64_t m_tokens =
    0; ///< Cost if this is the run that is charged: prompt and full output.
  bool m_isComplete = false; ///< Finished or cancelled, not failed or lost.
  Instant m_startedAt{};
};

/// Latencies and prompt size of the fake upstreams.
struct FakeUpstreamOptions
{
  Duration m_firstTokenLatency = std::chrono::milliseconds(20);
  Duration m_tokenInterval = std::chrono::milliseconds(20);
  Duration m_callDuration = std::chrono::milliseconds(20);
  std::uint64_t m_promptTokens = 10;
};

/// Size, budgets and settings of a fleet.
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
  std::map<std::string, std::uint32_t> m_weights; ///< By account; 1 if absent.
  std::vector<std::string> m_zones = { "z1", "z2" };
};

/// Returns the text of token \p aIndex that a fake engine generates for the
/// request with the key \p aKey.
std::string
FakeToken(const RequestKey& aKey, std::uint64_t aIndex);

/// A simulated fleet, with faults that tests inject.
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

  /// Returns a chat request that generates \p aTokens tokens. A key that starts
  /// with `~` stands for a request without an idempotency key.
  NewRequest MakeChat(const std::string& aAccount,
                      const std::string& aKey,
                      std::uint64_t aTokens) const;
  /// Returns a service call with an idempotency key.
  NewRequest MakeServiceCall(const std::string& aAccount,
                             const std::string& aKey,
                             bool aRepeatable) const;

  /// Submits a request to a router. Has no effect if the router is dead, and is
  /// deferred while it is frozen.
  void Begin(int aRouter, NewRequest aRequest);

  std::size_t RouterCount() const { return m_routers.size(); }
  std::size_t AgentCount() const { return m_agents.size(); }
  /// Returns null if the router is dead.
  RouterCore* Router(int aIndex);
  /// Returns null if the agent is dead.
  AgentNode* Agent(int aIndex);
  std::string RouterName(int aIndex) const
  {
    return "router-" + std::to_string(aIndex);
  }
  std::string AgentName(int aIndex) const;

  /// Kills a router and closes its links.
  void KillRouter(int aIndex);
  /// Starts the next incarnation of a dead router.
  void StartRouter(int aIndex);
  /// Starts a planned stop of a router with a grace of 8 s; has no effect if it
  /// is dead. \p aDone receives whether the router has returned its credit and
  /// removed its ledger.
  void RetireRouter(int aIndex, std::function<void(bool)> aDone);
  /// Kills an agent and closes its links.
  void KillAgent(int aIndex);
  /// Starts the next incarnation of a dead agent.
  void StartAgent(int aIndex);
  FakeProcess& RouterProcess(int aIndex);
  FakeProcess& AgentProcess(int aIndex);
  /// Sets whether a node can reach the key-value service.
  void SetKeyValueReachable(const std::string& aName, bool aIsReachable);
  /// Multiplies the token latencies of an upstream by \p aFactor.
  void SetSlowdown(int aAgent, double aFactor);
  /// Makes every chat run at an upstream fail after its first token.
  void SetFailing(int aAgent, bool aIsFailing);

  /// Writes the next version of the configuration, in which the upstreams
  /// \p aDrained are drained. Returns the version, or 0 if the write failed.
  std::uint64_t ApplyConfig(const std::set<std::string>& aDrained);
  /// Adds a top-up to an account's budget. Returns false if the write failed.
  bool TopUp(const std::string& aAccount,
             const std::string& aId,
             std::uint64_t aTokens);

  /// Ends all faults of processes, network and key-value service, and starts
  /// dead routers and agents. Failing or slow upstreams stay so.
  void HealAll();

  const std::vector<RunRecord>& Runs() const { return m_runs; }
  /// Returns the tokens billed to an account, in its budget and in the ledgers
  /// that draw on it.
  std::uint64_t BilledTokens(const std::string& aAccount) const;
  /// Returns the stored budget of an account, or an empty one if none is
  /// stored.
  BudgetValue Budget(const std::string& aAccount) const;
  /// Events of all processes, oldest first.
  const std::vector<Event>& Events() const { return m_events; }

private:
  struct RouterInstance;
  struct AgentInstance;

  EventHook MakeEventHook(const std::string& aName);
  RouterHooks MakeRouterHooks(const std::string& aName);
  AgentNodeHooks MakeAgentHooks(int aIndex);
  /// Records a run and simulates it at the upstream of an agent.
  void StartRun(int aAgent, RunId aRun, const Dispatch& aDispatch);
  void StartChat(int aAgent,
                 RunId aRun,
                 const Dispatch& aDispatch,
                 std::size_t aRecordIndex);
  /// Generates token \p aIndex, or ends the run if it is cancelled, failing or
  /// complete.
  void EmitNextToken(int aAgent,
                     RunId aRun,
                     const Dispatch& aDispatch,
                     std::uint64_t aIndex,
                     std::size_t aRecordIndex);
  /// Marks a run as cancelled; it ends at its next token.
  void CancelRun(int aAgent, RunId aRun);
  /// Returns the configuration document as JSON.
  std::string MakeConfigText(std::uint64_t aVersion,
                             const std::set<std::string>& aDrained) const;

  FakeFleetOptions m_options;
  VirtualTime m_time;
  FakeKeyValue m_keyValue;
  FakeNetwork m_network;
  std::vector<std::unique_ptr<RouterInstance>> m_routers;
  std::vector<std::unique_ptr<AgentInstance>> m_agents;
  std::set<std::string> m_nodesCutFromKeyValue;
  std::vector<RunRecord> m_runs;
  std::vector<Event> m_events;
  std::uint64_t m_incarnationCount = 0; ///< Of all processes, for unique ids.
};

} // namespace bergamotpaddle
