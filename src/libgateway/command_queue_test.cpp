#include "command_queue.h"

#include "libhttp/raw_server.h"

#include "burdockpulley/clock.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace burdockpulley;

namespace {

/// A queue of commands to a server that sends raw bytes as its responses.
struct QueueToRawServer {
  /// Outlives the members below, which use it.
  std::unique_ptr<event_base, decltype(&event_base_free)> m_baseOwner{
      event_base_new(), event_base_free};
  event_base *m_base = m_baseOwner.get();
  RawServer m_server;
  CommandQueue m_queue{m_base, m_server.m_endpoint, settings()};
  std::vector<ChannelResult> m_results;
  int m_commands = 0;

  explicit QueueToRawServer(std::string Response)
      : m_server(m_base, std::move(Response), false) {}
  ~QueueToRawServer() { m_server.stop(); }

  static ChannelPoolSettings settings() {
    ChannelPoolSettings Settings;
    Settings.m_echoHeader = "Request-Id";
    Settings.m_echoRequired = false;
    return Settings;
  }

  CommandQueue::Command command(Duration Timeout, Duration MaxWait) {
    CommandQueue::Command Command;
    Command.m_id = "c-" + std::to_string(++m_commands);
    Command.m_request = {"POST", "/grant", {{"Host", "upstream"}}, "{}", ""};
    Command.m_timeout = Timeout;
    Command.m_sendBefore = bootClockNow() + MaxWait;
    Command.m_allowed = [] { return true; };
    Command.m_done = [this](ChannelResult &&Result) {
      m_results.push_back(std::move(Result));
    };
    return Command;
  }

  /// Runs the event loop until \p Count commands have ended.
  void runUntilEnded(std::size_t Count) {
    while (m_results.size() < Count)
      event_base_loop(m_base, EVLOOP_ONCE);
  }
};

} // namespace

// The upstream would count such a grant from its arrival, long after the
// coordinator has reckoned its end.
BOOST_AUTO_TEST_CASE(commands_that_have_waited_too_long_are_not_sent) {
  QueueToRawServer System("");
  System.m_queue.push(System.command(std::chrono::milliseconds(300),
                                     std::chrono::milliseconds(100)));
  System.m_queue.push(System.command(std::chrono::milliseconds(300),
                                     std::chrono::milliseconds(100)));
  System.runUntilEnded(2);
  BOOST_TEST((System.m_results[0].m_error == ChannelError::TimedOut));
  BOOST_TEST((System.m_results[1].m_error == ChannelError::ConnectFailed));
  BOOST_TEST(System.m_results[1].m_connection == 0u);
  BOOST_TEST(System.m_server.m_acceptedCount == 1);
}

// Keys stay with their owner until the outcome of each grant is known.
BOOST_AUTO_TEST_CASE(a_command_that_is_not_allowed_ends_too) {
  QueueToRawServer System("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  auto NotAllowed =
      System.command(std::chrono::seconds(5), std::chrono::seconds(5));
  NotAllowed.m_allowed = [] { return false; };
  System.m_queue.push(std::move(NotAllowed));
  System.m_queue.push(
      System.command(std::chrono::seconds(5), std::chrono::seconds(5)));
  System.runUntilEnded(2);
  BOOST_TEST((System.m_results[0].m_error == ChannelError::ConnectFailed));
  BOOST_TEST((System.m_results[1].m_error == ChannelError::None));
  BOOST_TEST(System.m_queue.idle());
}

BOOST_AUTO_TEST_CASE(commands_share_one_connection) {
  QueueToRawServer System("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  for (int Count = 0; Count < 3; ++Count)
    System.m_queue.push(
        System.command(std::chrono::seconds(5), std::chrono::seconds(5)));
  System.runUntilEnded(3);
  for (const ChannelResult &Result : System.m_results)
    BOOST_TEST((Result.m_error == ChannelError::None));
  BOOST_TEST(System.m_server.m_acceptedCount == 1);
}

// A second copy of the response to the first command would show the second one
// as carried out.
BOOST_AUTO_TEST_CASE(a_repeated_response_is_not_that_of_the_next_command) {
  QueueToRawServer System(
      "HTTP/1.1 200 OK\r\nRequest-Id: c-1\r\nContent-Length: 0\r\n\r\n");
  for (int Count = 0; Count < 2; ++Count)
    System.m_queue.push(System.command(std::chrono::milliseconds(300),
                                       std::chrono::seconds(5)));
  System.runUntilEnded(2);
  BOOST_TEST((System.m_results[0].m_error == ChannelError::None));
  BOOST_TEST((System.m_results[1].m_error != ChannelError::None));
}
