#include "arbitrary_response.h"
#include "burdockpulley/channel_pool.h"
#include "burdockpulley/clock.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <csignal>
#include <optional>

using namespace burdockpulley;

namespace {

/// A pool on an event loop, and a server that always sends the same bytes.
struct PoolFixture {
  explicit PoolFixture(std::string Response, bool CloseAfterResponse = false,
                       ResponseMemory *Memory = nullptr)
      : m_base(event_base_new()),
        m_server(m_base, std::move(Response), CloseAfterResponse) {
    std::signal(SIGPIPE, SIG_IGN);
    createPool({}, Memory);
  }
  ~PoolFixture() {
    m_pool.reset();
    m_server.stop();
    event_base_free(m_base);
  }

  void createPool(Duration MaxSendDelay, ResponseMemory *Memory = nullptr) {
    ChannelPoolSettings Settings;
    Settings.m_echoHeader = "Request-Id";
    Settings.m_responseMemory = Memory;
    Settings.m_maxSendDelay = MaxSendDelay;
    m_pool =
        std::make_unique<ChannelPool>(m_base, m_server.m_endpoint, Settings);
  }

  ChannelResult call(const HttpRequest &Request, const std::string &EchoId,
                     Duration Timeout = std::chrono::seconds(20),
                     std::uint64_t ConnectionNumber = 0) {
    std::optional<ChannelResult> CallResult;
    m_pool->call(
        Request, EchoId, Timeout, ChannelPool::Reuse::Any,
        [&](ChannelResult &&Result) { CallResult = std::move(Result); },
        ConnectionNumber);
    while (!CallResult)
      event_base_loop(m_base, EVLOOP_ONCE);
    return *CallResult;
  }

  /// Runs the loop until a condition holds.
  template <class Condition> void runUntil(Condition Predicate) {
    timeval Interval{0, 1000};
    while (!Predicate()) {
      event_base_loopexit(m_base, &Interval);
      event_base_dispatch(m_base);
    }
  }

  event_base *m_base;
  RawServer m_server;
  std::unique_ptr<ChannelPool> m_pool;
};

const std::string OkResponse =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok";
const HttpRequest GetRequest{"GET", "/", {{"Host", "x"}}, "", ""};

} // namespace

BOOST_AUTO_TEST_CASE(a_connection_is_kept_for_the_next_call) {
  PoolFixture Fixture(OkResponse);
  BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_body == "ok");
  BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_body == "ok");
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 1);
}

BOOST_AUTO_TEST_CASE(a_response_may_be_delimited_by_the_end_of_the_connection) {
  PoolFixture Fixture("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it",
                      true);
  ChannelResult Result = Fixture.call(GetRequest, "r1");
  BOOST_TEST((Result.m_error == ChannelError::None));
  BOOST_TEST(Result.m_response.m_body == "all of it");
}

BOOST_AUTO_TEST_CASE(a_connection_reset_never_completes_a_response) {
  PoolFixture Fixture("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf of i");
  Fixture.m_server.m_resetAfterResponse = true;
  ChannelResult Result = Fixture.call(GetRequest, "r1");
  BOOST_TEST((Result.m_error == ChannelError::Interrupted));
  BOOST_TEST(Result.m_sent);
}

// A server stopped in the middle of a head; its clients got an empty 200.
BOOST_AUTO_TEST_CASE(a_response_that_breaks_off_is_never_delivered) {
  BOOST_TEST(rc::check([](bool Reset) {
    ResponseShapes Shapes;
    Shapes.m_headerLines = "Request-Id: r1\r\n";
    const ArbitraryResponse Response = arbitraryResponse(Shapes);
    const std::size_t Size = arbitraryCut(Response);
    PoolFixture Fixture(Response.m_bytes.substr(0, Size), true);
    Fixture.m_server.m_resetAfterResponse = Reset;
    HttpRequest Request = GetRequest;
    Request.m_method = Response.m_method;
    ChannelResult Result = Fixture.call(Request, "r1");
    // What was sent before a reset may be lost.
    bool MayBeComplete =
        Response.completeAt(Size) && !(Reset && Response.m_endsWithConnection);
    if (Result.m_error == ChannelError::None) {
      RC_ASSERT(MayBeComplete);
      RC_ASSERT(Result.m_response.m_status == Response.m_status);
      RC_ASSERT(Result.m_response.m_body == Response.bodyAt(Size));
    } else {
      RC_ASSERT(Result.m_error == ChannelError::Interrupted);
      RC_ASSERT(Result.m_response.m_body.empty());
      RC_ASSERT(Reset || !MayBeComplete);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_response_after_one_to_head_keeps_its_body) {
  PoolFixture Fixture(
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n");
  HttpRequest HeadRequest = GetRequest;
  HeadRequest.m_method = "HEAD";
  BOOST_TEST(Fixture.call(HeadRequest, "r1").m_response.m_status == 200);
  Fixture.m_server.m_response = OkResponse;
  ChannelResult Result = Fixture.call(GetRequest, "r1");
  BOOST_TEST((Result.m_error == ChannelError::None));
  BOOST_TEST(Result.m_response.m_body == "ok");
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 1);
}

BOOST_AUTO_TEST_CASE(a_response_to_an_earlier_request_is_skipped) {
  std::string LateResponse =
      "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold";
  PoolFixture Fixture(LateResponse + OkResponse);
  ChannelResult Result = Fixture.call(GetRequest, "r1");
  BOOST_TEST((Result.m_error == ChannelError::None));
  BOOST_TEST(Result.m_response.m_body == "ok");
  // The connection is not reused: more unexpected responses may follow on it.
  Fixture.call(GetRequest, "r1");
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 2);
}

namespace {

std::string refusalOf(const std::string &Id) {
  return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + Id +
         "\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string successOf(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// A keyed request goes to its owner again, with the same id. A second copy of
// the refusal would show it as not run while it runs.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_does_not_answer_the_next_attempt) {
  const std::vector<std::vector<std::string>> IdsBetweenAttempts = {
      {}, {"r2"}, {"r2", "r3", "r2"}};
  for (const auto &Ids : IdsBetweenAttempts) {
    PoolFixture Fixture(refusalOf("r1"));
    BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_status == 503);
    for (const std::string &Id : Ids) {
      Fixture.m_server.m_response = successOf(Id);
      BOOST_TEST(Fixture.call(GetRequest, Id).m_response.m_status == 200);
    }
    // The other requests have used the first connection too.
    BOOST_TEST(Fixture.m_server.m_acceptedCount == 1);
    // The copy is there before the second attempt is sent.
    std::string Copy = refusalOf("r1");
    BOOST_REQUIRE(send(bufferevent_getfd(Fixture.m_server.m_streams.at(0)),
                       Copy.data(), Copy.size(),
                       0) == static_cast<ssize_t>(Copy.size()));
    Fixture.m_server.m_response = successOf("r1");
    BOOST_REQUIRE(Fixture.call(GetRequest, "r1").m_response.m_status == 200);
    // Bytes outside a call end the first connection.
    Fixture.runUntil([&] { return Fixture.m_server.m_endCount == 1; });
  }
}

BOOST_AUTO_TEST_CASE(
    a_refusal_repeated_with_the_next_response_does_not_replace_it) {
  PoolFixture Fixture(refusalOf("r1"));
  BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_status == 503);
  bufferevent *Refusing = Fixture.m_server.m_streams.at(0);
  auto RepeatTheRefusalBefore = [&](const std::string &Response) {
    Fixture.m_server.m_respond = [Refusing, Response](bufferevent *Stream,
                                                      const std::string &) {
      return Stream == Refusing ? refusalOf("r1") + Response : Response;
    };
  };
  RepeatTheRefusalBefore(successOf("r1"));
  BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_status == 200);
  // For the request of another caller, the copy is a late response.
  RepeatTheRefusalBefore(successOf("r2"));
  BOOST_TEST(Fixture.call(GetRequest, "r2").m_response.m_status == 200);
}

BOOST_AUTO_TEST_CASE(a_refused_request_is_sent_over_another_kept_connection) {
  PoolFixture Fixture("");
  std::vector<ChannelResult> Results;
  for (const char *Id : {"r1", "r2"}) {
    std::size_t ReceivedBytes = Fixture.m_server.m_receivedBytes;
    Fixture.m_pool->call(
        GetRequest, Id, std::chrono::seconds(20), ChannelPool::Reuse::Any,
        [&](ChannelResult &&Result) { Results.push_back(std::move(Result)); });
    Fixture.runUntil(
        [&] { return Fixture.m_server.m_receivedBytes > ReceivedBytes; });
  }
  // The connection of the refused request is the most recently used one.
  for (std::size_t Stream : {1, 0}) {
    std::string Response = Stream == 0 ? refusalOf("r1") : successOf("r2");
    bufferevent_write(Fixture.m_server.m_streams.at(Stream), Response.data(),
                      Response.size());
    Fixture.runUntil([&] { return Results.size() == 2 - Stream; });
  }
  Fixture.m_server.m_response = successOf("r1");
  ChannelResult Result = Fixture.call(GetRequest, "r1");
  BOOST_TEST(Result.m_connection == 2u);
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 2);
}

BOOST_AUTO_TEST_CASE(the_refusals_that_a_connection_remembers_are_bounded) {
  constexpr int MostAttempts = 1000;
  PoolFixture Fixture("");
  for (int Attempt = 0;
       Attempt < MostAttempts && Fixture.m_server.m_acceptedCount < 2;
       ++Attempt) {
    std::string Id = "r" + std::to_string(Attempt);
    Fixture.m_server.m_response = refusalOf(Id);
    BOOST_TEST(Fixture.call(GetRequest, Id).m_response.m_status == 503);
  }
  BOOST_REQUIRE(Fixture.m_server.m_acceptedCount == 2);
  Fixture.runUntil([&] { return Fixture.m_server.m_endCount == 1; });
}

BOOST_AUTO_TEST_CASE(a_response_without_the_request_id_is_rejected) {
  PoolFixture Fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_TEST(
      (Fixture.call(GetRequest, "r1").m_error == ChannelError::BadAnswer));
}

// A head broke off, and the next bytes were a late response: together they look
// like one response.
BOOST_AUTO_TEST_CASE(a_head_that_names_two_requests_is_rejected) {
  const std::string Begin = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-A: ab";
  PoolFixture Fixture(Begin + "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"
                              "Content-Length: 3\r\n\r\nold");
  BOOST_TEST(
      (Fixture.call(GetRequest, "r1").m_error == ChannelError::BadAnswer));
}

// Servers in trouble sent such heads; their clients got them as answers.
BOOST_AUTO_TEST_CASE(a_response_with_a_broken_head_is_rejected) {
  const std::string Fields = "Request-Id: r1\r\nContent-Length: 2\r\n\r\nok";
  struct BrokenResponse {
    const char *m_problem;
    std::string m_bytes;
  };
  for (const BrokenResponse &Response : std::vector<BrokenResponse>{
           {"malformed-status", "HTTP/1.1 000\r\n" + Fields},
           {"malformed-status", "HTTP/1.1 20 OK\r\n" + Fields},
           {"malformed-status", "HTTP/1.1 999 OK\r\n" + Fields},
           {"malformed-field-name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + Fields},
           {"malformed-field-name", "HTTP/1.1 200 OK\r\n Bad: 1\r\n" + Fields},
           {"malformed-field-name",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + Fields},
           {"control-byte", "HTTP/1.1 200 OK\r\nX\x01: 1\r\n" + Fields},
           {"unsupported-version", "HTTP/2.0 200 OK\r\n" + Fields},
           {"unsupported-transfer-coding",
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
            "Transfer-Encoding: gzip\r\n\r\nok"},
           {"malformed-chunk", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "2\r\nokay0\r\n\r\n"}}) {
    PoolFixture Fixture(Response.m_bytes, true);
    ChannelResult Result = Fixture.call(GetRequest, "r1");
    BOOST_TEST_CONTEXT(Response.m_bytes) {
      BOOST_TEST((Result.m_error == ChannelError::BadAnswer));
      BOOST_TEST(std::string(Result.m_problem) == Response.m_problem);
      BOOST_TEST(Result.m_sent); // It may have run.
      BOOST_TEST(Result.responded());
      BOOST_TEST(Result.m_response.m_body.empty());
      Fixture.m_server.m_response = OkResponse;
      BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_body == "ok");
      BOOST_TEST(Fixture.m_server.m_acceptedCount == 2);
    }
  }
}

namespace {

/// How a server ends that has not read anything yet.
enum class ServerEnd {
  HalfClose,
  HalfCloseAndReset,
  ReadAndExit, ///< It has read what was there, like a process that dies.
};

HttpRequest uploadOf(std::size_t Bytes) {
  return {"POST", "/", {{"Host", "x"}}, std::string(Bytes, 'b'), ""};
}

/// Uploads to a server that sends a response once the client has sent as much
/// as it can, and then ends.
ChannelResult uploadToEndingServer(std::size_t Bytes,
                                   const std::string &Response, ServerEnd End) {
  PoolFixture Fixture("");
  Fixture.m_server.m_reads = false;
  std::optional<ChannelResult> CallResult;
  Fixture.m_pool->call(
      uploadOf(Bytes), "r1", std::chrono::seconds(20), ChannelPool::Reuse::Any,
      [&](ChannelResult &&Result) { CallResult = std::move(Result); });
  Fixture.runUntil([&] { return !Fixture.m_server.m_streams.empty(); });
  // Each turn sends a part of the request, until the kernel takes no more.
  constexpr int Turns = 200;
  for (int Turn = 0; Turn < Turns; ++Turn)
    event_base_loop(Fixture.m_base, EVLOOP_NONBLOCK);
  bufferevent *Stream = Fixture.m_server.m_streams.at(0);
  int Descriptor = bufferevent_getfd(Stream);
  if (End == ServerEnd::ReadAndExit) {
    std::vector<char> Input(1 << 20);
    while (recv(Descriptor, Input.data(), Input.size(), MSG_DONTWAIT) > 0) {
    }
  }
  BOOST_REQUIRE(send(Descriptor, Response.data(), Response.size(), 0) ==
                static_cast<ssize_t>(Response.size()));
  if (End != ServerEnd::ReadAndExit)
    shutdown(Descriptor, SHUT_WR);
  if (End == ServerEnd::HalfCloseAndReset) {
    linger Reset{1, 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  }
  if (End != ServerEnd::HalfClose) {
    Fixture.m_server.m_streams.clear();
    bufferevent_free(Stream);
  }
  while (!CallResult)
    event_base_loop(Fixture.m_base, EVLOOP_ONCE);
  return *CallResult;
}

} // namespace

// A server that died while it received an upload had sent a part of its
// response; its client got that part as the answer.
BOOST_AUTO_TEST_CASE(
    a_server_that_ends_during_an_upload_has_not_completed_its_response) {
  struct Upload {
    std::size_t m_bytes;
    ServerEnd m_end;
  };
  for (const Upload &Each : std::vector<Upload>{
           // The kernel has taken all of it, the server's only a part.
           {std::size_t(1) << 20, ServerEnd::HalfClose},
           {std::size_t(16) << 20, ServerEnd::HalfClose},
           // The server's kernel has all of it, and finds it unread.
           {std::size_t(4) << 10, ServerEnd::HalfCloseAndReset},
           {std::size_t(1) << 20, ServerEnd::HalfCloseAndReset},
           {std::size_t(16) << 20, ServerEnd::HalfCloseAndReset},
           {std::size_t(16) << 20, ServerEnd::ReadAndExit}})
    for (const char *Status : {"200 OK", "413 Content Too Large"}) {
      ChannelResult Result =
          uploadToEndingServer(Each.m_bytes,
                               std::string("HTTP/1.1 ") + Status +
                                   "\r\nRequest-Id: r1\r\n\r\npart of i",
                               Each.m_end);
      BOOST_TEST_CONTEXT(Status << " for " << Each.m_bytes << " bytes, end "
                                << static_cast<int>(Each.m_end)) {
        BOOST_TEST((Result.m_error == ChannelError::Interrupted));
        BOOST_TEST(Result.m_sent);
        BOOST_TEST(Result.m_response.m_body.empty());
      }
    }
}

BOOST_AUTO_TEST_CASE(a_response_with_a_length_may_end_during_an_upload) {
  for (ServerEnd End : {ServerEnd::HalfClose, ServerEnd::HalfCloseAndReset,
                        ServerEnd::ReadAndExit})
    for (std::size_t Bytes : {std::size_t(1) << 20, std::size_t(16) << 20})
      for (const char *Body : {"Content-Length: 5\r\n\r\nwhole",
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "5\r\nwhole\r\n0\r\n\r\n"}) {
        ChannelResult Result = uploadToEndingServer(
            Bytes, std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n") + Body,
            End);
        BOOST_TEST_CONTEXT(Bytes << " bytes, end " << static_cast<int>(End)) {
          BOOST_TEST((Result.m_error == ChannelError::None));
          BOOST_TEST(Result.m_response.m_body == "whole");
        }
      }
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_may_follow_an_upload) {
  for (std::size_t Bytes :
       {std::size_t(4) << 10, std::size_t(1) << 20, std::size_t(16) << 20}) {
    PoolFixture Fixture("");
    Fixture.m_server.m_respond = [&](bufferevent *, const std::string &) {
      bool Whole = Fixture.m_server.m_receivedBytes > Bytes;
      Fixture.m_server.m_closeAfterResponse = Whole;
      return Whole ? std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"
                                 "all of it")
                   : std::string();
    };
    ChannelResult Result = Fixture.call(uploadOf(Bytes), "r1");
    BOOST_TEST_CONTEXT(Bytes << " bytes") {
      BOOST_TEST((Result.m_error == ChannelError::None));
      BOOST_TEST(Result.m_response.m_body == "all of it");
    }
    ChannelResult AfterExit = uploadToEndingServer(
        std::size_t(4) << 10,
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it",
        ServerEnd::ReadAndExit);
    BOOST_TEST(AfterExit.m_response.m_body == "all of it");
  }
}

/// A response without end: its first bytes, and those that are repeated.
struct EndlessResponse {
  const char *m_problem;
  std::string m_begin;
  std::string m_repeated;
};

// Servers in trouble may send bytes without end until the caller closes.
BOOST_AUTO_TEST_CASE(
    a_response_without_end_is_given_up_long_before_the_timeout) {
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const std::string Filler(1000, 'a');
  const std::vector<EndlessResponse> Responses = {
      {"header-too-large", Head, "X-A: " + Filler + "\r\n"},
      {"header-too-large", Head + "X-A: ", Filler},
      {"header-too-large", Head, "A:\r\n"},
      {"header-too-large", "HTTP/1.1 200 ", Filler},
      {"header-too-large", "", "\r\n"},
      {"header-too-large", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"header-too-large", Head + "Transfer-Encoding: chunked\r\n\r\n5;",
       Filler},
      {"header-too-large", Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-A: " + Filler + "\r\n"},
      {"memory-limit", Head + "\r\n", Filler},
      {"memory-limit", Head + "Content-Length: 60000000\r\n\r\n", Filler},
      {"memory-limit", Head + "Transfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + Filler + "\r\n"},
      {"body-too-large", Head + "Content-Length: 90000000\r\n\r\n", Filler},
      {"other-request", "",
       "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"},
      {"malformed", "", Filler},
  };
  constexpr std::size_t MaxMemory = 1 << 20;
  for (const EndlessResponse &Response : Responses) {
    ResponseMemory Memory(MaxMemory);
    PoolFixture Fixture(Response.m_begin + Response.m_repeated, false, &Memory);
    Fixture.m_server.m_keepSending = true;
    Fixture.m_server.m_repeatedBytes = Response.m_repeated;
    ChannelResult Result =
        Fixture.call(GetRequest, "r1", std::chrono::minutes(10));
    BOOST_TEST_CONTEXT(Response.m_begin + Response.m_repeated.substr(0, 40)) {
      BOOST_TEST((Result.m_error == ChannelError::BadAnswer));
      BOOST_TEST(std::string(Result.m_problem) == Response.m_problem);
      BOOST_TEST(Memory.totalBytes() == 0u);
    }
    Fixture.runUntil([&] { return Fixture.m_server.m_resetCount == 1; });
  }
}

BOOST_AUTO_TEST_CASE(a_response_without_end_does_not_cost_another_response) {
  constexpr std::size_t MaxMemory = 1 << 20;
  ResponseMemory Memory(MaxMemory);
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const std::string Body(300'000, 'b');
  PoolFixture Endless(Head + "\r\n", false, &Memory);
  Endless.m_server.m_keepSending = true;
  Endless.m_server.m_repeatedBytes = std::string(10'000, 'a');
  ChannelPoolSettings Settings;
  Settings.m_responseMemory = &Memory;
  RawServer Server(Endless.m_base,
                   Head + "Content-Length: " + std::to_string(Body.size()) +
                       "\r\n\r\n" + Body.substr(0, Body.size() - 1),
                   false);
  auto Pool = std::make_unique<ChannelPool>(Endless.m_base, Server.m_endpoint,
                                            Settings);
  std::optional<ChannelResult> Whole;
  Pool->call(GetRequest, "", std::chrono::minutes(10), ChannelPool::Reuse::Any,
             [&](ChannelResult &&Result) { Whole = std::move(Result); });
  Endless.runUntil([&] { return Memory.totalBytes() >= Body.size() - 1; });
  ChannelResult Result =
      Endless.call(GetRequest, "r1", std::chrono::minutes(10));
  BOOST_TEST(std::string(Result.m_problem) == "memory-limit");
  BOOST_TEST(!Whole.has_value());
  bufferevent_write(Server.m_streams.at(0), "b", 1);
  Endless.runUntil([&] { return Whole.has_value(); });
  BOOST_TEST((Whole->m_error == ChannelError::None));
  BOOST_TEST((Whole->m_response.m_body == Body));
  Pool.reset();
  Server.stop();
}

BOOST_AUTO_TEST_CASE(bytes_after_a_response_close_the_connection) {
  PoolFixture Fixture(OkResponse + OkResponse);
  BOOST_TEST((Fixture.call(GetRequest, "r1").m_error == ChannelError::None));
  BOOST_TEST((Fixture.call(GetRequest, "r1").m_error == ChannelError::None));
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 2);
}

BOOST_AUTO_TEST_CASE(
    an_early_response_is_accepted_and_its_connection_not_reused) {
  PoolFixture Fixture("HTTP/1.1 503 Unavailable\r\nRequest-Id: r1\r\n"
                      "Content-Length: 0\r\n\r\n");
  HttpRequest LargeRequest{"POST",
                           "/",
                           {{"Host", "x"}},
                           std::string(std::size_t(32) << 20, 'b'),
                           ""};
  BOOST_TEST(Fixture.call(LargeRequest, "r1").m_response.m_status == 503);
  BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_status == 503);
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 2);
}

BOOST_AUTO_TEST_CASE(a_call_on_a_refused_connection_counts_as_not_sent) {
  PoolFixture Fixture(OkResponse);
  ChannelPool PoolForClosedPort(Fixture.m_base, {"127.0.0.1", 1}, {});
  std::optional<ChannelResult> CallResult;
  PoolForClosedPort.call(
      GetRequest, "", std::chrono::seconds(20), ChannelPool::Reuse::Any,
      [&](ChannelResult &&Result) { CallResult = std::move(Result); });
  Fixture.runUntil([&] { return CallResult.has_value(); });
  BOOST_TEST((CallResult->m_error == ChannelError::ConnectFailed));
  BOOST_TEST(CallResult->m_refused);
  BOOST_TEST(!CallResult->m_sent);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_after_its_call_failed_to_connect) {
  // The server's accept queue is full, so that the connect times out. While the
  // callback runs, the server accepts, and the connection gets established.
  PoolFixture Fixture(OkResponse);
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  BOOST_REQUIRE(bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) ==
                0);
  BOOST_REQUIRE(listen(Listener, 0) == 0);
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  int QueuedConnection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BOOST_REQUIRE(connect(QueuedConnection,
                        reinterpret_cast<sockaddr *>(&Address),
                        sizeof(Address)) == 0);
  ChannelPoolSettings ShortConnectTimeout;
  ShortConnectTimeout.m_connectTimeout = std::chrono::milliseconds(50);
  ChannelPool Pool(Fixture.m_base, {"127.0.0.1", ntohs(Address.sin_port)},
                   ShortConnectTimeout);
  int Accepted = -1;
  std::optional<ChannelResult> CallResult;
  Pool.call(GetRequest, "", std::chrono::seconds(20), ChannelPool::Reuse::Any,
            [&](ChannelResult &&Result) {
              close(accept(Listener, nullptr, nullptr));
              Accepted = accept(Listener, nullptr, nullptr);
              CallResult = std::move(Result);
            });
  Fixture.runUntil([&] { return CallResult.has_value(); });
  BOOST_TEST((CallResult->m_error == ChannelError::ConnectFailed));
  BOOST_TEST(!CallResult->m_sent);
  Fixture.runUntil([&] { return Pool.open() == 0; });
  char Byte = 0;
  BOOST_TEST(recv(Accepted, &Byte, 1, 0) <= 0);
  for (int Descriptor : {Listener, QueuedConnection, Accepted})
    close(Descriptor);
}

BOOST_AUTO_TEST_CASE(a_call_that_times_out_resets_its_connection) {
  PoolFixture Fixture("");
  ChannelResult Result =
      Fixture.call(GetRequest, "r1", std::chrono::milliseconds(50));
  BOOST_TEST((Result.m_error == ChannelError::TimedOut));
  Fixture.runUntil([&] { return Fixture.m_server.m_resetCount == 1; });
  BOOST_TEST(Fixture.m_pool->open() == 0u);
}

// Issue 44: a large response over a narrow link never arrived whole.
BOOST_AUTO_TEST_CASE(a_call_goes_on_while_its_response_arrives) {
  constexpr Duration Timeout = std::chrono::milliseconds(200);
  for (Duration TransferTime : {Duration(), 3 * Timeout}) {
    PoolFixture Fixture("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n");
    Fixture.m_server.m_keepSending = true;
    ChannelPoolSettings Settings;
    Settings.m_maxTransferTime = TransferTime;
    Fixture.m_pool = std::make_unique<ChannelPool>(
        Fixture.m_base, Fixture.m_server.m_endpoint, Settings);
    ChannelResult Result = Fixture.call(GetRequest, "", Timeout);
    BOOST_TEST((Result.m_error == ChannelError::TimedOut));
    BOOST_TEST(Result.m_partialBytes > 0u);
    BOOST_TEST(
        (Result.m_spent >= std::max(Timeout, TransferTime) - Timeout / 10));
  }
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_resets_its_connection_at_once) {
  PoolFixture Fixture("");
  bool CallbackRan = false;
  ChannelCallId Call = Fixture.m_pool->call(
      GetRequest, "r1", std::chrono::seconds(20), ChannelPool::Reuse::Any,
      [&](ChannelResult &&) { CallbackRan = true; });
  Fixture.runUntil([&] { return Fixture.m_server.m_receivedBytes > 0; });
  Fixture.m_pool->cancel(Call);
  Fixture.runUntil([&] { return Fixture.m_server.m_resetCount == 1; });
  BOOST_TEST(!CallbackRan);
}

// Two upstreams held keys after grants of a former coordinator had stayed in
// its kernel, which went on sending them.
BOOST_AUTO_TEST_CASE(a_call_under_way_is_reset_when_its_pool_ends) {
  PoolFixture Fixture("");
  Fixture.m_pool->call(GetRequest, "r1", std::chrono::seconds(20),
                       ChannelPool::Reuse::Any, [](ChannelResult &&) {});
  Fixture.runUntil([&] { return Fixture.m_server.m_receivedBytes > 0; });
  Fixture.m_pool.reset();
  Fixture.runUntil([&] { return Fixture.m_server.m_endCount > 0; });
  BOOST_TEST(Fixture.m_server.m_resetCount == 1);
}

// The process was suspended while its connection was being established.
BOOST_AUTO_TEST_CASE(a_request_that_is_late_is_not_sent) {
  PoolFixture Fixture(OkResponse);
  constexpr Duration MaxDelay = std::chrono::milliseconds(20);
  Fixture.createPool(MaxDelay);
  std::optional<ChannelResult> CallResult;
  Instant Called = bootClockNow();
  Fixture.m_pool->call(
      GetRequest, "r1", std::chrono::seconds(20), ChannelPool::Reuse::Any,
      [&](ChannelResult &&Result) { CallResult = std::move(Result); });
  while (bootClockNow() <= Called + MaxDelay) {
  }
  Fixture.runUntil([&] { return CallResult.has_value(); });
  BOOST_TEST((CallResult->m_error == ChannelError::ConnectFailed));
  BOOST_TEST(!CallResult->m_sent);
  Fixture.m_pool.reset();
  Fixture.runUntil([&] { return Fixture.m_server.m_endCount > 0; });
  BOOST_TEST(Fixture.m_server.m_receivedBytes == 0u);
}

// A repeated response to one release was taken for that to the next one.
BOOST_AUTO_TEST_CASE(a_pool_that_keeps_no_connections_uses_each_once) {
  PoolFixture Fixture(OkResponse);
  Fixture.m_pool->setMaxConnections(0);
  for (int Count = 0; Count < 3; ++Count)
    BOOST_TEST(Fixture.call(GetRequest, "r1").m_response.m_body == "ok");
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 3);
}

BOOST_AUTO_TEST_CASE(a_call_for_one_connection_uses_no_other) {
  PoolFixture Fixture(OkResponse);
  ChannelResult FirstResult = Fixture.call(GetRequest, "r1");
  BOOST_TEST(FirstResult.m_connection == 1u);
  auto SameConnection =
      Fixture.call(GetRequest, "r1", std::chrono::seconds(20), 1);
  BOOST_TEST((SameConnection.m_error == ChannelError::None));
  auto UnknownConnection =
      Fixture.call(GetRequest, "r1", std::chrono::seconds(20), 7);
  BOOST_TEST((UnknownConnection.m_error == ChannelError::ConnectFailed));
  BOOST_TEST(!UnknownConnection.m_sent);
  BOOST_TEST(Fixture.m_server.m_acceptedCount == 1);
}

BOOST_AUTO_TEST_CASE(
    an_idle_connection_is_closed_before_its_announced_timeout) {
  PoolFixture Fixture(
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nKeep-Alive: timeout=2\r\n"
      "Content-Length: 0\r\n\r\n");
  Fixture.call(GetRequest, "r1");
  Fixture.m_pool->sweep(bootClockNow() + std::chrono::milliseconds(1000));
  BOOST_TEST(Fixture.m_pool->open() == 1u);
  Fixture.m_pool->sweep(bootClockNow() + std::chrono::milliseconds(1800));
  BOOST_TEST(Fixture.m_pool->open() == 0u);
}
