#include "burdockpulley/trace.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr Duration SlowSpanThreshold{1'000'000};
constexpr int SpanKindServer = 2;  ///< SPAN_KIND_SERVER of OTLP.
constexpr int StatusCodeError = 2; ///< STATUS_CODE_ERROR of OTLP.

json attribute(const char *Key, const std::string &Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

/// OTLP/JSON has 64-bit integers as strings.
std::string unixNanoseconds(Instant Time, Duration Epoch) {
  return std::to_string((Time.time_since_epoch() + Epoch).count()) + "000";
}

json toJson(const Span &FinishedSpan, Duration Epoch) {
  json Object = {
      {"traceId", FinishedSpan.m_context.m_traceId},
      {"spanId", FinishedSpan.m_context.m_spanId},
      {"name", FinishedSpan.m_name},
      {"kind", SpanKindServer},
      {"startTimeUnixNano", unixNanoseconds(FinishedSpan.m_start, Epoch)},
      {"endTimeUnixNano", unixNanoseconds(FinishedSpan.m_end, Epoch)},
      {"attributes",
       {attribute("burdockpulley.service", FinishedSpan.m_service),
        attribute("burdockpulley.outcome", FinishedSpan.m_outcome)}}};
  if (!FinishedSpan.m_parentId.empty())
    Object["parentSpanId"] = FinishedSpan.m_parentId;
  if (FinishedSpan.m_failed)
    Object["status"] = {{"code", StatusCodeError}};
  return Object;
}

} // namespace

void SpanBuffer::record(Span FinishedSpan, Instant Now) {
  FinishedSpan.m_end = Now;
  bool Slow = FinishedSpan.m_end - FinishedSpan.m_start >= SlowSpanThreshold;
  if (!FinishedSpan.m_context.m_sampled && !FinishedSpan.m_failed && !Slow)
    return;
  if (m_spans.size() == m_limit) {
    m_spans.pop_front();
    ++m_dropped;
  }
  m_spans.push_back(std::move(FinishedSpan));
}

std::vector<Span> SpanBuffer::take() {
  std::vector<Span> Taken(std::make_move_iterator(m_spans.begin()),
                          std::make_move_iterator(m_spans.end()));
  m_spans.clear();
  return Taken;
}

std::string encodeOtlp(const std::vector<Span> &Spans, const HostId &Host,
                       Duration Epoch) {
  json EncodedSpans = json::array();
  for (const Span &FinishedSpan : Spans)
    EncodedSpans.push_back(toJson(FinishedSpan, Epoch));
  json Resource = {{"attributes",
                    {attribute("service.name", "burdockpulley"),
                     attribute("host.name", Host.value())}}};
  json Scope = {{"scope", {{"name", "burdockpulley"}}},
                {"spans", EncodedSpans}};
  return json{
      {"resourceSpans", {{{"resource", Resource}, {"scopeSpans", {Scope}}}}}}
      .dump();
}

} // namespace burdockpulley
