#include "burdockpulley/trace.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace burdockpulley;

namespace {
const std::string Parent =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
} // namespace

BOOST_AUTO_TEST_CASE(a_traceparent_is_read_and_written) {
  TraceContext Context;
  BOOST_REQUIRE(parseTraceParent(Parent, Context));
  BOOST_TEST(Context.m_sampled);
  BOOST_TEST(toTraceParent(Context) == Parent);
  Span Child = beginSpan(Context, "caller", Instant());
  BOOST_TEST(Child.m_context.m_traceId == Context.m_traceId);
  BOOST_TEST(Child.m_parentId == Context.m_spanId);
  BOOST_TEST(Child.m_context.m_spanId != Context.m_spanId);
}

BOOST_AUTO_TEST_CASE(what_is_not_a_traceparent_is_refused) {
  std::string ZeroTrace = Parent;
  ZeroTrace.replace(3, 32, 32, '0');
  std::string Upper = Parent;
  Upper[4] = 'B';
  std::string Forbidden = "ff" + Parent.substr(2);
  for (const std::string &Text :
       {std::string(), Parent.substr(1), Parent + "-x", ZeroTrace, Upper,
        Forbidden, std::string(55, '-')}) {
    TraceContext Context;
    BOOST_TEST(!parseTraceParent(Text, Context), Text);
  }
}

BOOST_AUTO_TEST_CASE(errors_and_slow_spans_are_kept_and_the_buffer_is_bounded) {
  SpanBuffer Buffer(2);
  Span Plain = beginSpan({std::string(32, 'a'), std::string(16, 'b'), false},
                         "plain", Instant());
  Buffer.record(Plain, Instant(Duration(999'999)));
  BOOST_TEST(Buffer.take().empty());
  Span Failed = Plain;
  Failed.m_failed = true;
  Buffer.record(Failed, Instant());
  Buffer.record(Plain, Instant(Duration(1'000'000)));
  Buffer.record(Failed, Instant(Duration(5)));
  BOOST_TEST(Buffer.dropped() == 1u);
  std::vector<Span> Kept = Buffer.take();
  BOOST_REQUIRE(Kept.size() == 2u);
  auto Export = nlohmann::json::parse(
      encodeOtlp(Kept, HostId("talca-1"), Duration(1'000'000)));
  auto First = Export["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  BOOST_TEST(First["endTimeUnixNano"] == "2000000000");
  BOOST_TEST(First["parentSpanId"] == std::string(16, 'b'));
}
