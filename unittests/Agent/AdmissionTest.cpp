/// \file
/// Admission: slots, fair queueing and load shedding of one upstream.
#include "bergamotpaddle/Agent/Admission.h"

#include <catch2/catch.hpp>

using namespace bergamotpaddle;

namespace {

AdmissionRequest
MakeRequest(RunId aRun,
            const std::string& aAccount,
            std::uint64_t aCost,
            std::uint32_t aWeight = 1)
{
  return { aRun, AccountId(aAccount), aWeight, aCost };
}

} // namespace

TEST_CASE("admission to an upstream's slots and queue", "[admission]")
{
  AdmissionOptions options;
  options.m_slots = 4;
  options.m_slotsKeptForShort = 1;
  options.m_maxWaiting = 6;
  options.m_shortTokens = 100;
  Admission admission(options);

  SECTION("long work never takes the slot reserved for short work")
  {
    for (RunId run = 1; run <= 4; ++run) {
      REQUIRE_FALSE(admission.Offer(MakeRequest(run, "a", 1000)).has_value());
    }
    for (RunId run = 1; run <= 3; ++run) {
      CHECK(admission.StartNext() == run);
    }
    CHECK_FALSE(admission.StartNext().has_value());
    admission.Offer(MakeRequest(5, "a", 10));
    CHECK(admission.StartNext() == 5);

    SECTION("queued long work starts when other long work ends")
    {
      admission.Remove(2);
      CHECK(admission.StartNext() == 4);
    }
  }

  SECTION("accounts share by weight, regardless of how much each has queued")
  {
    for (RunId run = 1; run <= 4; ++run) {
      admission.Offer(MakeRequest(run, "greedy", 50));
    }
    admission.Offer(MakeRequest(5, "modest", 50));
    CHECK(admission.StartNext() == 1);
    CHECK(admission.StartNext() == 5);
  }

  SECTION("an account's smallest work runs first")
  {
    admission.Offer(MakeRequest(1, "a", 90));
    admission.Offer(MakeRequest(2, "a", 10));
    CHECK(admission.StartNext() == 2);
    CHECK(admission.StartNext() == 1);
  }

  SECTION("a full queue sheds the largest work of the account with the largest "
          "backlog")
  {
    for (RunId run = 1; run <= 5; ++run) {
      admission.Offer(MakeRequest(run, "greedy", 10 * run));
    }
    admission.Offer(MakeRequest(6, "modest", 20));
    CHECK(admission.Offer(MakeRequest(7, "modest", 20)) == 5);
    CHECK(admission.Waiting() == 6);

    SECTION("the newly offered work may itself be shed")
    {
      CHECK(admission.Offer(MakeRequest(8, "greedy", 99)) == 8);
    }
  }

  SECTION("removed work neither waits nor starts")
  {
    admission.Offer(MakeRequest(1, "a", 10));
    admission.Remove(1);
    CHECK(admission.Waiting() == 0);
    CHECK_FALSE(admission.StartNext().has_value());
  }
}
