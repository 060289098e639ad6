#include "burdockpulley/admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace burdockpulley;

namespace {

AdmissionRequest request(int Team, bool Bulk, Instant Deadline) {
  auto Weight = static_cast<std::uint32_t>(Team + 1);
  return {TeamId(std::to_string(Team)), Weight, Bulk, Deadline};
}

/// Drives a queue at random and notes what became of each request.
struct Machine {
  static constexpr std::uint32_t Slots = 3;

  AdmissionQueue m_queue{Slots};
  Instant m_now{Duration(1'000'000)};
  std::map<std::uint64_t, Instant> m_waiting; ///< Deadlines.
  std::uint32_t m_running = 0;
  std::uint64_t m_last = 0;

  void refuse(const std::vector<AdmissionRefusal> &Refused) {
    for (const AdmissionRefusal &Each : Refused) {
      RC_ASSERT(Each.m_retryAfter > Duration());
      RC_ASSERT(m_waiting.erase(Each.m_ticket.value()) == 1u);
    }
  }

  void offer(int Team, bool Bulk, int Millis) {
    Instant Deadline = m_now + std::chrono::milliseconds(Millis);
    m_waiting[++m_last] = Deadline;
    refuse(m_queue.offer(AdmissionTicket(m_last), request(Team, Bulk, Deadline),
                         m_now));
  }

  void start(std::uint32_t Allowed) {
    while (auto Next = m_queue.startNext(Allowed, m_now)) {
      RC_ASSERT(m_waiting.erase(Next->value()) == 1u);
      ++m_running;
      RC_ASSERT(m_running <= Slots);
      RC_ASSERT(m_running <= Allowed);
    }
  }

  void step() {
    m_now += Duration(*rc::gen::inRange(0, 3000));
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      return offer(*rc::gen::inRange(0, 4), *rc::gen::arbitrary<bool>(),
                   *rc::gen::inRange(0, 50));
    case 1:
      if (m_running > 0) {
        m_queue.finish(Duration(*rc::gen::inRange(1, 5000)));
        --m_running;
      }
      return start(*rc::gen::inRange(1U, 2 * Slots));
    case 2:
      refuse(m_queue.giveUp(m_now));
      for (const auto &[Ticket, Deadline] : m_waiting)
        RC_ASSERT(Deadline >= m_now + m_queue.serviceTime());
      return;
    default:
      if (!m_waiting.empty()) {
        std::uint64_t Ticket = m_waiting.begin()->first;
        RC_ASSERT(m_queue.cancel(AdmissionTicket(Ticket)));
        m_waiting.erase(Ticket);
      }
    }
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(every_request_ends_once_and_slots_are_never_exceeded) {
  BOOST_TEST(rc::check([] {
    Machine Driven;
    int Steps = *rc::gen::inRange(1, 200);
    for (int I = 0; I < Steps; ++I) {
      Driven.step();
      RC_ASSERT(Driven.m_queue.waiting() == Driven.m_waiting.size());
      RC_ASSERT(Driven.m_queue.running() == Driven.m_running);
    }
  }));
}

BOOST_AUTO_TEST_CASE(no_tenant_and_no_class_starves_under_a_flood) {
  BOOST_TEST(rc::check([] {
    AdmissionQueue Queue(1);
    Instant Now{};
    Instant Deadline = Now + std::chrono::hours(1);
    int Flood = *rc::gen::inRange(1, 50);
    std::uint64_t Ticket = 0;
    for (int I = 0; I < Flood; ++I)
      Queue.offer(AdmissionTicket(++Ticket), request(3, false, Deadline), Now);
    AdmissionTicket Small(++Ticket);
    Queue.offer(Small, request(0, false, Deadline), Now);
    AdmissionTicket Bulk(++Ticket);
    Queue.offer(Bulk, request(0, true, Deadline), Now);
    std::set<AdmissionTicket> Started;
    for (int I = 0; I < 10; ++I) {
      if (auto Next = Queue.startNext(1, Now)) {
        Started.insert(*Next);
        Queue.finish(Duration(1'000));
      }
      Queue.offer(AdmissionTicket(++Ticket), request(3, false, Deadline), Now);
    }
    RC_ASSERT(Started.count(Small) == 1u);
    RC_ASSERT(Started.count(Bulk) == 1u);
  }));
}

BOOST_AUTO_TEST_CASE(tenants_share_by_weight) {
  AdmissionQueue Queue(2);
  Instant Deadline = Instant() + std::chrono::hours(1);
  for (std::uint64_t I = 0; I < 100; ++I)
    Queue.offer(AdmissionTicket(I), request(I % 2 ? 2 : 0, false, Deadline),
                Instant());
  int Heavy = 0;
  for (int I = 0; I < 40; ++I) {
    Heavy += Queue.startNext(1, Instant())->value() % 2 == 1;
    Queue.finish(Duration(1'000));
  }
  BOOST_TEST(Heavy >= 29);
  BOOST_TEST(Heavy <= 31);
}

BOOST_AUTO_TEST_CASE(a_request_that_would_wait_too_long_is_refused_at_once) {
  AdmissionQueue Queue(1);
  Instant Now{};
  for (std::uint64_t I = 0; I < 20; ++I)
    Queue.offer(AdmissionTicket(I), request(0, false, Now + Duration(60'000)),
                Now);
  auto Refused = Queue.offer(AdmissionTicket(99),
                             request(0, false, Now + Duration(10'000)), Now);
  BOOST_REQUIRE(Refused.size() == 1u);
  BOOST_TEST((Refused[0].m_ticket == AdmissionTicket(99)));
  BOOST_TEST(Refused[0].m_retryAfter.count() > 10'000);
}
