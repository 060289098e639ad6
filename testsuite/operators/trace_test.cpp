// A request through two hosts leaves one trace with a span for each hop.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <map>

using namespace burdockpulley;

namespace {

const std::string TraceId = "4bf92f3577b34da6a3ce929d0e0e4736";
const std::string CallerSpan = "00f067aa0ba902b7";

/// Takes what hosts export.
struct Collector {
  Collector()
      : m_base(event_base_new()),
        m_server(std::make_unique<HttpServer>(
            m_base, [this](HttpRequest &&Request, auto Responder) {
              take(Request.m_body);
              Responder->send({200, {}, "{}"});
            })) {
    m_address = {"127.0.0.1", m_server->listen({"127.0.0.1", 0})};
  }
  ~Collector() {
    m_server.reset();
    event_base_free(m_base);
  }

  void take(const std::string &Body) {
    m_text += Body;
    auto Export = nlohmann::json::parse(Body);
    for (auto &Span : Export["resourceSpans"][0]["scopeSpans"][0]["spans"])
      if (Span["traceId"] == TraceId)
        m_spans[Span["name"]] = Span;
  }

  event_base *m_base;
  std::unique_ptr<HttpServer> m_server;
  Endpoint m_address;
  std::map<std::string, nlohmann::json> m_spans;
  std::string m_text;
};

} // namespace

BOOST_AUTO_TEST_CASE(each_hop_has_its_span_under_the_one_before) {
  Collector Spans;
  std::string Address = toString(Spans.m_address);
  setenv("BURDOCKPULLEY_TRACE_ENDPOINT", Address.c_str(), 1);
  Deployment System;
  Declarations Set;
  Set.m_teams = {{TeamId("censo"), sha256Hex("secret")}};
  Set.m_domains = {{DomainId("curico"), "cl", {}},
                   {DomainId("talca"), "cl", {}}};
  Service Fee;
  Fee.m_name = ServiceId("fee");
  Fee.m_team = TeamId("censo");
  Set.m_services = {Fee};
  Set.m_routes = {{"fees", TeamId("censo"), "/fees", ServiceId("fee")}};
  Upstream Row;
  Row.m_name = UpstreamId("fee-1");
  Row.m_service = ServiceId("fee");
  Row.m_domain = DomainId("talca");
  System.startStore();
  System.startUpstream(Row, false);
  System.startHost("talca-1", "talca");
  auto &Entry = System.startHost("curico-1", "curico");
  unsetenv("BURDOCKPULLEY_TRACE_ENDPOINT");
  BOOST_REQUIRE(System.publish(Set));
  HttpRequest Request{
      "GET",
      "/fees/herd-xylo",
      {{"Authorization", "Bearer secret"},
       {"traceparent", "00-" + TraceId + "-" + CallerSpan + "-01"}},
      ""};
  BOOST_REQUIRE(waitUntil(
      [&] { return callOnce(Entry.m_callers, Request).m_status == 200; }));
  BOOST_REQUIRE(waitUntil([&] {
    event_base_loop(Spans.m_base, EVLOOP_NONBLOCK);
    return Spans.m_spans.size() == 3;
  }));
  auto &Hops = Spans.m_spans;
  BOOST_TEST(Hops["caller"]["parentSpanId"] == CallerSpan);
  BOOST_TEST(Hops["peer"]["parentSpanId"] == Hops["caller"]["spanId"]);
  BOOST_TEST(Hops["upstream"]["parentSpanId"] == Hops["peer"]["spanId"]);
  // Identifiers and times of spans, which are numbers, contain none of these.
  for (const char *Secret : {"xylo", "secret", "/fees"})
    BOOST_TEST(Spans.m_text.find(Secret) == std::string::npos, Secret);
}
