#include "burdockpulley/http.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <csignal>
#include <optional>

using namespace burdockpulley;

namespace {

struct Outcome {
  HttpError m_error;
  HttpResponse m_response;
};

Outcome callOn(event_base *Base, HttpClient &Client, const char *Method,
               Duration Timeout = std::chrono::seconds(20),
               HttpClient::Reuse Reuse = HttpClient::Reuse::Any) {
  std::optional<Outcome> Result;
  Client.call(
      HttpRequest{Method, "/", {}, ""}, Timeout,
      [&](HttpError Error, HttpResponse &&Response) {
        Result = Outcome{Error, std::move(Response)};
      },
      Reuse);
  while (!Result)
    event_base_loop(Base, EVLOOP_ONCE);
  return *Result;
}

struct RawCase {
  const char *m_name;
  std::string m_answer;
  bool m_whole;
  const char *m_method = "GET";
};

const std::vector<RawCase> Cases = {
    {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
    {"short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
    {"two lengths",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 9\r\n\r\nok",
     false},
    {"no framing", "HTTP/1.1 200 OK\r\n\r\nok", false},
    {"headers cut", "HTTP/1.1 200 OK\r\nContent-Le", false},
    {"chunked",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     true},
    {"chunk cut",
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
    {"nothing", "", false},
};

/// A server may write to a connection that the client has closed.
struct NoPipeSignal {
  NoPipeSignal() { std::signal(SIGPIPE, SIG_IGN); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(NoPipeSignal);

BOOST_AUTO_TEST_CASE(only_a_whole_answer_is_handed_over) {
  for (const RawCase &Each : Cases) {
    event_base *Base = event_base_new();
    {
      RawServer Server(Base, Each.m_answer, true);
      if (Each.m_answer.empty())
        Server.m_answer = " ";
      HttpClient Client(Base, Server.m_endpoint, 1);
      Outcome Result = callOn(Base, Client, Each.m_method);
      HttpError Expected =
          Each.m_whole ? HttpError::None : HttpError::Interrupted;
      BOOST_TEST_CONTEXT(Each.m_name) {
        BOOST_TEST((Result.m_error == Expected));
        BOOST_TEST((Each.m_whole || Result.m_response.m_body.empty()));
      }
    }
    event_base_free(Base);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_that_nobody_asked_for_is_never_handed_over) {
  event_base *Base = event_base_new();
  {
    std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    RawServer Server(Base, Answer + "mine" + Answer + "late", false);
    HttpClient Client(Base, Server.m_endpoint, 1);
    for (int I = 1; I <= 3; ++I) {
      BOOST_TEST(callOn(Base, Client, "GET").m_response.m_body == "mine");
      BOOST_TEST(Server.m_accepted == I);
    }
  }
  event_base_free(Base);
}

BOOST_AUTO_TEST_CASE(a_server_that_dribbles_is_cut_at_the_deadline) {
  event_base *Base = event_base_new();
  {
    RawServer Server(
        Base, "HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n", false);
    Server.m_dribble = true;
    HttpClient Client(Base, Server.m_endpoint, 1);
    Outcome Result =
        callOn(Base, Client, "GET", std::chrono::milliseconds(100));
    BOOST_TEST((Result.m_error == HttpError::TimedOut));
    BOOST_TEST(Client.inFlight() == 0u);
  }
  event_base_free(Base);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_can_be_read_in_two_ways_is_not_well_formed) {
  auto Check = [](const char *Method, std::vector<HttpHeader> Headers,
                  const char *Target = "/") {
    return wellFormed(HttpRequest{Method, Target, std::move(Headers), ""});
  };
  BOOST_TEST(Check("POST", {{"Content-Length", "3"}, {"X-A", "b c"}}));
  BOOST_TEST(Check("POST", {{"Transfer-Encoding", "Chunked"}}));
  BOOST_TEST(Check("GET", {{"Content-Length", "0"}}));
  BOOST_TEST(!Check("GET", {{"Content-Length", "3"}}));
  BOOST_TEST(!Check(
      "POST", {{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}}));
  BOOST_TEST(
      !Check("POST", {{"Content-Length", "3"}, {"content-length", "3"}}));
  BOOST_TEST(!Check("POST", {{"Content-Length", "+3"}}));
  BOOST_TEST(!Check("POST", {{"Transfer-Encoding", "gzip, chunked"}}));
  BOOST_TEST(!Check("POST", {{"Content-Length ", "3"}}));
  BOOST_TEST(!Check("GET", {{"X-A", std::string("a\0b", 3)}}));
  BOOST_TEST(!Check("GET", {}, "/a b"));
}
