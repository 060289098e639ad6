#ifndef BURDOCKPULLEY_TRACE_H
#define BURDOCKPULLEY_TRACE_H

#include "burdockpulley/types.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// Place of a span in its trace, as W3C Trace Context has it.
struct TraceContext {
  std::string m_traceId; ///< 32 hexadecimal digits; empty for no trace.
  std::string m_spanId;  ///< 16 hexadecimal digits.
  bool m_sampled = false;
};

/// Reads a traceparent header; false when it is not a valid one.
/// Thread safety: safe.
bool parseTraceParent(std::string_view Text, TraceContext &Context);
/// Writes a traceparent header. Thread safety: safe.
std::string toTraceParent(const TraceContext &Context);

/// One hop of a request. It carries no key, path or credentials.
struct Span {
  TraceContext m_context;
  std::string m_parentId; ///< Empty at the root of a trace.
  std::string m_name;
  std::string m_service;
  std::string m_outcome;
  bool m_failed = false;
  Instant m_start;
  Instant m_end;
};

/// Begins a span under a parent, or a new trace when \p Parent has none; one
/// new trace in SampleEvery is sampled.
/// Thread safety: safe.
Span beginSpan(const TraceContext &Parent, std::string Name, Instant Now);

/// Takes finished spans.
/// Thread safety: none; it belongs to the loop's thread.
class Tracer {
public:
  virtual ~Tracer() = default;

  /// Takes a span that has ended at \p Now.
  virtual void record(Span Finished, Instant Now) = 0;
};

/// Keeps the spans that are sampled, and every one that failed or was slow,
/// until they are taken. When it is full the oldest goes.
/// Thread safety: none; it belongs to the loop's thread.
class SpanBuffer : public Tracer {
public:
  explicit SpanBuffer(std::size_t Limit) : m_limit(Limit) {}

  void record(Span Finished, Instant Now) override;

  /// Takes all spans out, oldest first.
  std::vector<Span> take();

  /// Spans that went because the buffer was full.
  std::uint64_t dropped() const { return m_dropped; }

private:
  std::size_t m_limit;
  std::deque<Span> m_spans;
  std::uint64_t m_dropped = 0;
};

/// Writes spans as an OTLP/JSON export request. \p Epoch is the wall-clock
/// time of Instant zero, since 1970.
/// Thread safety: safe.
std::string encodeOtlp(const std::vector<Span> &Spans, const HostId &Host,
                       Duration Epoch);

} // namespace burdockpulley

#endif
