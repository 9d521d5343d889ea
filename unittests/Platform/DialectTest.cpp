/// \file
/// Tests of the platform's header fields.
#include "platform/Dialect.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

bool
HasField(const FieldList& aFields, const std::string& aName)
{
  return FindField(aFields, aName) != nullptr;
}

} // namespace

TEST_CASE("header fields of a caller's request", "[dialect]")
{
  const WireDialect dialect = platform::MakeDialect();
  WireRequest wire;
  wire.m_method = "POST";
  wire.m_target = "/a/b";
  wire.m_fields = { { "Host", "Desk.example:8740" },
                    { "bergamotpaddle-attempt-id", "9c41" },
                    { "Bergamotpaddle-Model", "m" },
                    { "Bergamotpaddle-Token-Usage", "1460,80" },
                    { "Bergamotpaddle-Prompt-Prefix",
                      "5c1e07a2:800,e4402b7d:250" },
                    { "Bergamotpaddle-Timeout-Ms", "1500" },
                    { "Authorization", "Bearer k1" },
                    { "X-Twice", "a" },
                    { "X-Twice", "b" },
                    { "Connection", "close, X-Hop" },
                    { "X-Hop", "1" } };

  SECTION("are parsed into the request")
  {
    const CallerRequest request = dialect.m_readRequest(wire);
    CHECK(request.m_host == "desk.example");
    CHECK(request.m_attemptId == "9c41");
    CHECK(request.m_apiKey == "k1");
    CHECK(request.m_promptTokens == 1460);
    CHECK(request.m_maxOutputTokens == 80);
    CHECK(request.m_timeLimit == std::chrono::milliseconds(1500));
    REQUIRE(request.m_parts.size() == 2);
    CHECK(request.m_parts[0] == PromptPart{ 0x5c1e07a2, 800 });
  }

  SECTION("are forwarded if they concern the upstream, including duplicates")
  {
    const CallerRequest request = dialect.m_readRequest(wire);
    CHECK(HasField(request.m_forwardedFields, "Bergamotpaddle-Model"));
    CHECK(HasField(request.m_forwardedFields, "Bergamotpaddle-Attempt-Id"));
    CHECK(std::count_if(
            request.m_forwardedFields.begin(),
            request.m_forwardedFields.end(),
            [](const auto& aField) { return aField.first == "X-Twice"; }) == 2);
    CHECK_FALSE(HasField(request.m_forwardedFields, "Authorization"));
    CHECK_FALSE(HasField(request.m_forwardedFields, "X-Hop"));
    CHECK_FALSE(HasField(request.m_forwardedFields, "Connection"));
  }

  SECTION("are dropped if only routers may set them")
  {
    for (const char* name : { "Bergamotpaddle-Tenant",
                              "Bergamotpaddle-Expect-Instance",
                              "Bergamotpaddle-Request-Priority",
                              "Bergamotpaddle-Hold",
                              "Bergamotpaddle-Pin-Ms",
                              "Bergamotpaddle-Kv-Backup",
                              "Kv-From",
                              "kv-fetch" }) {
      wire.m_fields = { { name, "x" } };
      CHECK(dialect.m_readRequest(wire).m_forwardedFields.empty());
    }
  }

  SECTION("are ignored if their values are invalid")
  {
    wire.m_fields = { { "Bergamotpaddle-Token-Usage", "many" },
                      { "Bergamotpaddle-Prompt-Prefix", "5c1e:80,oops" },
                      { "Bergamotpaddle-Timeout-Ms", "-4" } };
    const CallerRequest request = dialect.m_readRequest(wire);
    CHECK_FALSE(request.m_hasTokenUsage);
    CHECK(request.m_parts.empty());
    CHECK_FALSE(request.m_timeLimit.has_value());
  }
}

TEST_CASE("header fields of an upstream's response", "[dialect]")
{
  const WireDialect dialect = platform::MakeDialect();

  SECTION("are parsed into the response, with seal and load")
  {
    const UpstreamResponse response =
      dialect.m_readResponse(200,
                             "OK",
                             { { "Bergamotpaddle-Response-Seal", "3e1b" },
                               { "Bergamotpaddle-Attempt-Id", "9c41" },
                               { "Bergamotpaddle-Server-Load", "3,1,8,250" },
                               { "Content-Type", "text/event-stream" },
                               { "Transfer-Encoding", "chunked" } });
    CHECK(response.m_isSealed);
    CHECK(response.m_attemptId == "9c41");
    CHECK(response.m_isEventStream);
    CHECK_FALSE(response.m_isProvedNotRun);
    REQUIRE(response.m_load.has_value());
    CHECK(response.m_load->m_waiting == 1);
    CHECK(response.m_load->m_slowness == 2.5);
    CHECK_FALSE(HasField(response.m_forwardedFields, "Transfer-Encoding"));
  }

  SECTION("prove only by Not-Executed or status 421 that nothing ran")
  {
    CHECK(dialect
            .m_readResponse(503, "", { { "Bergamotpaddle-Not-Executed", "1" } })
            .m_isProvedNotRun);
    CHECK(dialect.m_readResponse(421, "", {}).m_isProvedNotRun);
    CHECK_FALSE(dialect.m_readResponse(503, "", {}).m_isProvedNotRun);
    CHECK_FALSE(dialect.m_readResponse(429, "", {}).m_isProvedNotRun);
  }

  SECTION("with an invalid load are parsed without it")
  {
    CHECK_FALSE(
      dialect
        .m_readResponse(200, "", { { "Bergamotpaddle-Server-Load", "1,x,8" } })
        .m_load.has_value());
  }

  // Regression: the cast of such numbers was undefined.
  SECTION("with numbers in the load that are out of range, without it")
  {
    for (const char* load : { "1e300,0,8",
                              "0,1e300,8",
                              "0,0,1e300",
                              "nan,0,8",
                              "inf,0,8",
                              "-1,0,8",
                              "0,-inf,8",
                              "0,0,-8",
                              "0,0,2147483648",
                              "0,0,8,nan",
                              "0,0,8,inf",
                              "0,0,8,1e300",
                              "0,0,8,-1",
                              "0,0,8,1e999" }) {
      CAPTURE(load);
      CHECK_FALSE(
        dialect
          .m_readResponse(200, "", { { "Bergamotpaddle-Server-Load", load } })
          .m_load.has_value());
    }
  }
}

TEST_CASE("header fields that a router adds to a request", "[dialect]")
{
  const WireDialect dialect = platform::MakeDialect();
  UpstreamCall call;
  call.m_expected = UpstreamId("i-1");
  call.m_account = AccountId("cafe");
  call.m_timeLeft = std::chrono::milliseconds(420);
  call.m_requestPriority = 17;
  const FieldList fields = dialect.m_writeCall(call);
  CHECK(*FindField(fields, "Bergamotpaddle-Expect-Instance") == "i-1");
  CHECK(*FindField(fields, "Bergamotpaddle-Tenant") == "cafe");
  CHECK(*FindField(fields, "Bergamotpaddle-Timeout-Ms") == "420");
  CHECK(*FindField(fields, "Bergamotpaddle-Request-Priority") == "9");
  CHECK_FALSE(HasField(fields, "Last-Event-Id"));
}

TEST_CASE("how long an upstream says that it stays cold", "[dialect]")
{
  const auto read = [](const std::string& aValue) {
    return platform::MakeDialect()
      .m_readResponse(200, "OK", { { "Bergamotpaddle-Cold-Ms", aValue } })
      .m_coldLeft;
  };
  CHECK(read("2500") == std::chrono::milliseconds(2500));
  CHECK(read(" 0 ") == Duration(0));
  for (const char* odd : { "", "-1", "soon", "1e3", "99999999999999999999" }) {
    CAPTURE(odd);
    CHECK_FALSE(read(odd));
  }
}
