/// \file
/// Requests that are late in a planned stop of the gateway.
#include "RawSocket.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;
using std::chrono::milliseconds;

namespace {

/// From the stop request to the end of the process. The forced end comes 500 ms
/// before, and every answer is due 300 ms before that.
constexpr milliseconds kGrace(1500);
constexpr milliseconds kAnswersDue(700);
/// Until the answers that were due have been sent, but not yet the forced end.
constexpr milliseconds kAnswersSent(900);

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// A gateway that is stopped while it serves requests.
class StoppingGateway : public GatewayFixture
{
public:
  StoppingGateway()
    : GatewayFixture(kGrace)
  {
    RoutingConfig config = Config();
    for (Route& route : config.m_routes) {
      route.m_timeout = kTimeout;
    }
    m_state.m_routes = std::make_shared<const RouteTable>(std::move(config));
  }

  /// A request whose own time limit ends long after the stop.
  static std::string LateRequest(const std::string& aPath)
  {
    std::string request = KeepAliveRequest(aPath);
    const std::string limit = "Timeout-Ms: 1500";
    return request.replace(request.find(limit),
                           limit.size(),
                           "Timeout-Ms: " + std::to_string(kTimeout.count()));
  }

  /// Scripts both upstreams, of which the next exchange uses one.
  void Script(const ScriptedUpstream::Script& aScript)
  {
    m_firstUpstream.m_scripts = { aScript };
    m_secondUpstream.m_scripts = { aScript };
  }

  std::vector<std::string> PassedOn() const
  {
    std::vector<std::string> requests = m_firstUpstream.m_requests;
    requests.insert(requests.end(),
                    m_secondUpstream.m_requests.begin(),
                    m_secondUpstream.m_requests.end());
    return requests;
  }

  void Stop()
  {
    m_server.BeginStop([this] { m_isStopped = true; });
  }

  static constexpr milliseconds kTimeout{ 5000 };
  bool m_isStopped = false;
};

/// The time limit that a request names, in milliseconds.
int
TimeLimitOf(const std::string& aRequest)
{
  const std::string field = "Timeout-Ms: ";
  REQUIRE(Contains(aRequest, field));
  return std::stoi(aRequest.substr(aRequest.find(field) + field.size()));
}

const ScriptedUpstream::Script kSilent{ "", true };

} // namespace

// Regression: nothing told which requests the end of a stop had cut.
TEST_CASE("a request that is cut at the forced end of a stop", "[stop]")
{
  StoppingGateway gateway;
  REQUIRE(gateway.m_startStatus.ok());
  // More than the sockets hold, for a caller that does not read.
  std::string stream = StreamHeadOf();
  const std::string event(100'000, 'e');
  for (int i = 1; i <= 200; ++i) {
    stream += GatewayFixture::Chunk("id: " + std::to_string(i) +
                                    "\ndata: " + event + "\n\n");
  }
  gateway.Script({ stream });
  RawSocket caller(gateway.m_callerAddress);
  caller.Send(KeepAliveRequest("/stream/"));
  gateway.RunFor(milliseconds(200));
  gateway.Stop();
  gateway.RunFor(milliseconds(900));
  CHECK_FALSE(gateway.m_isStopped);
  gateway.RunFor(milliseconds(400));
  REQUIRE(gateway.m_isStopped);

  SECTION("leaves a line with its id, its time and whether it was passed on")
  {
    const std::string line = gateway.m_logPipe.LineOf("request.cut");
    CHECK(Contains(line, "\"request\":\"a1b2\""));
    const std::string field = "\"in_flight_ms\":";
    REQUIRE(Contains(line, field));
    CHECK(std::stoi(line.substr(line.find(field) + field.size())) >= 1000);
    CHECK(Contains(line, "\"passed_on\":true"));
    CHECK(Contains(line, "\"begun\":true"));
  }

  SECTION("is counted")
  {
    CHECK(gateway.m_state.m_counters.m_requestsCut == 1);
  }
}

// Regression: only the last step of a stop knew when it ended, so that requests
// were cut there in the middle of their time.
TEST_CASE("a request that outlasts a stop", "[stop]")
{
  StoppingGateway gateway;
  REQUIRE(gateway.m_startStatus.ok());
  RawSocket caller(gateway.m_callerAddress);

  SECTION("is answered before the forced end if it was in flight")
  {
    const std::string path = GENERATE("/once/", "/stream/", "/again/");
    gateway.Script(kSilent);
    caller.Send(StoppingGateway::LateRequest(path));
    gateway.RunFor(milliseconds(100));
    gateway.Stop();
    gateway.RunFor(kAnswersSent);
    CHECK(caller.Received().starts_with("HTTP/1.1 504"));
    CHECK(Contains(caller.Received(), "Connection: close\r\n"));
    CHECK(caller.IsClosedByGateway());
    gateway.RunFor(milliseconds(300));
    CHECK(gateway.m_isStopped);
    CHECK(gateway.m_state.m_counters.m_requestsCut == 0);
  }

  SECTION("is passed on with the time that is left until the answers are due")
  {
    gateway.Script(kSilent);
    const std::string request = StoppingGateway::LateRequest("/once/");
    caller.Send(request.substr(0, request.size() - 1));
    gateway.RunFor(milliseconds(100));
    gateway.Stop();
    gateway.RunFor(milliseconds(100));
    caller.Send(request.substr(request.size() - 1));
    gateway.RunFor(milliseconds(100));
    REQUIRE(gateway.PassedOn().size() == 1);
    CHECK(TimeLimitOf(gateway.PassedOn().front()) <= 600);
    gateway.RunFor(kAnswersSent - milliseconds(200));
    CHECK(caller.Received().starts_with("HTTP/1.1 504"));
    CHECK(caller.IsClosedByGateway());
  }

  SECTION("is closed without its end if it is a stream that has begun")
  {
    gateway.Script(
      { StreamHeadOf() + GatewayFixture::Chunk("id: 1\ndata: a\n\n"), true });
    caller.Send(StoppingGateway::LateRequest("/stream/"));
    gateway.RunFor(milliseconds(100));
    gateway.Stop();
    gateway.RunFor(kAnswersDue - milliseconds(50));
    CHECK_FALSE(caller.IsClosedByGateway());
    gateway.RunFor(kAnswersSent - kAnswersDue + milliseconds(50));
    CHECK(caller.IsClosedByGateway());
    CHECK(Contains(caller.Received(), "data: a"));
    CHECK_FALSE(caller.Received().ends_with("0\r\n\r\n"));
    CHECK(Contains(gateway.m_logPipe.LineOf("caller.closed"),
                   "\"cause\":\"deadline\""));
  }

  SECTION("is refused if it still waits for credit and was never passed on")
  {
    CreditBook& credit = gateway.m_state.m_credit;
    const AccountId account("school");
    credit.SetPrepaid(account, GatewayFixture::kPrepaid);
    CreditRecord record;
    const auto plan = credit.Plan(record, gateway.m_state.Now());
    REQUIRE(plan);
    credit.Confirm();
    record.Apply(*plan);
    gateway.m_state.m_options.m_maxCreditWait = StoppingGateway::kTimeout;
    gateway.m_state.m_drawCredit = [] { return true; };
    const std::uint64_t tokens = credit.Spendable(account) + 1'000;
    std::string request = StoppingGateway::LateRequest("/once/");
    const std::string key = "Authorization: Bearer key\r\n";
    request.replace(request.find(key),
                    key.size(),
                    "Authorization: Bearer prepaid-key\r\n"
                    "Bergamotpaddle-Token-Usage: " +
                      std::to_string(tokens) + ",100\r\n");
    caller.Send(request);
    gateway.RunFor(milliseconds(100));
    gateway.Stop();
    gateway.RunFor(kAnswersSent);
    CHECK(caller.Received().starts_with("HTTP/1.1 503"));
    CHECK(Contains(caller.Received(), "Retry-After: "));
    CHECK(gateway.PassedOn().empty());
  }
}

// Regression: requests were passed on although the stop would end long before
// their upstreams could answer.
TEST_CASE("a request that cannot be answered before the end of a stop",
          "[stop]")
{
  StoppingGateway gateway;
  REQUIRE(gateway.m_startStatus.ok());
  RawSocket caller(gateway.m_callerAddress);
  const auto isRefused = [&] {
    const std::string response = caller.Received();
    return response.starts_with("HTTP/1.1 503") &&
           Contains(response, "Retry-After: ") &&
           Contains(response, "Connection: close\r\n") &&
           caller.IsClosedByGateway() && gateway.PassedOn().empty();
  };
  // Sends all of the request but its last byte, begins the stop, and completes
  // the request after aDelay.
  const auto completeInStop = [&](const std::string& aRequest,
                                  milliseconds aDelay) {
    caller.Send(aRequest.substr(0, aRequest.size() - 1));
    gateway.RunFor(milliseconds(100));
    gateway.Stop();
    gateway.RunFor(aDelay);
    caller.Send(aRequest.substr(aRequest.size() - 1));
    gateway.RunFor(milliseconds(100));
  };

  SECTION("is refused at once when its body is complete, and not passed on")
  {
    gateway.Script(kSilent);
    completeInStop(StoppingGateway::LateRequest("/once/"), milliseconds(500));
    CHECK(isRefused());
  }

  SECTION("is refused if others of its route have taken longer of late")
  {
    for (int i = 0; i < 8; ++i) {
      gateway.Script({ "",
                       false,
                       false,
                       milliseconds(600),
                       GatewayFixture::SealedResponse() });
      gateway.Call(GatewayFixture::Request("/once/"));
    }
    gateway.m_firstUpstream.m_requests.clear();
    gateway.m_secondUpstream.m_requests.clear();
    gateway.Script(kSilent);
    completeInStop(StoppingGateway::LateRequest("/once/"), milliseconds(150));
    CHECK(isRefused());
  }

  SECTION("is refused on every kind of route if almost no time is left")
  {
    gateway.Script({ GatewayFixture::SealedResponse() });
    const std::string path = GENERATE("/once/", "/again/", "/resume/");
    const std::string request = StoppingGateway::LateRequest(path);
    completeInStop(request, milliseconds(690));
    CHECK(isRefused());
  }

  SECTION("is served if the work of its route is short")
  {
    gateway.Script({ "",
                     false,
                     false,
                     milliseconds(100),
                     GatewayFixture::SealedResponse() });
    completeInStop(StoppingGateway::LateRequest("/once/"), milliseconds(100));
    gateway.RunFor(milliseconds(100));
    CHECK(caller.Received().starts_with("HTTP/1.1 200"));
    CHECK(Contains(caller.Received(), "Connection: close\r\n"));
  }

  SECTION("is served if its own time limit ends before the stop")
  {
    gateway.Script({ "",
                     false,
                     false,
                     milliseconds(100),
                     GatewayFixture::SealedResponse() });
    std::string request = StoppingGateway::LateRequest("/stream/");
    const std::string limit = "Timeout-Ms: 5000";
    request.replace(request.find(limit), limit.size(), "Timeout-Ms: 300");
    completeInStop(request, milliseconds(200));
    gateway.RunFor(milliseconds(100));
    CHECK(caller.Received().starts_with("HTTP/1.1 200"));
  }
}

// Regression: a connection whose request was still arriving was cut at the end
// of a stop without a word.
TEST_CASE("a request whose body is not complete when a stop ends", "[stop]")
{
  StoppingGateway gateway;
  REQUIRE(gateway.m_startStatus.ok());
  const std::string request = StoppingGateway::LateRequest("/once/");
  RawSocket caller(gateway.m_callerAddress);
  caller.Send(request.substr(0, request.size() - 1));
  RawSocket headCaller(gateway.m_callerAddress);
  headCaller.Send(request.substr(0, 20));
  gateway.RunFor(milliseconds(100));
  gateway.Stop();
  gateway.RunFor(kAnswersDue - milliseconds(50));
  CHECK_FALSE(caller.IsClosedByGateway());
  CHECK_FALSE(headCaller.IsClosedByGateway());
  gateway.RunFor(kAnswersSent - kAnswersDue + milliseconds(50));

  SECTION("is refused before the forced end")
  {
    for (RawSocket* each : { &caller, &headCaller }) {
      CHECK(each->Received().starts_with("HTTP/1.1 503"));
      CHECK(Contains(each->Received(), "Retry-After: "));
      CHECK(Contains(each->Received(), "Connection: close\r\n"));
      CHECK(each->IsClosedByGateway());
    }
    CHECK(gateway.PassedOn().empty());
  }

  SECTION("lets the process end without a cut")
  {
    gateway.RunFor(milliseconds(600));
    CHECK(gateway.m_isStopped);
    CHECK(gateway.m_state.m_counters.m_requestsCut == 0);
  }
}

TEST_CASE("a request that crosses the close of its connection in a stop",
          "[stop]")
{
  StoppingGateway gateway;
  REQUIRE(gateway.m_startStatus.ok());
  const std::string path = GENERATE("/once/", "/stream/");
  const std::string head =
    path == "/stream/"
      ? StreamHeadOf() + GatewayFixture::Chunk("id: 1\ndata: a\n\n")
      : "";
  const std::string rest =
    path == "/stream/" ? "0\r\n\r\n" : GatewayFixture::SealedResponse();
  gateway.Script({ head, false, false, milliseconds(300), rest });
  RawSocket caller(gateway.m_callerAddress);
  caller.Send(StoppingGateway::LateRequest(path));
  gateway.RunFor(milliseconds(100));
  gateway.Stop();
  gateway.RunFor(milliseconds(100));
  caller.Send(StoppingGateway::LateRequest("/once/"));
  gateway.RunFor(milliseconds(400));
  CHECK(caller.Received().starts_with("HTTP/1.1 200"));
  CHECK(caller.Received().ends_with(path == "/stream/" ? "0\r\n\r\n" : "done"));
  CHECK(caller.IsClosedByGateway());
  CHECK(gateway.PassedOn().size() == 1);
}
