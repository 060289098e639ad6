#include "blocking_caller.h"
#include "burdockpulley/http.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace burdockpulley;

namespace {

struct EventLoop {
  event_base *m_base = event_base_new();
  ~EventLoop() { event_base_free(m_base); }

  template <class Condition> void runUntil(Condition Predicate) {
    while (!Predicate())
      event_base_loop(m_base, EVLOOP_ONCE);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_and_responses_are_transferred_unchanged) {
  EventLoop Loop;
  HttpServer Server(Loop.m_base, [](HttpRequest &&Request, auto Responder) {
    Responder->send(
        HttpResponse{201,
                     {{"X-Seen", Request.m_method + " " + Request.m_target}},
                     Request.m_body});
  });
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  BOOST_REQUIRE(Port != 0);
  HttpClient Client(Loop.m_base, {"127.0.0.1", Port}, 2);
  int ResponseCount = 0;
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
                  ++ResponseCount;
                });
  }
  Loop.runUntil([&] { return ResponseCount == 20; });
}

BOOST_AUTO_TEST_CASE(
    a_refused_connection_is_distinguished_from_a_lost_response) {
  EventLoop Loop;
  std::shared_ptr<HttpResponder> KeptResponder;
  HttpServer Server(Loop.m_base, [&](HttpRequest &&, auto Responder) {
    KeptResponder = Responder;
  });
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  HttpClient Client(Loop.m_base, {"127.0.0.1", Port}, 1);
  HttpError LateError = HttpError::None;
  Client.call(HttpRequest{}, Duration(50'000),
              [&](HttpError Error, HttpResponse &&) { LateError = Error; });
  Loop.runUntil([&] { return LateError != HttpError::None; });
  BOOST_TEST((LateError == HttpError::TimedOut));
  KeptResponder->send(HttpResponse{});
  Server.stopListening();
  event_base_loop(Loop.m_base, EVLOOP_NONBLOCK);
  HttpClient RefusedClient(Loop.m_base, {"127.0.0.1", Port}, 1);
  HttpError RefusedError = HttpError::None;
  RefusedClient.call(
      HttpRequest{}, Duration(1'000'000),
      [&](HttpError Error, HttpResponse &&) { RefusedError = Error; });
  Loop.runUntil([&] { return RefusedError != HttpError::None; });
  BOOST_TEST((RefusedError == HttpError::ConnectFailed));
}

// A keeper gave up a grant, and its kernel went on sending it.
BOOST_AUTO_TEST_CASE(a_call_that_is_given_up_resets_its_connection) {
  EventLoop Loop;
  RawServer Server(Loop.m_base, "", false);
  {
    HttpClient Client(Loop.m_base, Server.m_endpoint, 1);
    HttpError CallError = HttpError::None;
    Client.call(HttpRequest{}, Duration(50'000),
                [&](HttpError Error, HttpResponse &&) { CallError = Error; });
    Loop.runUntil([&] { return Server.m_endCount > 0; });
    BOOST_TEST((CallError == HttpError::TimedOut));
    BOOST_TEST(Server.m_receivedBytes > 0u);
  }
  BOOST_TEST(Server.m_resetCount == 1);
  Server.stop();
}

// The caller would take a body for the beginning of the next response.
BOOST_AUTO_TEST_CASE(
    a_response_that_ends_with_its_head_is_sent_by_a_server_without_body) {
  for (int Status : {200, 204, 304}) {
    EventLoop Loop;
    HttpServer Server(Loop.m_base, [&](HttpRequest &&Request, auto Responder) {
      bool IsFirst = Request.m_target == "/one";
      Responder->send(
          HttpResponse{IsFirst ? Status : 200, {}, Request.m_target});
    });
    BlockingCaller Caller(Server.listen({"127.0.0.1", 0}));
    std::string Method = Status == 200 ? "HEAD" : "GET";
    Caller.send(Method + " /one HTTP/1.1\r\nHost: x\r\n\r\n");
    Loop.runUntil([&] { return Caller.received("\r\n\r\n"); });
    Caller.send("GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
    Loop.runUntil([&] { return Caller.received("/two"); });
    BOOST_TEST(!Caller.received("/one"));
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_is_cut_at_any_byte_reaches_no_handler) {
  EventLoop Loop;
  int Handled = 0;
  HttpServer Server(Loop.m_base, [&](HttpRequest &&, auto Responder) {
    ++Handled;
    Responder->send(HttpResponse{});
  });
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  for (const std::string &Request : sampleRequests("/"))
    for (std::size_t Size = 0; Size <= Request.size(); ++Size) {
      BlockingCaller Caller(Port);
      Caller.send(Request.substr(0, Size));
      Caller.endInOrder();
      Loop.runUntil([&] { return Caller.ended(); });
      BOOST_TEST(Handled == (Size == Request.size() ? 1 : 0),
                 Request.substr(0, Size));
      Handled = 0;
    }
}

// A planned stop reset connections that were established but not accepted yet.
BOOST_AUTO_TEST_CASE(a_server_that_stops_serves_connections_not_accepted_yet) {
  EventLoop Loop;
  HttpServer Server(Loop.m_base, [](HttpRequest &&Request, auto Responder) {
    Responder->send(HttpResponse{200, {}, Request.m_target});
  });
  std::uint16_t Port = Server.listen({"127.0.0.1", 0});
  std::vector<std::unique_ptr<BlockingCaller>> Callers;
  for (int Count = 0; Count < 8; ++Count) {
    Callers.push_back(std::make_unique<BlockingCaller>(Port));
    Callers.back()->send("GET /new HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  Server.stopListening();
  for (auto &Caller : Callers)
    Loop.runUntil([&] { return Caller->received("/new"); });
}
