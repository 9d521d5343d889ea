/// \file
/// The journal of calls that may not repeat, over a service that loses answers.
#include "bergamotpaddle/Agent/Journal.h"
#include "bergamotpaddle/Testing/FakeKeyValue.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

/// An agent's life with its journal.
struct Life
{
  Life(VirtualTime& aTime, FakeKeyValue& aKeyValue, const std::string& aName)
    : m_process(aTime)
    , m_journal({},
                AgentId(aName),
                aKeyValue.HooksFor(m_process, [] { return true; }),
                m_process.Timers(),
                [] { return std::uint64_t{ 1'000'000 }; })
  {
  }

  /// Asks to start the call "k" and notes what the journal said.
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

TEST_CASE("a call that may not repeat starts once", "[journal]")
{
  VirtualTime time;
  FakeKeyValue keyValue(time, 7);
  Life first(time, keyValue, "agent-life1");
  Life second(time, keyValue, "agent-life2");
  using V = std::vector<JournalVerdict>;

  SECTION("asked twice by one life in one write")
  {
    first.Start();
    first.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(first.m_verdicts ==
          V{ JournalVerdict::kStart, JournalVerdict::kUnknown });
  }

  SECTION("asked by two lives at once")
  {
    first.Start();
    second.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(first.m_verdicts == V{ JournalVerdict::kStart });
    CHECK(second.m_verdicts == V{ JournalVerdict::kUnknown });
  }

  SECTION(
    "the answer of the write is lost: the life that wrote starts, no other")
  {
    keyValue.Faults().m_loseAnswer = 1;
    first.Start();
    time.Advance(std::chrono::milliseconds(1000));
    keyValue.Faults().m_loseAnswer = 0;
    second.Start();
    time.Advance(std::chrono::seconds(5));
    CHECK(first.m_verdicts == V{ JournalVerdict::kStart });
    CHECK(second.m_verdicts == V{ JournalVerdict::kUnknown });
  }

  SECTION("a life paused before its write finds the call started by another")
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

  SECTION("the service is down: nothing starts, and it may start later")
  {
    keyValue.Faults().m_isDown = true;
    first.Start();
    time.Advance(std::chrono::seconds(10));
    CHECK(first.m_verdicts == V{ JournalVerdict::kUnavailable });
    keyValue.Faults().m_isDown = false;
    first.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(first.m_verdicts.back() == JournalVerdict::kStart);
  }

  SECTION("after the outcome every life answers with it")
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
    CHECK(second.m_verdicts == V{ JournalVerdict::kDone });
    CHECK(second.m_entry.m_body == "booked");

    SECTION("but not to another call with the same key")
    {
      second.Start("another");
      time.Advance(std::chrono::seconds(1));
      CHECK(second.m_verdicts.back() == JournalVerdict::kMismatch);
    }
  }

  SECTION(
    "a start that was proved not to have reached the service may start again")
  {
    first.Start();
    time.Advance(std::chrono::seconds(1));
    first.m_journal.Withdraw("desk", AccountId("a"), RequestKey("k"));
    time.Advance(std::chrono::seconds(1));
    second.Start();
    time.Advance(std::chrono::seconds(1));
    CHECK(second.m_verdicts == V{ JournalVerdict::kStart });
  }
}
