/// \file
/// Tests of the documents that the operator, the upstreams and the platform
/// write.
#include "platform/Documents.h"
#include "platform/Settings.h"

#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <rapidcheck/catch.h>
#include <unistd.h>

using namespace bergamotpaddle;
using namespace bergamotpaddle::platform;

namespace {

constexpr std::size_t kDeepNesting = 100'000;

std::string
DeepObject()
{
  std::string text;
  for (std::size_t i = 0; i < kDeepNesting; ++i) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(kDeepNesting, '}');
}

} // namespace

TEST_CASE("what a service says of its cold upstreams", "[documents]")
{
  const auto read = [](const std::string& aFields) {
    const auto config = ReadConfiguration(
      R"({"version":1,"routes":[],"services":[{"name":"s")" + aFields + "}]}");
    REQUIRE(config.ok());
    return config->m_services.at(0);
  };
  const Service limited = read(R"(,"coldPerS":14.5,"coldS":3.5)");
  CHECK(limited.m_coldPerSecond == 14.5);
  CHECK(limited.m_coldTime == std::chrono::milliseconds(3500));
  CHECK(read("").m_coldPerSecond == 0);
  CHECK(read(R"(,"coldPerS":"many","coldS":null)").m_coldPerSecond == 0);
  CHECK(read(R"(,"coldPerS":-1,"coldS":1e12)").m_coldTime == Duration(0));
}

TEST_CASE("the operator's configuration", "[documents]")
{
  const std::string text = R"({"version":7,"routes":[
    {"name":"r1","host":"Desk.example","pathPrefix":"/a/","kind":"streaming",
     "timeoutMs":5000,"sloMs":300,"priority":1,"attempts":2,"public":false,
     "resumable":true,"gapAimMs":200,"trafficSplit":
     [{"service":"s1","weight":90},{"service":"s2","weight":10}]},
    {"name":"r2","host":"desk.example","pathPrefix":"/b/","kind":"newer",
     "service":"s2","attempts":1,"public":true}],
   "services":[{"name":"s1","maxConns":230,"engine":{"slots":32,"stride":4,
     "kvCapacity":453136}},{"name":"s2"}],
   "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutMs":3000,
     "idleTimeoutMs":15000},
   "tenants":[{"name":"cafe","apiKeys":["k"],"priority":1,"prepaid":6729959}],
   "aNewField":{}})";

  SECTION("is parsed into the routing configuration")
  {
    const auto config = ReadConfiguration(text);
    REQUIRE(config.ok());
    CHECK(config->m_version == 7);
    REQUIRE(config->m_routes.size() == 2);
    CHECK(config->m_routes[0].m_kind == CallKind::kStream);
    CHECK(config->m_routes[0].MayRunAgain());
    CHECK(config->m_routes[0].m_host == "desk.example");
    CHECK(config->m_routes[0].m_services.size() == 2);
    CHECK(config->m_services[0].m_tokensPerEvent == 4);
    CHECK(config->m_accounts[0].m_prepaid == 6729959);
    CHECK(config->m_limits.m_maxBodyBytes == 100);
  }

  SECTION("treats an unknown kind as not repeatable")
  {
    CHECK(ReadConfiguration(text)->m_routes[1].m_kind == CallKind::kRunOnce);
  }

  SECTION("is rejected if any part is invalid or missing")
  {
    CHECK_FALSE(ReadConfiguration("{").ok());
    CHECK_FALSE(ReadConfiguration(R"({"version":1})").ok());
    CHECK_FALSE(
      ReadConfiguration(R"({"version":1,"routes":[{}],"services":[]})").ok());
  }

  // Regression: copying the account list exhausted the stack.
  SECTION("that is deeply nested does not exhaust the stack")
  {
    const std::string deepArray =
      std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']');
    for (const std::string& deep : { deepArray, DeepObject() }) {
      for (const std::string& name : { std::string("version"),
                                       std::string("routes"),
                                       std::string("services"),
                                       std::string("tenants"),
                                       std::string("limits"),
                                       std::string("later") }) {
        const std::string odd =
          Cat(R"({"version":1,"routes":[],"services":[],")",
              name,
              "\":",
              deep,
              "}");
        CAPTURE(name);
        // Values that aren't used may have any form.
        const bool isUsed = name != "later" && name != "limits";
        if (isUsed) {
          CHECK_FALSE(ReadConfiguration(odd).ok());
          CHECK_FALSE(ConfigurationReader().Read(odd).ok());
        } else {
          CHECK(ReadConfiguration(odd).ok());
          CHECK(ConfigurationReader().Read(odd).ok());
        }
      }
      for (const std::string& name :
           { std::string("apiKeys"), std::string("name") }) {
        CHECK_FALSE(
          ReadConfiguration(
            Cat(R"({"version":1,"routes":[],"services":[],"tenants":[{")",
                R"("name":"cafe",")",
                name,
                "\":",
                deep,
                "}]}"))
            .ok());
      }
    }
  }

  // Regression: such a version was accepted with an arbitrary number instead.
  SECTION("with a number that its field cannot hold is rejected")
  {
    const auto replace = [&text](const std::string& aFrom,
                                 const std::string& aTo) {
      std::string changed = text;
      const std::size_t at = changed.find(aFrom);
      REQUIRE(at != std::string::npos);
      return changed.replace(at, aFrom.size(), aTo);
    };
    for (const char* field : { "version\":7",
                               "timeoutMs\":5000",
                               "sloMs\":300",
                               "gapAimMs\":200",
                               "priority\":1",
                               "attempts\":2",
                               "maxConns\":230",
                               "slots\":32",
                               "stride\":4",
                               "kvCapacity\":453136",
                               "maxHeaderBytes\":16384",
                               "maxBodyBytes\":100",
                               "headerTimeoutMs\":3000",
                               "idleTimeoutMs\":15000",
                               "prepaid\":6729959" }) {
      const std::string number(field);
      const std::string name = number.substr(0, number.find(':') + 1);
      for (const char* value : { "1e300", "-1e300", "18446744073709551616" }) {
        CAPTURE(field, value);
        const std::string odd = replace(number, name + value);
        CHECK_FALSE(ReadConfiguration(odd).ok());
        CHECK_FALSE(ConfigurationReader().Read(odd).ok());
      }
    }
    CHECK_FALSE(ReadConfiguration(replace("version\":7", "version\":-1")).ok());
    CHECK_FALSE(
      ReadConfiguration(replace("prepaid\":6729959", "prepaid\":-1")).ok());
  }
}

TEST_CASE("successive versions of the configuration", "[documents][fuzz]")
{
  const auto route = [](int aName, const std::string& aMore) {
    return R"({"name":"r)" + std::to_string(aName) +
           R"(","host":"a","pathPrefix":"/p\"}],/","service":"s")" + aMore +
           "}";
  };

  SECTION("are parsed as if each were parsed alone")
  {
    rc::prop("for arbitrary documents", [&] {
      ConfigurationReader reader;
      for (int version = 1; version < 6; ++version) {
        const std::string space =
          *rc::gen::element(std::string(), std::string(" \n"));
        std::string text = "{" + space + R"("version")" + space + ":" +
                           std::to_string(version) + R"(,"services":[],)";
        text += *rc::gen::element(std::string(),
                                  std::string(R"("other":[{"routes":[{}]}],)"),
                                  std::string(R"("routes":[],)"));
        text += R"("routes":)" + space + "[";
        const int count = *rc::gen::inRange(0, 5);
        for (int i = 0; i < count; ++i) {
          text += i > 0 ? space + "," : "";
          text += route(*rc::gen::inRange(0, 3),
                        *rc::gen::element(std::string(),
                                          std::string(R"(,"priority":1)"),
                                          std::string(R"(,"x":{"y":["}"]})"),
                                          std::string(R"(,"service":)")));
        }
        text += *rc::gen::element(
          std::string("]}"), std::string("] }"), std::string("],}"));
        const auto expected = ReadConfiguration(text);
        const auto actual = reader.Read(text);
        RC_ASSERT(expected.ok() == actual.ok());
        if (expected.ok()) {
          RC_ASSERT(*expected == *actual);
        }
      }
    });
  }

  SECTION("are rejected if any part is invalid or missing")
  {
    ConfigurationReader reader;
    for (const std::string& text :
         { std::string("{"),
           std::string(R"({"version":1})"),
           std::string(R"({"version":1,"routes":[{}],"services":[]})"),
           std::string(R"({"version":1,"routes":[{]},"services":[]})"),
           std::string(R"({"version":1,"routes":["a"],"services":[]})") }) {
      CHECK_FALSE(reader.Read(text).ok());
    }
  }
}

TEST_CASE("an upstream's entry", "[documents]")
{
  const std::string text =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"a","slots":6,)"
    R"("state":"ready","coldLeftMs":0,"born":1700000000000,"seq":4})";

  SECTION("is parsed")
  {
    const auto entry = ReadUpstreamEntry("i-1", text);
    REQUIRE(entry.ok());
    CHECK(entry->m_address == "10.0.0.9:80");
    CHECK(entry->m_startedAtMs == 1700000000000);
    CHECK_FALSE(entry->m_isDraining);
  }

  SECTION("that another program wrote is rejected")
  {
    for (
      const char* garbage :
      { "",
        "not JSON",
        "[]",
        R"({"service":"s"})",
        R"({"service":1,"addr":"a","zone":"a","slots":6,"state":"ready"})",
        R"({"service":"s","addr":"a","zone":"a","slots":"6","state":"ready"})",
        R"({"service":"s","addr":"a","zone":"a","slots":6,"state":"odd"})" }) {
      CHECK_FALSE(ReadUpstreamEntry("i-1", garbage).ok());
    }
  }

  // Regression: the id was written into the head of each request as it was.
  SECTION("with an id that a header field cannot hold is rejected")
  {
    using namespace std::string_literals;
    for (const std::string& id :
         { ""s, "i 1"s, "i\r\nX: y"s, "i\n"s, "i\0"s, "\x7F"s, "\xC3\xA4"s }) {
      CAPTURE(id);
      CHECK_FALSE(ReadUpstreamEntry(id, text).ok());
    }
    CHECK(ReadUpstreamEntry("i-1:a/b_2", text).ok());
  }

  const auto with = [&text](const std::string& aName,
                            const std::string& aValue) {
    // The last of several equal names counts.
    return text.substr(0, text.size() - 1) + ",\"" + aName + "\":" + aValue +
           "}";
  };

  // Regression: such an entry was accepted with an arbitrary number instead.
  SECTION("with a number that its field cannot hold is rejected")
  {
    for (const char* value : { "1e300",
                               "-1e300",
                               "-1",
                               "4294967297",
                               "9223372036854775808",
                               "18446744073709551616",
                               "true",
                               "\"6\"",
                               "null",
                               "[6]" }) {
      CAPTURE(value);
      CHECK_FALSE(ReadUpstreamEntry("i-1", with("slots", value)).ok());
      if (value != std::string("4294967297")) {
        CHECK_FALSE(ReadUpstreamEntry("i-1", with("born", value)).ok());
        CHECK_FALSE(ReadUpstreamEntry("i-1", with("coldLeftMs", value)).ok());
      }
    }
    CHECK_FALSE(ReadUpstreamEntry("i-1", with("slots", "0")).ok());
    CHECK_FALSE(ReadUpstreamEntry("i-1", with("slots", "1.5")).ok());
    CHECK_FALSE(ReadUpstreamEntry("i-1", with("born", "1.5")).ok());
    CHECK_FALSE(ReadUpstreamEntry("i-1", with("slots", "1e999")).ok());
  }

  SECTION("with numbers in another notation is parsed")
  {
    CHECK(ReadUpstreamEntry("i-1", with("slots", "6.0"))->m_slots == 6);
    CHECK(ReadUpstreamEntry("i-1", with("born", "1.7e12"))->m_startedAtMs ==
          1700000000000);
    CHECK(ReadUpstreamEntry("i-1", with("coldLeftMs", "1.5"))->m_warmupTime ==
          std::chrono::microseconds(1500));
  }

  // Regression: such an upstream was chosen although no connection to it is
  // possible.
  SECTION("with an address that accepts no connection is rejected")
  {
    for (const char* address : { "",
                                 "10.0.0.9",
                                 "10.0.0.9:",
                                 ":80",
                                 "10.0.0.9:0",
                                 "10.0.0.9:65536",
                                 "10.0.0.9:99999",
                                 "10.0.0.9:-1",
                                 "10.0.0.9:http",
                                 "10.0.0.256:80",
                                 "10.0.0.9\\u0000.1:80",
                                 "desk.example:80",
                                 "0.0.0.0:80",
                                 "224.0.0.1:80",
                                 "255.255.255.255:80",
                                 ":::80",
                                 "ff02::1:80" }) {
      CAPTURE(address);
      CHECK_FALSE(
        ReadUpstreamEntry("i-1", with("addr", Cat("\"", address, "\""))).ok());
    }
    CHECK(ReadUpstreamEntry("i-1", with("addr", R"("10.0.0.9:65535")")).ok());
  }

  SECTION("that is deeply nested is rejected without exhausting the stack")
  {
    const std::string open(kDeepNesting, '[');
    const std::string close(kDeepNesting, ']');
    CHECK_FALSE(ReadUpstreamEntry("i-1", open + close).ok());
    CHECK_FALSE(ReadUpstreamEntry("i-1", open).ok());
    CHECK_FALSE(ReadUpstreamEntry("i-1", DeepObject()).ok());
    for (const char* name : { "service",
                              "addr",
                              "zone",
                              "slots",
                              "state",
                              "born",
                              "coldLeftMs" }) {
      CHECK_FALSE(ReadUpstreamEntry("i-1", with(name, open + close)).ok());
      CHECK_FALSE(ReadUpstreamEntry("i-1", with(name, DeepObject())).ok());
    }
    // A field that isn't used does not affect the others.
    CHECK(ReadUpstreamEntry("i-1", with("later", open + close)).ok());
    CHECK(ReadUpstreamEntry("i-1", with("later", DeepObject())).ok());
  }
}

TEST_CASE("the settings file", "[documents]")
{
  const std::string path =
    "/tmp/bergamotpaddle-settings-test." + std::to_string(getpid()) + ".json";
  const auto load = [&path](const std::string& aText) {
    std::ofstream(path) << aText;
    LoadedSettings loaded = LoadSettings(path);
    std::remove(path.c_str());
    return loaded;
  };

  SECTION("is parsed, with the seed peers from \"seeds\"")
  {
    const LoadedSettings loaded =
      load(R"({"node":"front-1","zone":"a","ip":"10.1.0.19","listen":)"
           R"({"front":"10.1.0.19:8740","ready":"10.1.0.19:8749"},)"
           R"("portRange":[7200,7215],"seeds":["10.2.0.13:8748"],)"
           R"("bounds":{"graceS":6,"drainMs":1500},)"
           R"("provider":{"addr":"10.200.1.7:8742"},"later":1})");
    CHECK(loaded.m_findings.empty());
    CHECK(loaded.m_settings.m_seedPeers ==
          std::vector<std::string>{ "10.2.0.13:7200" });
    CHECK(loaded.m_settings.m_grace == std::chrono::seconds(6));
  }

  SECTION("with several errors reports all of them")
  {
    const LoadedSettings loaded =
      load(R"({"node":7,"portRange":[70000],"bounds":{"graceS":"x"}})");
    CHECK(loaded.m_findings.size() >= 7);
  }

  SECTION("that does not exist is reported as one error")
  {
    CHECK(LoadSettings("/tmp/no-such-file.json").m_findings.size() == 1);
  }
}
