#include "burdockpulley/caller_listener.h"
#include "burdockpulley/channel_pool.h"
#include "burdockpulley/clock.h"

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <csignal>

using namespace burdockpulley;

namespace {

/// A caller that sends raw bytes and keeps what it gets.
class RawCaller {
public:
  RawCaller(event_base *Base, std::uint16_t Port)
      : m_stream(bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        m_stream,
        [](bufferevent *Stream, void *Self) {
          char Bytes[4096];
          std::size_t Size = 0;
          while ((Size = bufferevent_read(Stream, Bytes, sizeof(Bytes))) > 0)
            static_cast<RawCaller *>(Self)->m_got.append(Bytes, Size);
        },
        nullptr,
        [](bufferevent *, short What, void *Self) {
          if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<RawCaller *>(Self)->m_ended = true;
        },
        this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr *>(&Address),
                               sizeof(Address));
  }
  ~RawCaller() { leave(); }

  void send(const std::string &Bytes) {
    bufferevent_write(m_stream, Bytes.data(), Bytes.size());
  }
  void leave() {
    if (m_stream)
      bufferevent_free(m_stream);
    m_stream = nullptr;
  }

  std::string m_got;
  bool m_ended = false;

private:
  bufferevent *m_stream;
};

struct Scene {
  Scene()
      : m_owner(event_base_new(), event_base_free), m_base(m_owner.get()),
        m_listener(m_base, 16, [this](std::shared_ptr<Exchange> From) {
          m_last = From;
          if (m_answerAtOnce)
            From->answer(HttpResponse{200, {}, From->request().m_target});
          else
            m_open.push_back(std::move(From));
        }) {
    std::signal(SIGPIPE, SIG_IGN);
    m_port = m_listener.listen({"127.0.0.1", 0});
  }

  template <class Condition> void runUntil(Condition Holds) {
    timeval Wait{0, 1000};
    while (!Holds()) {
      event_base_loopexit(m_base, &Wait);
      event_base_dispatch(m_base);
    }
  }

  std::unique_ptr<event_base, decltype(&event_base_free)> m_owner;
  event_base *m_base;
  bool m_answerAtOnce = true;
  std::weak_ptr<Exchange> m_last;
  std::vector<std::shared_ptr<Exchange>> m_open;
  CallerListener m_listener;
  std::uint16_t m_port = 0;
};

bool contains(const std::string &Text, const char *Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_sent_together_are_answered_in_order) {
  Scene System;
  RawCaller Caller(System.m_base, System.m_port);
  Caller.send("GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
              "GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
  System.runUntil([&] { return contains(Caller.m_got, "/two"); });
  BOOST_TEST(Caller.m_got.find("/one") < Caller.m_got.find("/two"));
  BOOST_TEST(!Caller.m_ended);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_noticed_while_its_request_runs) {
  Scene System;
  System.m_answerAtOnce = false;
  RawCaller Caller(System.m_base, System.m_port);
  Caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  System.runUntil([&] { return !System.m_open.empty(); });
  bool Gone = false;
  System.m_open[0]->onCallerGone([&] { Gone = true; });
  Caller.leave();
  System.runUntil([&] { return Gone; });
  System.m_open[0]->answer(HttpResponse{200, {}, ""}); // Goes nowhere.
  BOOST_TEST(System.m_listener.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(
    an_exchange_dropped_without_an_answer_ends_its_connection) {
  Scene System;
  System.m_answerAtOnce = false;
  RawCaller Caller(System.m_base, System.m_port);
  Caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  System.runUntil([&] { return !System.m_open.empty(); });
  System.m_open.clear();
  System.runUntil([&] { return Caller.m_ended; });
  BOOST_TEST(Caller.m_got.empty());
}

BOOST_AUTO_TEST_CASE(a_smuggled_request_is_refused_and_the_connection_closed) {
  Scene System;
  RawCaller Caller(System.m_base, System.m_port);
  Caller.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
              "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n");
  System.runUntil([&] { return Caller.m_ended; });
  BOOST_TEST(contains(Caller.m_got, "HTTP/1.1 400"));
  BOOST_TEST(System.m_last.expired());
  BOOST_TEST(!contains(Caller.m_got, "/inner"));
}

BOOST_AUTO_TEST_CASE(callers_over_the_limits_are_told_which) {
  Scene System;
  CallerLimits Small;
  Small.m_headerBytes = 100;
  Small.m_bodyBytes = 10;
  System.m_listener.setLimits(Small);
  RawCaller Long(System.m_base, System.m_port);
  Long.send("GET /" + std::string(200, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n");
  RawCaller Large(System.m_base, System.m_port);
  Large.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
  System.runUntil([&] { return Long.m_ended && Large.m_ended; });
  BOOST_TEST(contains(Long.m_got, "HTTP/1.1 431"));
  BOOST_TEST(contains(Large.m_got, "HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(slow_headers_and_idle_connections_end) {
  Scene System;
  RawCaller Slow(System.m_base, System.m_port);
  Slow.send("GET / HT");
  RawCaller Idle(System.m_base, System.m_port);
  Idle.send("GET /idle HTTP/1.1\r\nHost: x\r\n\r\n");
  System.runUntil([&] {
    return contains(Idle.m_got, "/idle") && System.m_listener.busy() == 1;
  });
  System.m_listener.sweep(bootClockNow() + std::chrono::seconds(4));
  System.runUntil([&] { return Slow.m_ended; });
  BOOST_TEST(contains(Slow.m_got, "HTTP/1.1 408"));
  BOOST_TEST(!Idle.m_ended);
  System.m_listener.sweep(bootClockNow() + std::chrono::seconds(16));
  System.runUntil([&] { return Idle.m_ended; });
}

BOOST_AUTO_TEST_CASE(a_stop_lets_requests_end_and_closes_idle_connections) {
  Scene System;
  System.m_answerAtOnce = false;
  RawCaller Busy(System.m_base, System.m_port);
  RawCaller Idle(System.m_base, System.m_port);
  Busy.send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
  System.runUntil([&] {
    return !System.m_open.empty() && System.m_listener.connections() == 2;
  });
  System.m_listener.closeAfterResponses();
  System.m_listener.stopListening();
  System.runUntil([&] { return Idle.m_ended; });
  BOOST_TEST(!Busy.m_ended);
  System.m_open[0]->answer(HttpResponse{200, {}, "whole"});
  System.runUntil([&] { return Busy.m_ended; });
  BOOST_TEST(contains(Busy.m_got, "whole"));
  BOOST_TEST(contains(Busy.m_got, "Connection: close"));
}

BOOST_AUTO_TEST_CASE(a_caller_that_expects_it_is_told_to_continue) {
  Scene System;
  RawCaller Caller(System.m_base, System.m_port);
  Caller.send("POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  System.runUntil([&] { return contains(Caller.m_got, "100 Continue"); });
  Caller.send("ok");
  System.runUntil([&] { return contains(Caller.m_got, "/up"); });
}
