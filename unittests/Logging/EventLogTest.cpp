/// \file
/// The log under load, with a reader that stopped reading.
#include "bergamotpaddle/Logging/EventLog.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace bergamotpaddle;

namespace {

/// A pipe whose far end reads only when told to.
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

TEST_CASE("a log whose reader stopped reading", "[log]")
{
  constexpr int kLines = 20'000;
  const LogLine line =
    std::move(LogLine("request.end").Text("request", std::string(64, 'a')));
  EventLogOptions options;
  options.m_linesPerSecond = 1e6;
  options.m_burst = 1e6;
  Pipe pipe;
  EventLog log(pipe.WriteEnd(), "host/1", options);

  SECTION(
    "goes on without waiting, within its memory, and counts what it drops")
  {
    const auto begun = std::chrono::steady_clock::now();
    for (int number = 0; number < kLines; ++number) {
      log.Write(line, At(number), number);
      log.Flush();
    }
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(5));
    CHECK(log.Dropped() > 0);
    CHECK(log.Written() + log.Dropped() == kLines);

    SECTION("and tells the number once it is read again")
    {
      const std::uint64_t dropped = log.Dropped();
      std::string text;
      for (std::string part = pipe.Read(); text.size() < 100'000;
           part = pipe.Read()) {
        text += part;
        log.Flush();
      }
      log.Write(line, At(kLines), kLines);
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

  SECTION("keeps to its rate, but for vital lines")
  {
    EventLogOptions slow;
    slow.m_linesPerSecond = 1;
    slow.m_burst = 2;
    EventLog few(pipe.WriteEnd(), "host/1", slow);
    for (int number = 0; number < 10; ++number) {
      few.Write(line, At(0), 0);
    }
    CHECK(few.Written() == 2);
    few.Write(LogLine("process.stop"), At(0), 0, true);
    few.Flush();
    CHECK(pipe.Read().find("process.stop") != std::string::npos);
    CHECK(few.Dropped() == 8);
  }
}
