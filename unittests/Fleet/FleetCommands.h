/// \file
/// The commands of the fleets' stateful fuzzing.
#pragma once

#include "Oracle.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace bergamotpaddle {

inline constexpr int kRouters = 2;
inline constexpr int kEngines = 3;
inline constexpr int kServices = 2;
inline constexpr int kAgents = kEngines + kServices;

/// What the commands need to know to be valid.
struct Model
{
  int m_requests = 0;
  int m_topUps = 0;
};

/// A fleet with its callers.
struct System
{
  System()
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
    const std::vector<std::string> findings = m_oracle.CheckAlways(m_prepaid);
    for (const std::string& finding : findings) {
      RC_LOG() << finding << "\n";
    }
    RC_ASSERT(findings.empty());
  }

  /// Ends all faults, lets the fleet come to rest and judges the books.
  void CheckAtRest(bool aExactBills)
  {
    m_fleet.HealAll();
    m_fleet.Time().Advance(std::chrono::seconds(200));
    Check();
    if (!aExactBills) {
      return;
    }
    const std::vector<std::string> findings = m_oracle.CheckAtRest();
    for (const std::string& finding : findings) {
      RC_LOG() << finding << "\n";
    }
    RC_ASSERT(findings.empty());
  }

  std::map<std::string, std::uint64_t> m_prepaid = { { "big", 100000 },
                                                     { "small", 300 } };
  FakeFleet m_fleet;
  Oracle m_oracle;
};

using FleetCommand = rc::state::Command<Model, System>;

inline std::string
AccountOf(int aNumber)
{
  return aNumber % 3 == 0 ? "small" : "big";
}

/// A caller's new request.
struct Ask : FleetCommand
{
  int m_router = *rc::gen::inRange(0, kRouters);
  int m_account = *rc::gen::inRange(0, 3);
  int m_kind = *rc::gen::inRange(0, 4);
  int m_tokens = *rc::gen::inRange(1, 120);

  void apply(Model& aModel) const override { ++aModel.m_requests; }
  void run(const Model&, System& aSystem) const override
  {
    const bool isChat = m_kind < 3;
    const bool isKeyed = m_kind != 0;
    aSystem.m_oracle.Ask(
      m_router, AccountOf(m_account), isChat, isChat, isKeyed, m_tokens);
    aSystem.Check();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Ask(router " << m_router << ", " << AccountOf(m_account)
         << ", kind " << m_kind << ", " << m_tokens << ")";
  }
};

/// A caller asks again with the same key, perhaps at another router.
struct AskAgain : FleetCommand
{
  int m_request = *rc::gen::inRange(0, 1000);
  int m_router = *rc::gen::inRange(0, kRouters);

  void checkPreconditions(const Model& aModel) const override
  {
    RC_PRE(aModel.m_requests > 0);
  }
  void run(const Model& aModel, System& aSystem) const override
  {
    aSystem.m_oracle.AskAgain(
      static_cast<std::size_t>(m_request % aModel.m_requests), m_router);
    aSystem.Check();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "AskAgain(" << m_request << ", router " << m_router << ")";
  }
};

/// Time passes.
struct Pass : FleetCommand
{
  int m_milliseconds = *rc::gen::elementOf(
    std::vector<int>{ 1, 10, 50, 200, 700, 2000, 6000, 15000 });

  void run(const Model&, System& aSystem) const override
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

  void run(const Model&, System& aSystem) const override
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
    const char* names[] = { "kill", "freeze", "thaw", "start" };
    aOut << "Router(" << m_router << ", " << names[m_kind] << ")";
  }
};

/// An agent is frozen or thawed.
struct AgentPause : FleetCommand
{
  int m_agent = *rc::gen::inRange(0, kAgents);
  bool m_freezes = *rc::gen::arbitrary<bool>();

  void run(const Model&, System& aSystem) const override
  {
    FakeProcess& process = aSystem.m_fleet.AgentProcess(m_agent);
    m_freezes ? process.Freeze() : process.Thaw();
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Agent(" << m_agent << (m_freezes ? ", freeze)" : ", thaw)");
  }
};

/// An agent is killed or started.
struct AgentKill : FleetCommand
{
  int m_agent = *rc::gen::inRange(0, kAgents);
  bool m_kills = *rc::gen::arbitrary<bool>();

  void run(const Model&, System& aSystem) const override
  {
    const bool isAlive = aSystem.m_fleet.AgentProcess(m_agent).IsAlive();
    if (m_kills && isAlive) {
      aSystem.m_fleet.KillAgent(m_agent);
    }
    if (!m_kills && !isAlive) {
      aSystem.m_fleet.StartAgent(m_agent);
    }
  }
  void show(std::ostream& aOut) const override
  {
    aOut << "Agent(" << m_agent << (m_kills ? ", kill)" : ", start)");
  }
};

/// A path between a router and an agent or the key-value service is cut, one
/// way or both, or all paths heal.
struct Cut : FleetCommand
{
  int m_router = *rc::gen::inRange(0, kRouters);
  int m_agent = *rc::gen::inRange(0, kAgents + 1);
  int m_ways = *rc::gen::inRange(0, 4);

  void run(const Model&, System& aSystem) const override
  {
    FakeFleet& fleet = aSystem.m_fleet;
    const std::string router = fleet.RouterName(m_router);
    if (m_ways == 3) {
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
    if (m_ways != 1) {
      fleet.Network().Cut(router, fleet.AgentName(m_agent));
    }
    if (m_ways != 0) {
      fleet.Network().Cut(fleet.AgentName(m_agent), router);
    }
  }
  void show(std::ostream& aOut) const override
  {
    const char* names[] = { "to", "from", "both", "heal" };
    aOut << "Cut(router " << m_router << ", agent " << m_agent << ", "
         << names[m_ways] << ")";
  }
};

/// The key-value service misbehaves, or is well again.
struct PlatformFault : FleetCommand
{
  int m_kind = *rc::gen::inRange(0, 5);

  void run(const Model&, System& aSystem) const override
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
    const char* names[] = {
      "well", "down", "loses answers", "late writes", "slow"
    };
    aOut << "Platform(" << names[m_kind] << ")";
  }
};

/// An operator tops a budget up, drains an upstream or restores it.
struct Operate : FleetCommand
{
  int m_kind = *rc::gen::inRange(0, 3);
  int m_agent = *rc::gen::inRange(0, kEngines);

  void apply(Model& aModel) const override { ++aModel.m_topUps; }
  void run(const Model& aModel, System& aSystem) const override
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
    const char* names[] = { "top-up", "drain", "restore" };
    aOut << "Operate(" << names[m_kind] << ", " << m_agent << ")";
  }
};

template<typename... Commands>
void
RunSequences(bool aExactBills)
{
  Model model;
  const auto commands = *rc::state::gen::commands(
    model, rc::state::gen::execOneOfWithArgs<Commands...>());
  System system;
  rc::state::runAll(commands, model, system);
  system.CheckAtRest(aExactBills);
}

} // namespace bergamotpaddle
