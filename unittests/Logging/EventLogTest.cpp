/// \file
/// The event log under load, while nothing reads its output.
#include "bergamotpaddle/Logging/EventLog.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace bergamotpaddle;

namespace {

/// A pipe that is read only when the test calls Read().
class Pipe
{
public:
  Pipe() { REQUIRE(pipe(m_ends.data()) == 0); }
  ~Pipe()
  {
    close(m_ends[0]);
    close(m_ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int WriteEnd() const { return m_ends[1]; }

  std::string Read()
  {
    std::string text(1 << 20, '\0');
    const ssize_t count = read(m_ends[0], text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
  }

private:
  std::array<int, 2> m_ends{};
};

Instant
At(int aMilliseconds)
{
  return Instant(std::chrono::milliseconds(aMilliseconds));
}

} // namespace

TEST_CASE("an event log whose output is not read", "[log]")
{
  constexpr int kLineCount = 20'000;
  const LogLine line =
    std::move(LogLine("request.end").Text("request", std::string(64, 'a')));
  EventLogOptions options;
  options.m_linesPerSecond = 1e6;
  options.m_burst = 1e6;
  Pipe pipe;
  EventLog log(pipe.WriteEnd(), "host/1", options);

  SECTION("does not block, stays within its buffer and counts dropped lines")
  {
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < kLineCount; ++index) {
      log.Write(line, At(index), index);
      log.Flush();
    }
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
    CHECK(log.Dropped() > 0);
    CHECK(log.Written() + log.Dropped() == kLineCount);

    SECTION("and reports the number once reading resumes")
    {
      const std::uint64_t dropped = log.Dropped();
      std::string text;
      for (std::string chunk = pipe.Read(); text.size() < 100'000;
           chunk = pipe.Read()) {
        text += chunk;
        log.Flush();
      }
      log.Write(line, At(kLineCount), kLineCount);
      log.Flush();
      text += pipe.Read();
      while (text.find("log.dropped") == std::string::npos) {
        log.Flush();
        text += pipe.Read();
      }
      CHECK(text.find("\"lines\":" + std::to_string(dropped) + "}") !=
            std::string::npos);
    }
  }

  SECTION("is limited in rate except for vital lines")
  {
    EventLogOptions limitedOptions;
    limitedOptions.m_linesPerSecond = 1;
    limitedOptions.m_burst = 2;
    EventLog limitedLog(pipe.WriteEnd(), "host/1", limitedOptions);
    for (int index = 0; index < 10; ++index) {
      limitedLog.Write(line, At(0), 0);
    }
    CHECK(limitedLog.Written() == 2);
    limitedLog.Write(LogLine("process.stop"), At(0), 0, true);
    limitedLog.Flush();
    CHECK(pipe.Read().find("process.stop") != std::string::npos);
    CHECK(limitedLog.Dropped() == 8);
  }
}
