#include "burdockpulley/trace.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace burdockpulley;

namespace {
const std::string TraceParent =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
} // namespace

BOOST_AUTO_TEST_CASE(traceparent_round_trip_and_child_span) {
  TraceContext Context;
  BOOST_REQUIRE(parseTraceParent(TraceParent, Context));
  BOOST_TEST(Context.m_sampled);
  BOOST_TEST(toTraceParent(Context) == TraceParent);
  Span Child = beginSpan(Context, "caller", Instant());
  BOOST_TEST(Child.m_context.m_traceId == Context.m_traceId);
  BOOST_TEST(Child.m_parentId == Context.m_spanId);
  BOOST_TEST(Child.m_context.m_spanId != Context.m_spanId);
}

BOOST_AUTO_TEST_CASE(invalid_traceparents_are_rejected) {
  std::string ZeroTrace = TraceParent;
  ZeroTrace.replace(3, 32, 32, '0');
  std::string UpperCase = TraceParent;
  UpperCase[4] = 'B';
  std::string ForbiddenVersion = "ff" + TraceParent.substr(2);
  for (const std::string &Text :
       {std::string(), TraceParent.substr(1), TraceParent + "-x", ZeroTrace,
        UpperCase, ForbiddenVersion, std::string(55, '-')}) {
    TraceContext Context;
    BOOST_TEST(!parseTraceParent(Text, Context), Text);
  }
}

BOOST_AUTO_TEST_CASE(buffer_keeps_failed_and_slow_spans_up_to_its_limit) {
  SpanBuffer Buffer(2);
  Span Unsampled = beginSpan(
      {std::string(32, 'a'), std::string(16, 'b'), false}, "plain", Instant());
  Buffer.record(Unsampled, Instant(Duration(999'999)));
  BOOST_TEST(Buffer.take().empty());
  Span Failed = Unsampled;
  Failed.m_failed = true;
  Buffer.record(Failed, Instant());
  Buffer.record(Unsampled, Instant(Duration(1'000'000)));
  Buffer.record(Failed, Instant(Duration(5)));
  BOOST_TEST(Buffer.dropped() == 1u);
  std::vector<Span> Spans = Buffer.take();
  BOOST_REQUIRE(Spans.size() == 2u);
  auto Export = nlohmann::json::parse(
      encodeOtlp(Spans, HostId("talca-1"), Duration(1'000'000)));
  auto First = Export["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  BOOST_TEST(First["endTimeUnixNano"] == "2000000000");
  BOOST_TEST(First["parentSpanId"] == std::string(16, 'b'));
}
