/// \file
/// Operators' changes: racing ones see each other, lost answers are settled by
/// the change id.
#include "bergamotpaddle/Operator/ConfigChange.h"

#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using nlohmann::json;

namespace {

using Result = absl::StatusOr<ConfigDocument>;

/// Two operators at one service.
struct Operators
{
  Operators()
    : m_keyValue(m_time, 7)
    , m_process(m_time)
    , m_hooks(m_keyValue.MakeHooks(m_process, [] { return true; }))
  {
  }

  /// Starts a change; its result comes into the slot returned.
  std::shared_ptr<Result> Replace(std::uint64_t aExpected,
                                  const std::string& aChangeId,
                                  const std::string& aAuthor)
  {
    auto result = std::make_shared<Result>(absl::UnknownError("not done yet"));
    ReplaceContent(m_hooks,
                   m_process.Timers(),
                   aExpected,
                   json{ { "by", aChangeId } },
                   { aChangeId, aAuthor, "", 0 },
                   [result](Result aResult) { *result = std::move(aResult); });
    return result;
  }

  void Pass(int aMilliseconds)
  {
    m_time.Advance(std::chrono::milliseconds(aMilliseconds));
  }

  ConfigDocument Current()
  {
    return *ConfigDocument::FromJson(
      m_keyValue.Store().Get(kConfigKey).m_value);
  }

  VirtualTime m_time;
  FakeKeyValue m_keyValue;
  FakeProcess m_process;
  KeyValueHooks m_hooks;
};

} // namespace

TEST_CASE("operators change the configuration", "[operator]")
{
  Operators fleet;
  auto first = fleet.Replace(0, "c1", "anna");
  fleet.Pass(100);
  REQUIRE(first->ok());
  REQUIRE((*first)->m_version == 1);

  SECTION("of two at once one wins and the other learns who and what")
  {
    auto anna = fleet.Replace(1, "c2", "anna");
    auto bert = fleet.Replace(1, "c3", "bert");
    fleet.Pass(1000);
    REQUIRE(anna->ok());
    CHECK(absl::IsAborted(bert->status()));
    CHECK(bert->status().message().find("anna") != absl::string_view::npos);
    CHECK(bert->status().message().find("c2") != absl::string_view::npos);
    CHECK(fleet.Current().m_version == 2);
  }

  SECTION("a lost answer is settled: applied once")
  {
    fleet.m_keyValue.Faults().m_lostResponseProbability = 1;
    auto change = fleet.Replace(1, "c2", "anna");
    fleet.Pass(1000);
    fleet.m_keyValue.Faults().m_lostResponseProbability = 0;
    fleet.Pass(10000);
    REQUIRE(change->ok());
    CHECK(fleet.Current().m_version == 2);
  }

  SECTION("a lost answer is settled though somebody has changed it since")
  {
    auto change = fleet.Replace(1, "c2", "anna");
    fleet.Pass(4);
    fleet.m_keyValue.Faults().m_lostResponseProbability = 1;
    fleet.Pass(3);
    fleet.m_keyValue.Faults().m_lostResponseProbability = 0;
    auto bert = fleet.Replace(2, "c3", "bert");
    fleet.Pass(10000);
    REQUIRE(bert->ok());
    REQUIRE(change->ok());
    CHECK((*change)->m_version == 2);
    CHECK(fleet.Current().m_version == 3);
  }

  SECTION("the same change asked for again is not applied twice")
  {
    auto again = fleet.Replace(1, "c1", "anna");
    fleet.Pass(1000);
    REQUIRE(again->ok());
    CHECK(fleet.Current().m_version == 1);
  }

  SECTION("while the service is down the operator is told that it is not known")
  {
    fleet.m_keyValue.Faults().m_isDown = true;
    auto change = fleet.Replace(1, "c2", "anna");
    fleet.Pass(60000);
    CHECK(absl::IsUnavailable(change->status()));
    CHECK(fleet.Current().m_version == 1);
  }

  SECTION("what a version said is kept when the next one comes")
  {
    fleet.Replace(1, "c2", "anna");
    fleet.Pass(1000);
    const auto kept = ConfigDocument::FromJson(
      fleet.m_keyValue.Store().Get(VersionKey(1)).m_value);
    REQUIRE(kept.ok());
    CHECK(kept->m_changeId == "c1");
  }
}
