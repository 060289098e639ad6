#include "arbitrary_response.h"
#include "burdockpulley/http.h"
#include "burdockpulley/response_memory.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <csignal>
#include <optional>

using namespace burdockpulley;

namespace {

struct CallResult {
  HttpError m_error;
  HttpResponse m_response;
};

CallResult callAndWait(event_base *Base, HttpClient &Client, const char *Method,
                       Duration Timeout = std::chrono::seconds(20),
                       HttpClient::Reuse Reuse = HttpClient::Reuse::Any) {
  std::optional<CallResult> Result;
  Client.call(
      HttpRequest{Method, "/", {}, ""}, Timeout,
      [&](HttpError Error, HttpResponse &&Response) {
        Result = CallResult{Error, std::move(Response)};
      },
      Reuse);
  while (!Result)
    event_base_loop(Base, EVLOOP_ONCE);
  return *Result;
}

/// Raw bytes of a response, and whether the client must accept them.
struct ResponseCase {
  const char *m_name;
  std::string m_rawResponse;
  bool m_complete;
  const char *m_method = "GET";
};

const std::vector<ResponseCase> Cases = {
    {"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
    {"body too short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
    {"two lengths",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 9\r\n\r\nok",
     false},
    {"no framing", "HTTP/1.1 200 OK\r\n\r\nok", false},
    {"headers truncated", "HTTP/1.1 200 OK\r\nContent-Le", false},
    {"chunked",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     true},
    {"chunk truncated",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", false},
    {"last chunk missing",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
    {"bad chunk size",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
     false},
    {"chunked and length",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
     "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     false},
    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", true, "HEAD"},
    {"204", "HTTP/1.1 204 No Content\r\n\r\n", true},
    {"304", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", true},
    {"no response", "", false},
    {"status 000", "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok", false},
    {"blank in a name",
     "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok", false},
    {"chunk longer than its size",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nokay0\r\n\r\n",
     false},
};

/// Ignores SIGPIPE: a server may write to a connection that the client has
/// closed.
struct IgnoreSigpipe {
  IgnoreSigpipe() { std::signal(SIGPIPE, SIG_IGN); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(IgnoreSigpipe);

BOOST_AUTO_TEST_CASE(only_a_complete_response_is_delivered) {
  for (const ResponseCase &Case : Cases) {
    event_base *Base = event_base_new();
    {
      RawServer Server(Base, Case.m_rawResponse, true);
      // The server closes a connection only after it has sent something.
      if (Case.m_rawResponse.empty())
        Server.m_response = " ";
      HttpClient Client(Base, Server.m_endpoint, 1);
      CallResult Result = callAndWait(Base, Client, Case.m_method);
      HttpError Expected =
          Case.m_complete ? HttpError::None : HttpError::Interrupted;
      BOOST_TEST_CONTEXT(Case.m_name) {
        BOOST_TEST((Result.m_error == Expected));
        BOOST_TEST((Case.m_complete || Result.m_response.m_body.empty()));
      }
    }
    event_base_free(Base);
  }
}

// A server stopped in the middle of a head; its clients got an empty 200.
BOOST_AUTO_TEST_CASE(a_response_that_breaks_off_is_no_response) {
  BOOST_TEST(rc::check([](bool Reset) {
    const ArbitraryResponse Response = arbitraryResponse();
    const std::size_t Size = arbitraryCut(Response);
    std::unique_ptr<event_base, decltype(&event_base_free)> Base(
        event_base_new(), event_base_free);
    RawServer Server(Base.get(), Response.m_bytes.substr(0, Size), true);
    Server.m_resetAfterResponse = Reset;
    HttpClient Client(Base.get(), Server.m_endpoint, 1);
    CallResult Result =
        callAndWait(Base.get(), Client, Response.m_method.c_str());
    if (Result.m_error != HttpError::None) {
      RC_ASSERT(Result.m_error == HttpError::Interrupted);
      RC_ASSERT(Result.m_response.m_body.empty());
      return;
    }
    RC_ASSERT(Size == Response.m_bytes.size());
    RC_ASSERT(!Response.m_endsWithConnection);
    RC_ASSERT(Result.m_response.m_status == Response.m_status);
    RC_ASSERT(Result.m_response.m_body == Response.m_body);
  }));
}

BOOST_AUTO_TEST_CASE(a_response_without_a_request_is_never_delivered) {
  event_base *Base = event_base_new();
  {
    std::string ResponseHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    RawServer Server(Base, ResponseHead + "mine" + ResponseHead + "late",
                     false);
    HttpClient Client(Base, Server.m_endpoint, 1);
    for (int I = 1; I <= 3; ++I) {
      BOOST_TEST(callAndWait(Base, Client, "GET").m_response.m_body == "mine");
      BOOST_TEST(Server.m_acceptedCount == I);
    }
  }
  event_base_free(Base);
}

BOOST_AUTO_TEST_CASE(a_response_that_never_ends_times_out_at_the_deadline) {
  event_base *Base = event_base_new();
  {
    RawServer Server(
        Base, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", false);
    Server.m_keepSending = true;
    HttpClient Client(Base, Server.m_endpoint, 1);
    CallResult Result =
        callAndWait(Base, Client, "GET", std::chrono::milliseconds(100));
    BOOST_TEST((Result.m_error == HttpError::TimedOut));
    BOOST_TEST(Client.inFlight() == 0u);
  }
  event_base_free(Base);
}

// A client that searched all it had received for the end of a line kept a line
// without end, and the processor, until the deadline.
BOOST_AUTO_TEST_CASE(a_response_without_end_is_given_up_before_the_deadline) {
  const std::string Filler(100'000, 'a');
  const std::string Field = "X-A: " + std::string(1000, 'a') + "\r\n";
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Endless {
    std::string m_begin;
    std::string m_repeated;
  };
  for (const Endless &Response : std::vector<Endless>{
           {Head + "X-A: ", Filler},
           {Head, Field},
           {"HTTP/1.1 200 ", Filler},
           {"", "HTTP/1.1 100 Continue\r\n\r\n"},
           {Head + "Content-Length: 900000000\r\n\r\n", Filler},
           {Chunked, "186a0\r\n" + Filler + "\r\n"},
           {Chunked + "5;", Filler},
           {Chunked + "0\r\n", Field}}) {
    event_base *Base = event_base_new();
    {
      RawServer Server(Base, Response.m_begin + Response.m_repeated, false);
      Server.m_keepSending = true;
      Server.m_repeatedBytes = Response.m_repeated;
      HttpClient Client(Base, Server.m_endpoint, 1);
      CallResult Result = callAndWait(Base, Client, "GET");
      BOOST_TEST_CONTEXT(Response.m_begin + Response.m_repeated.substr(0, 40)) {
        BOOST_TEST((Result.m_error == HttpError::Interrupted));
        BOOST_TEST(Result.m_response.m_body.empty());
      }
    }
    event_base_free(Base);
  }
}

BOOST_AUTO_TEST_CASE(clients_share_the_memory_for_responses) {
  constexpr std::size_t MaxMemory = 1 << 20;
  ResponseMemory Memory(MaxMemory);
  event_base *Base = event_base_new();
  {
    RawServer Server(
        Base, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", false);
    Server.m_keepSending = true;
    Server.m_repeatedBytes = std::string(10'000, 'a');
    HttpClient Client(Base, Server.m_endpoint, 1, &Memory);
    CallResult Result = callAndWait(Base, Client, "GET");
    BOOST_TEST((Result.m_error == HttpError::Interrupted));
    BOOST_TEST(Memory.totalBytes() == 0u);
  }
  event_base_free(Base);
}

// A callback that sends the next request may replace the client of an upstream
// whose address has changed.
BOOST_AUTO_TEST_CASE(a_callback_may_destroy_its_client) {
  for (const char *Response : {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                               "no response\r\n\r\n"}) {
    event_base *Base = event_base_new();
    {
      RawServer Server(Base, Response, true);
      auto Client = std::make_unique<HttpClient>(Base, Server.m_endpoint, 1);
      Client->call(HttpRequest{}, std::chrono::seconds(20),
                   [&](HttpError, HttpResponse &&) { Client.reset(); });
      while (Client)
        event_base_loop(Base, EVLOOP_ONCE);
      event_base_loop(Base, EVLOOP_NONBLOCK);
    }
    event_base_free(Base);
  }
}

BOOST_AUTO_TEST_CASE(an_ambiguous_request_is_not_well_formed) {
  auto IsWellFormed = [](const char *Method, std::vector<HttpHeader> Headers,
                         const char *Target = "/") {
    return wellFormed(HttpRequest{Method, Target, std::move(Headers), ""});
  };
  BOOST_TEST(IsWellFormed("POST", {{"Content-Length", "3"}, {"X-A", "b c"}}));
  BOOST_TEST(IsWellFormed("POST", {{"Transfer-Encoding", "Chunked"}}));
  BOOST_TEST(IsWellFormed("GET", {{"Content-Length", "0"}}));
  BOOST_TEST(!IsWellFormed("GET", {{"Content-Length", "3"}}));
  BOOST_TEST(!IsWellFormed(
      "POST", {{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}}));
  BOOST_TEST(!IsWellFormed("POST",
                           {{"Content-Length", "3"}, {"content-length", "3"}}));
  BOOST_TEST(!IsWellFormed("POST", {{"Content-Length", "+3"}}));
  BOOST_TEST(!IsWellFormed("POST", {{"Transfer-Encoding", "gzip, chunked"}}));
  BOOST_TEST(!IsWellFormed("POST", {{"Content-Length ", "3"}}));
  BOOST_TEST(!IsWellFormed("GET", {{"X-A", std::string("a\0b", 3)}}));
  BOOST_TEST(!IsWellFormed("GET", {}, "/a b"));
}
