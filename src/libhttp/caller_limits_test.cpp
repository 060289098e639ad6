// Limits for callers that send or read slowly, too much, or too many at once.
#include "blocking_caller.h"
#include "burdockpulley/caller_listener.h"
#include "burdockpulley/clock.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <csignal>
#include <memory>

using namespace burdockpulley;

namespace {

constexpr std::size_t MaxConnections = 16;
constexpr std::size_t BudgetBytes = 8 << 20;

struct LimitsFixture {
  LimitsFixture()
      : m_baseOwner(event_base_new(), event_base_free),
        m_base(m_baseOwner.get()),
        m_listener(m_base, MaxConnections,
                   [this](const std::shared_ptr<Exchange> &Request) {
                     ++m_handled;
                     Request->answer(HttpResponse{
                         200, {}, std::string(m_responseBytes, 'r')});
                   }) {
    std::signal(SIGPIPE, SIG_IGN);
    m_listener.setMemoryBudget(m_budget);
    m_port = m_listener.listen({"127.0.0.1", 0});
  }

  void runLoop(int Millis = 1) const {
    timeval Interval{0, Millis * 1000};
    event_base_loopexit(m_base, &Interval);
    event_base_dispatch(m_base);
  }
  template <class Condition> void runUntil(Condition Holds) const {
    while (!Holds())
      runLoop();
  }
  std::uint64_t count(CallerLimit Reason) const {
    return m_listener.limitCounts()[static_cast<std::size_t>(Reason)];
  }

  MemoryBudget m_budget{BudgetBytes};
  std::unique_ptr<event_base, decltype(&event_base_free)> m_baseOwner;
  event_base *m_base;
  std::size_t m_responseBytes = 2;
  int m_handled = 0;
  CallerListener m_listener;
  std::uint16_t m_port = 0;
};

std::string head(std::size_t BodyBytes) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) +
         "\r\n\r\n";
}

} // namespace

// Guards against bodies that stay open as long as a byte comes now and then.
BOOST_FIXTURE_TEST_CASE(a_slow_body_gets_408, LimitsFixture) {
  BlockingCaller Caller(m_port);
  Caller.send(head(1000) + "a");
  runUntil([&] { return m_listener.busy() == 1; });
  Instant Now = bootClockNow();
  m_listener.sweep(Now + std::chrono::seconds(14));
  Caller.send("b");
  runLoop(20);
  BOOST_TEST(m_listener.busy() == 1u);
  m_listener.sweep(Now + std::chrono::seconds(17));
  runUntil([&] { return Caller.received("408"); });
  BOOST_TEST(count(CallerLimit::SlowBody) == 1u);
  BOOST_TEST(m_handled == 0);
}

// Guards against memory for thousands of fields within the limit in bytes, and
// against a refusal of such a request while there is memory for it.
BOOST_FIXTURE_TEST_CASE(header_fields_are_limited_while_memory_is_scarce,
                        LimitsFixture) {
  std::string Request = "GET / HTTP/1.1\r\n";
  for (int Field = 0; Field < 2000; ++Field)
    Request += "a:\r\n";
  BlockingCaller Served(m_port);
  Served.send(Request + "\r\n");
  runUntil([&] { return Served.received("200"); });
  MemoryCharge Others(&m_budget, MemoryKind::Bodies);
  Others.resize(BudgetBytes * 12 / 16);
  BlockingCaller Caller(m_port);
  Caller.send(Request);
  runUntil([&] { return Caller.received("431"); });
  BOOST_TEST(count(CallerLimit::HeaderTooLarge) == 1u);
}

// Guards against responses that pile up for a caller that reads none.
BOOST_FIXTURE_TEST_CASE(requests_wait_while_responses_are_unread,
                        LimitsFixture) {
  m_responseBytes = 6 << 20; // More than the kernel takes.
  BlockingCaller Caller(m_port);
  std::string Requests;
  for (int Request = 0; Request < 100; ++Request)
    Requests += "GET / HTTP/1.1\r\n\r\n";
  Caller.send(Requests);
  runUntil([&] { return m_handled > 0; });
  runLoop(50);
  BOOST_TEST(m_handled <= 2);
  BOOST_TEST(m_budget.used(MemoryKind::UnreadResponses) > 0u);
  // It reads no more until the idle timeout.
  m_listener.sweep(bootClockNow() + std::chrono::seconds(16));
  runUntil([&] { return m_listener.connections() == 0; });
  BOOST_TEST(count(CallerLimit::IdleTimeout) == 1u);
  BOOST_TEST(m_budget.total() == 0u);
}

// Guards against unfinished bodies that take all memory, and against a caller
// in good order that is refused with them.
BOOST_FIXTURE_TEST_CASE(unfinished_bodies_are_bounded_and_given_up,
                        LimitsFixture) {
  constexpr std::size_t BodyBytes = 1'900'000;
  std::vector<std::unique_ptr<BlockingCaller>> Callers;
  std::size_t Peak = 0;
  for (int I = 0; I < 8; ++I) {
    Callers.push_back(std::make_unique<BlockingCaller>(m_port));
    Callers.back()->send(head(BodyBytes));
    for (std::size_t Sent = 0; Sent + 50'000 < BodyBytes; Sent += 50'000) {
      if (m_budget.level() == MemoryBudget::Level::Ample)
        Callers.back()->send(std::string(50'000, 'b'));
      runLoop();
      Peak = std::max(Peak, m_budget.total());
    }
  }
  BOOST_TEST(Peak < BudgetBytes * 13 / 16);
  BOOST_TEST((m_budget.level() == MemoryBudget::Level::Tight));
  // A request that arrives whole is served.
  BlockingCaller Small(m_port);
  Small.send(head(1000) + std::string(1000, 'b'));
  runUntil([&] { return Small.received("200"); });
  Instant Now = bootClockNow();
  m_listener.sweep(Now);
  m_listener.sweep(Now + std::chrono::seconds(2));
  BOOST_TEST(count(CallerLimit::MemoryBody) > 0u);
  BOOST_TEST((m_budget.level() == MemoryBudget::Level::Ample));
  Callers.clear();
  runUntil([&] {
    // Of connections that are not read, the end is found by sweep().
    m_listener.sweep(Now + std::chrono::seconds(2));
    return m_listener.connections() <= 1;
  });
  BOOST_TEST(m_budget.used(MemoryKind::Bodies) == 0u);
}

// Guards against connections without requests that keep out all others.
BOOST_FIXTURE_TEST_CASE(idle_connections_make_room, LimitsFixture) {
  CallerLimits Limits;
  Limits.m_crowdedAge = {};
  m_listener.setLimits(Limits);
  std::vector<std::unique_ptr<BlockingCaller>> Idle;
  for (std::size_t I = 0; I < MaxConnections * 2; ++I)
    Idle.push_back(std::make_unique<BlockingCaller>(m_port));
  BlockingCaller Caller(m_port);
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  runUntil([&] { return Caller.received("200"); });
  BOOST_TEST(m_listener.connections() <= MaxConnections);
  BOOST_TEST(count(CallerLimit::Crowded) > 0u);
}
