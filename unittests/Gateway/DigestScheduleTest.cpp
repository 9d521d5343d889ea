/// \file
/// Scheduling of digests between routers, in virtual time.
#include "bergamotpaddle/Gateway/DigestSchedule.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::size_t kHeaders = 28;
constexpr std::size_t kEntryBytes = 24; ///< Typical size of one entry.

Instant
AtMs(int aMs)
{
  return Instant(std::chrono::milliseconds(aMs));
}

/// Sends whenever the schedule permits and records what was announced.
class Sender
{
public:
  Sender(DigestScheduleOptions aOptions, std::size_t aPeers)
    : m_schedule(aOptions)
    , m_peers(aPeers)
  {
    m_schedule.SetPeers(aPeers);
  }

  void RunUntil(Instant aNow)
  {
    if (m_schedule.DueAt() > aNow) {
      return;
    }
    std::size_t size = kHeaders;
    for (const DigestSchedule::Entry& entry : m_schedule.Candidates(aNow)) {
      if (size + kEntryBytes > m_schedule.MaxPayloadBytes()) {
        break;
      }
      size += kEntryBytes;
      m_announcedAt[entry.m_upstream] = aNow;
      m_parts[entry.m_upstream] += entry.m_newParts.size();
      m_schedule.NoteAnnounced(entry.m_upstream, m_isLoaded, aNow);
    }
    m_schedule.NoteSent(size, aNow);
    m_bytes += (size + kHeaders) * m_peers;
    ++m_rounds;
  }

  DigestSchedule m_schedule;
  std::size_t m_peers;
  bool m_isLoaded = true;
  std::size_t m_bytes = 0;
  int m_rounds = 0;
  std::map<UpstreamId, Instant> m_announcedAt;
  std::map<UpstreamId, std::size_t> m_parts;
};

} // namespace

TEST_CASE("the digest schedule", "[peers]")
{
  const DigestScheduleOptions options;

  SECTION("limits the byte rate of a busy router for any fleet size")
  {
    const int peers = GENERATE(1, 27, 300);
    Sender sender(options, static_cast<std::size_t>(peers));
    constexpr int kMilliseconds = 10'000;
    for (int ms = 0; ms < kMilliseconds; ++ms) {
      const UpstreamId upstream(Cat("u", ms % 52));
      sender.m_schedule.NoteChanged(
        upstream, { static_cast<std::uint64_t>(ms % 7) }, AtMs(ms));
      sender.RunUntil(AtMs(ms));
    }
    const double allowed = options.m_bytesPerSecond * kMilliseconds / 1000;
    const double oneRound =
      static_cast<double>(static_cast<std::size_t>(peers) *
                          (sender.m_schedule.MaxPayloadBytes() + kHeaders));
    CHECK(static_cast<double>(sender.m_bytes) <= allowed + oneRound);

    SECTION("and announces every upstream eventually")
    {
      CHECK(sender.m_announcedAt.size() == 52);
    }
  }

  SECTION("announces a change within the coalescing interval")
  {
    Sender sender(options, 27);
    sender.RunUntil(AtMs(1000));
    sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(1100));
    CHECK(sender.m_schedule.DueAt() <= AtMs(1100) + options.m_coalesceInterval);
  }

  SECTION("repeats an unchanged load and sends heartbeats")
  {
    Sender sender(options, 27);
    sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(0));
    for (int ms = 0; ms <= 2'000; ++ms) {
      sender.RunUntil(AtMs(ms));
    }
    CHECK(sender.m_announcedAt.at(UpstreamId("u")) >
          AtMs(2'000) - options.m_refreshInterval - options.m_heartbeat);
    CHECK(sender.m_rounds >= 4);

    SECTION("but announces the end of a load once")
    {
      sender.m_isLoaded = false;
      sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(2'001));
      sender.RunUntil(AtMs(2'600));
      CHECK(sender.m_schedule.Candidates(AtMs(9'000)).empty());
    }
  }

  SECTION("limits how often a shared prompt part is announced")
  {
    Sender sender(options, 2);
    for (int ms = 0; ms < 5'000; ++ms) {
      sender.m_schedule.NoteChanged(UpstreamId("u"), { 1, 2 }, AtMs(ms));
      sender.RunUntil(AtMs(ms));
    }
    CHECK(sender.m_parts.at(UpstreamId("u")) == 2);
  }
}
