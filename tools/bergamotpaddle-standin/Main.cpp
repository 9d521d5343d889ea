/// \file
/// Runs one stand-in server that simulates the platform or an upstream, for
/// demos and tests.
#include "bergamotpaddle/StandIn/Servers.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(kind, "", "kv, engine, service or hosts");
DEFINE_int32(port, 0, "port on 127.0.0.1");
DEFINE_int32(slots, 8, "engine: number of concurrent runs");
DEFINE_int32(token_ms, 10, "engine: milliseconds between tokens");
DEFINE_int32(first_token_ms, 20, "engine: milliseconds until the first token");
DEFINE_bool(check, false, "check the flags and exit: 0 if valid, 2 if not");

namespace {

using namespace bergamotpaddle;

constexpr int kExitInvalidSettings = 2;

std::unique_ptr<StandInServer>
MakeServer(EventLoop& aLoop)
{
  if (FLAGS_kind == "kv") {
    return MakeKeyValueServer(aLoop);
  }
  if (FLAGS_kind == "engine") {
    EngineOptions options;
    options.m_slots = static_cast<std::size_t>(FLAGS_slots);
    options.m_tokenInterval = std::chrono::milliseconds(FLAGS_token_ms);
    options.m_timeToFirstToken =
      std::chrono::milliseconds(FLAGS_first_token_ms);
    return MakeEngineServer(aLoop, options);
  }
  if (FLAGS_kind == "service") {
    return MakeServiceServer(aLoop);
  }
  if (FLAGS_kind == "hosts") {
    return MakeHostListServer(aLoop);
  }
  return nullptr;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "runs a stand-in server\n  bergamotpaddle-standin --kind "
    "kv|engine|service|hosts --port N");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  EventLoop loop;
  const std::unique_ptr<StandInServer> standIn = MakeServer(loop);
  if (standIn == nullptr) {
    std::cerr << "--kind: \"" << FLAGS_kind
              << "\" is unknown; allowed: kv, engine, service, hosts\n";
    return kExitInvalidSettings;
  }
  if (FLAGS_check) {
    return 0;
  }
  HttpServerOptions options;
  options.m_port = static_cast<std::uint16_t>(FLAGS_port);
  options.m_maxRequestBytes = 4U << 20U;
  HttpServer server(options,
                    [&](HttpRequest aRequest, HttpResponderPtr aResponder) {
                      loop.Post([&standIn,
                                 request = std::move(aRequest),
                                 responder = std::move(aResponder)] {
                        standIn->Handle(request, responder);
                      });
                    });
  const absl::Status started = server.Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return 1;
  }
  std::thread([&] {
    int signalNumber = 0;
    sigwait(&signals, &signalNumber);
    loop.Stop();
  }).detach();
  loop.Run();
  return 0;
}
