#include "burdockpulley/http.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace burdockpulley;

namespace {

struct Loop {
  event_base *m_base = event_base_new();
  ~Loop() { event_base_free(m_base); }

  template <class Condition> void runUntil(Condition Done) {
    while (!Done())
      event_base_loop(m_base, EVLOOP_ONCE);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(
    a_request_reaches_the_server_whole_and_so_does_its_answer) {
  Loop Loop;
  HttpServer Server(Loop.m_base, [](HttpRequest &&Request, auto Responder) {
    Responder->send(
        HttpResponse{201,
                     {{"X-Seen", Request.m_method + " " + Request.m_target}},
                     Request.m_body});
  });
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  BOOST_REQUIRE(Port != 0);
  HttpClient Client(Loop.m_base, {"127.0.0.1", Port}, 2);
  int Answers = 0;
  for (int I = 0; I < 20; ++I) {
    std::string Body(I * 1000, 'x');
    Client.call(HttpRequest{"POST", "/a?b=" + std::to_string(I), {}, Body},
                Duration(5'000'000),
                [&, I, Body](HttpError Error, HttpResponse &&Response) {
                  BOOST_TEST((Error == HttpError::None));
                  BOOST_TEST(Response.m_status == 201);
                  BOOST_TEST(Response.m_body == Body);
                  BOOST_TEST(Response.header("x-seen") ==
                             "POST /a?b=" + std::to_string(I));
                  ++Answers;
                });
  }
  Loop.runUntil([&] { return Answers == 20; });
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_told_from_a_lost_answer) {
  Loop Loop;
  std::shared_ptr<HttpResponder> Kept;
  HttpServer Server(Loop.m_base,
                    [&](HttpRequest &&, auto Responder) { Kept = Responder; });
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  HttpClient Client(Loop.m_base, {"127.0.0.1", Port}, 1);
  HttpError Late = HttpError::None;
  Client.call(HttpRequest{}, Duration(50'000),
              [&](HttpError Error, HttpResponse &&) { Late = Error; });
  Loop.runUntil([&] { return Late != HttpError::None; });
  BOOST_TEST((Late == HttpError::TimedOut));
  Kept->send(HttpResponse{});
  Server.stopListening();
  HttpClient Fresh(Loop.m_base, {"127.0.0.1", Port}, 1);
  HttpError Refused = HttpError::None;
  Fresh.call(HttpRequest{}, Duration(1'000'000),
             [&](HttpError Error, HttpResponse &&) { Refused = Error; });
  Loop.runUntil([&] { return Refused != HttpError::None; });
  BOOST_TEST((Refused == HttpError::ConnectFailed));
}
