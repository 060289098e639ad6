#include "burdockpulley/channel_pool.h"
#include "burdockpulley/clock.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <csignal>
#include <optional>

using namespace burdockpulley;

namespace {

/// A pool on a loop, before a server that always answers the same bytes.
struct Scene {
  explicit Scene(std::string Answer, bool Close = false)
      : m_base(event_base_new()), m_server(m_base, std::move(Answer), Close) {
    std::signal(SIGPIPE, SIG_IGN);
    ChannelPoolSettings Settings;
    Settings.m_echoHeader = "Request-Id";
    m_pool =
        std::make_unique<ChannelPool>(m_base, m_server.m_endpoint, Settings);
  }
  ~Scene() {
    m_pool.reset();
    m_server.stop();
    event_base_free(m_base);
  }

  ChannelResult call(const HttpRequest &Request, const std::string &Id,
                     Duration Timeout = std::chrono::seconds(20),
                     std::uint64_t Connection = 0) {
    std::optional<ChannelResult> Got;
    m_pool->call(
        Request, Id, Timeout, ChannelPool::Reuse::Any,
        [&](ChannelResult &&Result) { Got = std::move(Result); }, Connection);
    while (!Got)
      event_base_loop(m_base, EVLOOP_ONCE);
    return *Got;
  }

  /// Runs the loop until a condition holds.
  template <class Condition> void runUntil(Condition Holds) {
    timeval Wait{0, 1000};
    while (!Holds()) {
      event_base_loopexit(m_base, &Wait);
      event_base_dispatch(m_base);
    }
  }

  event_base *m_base;
  RawServer m_server;
  std::unique_ptr<ChannelPool> m_pool;
};

const std::string Ok =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok";
const HttpRequest Get{"GET", "/", {{"Host", "x"}}, "", ""};

} // namespace

BOOST_AUTO_TEST_CASE(a_channel_keeps_a_connection_for_the_next_call) {
  Scene System(Ok);
  BOOST_TEST(System.call(Get, "r1").m_response.m_body == "ok");
  BOOST_TEST(System.call(Get, "r1").m_response.m_body == "ok");
  BOOST_TEST(System.m_server.m_accepted == 1);
}

BOOST_AUTO_TEST_CASE(a_channel_takes_an_answer_that_ends_with_its_connection) {
  Scene System("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it", true);
  ChannelResult Result = System.call(Get, "r1");
  BOOST_TEST((Result.m_error == ChannelError::None));
  BOOST_TEST(Result.m_response.m_body == "all of it");
}

BOOST_AUTO_TEST_CASE(a_reset_connection_never_makes_an_answer_whole) {
  Scene System("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf of i");
  System.m_server.m_reset = true;
  ChannelResult Result = System.call(Get, "r1");
  BOOST_TEST((Result.m_error == ChannelError::Interrupted));
  BOOST_TEST(Result.m_sent);
}

BOOST_AUTO_TEST_CASE(a_channel_skips_an_answer_to_an_earlier_request) {
  std::string Late =
      "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold";
  Scene System(Late + Ok);
  ChannelResult Result = System.call(Get, "r1");
  BOOST_TEST((Result.m_error == ChannelError::None));
  BOOST_TEST(Result.m_response.m_body == "ok");
  // Whatever else may come on that connection belongs to nobody.
  System.call(Get, "r1");
  BOOST_TEST(System.m_server.m_accepted == 2);
}

BOOST_AUTO_TEST_CASE(an_answer_without_the_id_is_no_answer) {
  Scene System("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_TEST((System.call(Get, "r1").m_error == ChannelError::BadAnswer));
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_end_the_connection) {
  Scene System(Ok + Ok);
  BOOST_TEST((System.call(Get, "r1").m_error == ChannelError::None));
  BOOST_TEST((System.call(Get, "r1").m_error == ChannelError::None));
  BOOST_TEST(System.m_server.m_accepted == 2);
}

BOOST_AUTO_TEST_CASE(an_early_answer_is_taken_and_its_connection_not_reused) {
  Scene System("HTTP/1.1 503 Unavailable\r\nRequest-Id: r1\r\n"
               "Content-Length: 0\r\n\r\n");
  HttpRequest Upload{"POST",
                     "/",
                     {{"Host", "x"}},
                     std::string(std::size_t(32) << 20, 'b'),
                     ""};
  BOOST_TEST(System.call(Upload, "r1").m_response.m_status == 503);
  BOOST_TEST(System.call(Get, "r1").m_response.m_status == 503);
  BOOST_TEST(System.m_server.m_accepted == 2);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_was_not_sent) {
  Scene System(Ok);
  ChannelPool Closed(System.m_base, {"127.0.0.1", 1}, {});
  std::optional<ChannelResult> Got;
  Closed.call(Get, "", std::chrono::seconds(20), ChannelPool::Reuse::Any,
              [&](ChannelResult &&Result) { Got = std::move(Result); });
  System.runUntil([&] { return Got.has_value(); });
  BOOST_TEST((Got->m_error == ChannelError::ConnectFailed));
  BOOST_TEST(Got->m_refused);
  BOOST_TEST(!Got->m_sent);
}

BOOST_AUTO_TEST_CASE(what_was_not_sent_is_not_sent_later) {
  // A server whose queue of connections is full: the call's connection comes
  // about only after the call has ended, while its callback still runs.
  Scene System(Ok);
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  BOOST_REQUIRE(bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) ==
                0);
  BOOST_REQUIRE(listen(Listener, 0) == 0);
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  int Filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BOOST_REQUIRE(connect(Filler, reinterpret_cast<sockaddr *>(&Address),
                        sizeof(Address)) == 0);
  ChannelPoolSettings Hasty;
  Hasty.m_connectTimeout = std::chrono::milliseconds(50);
  ChannelPool Pool(System.m_base, {"127.0.0.1", ntohs(Address.sin_port)},
                   Hasty);
  int Accepted = -1;
  std::optional<ChannelResult> Got;
  Pool.call(Get, "", std::chrono::seconds(20), ChannelPool::Reuse::Any,
            [&](ChannelResult &&Result) {
              close(accept(Listener, nullptr, nullptr));
              Accepted = accept(Listener, nullptr, nullptr);
              Got = std::move(Result);
            });
  System.runUntil([&] { return Got.has_value(); });
  BOOST_TEST((Got->m_error == ChannelError::ConnectFailed));
  BOOST_TEST(!Got->m_sent);
  System.runUntil([&] { return Pool.open() == 0; });
  char Byte = 0;
  BOOST_TEST(recv(Accepted, &Byte, 1, 0) <= 0);
  for (int Each : {Listener, Filler, Accepted})
    close(Each);
}

BOOST_AUTO_TEST_CASE(a_call_that_times_out_resets_its_connection) {
  Scene System("");
  ChannelResult Result = System.call(Get, "r1", std::chrono::milliseconds(50));
  BOOST_TEST((Result.m_error == ChannelError::TimedOut));
  System.runUntil([&] { return System.m_server.m_resets == 1; });
  BOOST_TEST(System.m_pool->open() == 0u);
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_resets_its_connection_at_once) {
  Scene System("");
  bool Ended = false;
  ChannelCallId Call = System.m_pool->call(
      Get, "r1", std::chrono::seconds(20), ChannelPool::Reuse::Any,
      [&](ChannelResult &&) { Ended = true; });
  System.runUntil([&] { return System.m_server.m_received > 0; });
  System.m_pool->cancel(Call);
  System.runUntil([&] { return System.m_server.m_resets == 1; });
  BOOST_TEST(!Ended);
}

BOOST_AUTO_TEST_CASE(a_call_for_one_connection_goes_over_no_other) {
  Scene System(Ok);
  ChannelResult First = System.call(Get, "r1");
  BOOST_TEST(First.m_connection == 1u);
  auto Same = System.call(Get, "r1", std::chrono::seconds(20), 1);
  BOOST_TEST((Same.m_error == ChannelError::None));
  auto Other = System.call(Get, "r1", std::chrono::seconds(20), 7);
  BOOST_TEST((Other.m_error == ChannelError::ConnectFailed));
  BOOST_TEST(!Other.m_sent);
  BOOST_TEST(System.m_server.m_accepted == 1);
}

BOOST_AUTO_TEST_CASE(a_connection_is_given_up_before_its_announced_end) {
  Scene System("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nKeep-Alive: timeout=2\r\n"
               "Content-Length: 0\r\n\r\n");
  System.call(Get, "r1");
  System.m_pool->sweep(bootClockNow() + std::chrono::milliseconds(1000));
  BOOST_TEST(System.m_pool->open() == 1u);
  System.m_pool->sweep(bootClockNow() + std::chrono::milliseconds(1800));
  BOOST_TEST(System.m_pool->open() == 0u);
}
