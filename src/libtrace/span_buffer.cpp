#include "burdockpulley/trace.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr Duration SlowSpan{1'000'000};
constexpr int ServerSpan = 2; // SPAN_KIND_SERVER of OTLP.
constexpr int ErrorStatus = 2;

json attribute(const char *Key, const std::string &Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

std::string nanoseconds(Instant Time, Duration Epoch) {
  return std::to_string((Time.time_since_epoch() + Epoch).count()) + "000";
}

json toJson(const Span &Each, Duration Epoch) {
  json Object = {{"traceId", Each.m_context.m_traceId},
                 {"spanId", Each.m_context.m_spanId},
                 {"name", Each.m_name},
                 {"kind", ServerSpan},
                 {"startTimeUnixNano", nanoseconds(Each.m_start, Epoch)},
                 {"endTimeUnixNano", nanoseconds(Each.m_end, Epoch)},
                 {"attributes",
                  {attribute("burdockpulley.service", Each.m_service),
                   attribute("burdockpulley.outcome", Each.m_outcome)}}};
  if (!Each.m_parentId.empty())
    Object["parentSpanId"] = Each.m_parentId;
  if (Each.m_failed)
    Object["status"] = {{"code", ErrorStatus}};
  return Object;
}

} // namespace

void SpanBuffer::record(Span Finished, Instant Now) {
  Finished.m_end = Now;
  bool Slow = Finished.m_end - Finished.m_start >= SlowSpan;
  if (!Finished.m_context.m_sampled && !Finished.m_failed && !Slow)
    return;
  if (m_spans.size() == m_limit) {
    m_spans.pop_front();
    ++m_dropped;
  }
  m_spans.push_back(std::move(Finished));
}

std::vector<Span> SpanBuffer::take() {
  std::vector<Span> Taken(std::make_move_iterator(m_spans.begin()),
                          std::make_move_iterator(m_spans.end()));
  m_spans.clear();
  return Taken;
}

std::string encodeOtlp(const std::vector<Span> &Spans, const HostId &Host,
                       Duration Epoch) {
  json List = json::array();
  for (const Span &Each : Spans)
    List.push_back(toJson(Each, Epoch));
  json Resource = {{"attributes",
                    {attribute("service.name", "burdockpulley"),
                     attribute("host.name", Host.value())}}};
  json Scope = {{"scope", {{"name", "burdockpulley"}}}, {"spans", List}};
  return json{
      {"resourceSpans", {{{"resource", Resource}, {"scopeSpans", {Scope}}}}}}
      .dump();
}

} // namespace burdockpulley
