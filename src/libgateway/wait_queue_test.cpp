#include "burdockpulley/wait_queue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <ostream>
#include <random>

using namespace burdockpulley;

namespace {

constexpr Duration Millisecond{1000};

Instant at(std::int64_t Milliseconds) {
  return Instant(Millisecond * (1'000'000 + Milliseconds));
}

WaitingRequest request(std::uint64_t Number, std::int64_t Arrived,
                       std::uint32_t Priority = 1) {
  WaitingRequest Request;
  Request.m_number = RequestNumber(Number);
  Request.m_priority = Priority;
  Request.m_workTime = Millisecond * 60;
  Request.m_goal = at(Arrived + 200);
  Request.m_deadline = at(Arrived + 1200);
  return Request;
}

std::vector<RequestNumber> orderOf(WaitQueue &Queue, Instant Now) {
  std::vector<RequestNumber> Order;
  for (auto Next = Queue.first(Now); Next; Next = Queue.after(*Next))
    Order.push_back(*Next);
  return Order;
}

/// The queue as a plain list that is sorted anew for each operation, with
/// estimates that ignore how earlier requests have ended.
class PlainQueue {
public:
  std::vector<WaitingRequest> m_waiting;

  /// Returns false if the request is refused.
  bool offer(const WaitingRequest &Request, const ServiceCapacity &Capacity,
             Instant Now) {
    Duration Ahead = Request.m_workTime * static_cast<int>(Capacity.m_waiting);
    for (const WaitingRequest &Each : m_waiting)
      if (Each.m_goal <= Request.m_goal &&
          Now + Each.m_workTime * 6 / 5 < Each.m_goal)
        Ahead += Each.m_workTime;
    if (Now + Ahead / static_cast<int>(Capacity.m_slots) +
            Request.m_workTime * 3 / 5 >=
        Request.m_deadline)
      return false;
    m_waiting.push_back(Request);
    return true;
  }

  void remove(RequestNumber Number) {
    std::erase_if(m_waiting, [Number](const WaitingRequest &Each) {
      return Each.m_number == Number;
    });
  }

  void sort(Instant Now) {
    auto Rank = [Now](const WaitingRequest &Request) {
      bool Late = Now + Request.m_workTime * 6 / 5 >= Request.m_goal;
      return std::make_tuple(Request.m_priority, Late, Request.m_goal,
                             Request.m_number);
    };
    std::sort(m_waiting.begin(), m_waiting.end(),
              [&](const WaitingRequest &Left, const WaitingRequest &Right) {
                return Rank(Left) < Rank(Right);
              });
  }

  std::vector<RequestNumber> giveUp(const ServiceCapacity &Capacity,
                                    Instant Now) {
    sort(Now);
    std::vector<RequestNumber> Refused;
    QueuedWork Ahead;
    const std::vector<WaitingRequest> All = m_waiting;
    auto CountBefore = [&All](std::uint32_t Priority) {
      return static_cast<double>(
          std::count_if(All.begin(), All.end(), [&](const auto &Each) {
            return Each.m_priority < Priority;
          }));
    };
    std::erase_if(m_waiting, [&](const WaitingRequest &Request) {
      double Share =
          (Ahead.m_requests - CountBefore(Request.m_priority) + 0.5) /
          static_cast<double>(CountBefore(Request.m_priority + 1) -
                              CountBefore(Request.m_priority));
      QueuedWork Others =
          Capacity.elsewhere(Request.m_priority, std::clamp(Share, 0.0, 1.0));
      bool Late = Now + Request.m_workTime * 6 / 5 >= Request.m_goal;
      double Work = static_cast<double>(
          (Ahead.m_work + Others.m_work +
           Request.m_workTime * static_cast<int>(Capacity.m_waiting))
              .count());
      double Requests = Ahead.m_requests + Others.m_requests +
                        static_cast<double>(Capacity.m_waiting);
      double Wait = std::max(Work / Capacity.m_slots,
                             Requests / Capacity.m_requestRate * 1e6) *
                    (Late ? 2 : 1);
      bool TooLate = Now + Duration(static_cast<std::int64_t>(Wait)) +
                         Request.m_workTime * 3 / 5 >=
                     Request.m_deadline;
      if (TooLate) {
        Refused.push_back(Request.m_number);
      } else {
        Ahead.m_requests += 1;
        Ahead.m_work += Request.m_workTime;
      }
      return TooLate;
    });
    return Refused;
  }
};

struct Result {
  int m_inGoal = 0;
  int m_late = 0;
  int m_refusedAtOnce = 0;
  int m_refusedLater = 0;
  std::int64_t m_longestRefusedWait = 0; ///< Milliseconds until a refusal.
};

std::ostream &operator<<(std::ostream &Out, const Result &Totals) {
  return Out << Totals.m_inGoal << " in time, " << Totals.m_late << " late, "
             << Totals.m_refusedAtOnce << " refused at once, "
             << Totals.m_refusedLater << " refused after waiting";
}

enum class Policy {
  FirstComeFirstServed, ///< Refuses at the deadline.
  PlainEstimate,        ///< PlainQueue.
  Queue,                ///< WaitQueue.
};

/// Replays a load on four slots in steps of one millisecond; free slots run the
/// next requests of the queue.
Result replay(const std::vector<std::int64_t> &Arrivals, Policy Kind) {
  constexpr std::size_t Slots = 4;
  constexpr std::int64_t Work = 60;
  WaitQueue Queue;
  PlainQueue Plain;
  std::vector<std::int64_t> BusyUntil;
  Result Totals;
  std::size_t Next = 0;
  for (std::int64_t Now = 0; Now < Arrivals.back() + 3000; ++Now) {
    std::erase_if(BusyUntil,
                  [Now](std::int64_t Until) { return Until <= Now; });
    ServiceCapacity Capacity{Slots, BusyUntil.size() / 2};
    for (; Next < Arrivals.size() && Arrivals[Next] == Now; ++Next) {
      WaitingRequest Arrived = request(Next, Now);
      if (Kind == Policy::FirstComeFirstServed)
        Plain.m_waiting.push_back(Arrived);
      else if (Kind == Policy::PlainEstimate
                   ? !Plain.offer(Arrived, Capacity, at(Now))
                   : Queue.offer(Arrived, Capacity, at(Now)).has_value())
        ++Totals.m_refusedAtOnce;
    }
    std::vector<RequestNumber> GivenUp;
    if (Kind == Policy::Queue)
      GivenUp = Queue.giveUp(Capacity, at(Now));
    else if (Kind == Policy::PlainEstimate)
      GivenUp = Plain.giveUp(Capacity, at(Now));
    for (RequestNumber Refused : GivenUp) {
      ++Totals.m_refusedLater;
      Totals.m_longestRefusedWait = std::max(Totals.m_longestRefusedWait,
                                             Now - Arrivals[Refused.value()]);
    }
    std::vector<RequestNumber> Order = orderOf(Queue, at(Now));
    for (const WaitingRequest &Each : Plain.m_waiting)
      Order.push_back(Each.m_number);
    for (RequestNumber Number : Order) {
      if (BusyUntil.size() == Slots)
        break;
      std::int64_t Spent = Now + Work - Arrivals[Number.value()];
      Queue.remove(Number);
      Plain.remove(Number);
      if (Spent > 1200) {
        ++Totals.m_refusedLater;
        continue;
      }
      BusyUntil.push_back(Now + Work);
      ++(Spent <= 200 ? Totals.m_inGoal : Totals.m_late);
    }
  }
  return Totals;
}

/// Arrival times in milliseconds, with a rate in requests a millisecond that
/// depends on the time. Four slots can handle 0.067.
std::vector<std::int64_t>
arrivals(std::int64_t Length, const std::function<double(std::int64_t)> &Rate) {
  std::mt19937_64 Random(20261204);
  std::vector<std::int64_t> Arrivals;
  for (std::int64_t Now = 0; Now < Length; ++Now)
    if (std::uniform_real_distribution<double>(0, 1)(Random) < Rate(Now))
      Arrivals.push_back(Now);
  return Arrivals;
}

/// A steady load of half of what four slots can handle, with a burst of twice
/// their capacity for three seconds.
std::vector<std::int64_t> burst() {
  return arrivals(9000, [](std::int64_t Now) {
    return Now >= 3000 && Now < 6000 ? 0.133 : 0.033;
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_burst_makes_some_responses_late_rather_than_all) {
  Result Ours = replay(burst(), Policy::Queue);
  Result Baseline = replay(burst(), Policy::FirstComeFirstServed);
  BOOST_TEST_MESSAGE("burst: " << Ours
                               << "; first come first served: " << Baseline);
  BOOST_TEST(Ours.m_inGoal > Baseline.m_inGoal * 3 / 2);
  // Refusals come before the deadline.
  BOOST_TEST(Ours.m_longestRefusedWait < 1000);
  BOOST_TEST(Ours.m_inGoal + Ours.m_late >=
             (Baseline.m_inGoal + Baseline.m_late) * 9 / 10);
}

// Guards against queueing requests in a lasting overload that are overtaken by
// newer ones until they are refused: their callers lose the time.
BOOST_AUTO_TEST_CASE(a_lasting_overload_is_refused_on_arrival) {
  auto Load = arrivals(30'000, [](std::int64_t) { return 0.087; });
  Result Ours = replay(Load, Policy::Queue);
  Result Before = replay(Load, Policy::PlainEstimate);
  Result Baseline = replay(Load, Policy::FirstComeFirstServed);
  BOOST_TEST_MESSAGE("lasting overload: "
                     << Ours << "; plain estimate: " << Before
                     << "; first come first served: " << Baseline);
  BOOST_TEST(Ours.m_refusedLater < Before.m_refusedLater / 4);
  BOOST_TEST(Ours.m_inGoal >= Before.m_inGoal * 98 / 100);
  BOOST_TEST(Ours.m_inGoal + Ours.m_late >=
             (Before.m_inGoal + Before.m_late) * 98 / 100);
}

// Guards against estimates that refuse requests at moderate load.
BOOST_AUTO_TEST_CASE(nothing_is_refused_at_moderate_load) {
  auto Load = arrivals(60'000, [](std::int64_t) { return 0.05; });
  Result Ours = replay(Load, Policy::Queue);
  Result Before = replay(Load, Policy::PlainEstimate);
  BOOST_TEST_MESSAGE("moderate load: " << Ours
                                       << "; plain estimate: " << Before);
  BOOST_TEST(Ours.m_refusedAtOnce + Ours.m_refusedLater == 0);
  BOOST_TEST(Ours.m_inGoal >= Before.m_inGoal);
}

BOOST_AUTO_TEST_CASE(a_request_that_cannot_be_served_is_refused_on_arrival) {
  WaitQueue Queue;
  std::uint64_t Number = 0;
  while (!Queue.offer(request(Number, 0), {4, 0}, at(0)))
    ++Number;
  // Four slots run about 80 requests of 60 ms in the 1,200 ms to the deadline.
  BOOST_TEST(Number > 60u);
  BOOST_TEST(Number < 90u);
  BOOST_TEST(Queue.size() == Number);
}

BOOST_AUTO_TEST_CASE(requests_that_wait_at_peers_are_counted) {
  WaitQueue Queue;
  BOOST_TEST(!Queue.offer(request(1, 0), {4, 20}, at(0)).has_value());
  BOOST_TEST(Queue.offer(request(2, 0), {4, 200}, at(0)).has_value());
}

// Guards against a limited priority that is expected to wait for more urgent
// requests, whose slots are not among its own, and against one that is expected
// to use all slots.
BOOST_AUTO_TEST_CASE(a_limited_priority_waits_for_its_own_slots) {
  ServiceCapacity Capacity{10};
  Capacity.m_elsewhere = {{1, {50, Millisecond * 50'000}},
                          {5, {4, Millisecond * 4000}}};
  Capacity.m_limits = {{5, 2}};
  BOOST_TEST(Capacity.slotsFor(1) == 10);
  for (std::uint32_t Priority : {4U, 5U, 6U, 7U})
    BOOST_TEST(Capacity.slotsFor(Priority) == 2);
  BOOST_TEST(Capacity.slotsFor(9) == 10);
  auto Place = [](std::uint64_t Number, std::uint32_t Priority) {
    return WaitingRequest{RequestNumber(Number), Priority, Millisecond * 100,
                          at(100'000), at(100'000)};
  };
  WaitQueue Queue;
  BOOST_TEST(!Queue.offer(Place(1, 1), Capacity, at(0)));
  // Of the 4 s elsewhere, half is ahead: 1 s with 2 slots. All of it takes 2 s.
  WaitingRequest Limited = Place(2, 5);
  Limited.m_deadline = at(900);
  BOOST_TEST(Queue.offer(Limited, Capacity, at(0)).has_value());
  Limited.m_deadline = at(2200);
  BOOST_TEST(!Queue.offer(Limited, Capacity, at(0)));
  BOOST_TEST(Queue.giveUp(Capacity, at(0)).empty());
  BOOST_REQUIRE(Queue.giveUp(Capacity, at(1900)).size() == 1);
}

// Guards against a held priority that stops the others of its queue.
BOOST_AUTO_TEST_CASE(the_next_priority_follows_all_requests_of_one) {
  WaitQueue Queue;
  ServiceCapacity Capacity{10};
  std::uint64_t Number = 0;
  for (std::uint32_t Priority : {4U, 5U, 6U, 7U, 8U, 13U})
    BOOST_TEST(!Queue.offer({RequestNumber(++Number), Priority,
                             Millisecond * 100, at(1000), at(100'000)},
                            Capacity, at(0)));
  // Late requests are the last of their priority.
  BOOST_TEST(Queue.first(at(2000))->value() == 1u);
  for (std::uint64_t Held : {1, 2, 3, 4})
    BOOST_TEST(Queue.afterPriority(RequestNumber(Held))->value() == 5u);
  BOOST_TEST(Queue.afterPriority(RequestNumber(5))->value() == 6u);
  BOOST_TEST(!Queue.afterPriority(RequestNumber(6)));
  BOOST_TEST(!Queue.afterPriority(RequestNumber(7)));
}

BOOST_AUTO_TEST_CASE(a_refusal_has_a_retry_delay_within_its_bounds) {
  WaitQueue Queue;
  auto Refused = Queue.offer(request(1, 0), {4, 400}, at(0));
  BOOST_REQUIRE(Refused);
  BOOST_TEST((Refused->m_retryAfter >= Millisecond * 50));
  BOOST_TEST((Refused->m_retryAfter <= Millisecond * 1000));
}

BOOST_AUTO_TEST_CASE(urgent_requests_go_first_and_expired_ones_are_removed) {
  WaitQueue Queue;
  Queue.offer(request(1, 0, 2), {4, 0}, at(0));
  Queue.offer(request(2, 0, 0), {4, 0}, at(0));
  Queue.offer(request(3, 0, 1), {4, 0}, at(0));
  auto Order = orderOf(Queue, at(10));
  BOOST_REQUIRE(Order.size() == 3u);
  BOOST_TEST(Order[0].value() == 2u);
  BOOST_TEST(Order[1].value() == 3u);
  BOOST_TEST(Queue.giveUp({4, 0}, at(1000)).empty());
  BOOST_TEST(Queue.giveUp({4, 0}, at(1170)).size() == 3u);
  BOOST_TEST(Queue.size() == 0u);
}

BOOST_AUTO_TEST_CASE(requests_that_can_meet_their_goal_go_before_late_ones) {
  WaitQueue Queue;
  Queue.offer(request(1, 0), {4, 0}, at(0));
  Queue.offer(request(2, 180), {4, 0}, at(180));
  auto Order = orderOf(Queue, at(250));
  BOOST_TEST(Order[0].value() == 2u);
}

BOOST_AUTO_TEST_CASE(the_retry_delay_grows_with_the_number_of_refusals) {
  WaitQueue Queue;
  auto OfferRequest = [&](std::uint64_t Number, std::int64_t Millis) {
    auto Refused = Queue.offer(request(Number, Millis), {4, 100}, at(Millis));
    return Refused ? Refused->m_retryAfter : Duration();
  };
  Duration First = OfferRequest(1, 0);
  BOOST_TEST((First >= Millisecond * 50));
  Duration Last{};
  for (std::uint64_t Count = 0; Count < 50; ++Count)
    Last = OfferRequest(2 + Count, static_cast<std::int64_t>(10 * Count));
  BOOST_TEST((Last >= First * 2));
  BOOST_TEST(!Queue.discardable(at(600)));
  BOOST_TEST(Queue.discardable(at(9000)));
  BOOST_TEST((OfferRequest(99, 9000) <= First * 11 / 10));
}

BOOST_AUTO_TEST_CASE(a_limited_request_rate_bounds_what_may_wait) {
  constexpr double RequestsPerSecond = 5;
  WaitQueue Queue;
  ServiceCapacity Capacity{4, 0, RequestsPerSecond};
  std::uint64_t Queued = 0;
  while (!Queue.offer(request(Queued + 1, 0), Capacity, at(0)))
    ++Queued;
  // A request may wait for little more than a second.
  BOOST_TEST(Queued > RequestsPerSecond / 2);
  BOOST_TEST(Queued < RequestsPerSecond * 2);
  Capacity.m_requestRate = 1;
  BOOST_TEST(Queue.giveUp(Capacity, at(100)).size() > Queued / 2);
}

BOOST_AUTO_TEST_CASE(requests_wait_for_the_end_of_a_pause_or_are_told_when) {
  WaitingRequest Request;
  Request.m_number = RequestNumber(1);
  Request.m_workTime = std::chrono::milliseconds(100);
  Request.m_goal = Instant(std::chrono::seconds(11));
  Request.m_deadline = Instant(std::chrono::seconds(13));
  Instant Now(std::chrono::seconds(10));
  ServiceCapacity Capacity;
  Capacity.m_slots = 4;
  Capacity.m_pause = std::chrono::seconds(2);
  WaitQueue Queue;
  BOOST_TEST(!Queue.offer(Request, Capacity, Now).has_value());
  // The pause was prolonged.
  BOOST_TEST(Queue.giveUp(Capacity, Now).empty());
  Capacity.m_pause = std::chrono::seconds(5);
  BOOST_TEST(Queue.giveUp(Capacity, Now).size() == 1u);
  auto Refused = Queue.offer(Request, Capacity, Now);
  BOOST_REQUIRE(Refused.has_value());
  BOOST_TEST((Refused->m_retryAfter >= Capacity.m_pause));
}

namespace {

WaitingRequest randomRequest(std::uint64_t Number, std::int64_t Now,
                             std::mt19937_64 &Random) {
  WaitingRequest Request = request(Number, Now, Random() % 3);
  Request.m_workTime = Millisecond * (10 * (1 + Random() % 20));
  Request.m_goal = at(Now + static_cast<std::int64_t>(Random() % 600));
  Request.m_deadline =
      at(Now + 100 + static_cast<std::int64_t>(Random() % 1500));
  return Request;
}

} // namespace

// Guards against a tree that gives another order, or refuses other requests,
// than sorting all of them anew.
BOOST_AUTO_TEST_CASE(order_and_refusals_are_those_of_a_plain_sort) {
  BOOST_TEST(rc::check([](std::uint32_t Seed) {
    std::mt19937_64 Random(Seed);
    WaitQueue Queue;
    PlainQueue Plain;
    std::int64_t Now = 0;
    for (std::uint64_t Number = 1; Number <= 150; ++Number) {
      Now += static_cast<std::int64_t>(Random() % 12);
      ServiceCapacity Capacity{1.0 + static_cast<double>(Random() % 8),
                               Random() % 4};
      Capacity.m_elsewhere = {{0, {1, Millisecond * 50}},
                              {2, {2, Millisecond * 70}}};
      if (Random() % 4 == 0)
        Capacity.m_requestRate = 20;
      WaitingRequest Request = randomRequest(Number, Now, Random);
      if (!Queue.offer(Request, Capacity, at(Now)))
        Plain.m_waiting.push_back(Request);
      if (Random() % 3 == 0 && !Plain.m_waiting.empty()) {
        std::size_t Index = Random() % Plain.m_waiting.size();
        RC_ASSERT(Queue.remove(Plain.m_waiting[Index].m_number));
        Plain.m_waiting.erase(Plain.m_waiting.begin() +
                              static_cast<std::ptrdiff_t>(Index));
      }
      if (Random() % 5 == 0)
        RC_ASSERT(Queue.giveUp(Capacity, at(Now)) ==
                  Plain.giveUp(Capacity, at(Now)));
      Plain.sort(at(Now));
      std::vector<RequestNumber> Expected;
      for (const WaitingRequest &Each : Plain.m_waiting)
        Expected.push_back(Each.m_number);
      RC_ASSERT(orderOf(Queue, at(Now)) == Expected);
    }
  }));
}

// Guards against operations whose cost grows with the number of waiting
// requests: with a sort for each, 10,000 of them take 1,300 times as long
// as 10.
BOOST_AUTO_TEST_CASE(operations_stay_cheap_with_many_waiting_requests) {
  double MicrosOfFew = 0;
  for (std::uint64_t Waiting : {10U, 100U, 1'000U, 10'000U}) {
    std::mt19937_64 Random(20261205);
    WaitQueue Queue;
    ServiceCapacity Capacity{static_cast<double>(Waiting), 0};
    auto Offer = [&](std::uint64_t Number, std::int64_t Now) {
      WaitingRequest Request = randomRequest(Number, Now, Random);
      Request.m_deadline = at(Now + 60'000);
      Queue.offer(Request, Capacity, at(Now));
    };
    for (std::uint64_t Number = 0; Number < Waiting; ++Number)
      Offer(Number, 0);
    constexpr std::uint64_t Rounds = 3'000;
    auto Began = std::chrono::steady_clock::now();
    for (std::uint64_t Round = 0; Round < Rounds; ++Round) {
      auto Now = static_cast<std::int64_t>(Round / 10);
      Offer(Waiting + Round, Now);
      Queue.giveUp(Capacity, at(Now));
      Queue.remove(*Queue.first(at(Now)));
    }
    double Micros = std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - Began)
                        .count() /
                    Rounds;
    BOOST_TEST(Queue.size() == Waiting);
    BOOST_TEST_MESSAGE(Waiting << " waiting: " << Micros
                               << " us for an arrival, a dispatch round and a "
                                  "removal");
    if (Waiting == 10)
      MicrosOfFew = Micros;
    BOOST_TEST(Micros < MicrosOfFew * 60);
  }
}
