#include "burdockpulley/cold_start_ramp.h"
#include "burdockpulley/retry_policy.h"
#include "burdockpulley/upstream_chooser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;
using Standing = OutlierDetector::Standing;

namespace {

constexpr Duration Usual{1'000};

const std::vector<UpstreamId> Members = {UpstreamId("a"), UpstreamId("b"),
                                         UpstreamId("c"), UpstreamId("d"),
                                         UpstreamId("e")};

std::size_t countNotGood(const OutlierDetector &Detector) {
  std::size_t Count = 0;
  for (const UpstreamId &Each : Members)
    Count += Detector.standing(Each) != Standing::Good;
  return Count;
}

void runAll(OutlierDetector &Detector, Duration LatencyOfA, Instant &Now) {
  for (int I = 0; I < 40; ++I) {
    for (const UpstreamId &Each : Members)
      if (Detector.standing(Each) != Standing::Ejected)
        Detector.onResult(Each, Each.value() == "a" ? LatencyOfA : Usual, false,
                          Now);
    Now += std::chrono::milliseconds(20);
    Detector.judge(Members, Now);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(the_ramp_rises_only_on_evidence_and_stays_in_bounds) {
  BOOST_TEST(rc::check([] {
    auto Slots = *rc::gen::inRange(1U, 17U);
    ColdStartRamp Ramp(Slots, std::chrono::seconds(2), Instant());
    RC_ASSERT(Ramp.allowed() == 1u);
    Instant Now{};
    int Steps = *rc::gen::inRange(0, 300);
    std::uint32_t Successes = 0;
    for (int I = 0; I < Steps; ++I) {
      std::uint32_t Before = Ramp.allowed();
      Now += Duration(*rc::gen::inRange(0, 200'000));
      bool Failed = *rc::gen::inRange(0, 8) == 0;
      if (Failed)
        Ramp.onFailure(Now);
      else
        Ramp.onSuccess(Duration(*rc::gen::inRange(500, 20'000)), Now);
      RC_ASSERT(Ramp.allowed() >= 1u);
      RC_ASSERT(Ramp.allowed() <= Slots);
      RC_ASSERT(Ramp.allowed() <= 2 * Before);
      RC_ASSERT(!Failed || Ramp.allowed() == std::max(1U, Before / 2));
      Successes = Failed ? 0 : Successes + 1;
      RC_ASSERT(Ramp.allowed() <= Before || Successes >= 4 * Before);
      if (Ramp.allowed() != Before)
        Successes = 0;
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_warms_up_and_a_silent_cold_start_shows) {
  ColdStartRamp Ramp(4, std::chrono::seconds(3), Instant());
  Instant Now{};
  while (!Ramp.warm()) {
    Now += std::chrono::milliseconds(10);
    Ramp.onSuccess(Usual, Now);
  }
  BOOST_TEST((Now >= Instant() + std::chrono::seconds(2)));
  BOOST_TEST((Now <= Instant() + std::chrono::seconds(3)));
  for (int I = 0; I < 100; ++I)
    Ramp.onSuccess(Usual, Now);
  BOOST_TEST(Ramp.warm());
  for (int I = 0; I < 10 && Ramp.warm(); ++I)
    Ramp.onSuccess(Usual * 10, Now);
  BOOST_TEST(Ramp.allowed() == 1u);
}

BOOST_AUTO_TEST_CASE(retries_stay_below_their_share_of_successes) {
  BOOST_TEST(rc::check([](const std::vector<bool> &Events) {
    RetryBudget Budget(0.1, 5);
    double Successes = 0;
    double Retries = 0;
    for (bool Success : Events) {
      if (Success) {
        Budget.onSuccess();
        ++Successes;
      } else {
        Retries += Budget.take() ? 1 : 0;
      }
      RC_ASSERT(Retries <= 5 + 0.1 * Successes + 1e-6);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_request_is_tried_again_only_when_that_is_safe) {
  BOOST_TEST(rc::check([](bool NotRun, bool TimedOut, bool Overloaded,
                          bool Unsettled, bool NoKeeper, bool Idempotent,
                          bool Keyed, bool Other, bool Wait) {
    FailedAttempt Attempt{NotRun,   TimedOut,    Overloaded, Unsettled,
                          NoKeeper, Idempotent,  Keyed,      Other,
                          Wait,     Usual * 1000};
    bool WaitsForKeeper = !Keyed && NotRun && NoKeeper && Wait;
    RetryBudget Budget(0.1, 1);
    bool Retried = decideRetry(Attempt, Budget) != RetryVerdict::Final;
    RC_ASSERT(!Retried || NotRun || Idempotent);
    RC_ASSERT(!Retried || Keyed || Other || WaitsForKeeper);
    RC_ASSERT(!(Retried && Keyed && TimedOut && !NotRun));
    RetryBudget Spent(0.1, 0);
    bool Free = decideRetry(Attempt, Spent) != RetryVerdict::Final;
    RC_ASSERT(!Free || WaitsForKeeper || (Keyed && NotRun && Unsettled));
    Attempt.m_left = Duration();
    RC_ASSERT(decideRetry(Attempt, Budget) == RetryVerdict::Final);
  }));
}

BOOST_AUTO_TEST_CASE(ejections_never_pass_the_share) {
  BOOST_TEST(rc::check([] {
    OutlierDetector Detector(0.4);
    Instant Now{};
    int Steps = *rc::gen::inRange(1, 400);
    for (int I = 0; I < Steps; ++I) {
      const UpstreamId &Which = *rc::gen::elementOf(Members);
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
      Detector.onResult(Which, Duration(*rc::gen::element(500, 1000, 50'000)),
                        *rc::gen::arbitrary<bool>(), Now);
      Detector.judge(Members, Now);
      RC_ASSERT(countNotGood(Detector) <= 2u);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_slow_upstream_is_ejected_within_a_second_and_returns) {
  OutlierDetector Detector(0.3);
  Instant Now{};
  runAll(Detector, Usual * 10, Now);
  BOOST_TEST((Detector.standing(Members[0]) == Standing::Ejected));
  BOOST_TEST(countNotGood(Detector) == 1u);
  for (int I = 0; I < 5; ++I)
    runAll(Detector, Usual, Now);
  BOOST_TEST(countNotGood(Detector) == 0u);
}

BOOST_AUTO_TEST_CASE(the_chooser_avoids_tried_full_and_ejected_upstreams) {
  BOOST_TEST(rc::check([](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<UpstreamCandidate> Rows(5);
    Rows[0].m_tried = true;
    Rows[1].m_standing = Standing::Ejected;
    Rows[2].m_outstanding = Rows[2].m_slots;
    Rows[3].m_ownDomain = true;
    RC_ASSERT(chooseUpstream(Rows, Random) == 3u);
    Rows[3].m_outstanding = Rows[3].m_slots;
    RC_ASSERT(chooseUpstream(Rows, Random) == 4u);
    std::span<const UpstreamCandidate> All(Rows);
    RC_ASSERT(chooseUpstream(All.first(1), Random) == 0u);
    RC_ASSERT(chooseUpstream({}, Random) == 0u);
  }));
}
