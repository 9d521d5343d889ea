/// \file
/// Scheduling of digests between routers, in virtual time.
#include "bergamotpaddle/Gateway/DigestSchedule.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::size_t kHeaders = 28;    ///< IPv4 and UDP headers, in bytes.
constexpr std::size_t kEntryBytes = 24; ///< Typical size of one entry.

Instant
AtMs(int aMs)
{
  return Instant(std::chrono::milliseconds(aMs));
}

/// Sends digests when they are due and records what they announce.
class Sender
{
public:
  Sender(DigestScheduleOptions aOptions, std::size_t aPeers)
    : m_schedule(aOptions)
    , m_peerCount(aPeers)
  {
    m_schedule.SetPeers(aPeers);
  }

  void SendIfDue(Instant aNow)
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
      m_partCount[entry.m_upstream] += entry.m_newParts.size();
      m_schedule.NoteAnnounced(entry.m_upstream, m_isLoaded, aNow);
    }
    m_schedule.NoteSent(size, aNow);
    m_bytes += (size + kHeaders) * m_peerCount;
    ++m_digestsSent;
  }

  DigestSchedule m_schedule;
  std::size_t m_peerCount;
  bool m_isLoaded = true;
  std::size_t m_bytes = 0; ///< To all peers, headers included.
  int m_digestsSent = 0;
  std::map<UpstreamId, Instant> m_announcedAt;
  std::map<UpstreamId, std::size_t> m_partCount; ///< Announced prompt parts.
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
      sender.SendIfDue(AtMs(ms));
    }
    const double allowed = options.m_bytesPerSecond * kMilliseconds / 1000;
    const double bytesPerDigest =
      static_cast<double>(static_cast<std::size_t>(peers) *
                          (sender.m_schedule.MaxPayloadBytes() + kHeaders));
    CHECK(static_cast<double>(sender.m_bytes) <= allowed + bytesPerDigest);

    SECTION("and announces every upstream eventually")
    {
      CHECK(sender.m_announcedAt.size() == 52);
    }
  }

  SECTION("announces a change within the coalescing interval")
  {
    Sender sender(options, 27);
    sender.SendIfDue(AtMs(1000));
    sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(1100));
    CHECK(sender.m_schedule.DueAt() <= AtMs(1100) + options.m_coalesceInterval);
  }

  SECTION("repeats an unchanged load and sends heartbeats")
  {
    Sender sender(options, 27);
    sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(0));
    for (int ms = 0; ms <= 2'000; ++ms) {
      sender.SendIfDue(AtMs(ms));
    }
    CHECK(sender.m_announcedAt.at(UpstreamId("u")) >
          AtMs(2'000) - options.m_refreshInterval - options.m_heartbeat);
    CHECK(sender.m_digestsSent >= 4);

    SECTION("but announces the end of the load only once")
    {
      sender.m_isLoaded = false;
      sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(2'001));
      sender.SendIfDue(AtMs(2'600));
      CHECK(sender.m_schedule.Candidates(AtMs(9'000)).empty());
    }
  }

  SECTION("limits how often a shared prompt part is announced")
  {
    Sender sender(options, 2);
    for (int ms = 0; ms < 5'000; ++ms) {
      sender.m_schedule.NoteChanged(UpstreamId("u"), { 1, 2 }, AtMs(ms));
      sender.SendIfDue(AtMs(ms));
    }
    CHECK(sender.m_partCount.at(UpstreamId("u")) == 2);
  }
}
