#include "blocking_caller.h"
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

/// A caller that sends raw bytes and records what it receives.
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
            static_cast<RawCaller *>(Self)->m_received.append(Bytes, Size);
        },
        nullptr,
        [](bufferevent *, short Events, void *Self) {
          if (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<RawCaller *>(Self)->m_disconnected = true;
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
  ~RawCaller() { disconnect(); }

  void send(const std::string &Bytes) {
    bufferevent_write(m_stream, Bytes.data(), Bytes.size());
  }
  void disconnect() {
    if (m_stream)
      bufferevent_free(m_stream);
    m_stream = nullptr;
  }

  std::string m_received;
  bool m_disconnected = false;

private:
  bufferevent *m_stream;
};

/// A listener on an event loop, and the exchanges that it has passed on.
struct ListenerFixture {
  ListenerFixture()
      : m_baseOwner(event_base_new(), event_base_free),
        m_base(m_baseOwner.get()),
        m_listener(m_base, 16, [this](std::shared_ptr<Exchange> NewExchange) {
          m_latestExchange = NewExchange;
          ++m_handled;
          if (m_respondAtOnce)
            NewExchange->answer(
                HttpResponse{m_status, {}, NewExchange->request().m_target});
          else
            m_openExchanges.push_back(std::move(NewExchange));
        }) {
    std::signal(SIGPIPE, SIG_IGN);
    m_port = m_listener.listen({"127.0.0.1", 0});
  }

  template <class Condition> void runUntil(Condition Predicate) {
    timeval Interval{0, 1000};
    while (!Predicate()) {
      event_base_loopexit(m_base, &Interval);
      event_base_dispatch(m_base);
    }
  }

  std::unique_ptr<event_base, decltype(&event_base_free)> m_baseOwner;
  event_base *m_base;
  bool m_respondAtOnce = true;
  int m_status = 200; ///< Of the responses that are sent at once.
  std::weak_ptr<Exchange> m_latestExchange;
  int m_handled = 0; ///< Exchanges so far.
  std::vector<std::shared_ptr<Exchange>> m_openExchanges;
  CallerListener m_listener;
  std::uint16_t m_port = 0;
};

bool contains(const std::string &Text, const char *Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  ListenerFixture Fixture;
  RawCaller Caller(Fixture.m_base, Fixture.m_port);
  Caller.send("GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
              "GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] { return contains(Caller.m_received, "/two"); });
  BOOST_TEST(Caller.m_received.find("/one") < Caller.m_received.find("/two"));
  BOOST_TEST(!Caller.m_disconnected);
}

// The caller would take a body for the beginning of the next response.
BOOST_AUTO_TEST_CASE(a_response_that_ends_with_its_head_is_sent_without_body) {
  for (int Status : {200, 204, 304}) {
    ListenerFixture Fixture;
    Fixture.m_status = Status;
    RawCaller Caller(Fixture.m_base, Fixture.m_port);
    std::string Method = Status == 200 ? "HEAD" : "GET";
    Caller.send(Method + " /one HTTP/1.1\r\nHost: x\r\n\r\n");
    Fixture.runUntil([&] { return contains(Caller.m_received, "\r\n\r\n"); });
    Fixture.m_status = 200;
    Caller.send("GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
    Fixture.runUntil([&] { return contains(Caller.m_received, "/two"); });
    BOOST_TEST(!contains(Caller.m_received, "/one"), Caller.m_received);
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_is_cut_at_any_byte_is_not_handled) {
  for (const std::string &Request : sampleRequests("/cut"))
    for (bool Reset : {false, true})
      for (std::size_t Size = 0; Size < Request.size(); ++Size) {
        ListenerFixture Fixture;
        BlockingCaller Cut(Fixture.m_port);
        Cut.send(Request.substr(0, Size));
        Reset ? Cut.reset() : Cut.endInOrder();
        BlockingCaller Whole(Fixture.m_port);
        Whole.send("GET /whole HTTP/1.1\r\nHost: x\r\n\r\n");
        Fixture.runUntil([&] {
          return Whole.received("/whole") &&
                 Fixture.m_listener.connections() == 1;
        });
        BOOST_TEST(Fixture.m_handled == 1, Request.substr(0, Size));
      }
}

BOOST_AUTO_TEST_CASE(a_disconnect_is_reported_while_the_request_is_handled) {
  ListenerFixture Fixture;
  Fixture.m_respondAtOnce = false;
  RawCaller Caller(Fixture.m_base, Fixture.m_port);
  Caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] { return !Fixture.m_openExchanges.empty(); });
  bool Gone = false;
  Fixture.m_openExchanges[0]->onCallerGone([&] { Gone = true; });
  Caller.disconnect();
  Fixture.runUntil([&] { return Gone; });
  Fixture.m_openExchanges[0]->answer(HttpResponse{200, {}, ""});
  BOOST_TEST(Fixture.m_listener.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(
    an_exchange_destroyed_without_a_response_closes_its_connection) {
  ListenerFixture Fixture;
  Fixture.m_respondAtOnce = false;
  RawCaller Caller(Fixture.m_base, Fixture.m_port);
  Caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] { return !Fixture.m_openExchanges.empty(); });
  Fixture.m_openExchanges.clear();
  Fixture.runUntil([&] { return Caller.m_disconnected; });
  BOOST_TEST(Caller.m_received.empty());
}

BOOST_AUTO_TEST_CASE(a_smuggled_request_is_refused_and_the_connection_closed) {
  ListenerFixture Fixture;
  RawCaller Caller(Fixture.m_base, Fixture.m_port);
  Caller.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
              "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] { return Caller.m_disconnected; });
  BOOST_TEST(contains(Caller.m_received, "HTTP/1.1 400"));
  BOOST_TEST(Fixture.m_latestExchange.expired());
  BOOST_TEST(!contains(Caller.m_received, "/inner"));
}

BOOST_AUTO_TEST_CASE(requests_over_the_size_limits_get_431_or_413) {
  ListenerFixture Fixture;
  CallerLimits SmallLimits;
  SmallLimits.m_headerBytes = 100;
  SmallLimits.m_bodyBytes = 10;
  Fixture.m_listener.setLimits(SmallLimits);
  RawCaller LongTarget(Fixture.m_base, Fixture.m_port);
  LongTarget.send("GET /" + std::string(200, 'a') +
                  " HTTP/1.1\r\nHost: x\r\n\r\n");
  RawCaller LargeBody(Fixture.m_base, Fixture.m_port);
  LargeBody.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
  Fixture.runUntil(
      [&] { return LongTarget.m_disconnected && LargeBody.m_disconnected; });
  BOOST_TEST(contains(LongTarget.m_received, "HTTP/1.1 431"));
  BOOST_TEST(contains(LargeBody.m_received, "HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(slow_headers_and_idle_connections_time_out) {
  ListenerFixture Fixture;
  RawCaller SlowCaller(Fixture.m_base, Fixture.m_port);
  SlowCaller.send("GET / HT");
  RawCaller IdleCaller(Fixture.m_base, Fixture.m_port);
  IdleCaller.send("GET /idle HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] {
    return contains(IdleCaller.m_received, "/idle") &&
           Fixture.m_listener.busy() == 1;
  });
  Fixture.m_listener.sweep(bootClockNow() + std::chrono::seconds(4));
  Fixture.runUntil([&] { return SlowCaller.m_disconnected; });
  BOOST_TEST(contains(SlowCaller.m_received, "HTTP/1.1 408"));
  BOOST_TEST(!IdleCaller.m_disconnected);
  Fixture.m_listener.sweep(bootClockNow() + std::chrono::seconds(16));
  Fixture.runUntil([&] { return IdleCaller.m_disconnected; });
}

BOOST_AUTO_TEST_CASE(stopping_completes_requests_and_closes_idle_connections) {
  ListenerFixture Fixture;
  Fixture.m_respondAtOnce = false;
  RawCaller IdleCaller(Fixture.m_base, Fixture.m_port);
  IdleCaller.send("GET /early HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] { return !Fixture.m_openExchanges.empty(); });
  Fixture.m_openExchanges[0]->answer(HttpResponse{200, {}, "early"});
  Fixture.m_openExchanges.clear();
  Fixture.runUntil([&] { return contains(IdleCaller.m_received, "early"); });
  RawCaller BusyCaller(Fixture.m_base, Fixture.m_port);
  BusyCaller.send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] {
    return !Fixture.m_openExchanges.empty() &&
           Fixture.m_listener.connections() == 2;
  });
  Fixture.m_listener.closeAfterResponses();
  Fixture.m_listener.stopListening(bootClockNow());
  Fixture.runUntil([&] { return IdleCaller.m_disconnected; });
  BOOST_TEST(!BusyCaller.m_disconnected);
  Fixture.m_openExchanges[0]->answer(HttpResponse{200, {}, "whole"});
  Fixture.runUntil([&] { return BusyCaller.m_disconnected; });
  BOOST_TEST(contains(BusyCaller.m_received, "whole"));
  BOOST_TEST(contains(BusyCaller.m_received, "Connection: close"));
}

// Requests that had just been accepted were cut off by a planned stop.
BOOST_AUTO_TEST_CASE(stopping_serves_connections_that_were_not_accepted_yet) {
  ListenerFixture Fixture;
  std::vector<std::unique_ptr<BlockingCaller>> Callers;
  for (int Count = 0; Count < 8; ++Count) {
    Callers.push_back(std::make_unique<BlockingCaller>(Fixture.m_port));
    if (Count % 2 == 0)
      Callers.back()->send("GET /new HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  Fixture.m_listener.closeAfterResponses();
  Fixture.m_listener.stopListening(bootClockNow());
  for (int Count = 1; Count < 8; Count += 2)
    Callers[static_cast<std::size_t>(Count)]->send(
        "GET /new HTTP/1.1\r\nHost: x\r\n\r\n");
  for (auto &Caller : Callers)
    Fixture.runUntil([&] { return Caller->received("/new"); });
}

BOOST_AUTO_TEST_CASE(a_request_that_has_arrived_keeps_its_connection_open) {
  ListenerFixture Fixture;
  BlockingCaller Caller(Fixture.m_port);
  Caller.send("GET /one HTTP/1.1\r\nHost: x\r\n\r\n");
  Fixture.runUntil([&] { return Caller.received("/one"); });
  Caller.send("GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(Fixture.m_listener.closeIdle(bootClockNow()) == 1u);
  Fixture.runUntil([&] { return Caller.received("/two"); });
  BOOST_TEST(Fixture.m_listener.closeIdle(bootClockNow()) == 0u);
  BOOST_TEST(Fixture.m_listener.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(expect_100_continue_gets_an_interim_response) {
  ListenerFixture Fixture;
  RawCaller Caller(Fixture.m_base, Fixture.m_port);
  Caller.send("POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  Fixture.runUntil([&] { return contains(Caller.m_received, "100 Continue"); });
  Caller.send("ok");
  Fixture.runUntil([&] { return contains(Caller.m_received, "/up"); });
}
