#ifndef BURDOCKPULLEY_TRACE_H
#define BURDOCKPULLEY_TRACE_H

#include "burdockpulley/types.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// Identifies a span within its trace, as defined by W3C Trace Context.
struct TraceContext {
  std::string m_traceId; ///< 32 hexadecimal digits; empty without a trace.
  std::string m_spanId;  ///< 16 hexadecimal digits.
  bool m_sampled = false;
};

/// Parses a traceparent header. Returns false, and leaves \p Context unchanged,
/// when the header is not valid.
/// Thread safety: safe.
bool parseTraceParent(std::string_view Text, TraceContext &Context);
/// Formats a traceparent header.
/// Thread safety: safe.
std::string toTraceParent(const TraceContext &Context);

/// One hop of a request. It must not contain keys, paths or credentials.
struct Span {
  TraceContext m_context;
  std::string m_parentId; ///< Span id of the parent; empty at the root.
  std::string m_name;
  std::string m_service;
  std::string m_outcome;
  bool m_failed = false;
  Instant m_start;
  Instant m_end;
};

/// Begins a span as a child of \p Parent, or begins a new trace when \p Parent
/// has no trace id. One in TracesPerSample new traces is sampled.
/// Thread safety: safe.
Span beginSpan(const TraceContext &Parent, std::string Name, Instant Now);

/// Records finished spans.
/// Thread safety: not safe; used only from the event loop's thread.
class Tracer {
public:
  virtual ~Tracer() = default;

  /// Records a span that ended at \p Now.
  virtual void record(Span FinishedSpan, Instant Now) = 0;
};

/// Stores spans for export: those that are sampled, have failed or took one
/// second or longer. When the buffer is full, the oldest span is dropped.
/// Thread safety: not safe; used only from the event loop's thread.
class SpanBuffer : public Tracer {
public:
  explicit SpanBuffer(std::size_t Limit) : m_limit(Limit) {}

  void record(Span FinishedSpan, Instant Now) override;

  /// Removes and returns all spans, oldest first.
  std::vector<Span> take();

  /// Number of spans dropped because the buffer was full.
  std::uint64_t dropped() const { return m_dropped; }

private:
  std::size_t m_limit;
  std::deque<Span> m_spans;
  std::uint64_t m_dropped = 0;
};

/// Encodes spans as an OTLP/JSON export request. \p Epoch is the wall-clock
/// time of Instant zero, in microseconds since 1970.
/// Thread safety: safe.
std::string encodeOtlp(const std::vector<Span> &Spans, const HostId &Host,
                       Duration Epoch);

} // namespace burdockpulley

#endif
