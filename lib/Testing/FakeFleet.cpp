#include "bergamotpaddle/Testing/FakeFleet.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

constexpr Duration kOneWayLatency = std::chrono::microseconds(500);
constexpr const char* kChatPool = "chat";
constexpr const char* kServicePool = "desk";
constexpr std::uint64_t kServiceCallCost = 50;
constexpr Duration kStopGrace = std::chrono::seconds(8);
/// 2026-01-01 as Unix time; an arbitrary origin, since only differences matter.
constexpr std::uint64_t kWallClockOriginMilliseconds = 1767225600000;

std::uint64_t
WallClockMilliseconds(const VirtualTime& aTime)
{
  const auto sinceOrigin =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aTime.Now().time_since_epoch());
  return kWallClockOriginMilliseconds +
         static_cast<std::uint64_t>(sinceOrigin.count());
}

} // namespace

std::string
FakeToken(const RequestKey& aKey, std::uint64_t aIndex)
{
  return absl::StrCat(aKey.Str(), ":", aIndex, " ");
}

/// A router: its process, its current incarnation and those that ended. Ended
/// incarnations are retained until the fleet is destroyed, since their
/// scheduled tasks still refer to them.
struct FakeFleet::RouterInstance
{
  explicit RouterInstance(VirtualTime& aTime)
    : m_process(aTime)
  {
  }
  FakeProcess m_process;
  std::unique_ptr<RouterCore> m_core;
  std::vector<std::unique_ptr<RouterCore>> m_endedCores;
};

/// An agent: its process, its current and ended incarnations, and the state of
/// its upstream.
struct FakeFleet::AgentInstance
{
  explicit AgentInstance(VirtualTime& aTime)
    : m_process(aTime)
  {
  }
  FakeProcess m_process;
  bool m_isEngine = true;
  std::unique_ptr<Journal> m_journal;
  std::unique_ptr<AgentNode> m_node;
  std::vector<std::pair<std::unique_ptr<AgentNode>, std::unique_ptr<Journal>>>
    m_endedNodes;
  std::set<RunId> m_cancelled;
  double m_slowdown = 1;
  bool m_isFailing = false;
};

FakeFleet::FakeFleet(FakeFleetOptions aOptions)
  : m_options(std::move(aOptions))
  , m_keyValue(m_time, m_options.m_seed)
  , m_network(m_time, kOneWayLatency)
{
  ApplyConfig({});
  for (int i = 0; i < m_options.m_chatUpstreams + m_options.m_serviceUpstreams;
       ++i) {
    m_agents.push_back(std::make_unique<AgentInstance>(m_time));
    m_agents.back()->m_isEngine = i < m_options.m_chatUpstreams;
    StartAgent(i);
  }
  for (int i = 0; i < m_options.m_routers; ++i) {
    m_routers.push_back(std::make_unique<RouterInstance>(m_time));
  }
  for (int i = 0; i < m_options.m_routers; ++i) {
    StartRouter(i);
  }
}

FakeFleet::~FakeFleet() = default;

std::string
FakeFleet::AgentName(int aIndex) const
{
  const bool isEngine = aIndex < m_options.m_chatUpstreams;
  return absl::StrCat(isEngine ? "engine-" : "service-", aIndex);
}

std::string
FakeFleet::MakeConfigText(std::uint64_t aVersion,
                          const std::set<std::string>& aDrained) const
{
  json accounts = json::object();
  for (const auto& [name, tokens] : m_options.m_budgets) {
    accounts[name] = { { "api_key_sha256", json::array() },
                       { "budget_tokens", tokens } };
  }
  json pools = json::object();
  for (const char* pool : { kChatPool, kServicePool }) {
    pools[pool] = { { "slots", m_options.m_admission.m_slots },
                    { "slots_kept_for_short",
                      m_options.m_admission.m_slotsKeptForShort },
                    { "max_waiting", m_options.m_admission.m_maxWaiting },
                    { "short_tokens", m_options.m_admission.m_shortTokens },
                    { "upstreams", json::object() } };
  }
  for (int i = 0; i < m_options.m_chatUpstreams + m_options.m_serviceUpstreams;
       ++i) {
    const std::string name = AgentName(i);
    const char* pool = i < m_options.m_chatUpstreams ? kChatPool : kServicePool;
    pools[pool]["upstreams"][name] = {
      { "agent", name },
      { "zone", m_options.m_zones[i % m_options.m_zones.size()] },
      { "state", aDrained.contains(name) ? "drained" : "active" }
    };
  }
  const json calls = json::array({ { { "method", "POST" },
                                     { "path", "/book" },
                                     { "repeatable", false },
                                     { "cost_tokens", kServiceCallCost } },
                                   { { "method", "POST" },
                                     { "path", "/look" },
                                     { "repeatable", true },
                                     { "cost_tokens", kServiceCallCost } } });
  const json content = {
    { "limits",
      { { "request_timeout_ms", m_options.m_requestTimeoutMilliseconds } } },
    { "accounts", accounts },
    { "pools", pools },
    { "models",
      { { "m", { { "pool", kChatPool }, { "max_output_tokens", 100000 } } } } },
    { "services",
      { { "desk", { { "pool", kServicePool }, { "calls", calls } } } } }
  };
  return json{
    { "version", aVersion },
    { "change_id", "c" + std::to_string(aVersion) },
    { "author", "test" },
    { "content", content }
  }.dump();
}

std::uint64_t
FakeFleet::ApplyConfig(const std::set<std::string>& aDrained)
{
  const KeyValueEntry current = m_keyValue.Store().Get(kConfigKey);
  std::uint64_t version = 1;
  if (current.m_revision != 0) {
    version =
      json::parse(current.m_value).at("version").get<std::uint64_t>() + 1;
  }
  const auto written = m_keyValue.Store().CompareAndSwap(
    kConfigKey, current.m_revision, MakeConfigText(version, aDrained));
  return written.ok() ? version : 0;
}

bool
FakeFleet::TopUp(const std::string& aAccount,
                 const std::string& aId,
                 std::uint64_t aTokens)
{
  const std::string key = BudgetKey(AccountId(aAccount));
  const KeyValueEntry entry = m_keyValue.Store().Get(key);
  BudgetValue budget;
  budget.m_topUps["initial"] = m_options.m_budgets.at(aAccount);
  if (entry.m_revision != 0) {
    budget = *BudgetValue::FromJson(entry.m_value);
  }
  budget.m_topUps[aId] = aTokens;
  return m_keyValue.Store()
    .CompareAndSwap(key, entry.m_revision, budget.ToJson())
    .ok();
}

EventHook
FakeFleet::MakeEventHook(const std::string& aName)
{
  return [this, aName](EventFields aFields) {
    m_events.push_back(
      { WallClockMilliseconds(m_time), aName, std::move(aFields) });
  };
}

RouterHooks
FakeFleet::MakeRouterHooks(const std::string& aName)
{
  RouterHooks hooks;
  hooks.m_send = [this, aName](PeerId aPeer, const Message& aMessage) {
    return m_network.Send(aName, aPeer, aMessage);
  };
  hooks.m_dial = [this, aName](const std::string& aAddress) {
    return m_network.Dial(aName, aAddress);
  };
  hooks.m_close = [this, aName](PeerId aPeer) {
    m_network.Close(aName, aPeer);
  };
  hooks.m_newHolder = [this, aName] {
    return HolderId(absl::StrCat(aName, "-life", ++m_incarnationCount));
  };
  hooks.m_event = MakeEventHook(aName);
  return hooks;
}

void
FakeFleet::StartRouter(int aIndex)
{
  RouterInstance& instance = *m_routers[aIndex];
  if (instance.m_core != nullptr) {
    instance.m_endedCores.push_back(std::move(instance.m_core));
    instance.m_process.Restart();
  }
  const std::string name = RouterName(aIndex);
  RouterOptions options;
  options.m_process = name;
  options.m_zone = m_options.m_zones[aIndex % m_options.m_zones.size()];
  options.m_balancer = m_options.m_balancer;
  options.m_balancer.m_zone = options.m_zone;
  options.m_seed = m_options.m_seed * 1000 + aIndex;
  for (int i = 0; i < m_options.m_routers; ++i) {
    if (i != aIndex) {
      options.m_peerAddresses.push_back(RouterName(i));
    }
  }
  auto keyValue = m_keyValue.MakeHooks(instance.m_process, [this, name] {
    return !m_nodesCutFromKeyValue.contains(name);
  });
  instance.m_core = std::make_unique<RouterCore>(
    options, keyValue, instance.m_process.Timers(), MakeRouterHooks(name));
  RouterCore* core = instance.m_core.get();
  NetworkNode node;
  node.m_process = &instance.m_process;
  node.m_onOpened = [core](PeerId aPeer) { core->OnOpened(aPeer); };
  node.m_onMessage = [core](PeerId aPeer, const Message& aMessage) {
    core->OnMessage(aPeer, aMessage);
  };
  node.m_onClosed = [core](PeerId aPeer) { core->OnClosed(aPeer); };
  m_network.AddNode(name, std::move(node));
  core->Start();
}

void
FakeFleet::KillRouter(int aIndex)
{
  m_routers[aIndex]->m_process.Kill();
  m_network.CloseLinksOf(RouterName(aIndex));
}

void
FakeFleet::RetireRouter(int aIndex, std::function<void(bool)> aDone)
{
  RouterInstance& instance = *m_routers[aIndex];
  if (instance.m_process.IsAlive()) {
    instance.m_core->Retire(RetireLimits::Within(kStopGrace, Duration(0)),
                            std::move(aDone));
  }
}

AgentNodeHooks
FakeFleet::MakeAgentHooks(int aIndex)
{
  const std::string name = AgentName(aIndex);
  AgentNodeHooks hooks;
  hooks.m_agent.m_send = [this, name](PeerId aPeer, const Message& aMessage) {
    m_network.Send(name, aPeer, aMessage);
  };
  hooks.m_agent.m_start = [this, aIndex](RunId aRun,
                                         const Dispatch& aDispatch) {
    StartRun(aIndex, aRun, aDispatch);
  };
  hooks.m_agent.m_cancel = [this, aIndex](RunId aRun) {
    CancelRun(aIndex, aRun);
  };
  hooks.m_agent.m_event = MakeEventHook(name);
  hooks.m_close = [this, name](PeerId aPeer) { m_network.Close(name, aPeer); };
  return hooks;
}

void
FakeFleet::StartAgent(int aIndex)
{
  AgentInstance& instance = *m_agents[aIndex];
  if (instance.m_node != nullptr) {
    instance.m_endedNodes.emplace_back(std::move(instance.m_node),
                                       std::move(instance.m_journal));
    instance.m_process.Restart();
  }
  const std::string name = AgentName(aIndex);
  AgentNodeOptions options;
  options.m_process = name;
  options.m_agent.m_upstream = UpstreamId(name);
  options.m_agent.m_agent =
    AgentId(absl::StrCat(name, "-life", ++m_incarnationCount));
  options.m_agent.m_zone = m_options.m_zones[aIndex % m_options.m_zones.size()];
  options.m_agent.m_admission = m_options.m_admission;
  auto keyValue = m_keyValue.MakeHooks(instance.m_process, [this, name] {
    return !m_nodesCutFromKeyValue.contains(name);
  });
  instance.m_journal =
    std::make_unique<Journal>(JournalOptions{},
                              options.m_agent.m_agent,
                              keyValue,
                              instance.m_process.Timers(),
                              [this] { return WallClockMilliseconds(m_time); });
  instance.m_node = std::make_unique<AgentNode>(options,
                                                instance.m_process.Timers(),
                                                MakeAgentHooks(aIndex),
                                                *instance.m_journal);
  AgentNode* agent = instance.m_node.get();
  NetworkNode node;
  node.m_process = &instance.m_process;
  node.m_onOpened = [agent](PeerId aPeer) { agent->OnOpened(aPeer); };
  node.m_onMessage = [agent](PeerId aPeer, const Message& aMessage) {
    agent->OnMessage(aPeer, aMessage);
  };
  node.m_onClosed = [agent](PeerId aPeer) { agent->OnClosed(aPeer); };
  m_network.AddNode(name, std::move(node));
  agent->Start();
}

void
FakeFleet::KillAgent(int aIndex)
{
  m_agents[aIndex]->m_process.Kill();
  m_network.CloseLinksOf(AgentName(aIndex));
}

RouterCore*
FakeFleet::Router(int aIndex)
{
  return m_routers[aIndex]->m_process.IsAlive()
           ? m_routers[aIndex]->m_core.get()
           : nullptr;
}

AgentNode*
FakeFleet::Agent(int aIndex)
{
  return m_agents[aIndex]->m_process.IsAlive() ? m_agents[aIndex]->m_node.get()
                                               : nullptr;
}

FakeProcess&
FakeFleet::RouterProcess(int aIndex)
{
  return m_routers[aIndex]->m_process;
}

FakeProcess&
FakeFleet::AgentProcess(int aIndex)
{
  return m_agents[aIndex]->m_process;
}

void
FakeFleet::SetKeyValueReachable(const std::string& aName, bool aIsReachable)
{
  if (aIsReachable) {
    m_nodesCutFromKeyValue.erase(aName);
    return;
  }
  m_nodesCutFromKeyValue.insert(aName);
}

void
FakeFleet::SetSlowdown(int aAgent, double aFactor)
{
  m_agents[aAgent]->m_slowdown = aFactor;
}

void
FakeFleet::SetFailing(int aAgent, bool aIsFailing)
{
  m_agents[aAgent]->m_isFailing = aIsFailing;
}

void
FakeFleet::HealAll()
{
  m_keyValue.Faults() = {};
  m_nodesCutFromKeyValue.clear();
  m_network.Heal();
  for (int i = 0; i < static_cast<int>(m_agents.size()); ++i) {
    m_agents[i]->m_process.Thaw();
    if (!m_agents[i]->m_process.IsAlive()) {
      StartAgent(i);
    }
  }
  for (int i = 0; i < static_cast<int>(m_routers.size()); ++i) {
    m_routers[i]->m_process.Thaw();
    if (!m_routers[i]->m_process.IsAlive()) {
      StartRouter(i);
    }
  }
}

NewRequest
FakeFleet::MakeChat(const std::string& aAccount,
                    const std::string& aKey,
                    std::uint64_t aTokens) const
{
  NewRequest request;
  request.m_pool = kChatPool;
  Dispatch& dispatch = request.m_dispatch;
  dispatch.m_account = AccountId(aAccount);
  dispatch.m_key = RequestKey(aKey);
  dispatch.m_hasCallerKey = !aKey.starts_with("~");
  dispatch.m_fingerprint = "f" + aKey;
  dispatch.m_kind = WorkKind::kChat;
  auto weight = m_options.m_weights.find(aAccount);
  dispatch.m_weight = weight == m_options.m_weights.end() ? 1 : weight->second;
  dispatch.m_target = "m";
  dispatch.m_maxOutput = aTokens;
  dispatch.m_allotment = m_options.m_upstream.m_promptTokens + aTokens;
  return request;
}

NewRequest
FakeFleet::MakeServiceCall(const std::string& aAccount,
                           const std::string& aKey,
                           bool aRepeatable) const
{
  NewRequest request;
  request.m_pool = kServicePool;
  Dispatch& dispatch = request.m_dispatch;
  dispatch.m_account = AccountId(aAccount);
  dispatch.m_key = RequestKey(aKey);
  dispatch.m_hasCallerKey = true;
  dispatch.m_fingerprint = "f" + aKey;
  dispatch.m_kind = WorkKind::kServiceCall;
  dispatch.m_target = "desk";
  dispatch.m_method = "POST";
  dispatch.m_path = aRepeatable ? "/look" : "/book";
  dispatch.m_repeatable = aRepeatable;
  dispatch.m_fixedCost = kServiceCallCost;
  dispatch.m_allotment = kServiceCallCost;
  return request;
}

void
FakeFleet::Begin(int aRouter, NewRequest aRequest)
{
  RouterInstance& instance = *m_routers[aRouter];
  RouterCore* core = instance.m_core.get();
  instance.m_process.Guard(
    [core, request = std::move(aRequest)] { core->Begin(request); })();
}

void
FakeFleet::StartRun(int aAgent, RunId aRun, const Dispatch& aDispatch)
{
  RunRecord record;
  record.m_account = aDispatch.m_account;
  record.m_key = aDispatch.m_key;
  record.m_upstream = AgentName(aAgent);
  record.m_kind = aDispatch.m_kind;
  record.m_startedAt = m_time.Now();
  record.m_tokens =
    aDispatch.m_kind == WorkKind::kChat
      ? m_options.m_upstream.m_promptTokens + aDispatch.m_maxOutput
      : aDispatch.m_fixedCost;
  m_runs.push_back(record);
  const std::size_t index = m_runs.size() - 1;
  if (aDispatch.m_kind == WorkKind::kChat) {
    StartChat(aAgent, aRun, aDispatch, index);
    return;
  }
  // A started call runs to completion even if its agent dies: the completion is
  // recorded without the process guard, the response is reported with it.
  AgentInstance& instance = *m_agents[aAgent];
  AgentNode* node = instance.m_node.get();
  m_time.After(m_options.m_upstream.m_callDuration,
               [this, index] { m_runs[index].m_isComplete = true; });
  m_time.After(m_options.m_upstream.m_callDuration,
               instance.m_process.Guard([node, aRun, aDispatch] {
                 UpstreamOutcome outcome;
                 outcome.m_contentType = "text/plain";
                 node->Core().OnUpstreamData(
                   aRun, "done " + aDispatch.m_key.Str(), 0);
                 node->Core().OnUpstreamEnd(aRun, outcome);
               }));
}

void
FakeFleet::StartChat(int aAgent,
                     RunId aRun,
                     const Dispatch& aDispatch,
                     std::size_t aRecordIndex)
{
  AgentInstance& instance = *m_agents[aAgent];
  const auto delay = std::chrono::duration_cast<Duration>(
    m_options.m_upstream.m_firstTokenLatency * instance.m_slowdown);
  m_time.After(
    delay,
    instance.m_process.Guard([this, aAgent, aRun, aDispatch, aRecordIndex] {
      EmitNextToken(
        aAgent, aRun, aDispatch, aDispatch.m_resumeTokens, aRecordIndex);
    }));
}

void
FakeFleet::EmitNextToken(int aAgent,
                         RunId aRun,
                         const Dispatch& aDispatch,
                         std::uint64_t aIndex,
                         std::size_t aRecordIndex)
{
  AgentInstance& instance = *m_agents[aAgent];
  UpstreamOutcome outcome;
  outcome.m_promptTokens = m_options.m_upstream.m_promptTokens;
  outcome.m_completionTokens = aIndex - aDispatch.m_resumeTokens;
  if (instance.m_cancelled.erase(aRun) != 0) {
    m_runs[aRecordIndex].m_tokens = outcome.m_promptTokens + aIndex;
    m_runs[aRecordIndex].m_isComplete = true;
    outcome.m_code = ResultCode::kCancelled;
    instance.m_node->Core().OnUpstreamEnd(aRun, outcome);
    return;
  }
  if (instance.m_isFailing && aIndex > aDispatch.m_resumeTokens) {
    outcome.m_code = ResultCode::kUpstreamFailed;
    instance.m_node->Core().OnUpstreamEnd(aRun, outcome);
    return;
  }
  if (aIndex >= aDispatch.m_maxOutput) {
    m_runs[aRecordIndex].m_isComplete = true;
    outcome.m_finishReason = "length";
    instance.m_node->Core().OnUpstreamEnd(aRun, outcome);
    return;
  }
  instance.m_node->Core().OnUpstreamData(
    aRun, FakeToken(aDispatch.m_key, aIndex), 1);
  const auto delay = std::chrono::duration_cast<Duration>(
    m_options.m_upstream.m_tokenInterval * instance.m_slowdown);
  m_time.After(delay,
               instance.m_process.Guard(
                 [this, aAgent, aRun, aDispatch, aIndex, aRecordIndex] {
                   EmitNextToken(
                     aAgent, aRun, aDispatch, aIndex + 1, aRecordIndex);
                 }));
}

void
FakeFleet::CancelRun(int aAgent, RunId aRun)
{
  m_agents[aAgent]->m_cancelled.insert(aRun);
}

BudgetValue
FakeFleet::Budget(const std::string& aAccount) const
{
  const KeyValueEntry entry = const_cast<FakeKeyValue&>(m_keyValue)
                                .Store()
                                .Get(BudgetKey(AccountId(aAccount)));
  if (entry.m_revision == 0) {
    return {};
  }
  return *BudgetValue::FromJson(entry.m_value);
}

std::uint64_t
FakeFleet::BilledTokens(const std::string& aAccount) const
{
  const BudgetValue budget = Budget(aAccount);
  std::uint64_t billed = budget.m_charged;
  for (const auto& [holder, drawn] : budget.m_draws) {
    const KeyValueEntry entry =
      const_cast<FakeKeyValue&>(m_keyValue).Store().Get(LedgerKey(holder));
    if (entry.m_revision != 0) {
      billed +=
        LedgerValue::FromJson(entry.m_value)->m_charged[AccountId(aAccount)];
    }
  }
  return billed;
}

} // namespace bergamotpaddle
