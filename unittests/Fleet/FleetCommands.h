/// \file
/// Commands for stateful fuzzing of fleets with RapidCheck.
#pragma once

#include "Oracle.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace bergamotpaddle {

inline constexpr int kRouters = 2;
inline constexpr int kEngines = 3;
inline constexpr int kServices = 2;
inline constexpr int kAgents = kEngines + kServices;

/// State that decides which commands are valid and numbers the top-ups.
struct Model
{
  int m_requests = 0;
  int m_topUps = 0;
};

/// A fleet and the oracle that submits its requests.
struct SystemUnderTest
{
  SystemUnderTest()
    : m_fleet(MakeOptions())
    , m_oracle(m_fleet)
  {
    m_fleet.Time().Advance(std::chrono::seconds(2));
  }

  static FakeFleetOptions MakeOptions()
  {
    FakeFleetOptions options;
    options.m_routers = kRouters;
    options.m_chatUpstreams = kEngines;
    options.m_serviceUpstreams = kServices;
    options.m_budgets = { { "big", 100000 }, { "small", 300 } };
    return options;
  }

  void Check()
  {
    const std::vector<std::string> violations =
      m_oracle.CheckInvariants(m_prepaid);
    for (const std::string& violation : violations) {
      RC_LOG() << violation << "\n";
    }
    RC_ASSERT(violations.empty());
  }

  /// Ends all faults, waits until all work has completed and checks the
  /// invariants and, with \p aCheckBills, the bills.
  void CheckAfterRecovery(bool aCheckBills)
  {
    m_fleet.HealAll();
    m_fleet.Time().Advance(std::chrono::seconds(200));
    Check();
    if (!aCheckBills) {
      return;
    }
    const std::vector<std::string> violations = m_oracle.CheckFinalBills();
    for (const std::string& violation : violations) {
      RC_LOG() << violation << "\n";
    }
    RC_ASSERT(violations.empty());
  }

  std::map<std::string, std::uint64_t> m_prepaid = { { "big", 100000 },
                                                     { "small", 300 } };
  FakeFleet m_fleet;
  Oracle m_oracle;
};

using FleetCommand = rc::state::Command<Model, SystemUnderTest>;

inline std::string
AccountName(int aNumber)
{
  return aNumber % 3 == 0 ? "small" : "big";
}

/// A caller submits a new request. Of the four kinds, 0 is a chat request
/// without a key, 1 and 2 are chat requests with a key, and 3 is a
/// non-repeatable service call with a key.
struct SubmitRequest : FleetCommand
{
  int m_router = *rc::gen::inRange(0, kRouters);
  int m_account = *rc::gen::inRange(0, 3);
  int m_kind = *rc::gen::inRange(0, 4);
  int m_tokens = *rc::gen::inRange(1, 120);

  void apply(Model& aModel) const override { ++aModel.m_requests; }
  void run(const Model&, SystemUnderTest& aSystem) const override
  {
    const bool isChat = m_kind < 3;
    const bool isKeyed = m_kind != 0;
    aSystem.m_oracle.Submit(
      m_router, AccountName(m_account), isChat, isChat, isKeyed, m_tokens);
    aSystem.Check();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Ask(router " << m_router << ", " << AccountName(m_account)
         << ", kind " << m_kind << ", " << m_tokens << ")";
  }
};

/// A caller submits an earlier request again with the same key, at the same or
/// another router.
struct ResubmitRequest : FleetCommand
{
  int m_request = *rc::gen::inRange(0, 1000);
  int m_router = *rc::gen::inRange(0, kRouters);

  void checkPreconditions(const Model& aModel) const override
  {
    RC_PRE(aModel.m_requests > 0);
  }
  void run(const Model& aModel, SystemUnderTest& aSystem) const override
  {
    aSystem.m_oracle.Resubmit(
      static_cast<std::size_t>(m_request % aModel.m_requests), m_router);
    aSystem.Check();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "AskAgain(" << m_request << ", router " << m_router << ")";
  }
};

/// Virtual time advances.
struct AdvanceTime : FleetCommand
{
  int m_milliseconds = *rc::gen::elementOf(
    std::vector<int>{ 1, 10, 50, 200, 700, 2000, 6000, 15000 });

  void run(const Model&, SystemUnderTest& aSystem) const override
  {
    aSystem.m_fleet.Time().Advance(std::chrono::milliseconds(m_milliseconds));
    aSystem.Check();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Pass(" << m_milliseconds << " ms)";
  }
};

/// A router is killed, frozen, thawed or started.
struct RouterFault : FleetCommand
{
  int m_router = *rc::gen::inRange(0, kRouters);
  int m_kind = *rc::gen::inRange(0, 4);

  void run(const Model&, SystemUnderTest& aSystem) const override
  {
    FakeProcess& process = aSystem.m_fleet.RouterProcess(m_router);
    if (m_kind == 0 && process.IsAlive()) {
      aSystem.m_fleet.KillRouter(m_router);
    }
    if (m_kind == 1 && process.IsAlive()) {
      process.Freeze();
    }
    if (m_kind == 2) {
      process.Thaw();
    }
    if (m_kind == 3 && !process.IsAlive()) {
      aSystem.m_fleet.StartRouter(m_router);
    }
  }
  void show(std::ostream& aOut) const override
  {
    const char* labels[] = { "kill", "freeze", "thaw", "start" };
    aOut << "Router(" << m_router << ", " << labels[m_kind] << ")";
  }
};

/// An agent is frozen or thawed.
struct AgentFreeze : FleetCommand
{
  int m_agent = *rc::gen::inRange(0, kAgents);
  bool m_shouldFreeze = *rc::gen::arbitrary<bool>();

  void run(const Model&, SystemUnderTest& aSystem) const override
  {
    FakeProcess& process = aSystem.m_fleet.AgentProcess(m_agent);
    m_shouldFreeze ? process.Freeze() : process.Thaw();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Agent(" << m_agent << (m_shouldFreeze ? ", freeze)" : ", thaw)");
  }
};

/// An agent is killed or started.
struct AgentKill : FleetCommand
{
  int m_agent = *rc::gen::inRange(0, kAgents);
  bool m_shouldKill = *rc::gen::arbitrary<bool>();

  void run(const Model&, SystemUnderTest& aSystem) const override
  {
    const bool isAlive = aSystem.m_fleet.AgentProcess(m_agent).IsAlive();
    if (m_shouldKill && isAlive) {
      aSystem.m_fleet.KillAgent(m_agent);
    }
    if (!m_shouldKill && !isAlive) {
      aSystem.m_fleet.StartAgent(m_agent);
    }
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Agent(" << m_agent << (m_shouldKill ? ", kill)" : ", start)");
  }
};

/// The path between a router and an agent is cut in one or both directions, a
/// router is cut off from the key-value service, or all paths heal.
struct NetworkFault : FleetCommand
{
  int m_router = *rc::gen::inRange(0, kRouters);
  int m_agent = *rc::gen::inRange(0, kAgents + 1);
  int m_direction = *rc::gen::inRange(0, 4);

  void run(const Model&, SystemUnderTest& aSystem) const override
  {
    FakeFleet& fleet = aSystem.m_fleet;
    const std::string router = fleet.RouterName(m_router);
    if (m_direction == 3) {
      fleet.Network().Heal();
      for (int i = 0; i < kRouters; ++i) {
        fleet.SetKeyValueReachable(fleet.RouterName(i), true);
      }
      return;
    }
    if (m_agent == kAgents) {
      fleet.SetKeyValueReachable(router, false);
      return;
    }
    if (m_direction != 1) {
      fleet.Network().Cut(router, fleet.AgentName(m_agent));
    }
    if (m_direction != 0) {
      fleet.Network().Cut(fleet.AgentName(m_agent), router);
    }
  }
  void show(std::ostream& aOut) const override
  {
    const char* labels[] = { "to", "from", "both", "heal" };
    aOut << "Cut(router " << m_router << ", agent " << m_agent << ", "
         << labels[m_direction] << ")";
  }
};

/// The key-value service becomes faulty or recovers.
struct KeyValueFault : FleetCommand
{
  int m_kind = *rc::gen::inRange(0, 5);

  void run(const Model&, SystemUnderTest& aSystem) const override
  {
    KeyValueFaults& faults = aSystem.m_fleet.KeyValue().Faults();
    faults = {};
    faults.m_isDown = m_kind == 1;
    faults.m_lostResponseProbability = m_kind == 2 ? 0.5 : 0;
    faults.m_lateWriteProbability = m_kind == 3 ? 0.5 : 0;
    faults.m_addedLatency = std::chrono::milliseconds(m_kind == 4 ? 300 : 0);
  }
  void show(std::ostream& aOut) const override
  {
    const char* labels[] = {
      "well", "down", "loses responses", "late writes", "slow"
    };
    aOut << "Platform(" << labels[m_kind] << ")";
  }
};

/// An operator tops up a budget, drains an upstream or restores all upstreams.
struct OperatorAction : FleetCommand
{
  int m_kind = *rc::gen::inRange(0, 3);
  int m_agent = *rc::gen::inRange(0, kEngines);

  void apply(Model& aModel) const override { ++aModel.m_topUps; }
  void run(const Model& aModel, SystemUnderTest& aSystem) const override
  {
    if (m_kind == 0) {
      if (aSystem.m_fleet.TopUp(
            "small", "t" + std::to_string(aModel.m_topUps), 100)) {
        aSystem.m_prepaid["small"] += 100;
      }
      return;
    }
    std::set<std::string> drained;
    if (m_kind == 1) {
      drained.insert(aSystem.m_fleet.AgentName(m_agent));
    }
    aSystem.m_fleet.ApplyConfig(drained);
  }
  void show(std::ostream& aOut) const override
  {
    const char* labels[] = { "top-up", "drain", "restore" };
    aOut << "Operate(" << labels[m_kind] << ", " << m_agent << ")";
  }
};

/// Runs a generated sequence of commands on a new fleet, then ends all faults
/// and checks the invariants and, with \p aCheckBills, the bills.
template<typename... Commands>
void
CheckCommandSequences(bool aCheckBills)
{
  Model model;
  const auto commands = *rc::state::gen::commands(
    model, rc::state::gen::execOneOfWithArgs<Commands...>());
  SystemUnderTest system;
  rc::state::runAll(commands, model, system);
  system.CheckAfterRecovery(aCheckBills);
}

} // namespace bergamotpaddle
