/// \file
/// Tests that concurrent changes by operators conflict instead of overwriting
/// each other, and that a change whose response was lost is applied once: its
/// change id shows whether it was written.
#include "bergamotpaddle/Operator/ConfigChange.h"

#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using nlohmann::json;

namespace {

using Result = absl::StatusOr<ConfigDocument>;

/// Operators that share a key-value service in virtual time.
struct Operators
{
  Operators()
    : m_keyValue(m_time, 7)
    , m_process(m_time)
    , m_hooks(m_keyValue.MakeHooks(m_process, [] { return true; }))
  {
  }

  /// Starts a change. The object returned receives its result.
  std::shared_ptr<Result> Replace(std::uint64_t aExpectedVersion,
                                  const std::string& aChangeId,
                                  const std::string& aAuthor)
  {
    auto result = std::make_shared<Result>(absl::UnknownError("not done yet"));
    ReplaceContent(m_hooks,
                   m_process.Timers(),
                   aExpectedVersion,
                   json{ { "by", aChangeId } },
                   { aChangeId, aAuthor, "", 0 },
                   [result](Result aResult) { *result = std::move(aResult); });
    return result;
  }

  void AdvanceMilliseconds(int aMilliseconds)
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
  Operators operators;
  auto first = operators.Replace(0, "c1", "anna");
  operators.AdvanceMilliseconds(100);
  REQUIRE(first->ok());
  REQUIRE((*first)->m_version == 1);

  SECTION("of two concurrent changes one fails and names the other")
  {
    auto anna = operators.Replace(1, "c2", "anna");
    auto bert = operators.Replace(1, "c3", "bert");
    operators.AdvanceMilliseconds(1000);
    REQUIRE(anna->ok());
    CHECK(absl::IsAborted(bert->status()));
    CHECK(bert->status().message().find("anna") != absl::string_view::npos);
    CHECK(bert->status().message().find("c2") != absl::string_view::npos);
    CHECK(operators.Current().m_version == 2);
  }

  SECTION("a change whose response is lost is applied once")
  {
    operators.m_keyValue.Faults().m_lostResponseProbability = 1;
    auto change = operators.Replace(1, "c2", "anna");
    operators.AdvanceMilliseconds(1000);
    operators.m_keyValue.Faults().m_lostResponseProbability = 0;
    operators.AdvanceMilliseconds(10000);
    REQUIRE(change->ok());
    CHECK(operators.Current().m_version == 2);
  }

  SECTION("a change whose response is lost is found after a later change")
  {
    auto change = operators.Replace(1, "c2", "anna");
    operators.AdvanceMilliseconds(4);
    operators.m_keyValue.Faults().m_lostResponseProbability = 1;
    operators.AdvanceMilliseconds(3);
    operators.m_keyValue.Faults().m_lostResponseProbability = 0;
    auto bert = operators.Replace(2, "c3", "bert");
    operators.AdvanceMilliseconds(10000);
    REQUIRE(bert->ok());
    REQUIRE(change->ok());
    CHECK((*change)->m_version == 2);
    CHECK(operators.Current().m_version == 3);
  }

  SECTION("a change repeated with the same change id is not applied twice")
  {
    auto repeated = operators.Replace(1, "c1", "anna");
    operators.AdvanceMilliseconds(1000);
    REQUIRE(repeated->ok());
    CHECK(operators.Current().m_version == 1);
  }

  SECTION("while the service is down the change fails with an unknown outcome")
  {
    operators.m_keyValue.Faults().m_isDown = true;
    auto change = operators.Replace(1, "c2", "anna");
    operators.AdvanceMilliseconds(60000);
    CHECK(absl::IsUnavailable(change->status()));
    CHECK(operators.Current().m_version == 1);
  }

  SECTION("a version is archived when the next one replaces it")
  {
    operators.Replace(1, "c2", "anna");
    operators.AdvanceMilliseconds(1000);
    const auto archived = ConfigDocument::FromJson(
      operators.m_keyValue.Store().Get(VersionKey(1)).m_value);
    REQUIRE(archived.ok());
    CHECK(archived->m_changeId == "c1");
  }
}
