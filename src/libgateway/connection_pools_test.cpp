#include "connection_pools.h"

#include "burdockpulley/clock.h"
#include "libhttp/raw_server.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <rapidcheck.h>

#include <csignal>
#include <memory>

using namespace burdockpulley;

namespace {

const std::string Server = "u";
const HttpRequest GetRequest{"GET", "/", {}, "", ""};
const std::string OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Pools of one server that moves between two addresses. It responds at neither
/// until answer() is called.
class MovingServer {
public:
  MovingServer()
      : m_base(event_base_new()), m_first(m_base.get(), "", false),
        m_second(m_base.get(), "", false),
        m_pools(std::make_unique<ConnectionPools<std::string>>(
            m_base.get(), ChannelPoolSettings())) {
    std::signal(SIGPIPE, SIG_IGN);
  }
  ~MovingServer() {
    m_pools.reset();
    m_first.stop();
    m_second.stop();
  }

  /// Makes a call to the server at one of its addresses. Returns its index.
  std::size_t call(bool Second, Duration Timeout = std::chrono::seconds(20)) {
    std::size_t Index = m_calls.size();
    m_ended.push_back(0);
    m_calls.push_back(
        m_pools->pool(Server, Second ? m_second.m_endpoint : m_first.m_endpoint)
            .call(GetRequest, "", Timeout, ChannelPool::Reuse::Any,
                  [this, Index](ChannelResult &&Result) {
                    ++m_ended[Index];
                    m_answered += Result.m_error == ChannelError::None;
                  }));
    return Index;
  }

  bool cancel(std::size_t Index) {
    return m_pools->cancel(Server, m_calls[Index]);
  }

  /// Answers what has been received and not been answered, and from now on all.
  void answer() {
    for (RawServer *Each : {&m_first, &m_second}) {
      Each->m_response = OkResponse;
      for (bufferevent *Stream : Each->m_streams)
        bufferevent_write(Stream, OkResponse.data(), OkResponse.size());
    }
  }

  bool runUntil(const std::function<bool()> &Done) {
    Instant End = bootClockNow() + std::chrono::seconds(10);
    while (!Done() && bootClockNow() < End)
      event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
    return Done();
  }

  struct FreeBase {
    void operator()(event_base *Base) const { event_base_free(Base); }
  };
  std::unique_ptr<event_base, FreeBase> m_base;
  RawServer m_first;
  RawServer m_second;
  std::unique_ptr<ConnectionPools<std::string>> m_pools;
  std::vector<ChannelCallId> m_calls;
  std::vector<int> m_ended; ///< How often the callback of each call has run.
  int m_answered = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionPoolsTest)

// Calls were numbered from 1 in each pool: a cancelled call to the former
// address closed another one, whose callback never ran.
BOOST_AUTO_TEST_CASE(a_call_to_a_former_address_is_the_one_that_is_cancelled) {
  MovingServer Moving;
  std::size_t Before = Moving.call(false);
  std::size_t After = Moving.call(true);
  BOOST_TEST(Moving.runUntil([&] {
    return Moving.m_first.m_receivedBytes > 0 &&
           Moving.m_second.m_receivedBytes > 0;
  }));
  BOOST_TEST(Moving.cancel(Before));
  BOOST_TEST(!Moving.cancel(Before));
  Moving.answer();
  BOOST_TEST(Moving.runUntil([&] { return Moving.m_ended[After] == 1; }));
  BOOST_TEST(Moving.m_ended[Before] == 0);
  BOOST_TEST(Moving.m_answered == 1);
}

BOOST_AUTO_TEST_CASE(each_call_ends_once_or_is_cancelled) {
  BOOST_TEST(rc::check([] {
    MovingServer Moving;
    std::vector<bool> Cancelled;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    bool Second = false;
    for (int Step : Steps) {
      if (Step < 3) {
        Moving.call(Second, std::chrono::milliseconds(Step == 0 ? 1 : 20'000));
        Cancelled.push_back(false);
      } else if (Step == 3) {
        Second = !Second;
      } else if (Step == 4) {
        Moving.answer();
      } else if (Step == 5) {
        Moving.m_pools->sweep([](const std::string &) { return true; },
                              bootClockNow());
      } else if (Step == 6 && !Cancelled.empty()) {
        std::size_t Index = *rc::gen::inRange<std::size_t>(0, Cancelled.size());
        bool Open = !Cancelled[Index] && Moving.m_ended[Index] == 0;
        RC_ASSERT(Moving.cancel(Index) == Open);
        Cancelled[Index] = Cancelled[Index] || Open;
      }
      event_base_loop(Moving.m_base.get(), EVLOOP_NONBLOCK);
    }
    Moving.answer();
    RC_ASSERT(Moving.runUntil([&] {
      for (std::size_t Index = 0; Index < Cancelled.size(); ++Index)
        if (!Cancelled[Index] && Moving.m_ended[Index] == 0)
          return false;
      return true;
    }));
    for (std::size_t Index = 0; Index < Cancelled.size(); ++Index)
      RC_ASSERT(Moving.m_ended[Index] == (Cancelled[Index] ? 0 : 1));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
