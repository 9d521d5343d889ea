/// \file
/// Journal of non-repeatable calls: two starts of a key must not both run.
/// Causes are repeated starts, lost write responses, paused agents and
/// unavailability of the key-value service.
#include "bergamotpaddle/Agent/Journal.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

/// An agent incarnation with its journal.
struct Incarnation
{
  Incarnation(VirtualTime& aTime,
              FakeKeyValue& aKeyValue,
              const std::string& aName)
    : m_process(aTime)
    , m_journal({},
                AgentId(aName),
                aKeyValue.MakeHooks(m_process, [] { return true; }),
                m_process.Timers(),
                [] { return std::uint64_t{ 1'000'000 }; })
  {
  }

  /// Requests to start the call "k" and records the verdict.
  void Start(const std::string& aFingerprint = "f")
  {
    m_journal.Start("desk",
                    AccountId("a"),
                    RequestKey("k"),
                    aFingerprint,
                    [this](JournalVerdict aVerdict, JournalEntry aEntry) {
                      m_verdicts.push_back(aVerdict);
                      m_entry = std::move(aEntry);
                    });
  }

  FakeProcess m_process;
  Journal m_journal;
  std::vector<JournalVerdict> m_verdicts;
  JournalEntry m_entry;
};

} // namespace

TEST_CASE("a non-repeatable call starts at most once", "[journal]")
{
  VirtualTime time;
  FakeKeyValue keyValue(time, 7);
  Incarnation first(time, keyValue, "agent-life1");
  Incarnation second(time, keyValue, "agent-life2");
  using Verdicts = std::vector<JournalVerdict>;

  SECTION("if one incarnation requests it twice in one write")
  {
    first.Start();
    first.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(first.m_verdicts ==
          Verdicts{ JournalVerdict::kStart, JournalVerdict::kUnknown });
  }

  SECTION("if two incarnations request it concurrently")
  {
    first.Start();
    second.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(first.m_verdicts == Verdicts{ JournalVerdict::kStart });
    CHECK(second.m_verdicts == Verdicts{ JournalVerdict::kUnknown });
  }

  SECTION(
    "if the write response is lost, only the writing incarnation starts it")
  {
    keyValue.Faults().m_lostResponseProbability = 1;
    first.Start();
    time.Advance(std::chrono::milliseconds(1000));
    keyValue.Faults().m_lostResponseProbability = 0;
    second.Start();
    time.Advance(std::chrono::seconds(5));
    CHECK(first.m_verdicts == Verdicts{ JournalVerdict::kStart });
    CHECK(second.m_verdicts == Verdicts{ JournalVerdict::kUnknown });
  }

  SECTION("if an incarnation is paused before its write")
  {
    first.m_process.Freeze();
    first.Start();
    time.Advance(std::chrono::seconds(1));
    second.Start();
    time.Advance(std::chrono::seconds(1));
    first.m_process.Thaw();
    time.Advance(std::chrono::seconds(1));
    CHECK(first.m_verdicts.size() + second.m_verdicts.size() == 2);
    CHECK(std::count(first.m_verdicts.begin(),
                     first.m_verdicts.end(),
                     JournalVerdict::kStart) +
            std::count(second.m_verdicts.begin(),
                       second.m_verdicts.end(),
                       JournalVerdict::kStart) ==
          1);
  }

  SECTION("while the key-value service is unavailable, it does not start, but "
          "may later")
  {
    keyValue.Faults().m_isDown = true;
    first.Start();
    time.Advance(std::chrono::seconds(10));
    CHECK(first.m_verdicts == Verdicts{ JournalVerdict::kUnavailable });
    keyValue.Faults().m_isDown = false;
    first.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(first.m_verdicts.back() == JournalVerdict::kStart);
  }

  SECTION("another incarnation gets the recorded outcome")
  {
    first.Start();
    time.Advance(std::chrono::seconds(1));
    JournalEntry outcome;
    outcome.m_httpStatus = 201;
    outcome.m_body = "booked";
    first.m_journal.Finish("desk", AccountId("a"), RequestKey("k"), outcome);
    time.Advance(std::chrono::seconds(1));
    second.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(second.m_verdicts == Verdicts{ JournalVerdict::kDone });
    CHECK(second.m_entry.m_body == "booked");

    SECTION("another call with the same key is a mismatch")
    {
      second.Start("another");
      time.Advance(std::chrono::seconds(1));
      CHECK(second.m_verdicts.back() == JournalVerdict::kMismatch);
    }
  }

  SECTION("a withdrawn start, proved not to have run, may start again")
  {
    first.Start();
    time.Advance(std::chrono::seconds(1));
    first.m_journal.Withdraw("desk", AccountId("a"), RequestKey("k"));
    time.Advance(std::chrono::seconds(1));
    second.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(second.m_verdicts == Verdicts{ JournalVerdict::kStart });
  }
}
