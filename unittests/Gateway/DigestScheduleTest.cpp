/// \file
/// The pace of datagrams between routers, in virtual time.
#include "bergamotpaddle/Gateway/DigestSchedule.h"
#include "bergamotpaddle/Support/Text.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

constexpr std::size_t kHeaders = 28;
constexpr std::size_t kLineBytes = 24; ///< A usual line of a digest.

Instant
AtMs(int aMs)
{
  return Instant(std::chrono::milliseconds(aMs));
}

/// Sends whenever the schedule says so and notes what each datagram told.
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
      if (size + kLineBytes > m_schedule.MaxPayloadBytes()) {
        break;
      }
      size += kLineBytes;
      m_toldAt[entry.m_upstream] = aNow;
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
  std::map<UpstreamId, Instant> m_toldAt;
  std::map<UpstreamId, std::size_t> m_parts;
};

} // namespace

TEST_CASE("the schedule of digests", "[peers]")
{
  const DigestScheduleOptions options;

  SECTION("keeps a hot router of any fleet to its rate")
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

    SECTION("and tells of each upstream in turn")
    {
      CHECK(sender.m_toldAt.size() == 52);
    }
  }

  SECTION("tells a change within the time in which changes are collected")
  {
    Sender sender(options, 27);
    sender.RunUntil(AtMs(1000));
    sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(1100));
    CHECK(sender.m_schedule.DueAt() <= AtMs(1100) + options.m_coalesce);
  }

  SECTION("repeats a load that lasts, and gives signs of life without one")
  {
    Sender sender(options, 27);
    sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(0));
    for (int ms = 0; ms <= 2'000; ++ms) {
      sender.RunUntil(AtMs(ms));
    }
    CHECK(sender.m_toldAt.at(UpstreamId("u")) >
          AtMs(2'000) - options.m_refresh - options.m_heartbeat);
    CHECK(sender.m_rounds >= 4);

    SECTION("but tells the end of a load once")
    {
      sender.m_isLoaded = false;
      sender.m_schedule.NoteChanged(UpstreamId("u"), {}, AtMs(2'001));
      sender.RunUntil(AtMs(2'600));
      CHECK(sender.m_schedule.Candidates(AtMs(9'000)).empty());
    }
  }

  SECTION("tells a prompt part that many requests share only now and then")
  {
    Sender sender(options, 2);
    for (int ms = 0; ms < 5'000; ++ms) {
      sender.m_schedule.NoteChanged(UpstreamId("u"), { 1, 2 }, AtMs(ms));
      sender.RunUntil(AtMs(ms));
    }
    CHECK(sender.m_parts.at(UpstreamId("u")) == 2);
  }
}
