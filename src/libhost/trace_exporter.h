#ifndef BURDOCKPULLEY_LIBHOST_TRACE_EXPORTER_H
#define BURDOCKPULLEY_LIBHOST_TRACE_EXPORTER_H

#include "burdockpulley/http.h"
#include "burdockpulley/repeating_timer.h"
#include "burdockpulley/trace.h"

namespace burdockpulley {

/// Sends the spans that were kept to an OTLP/HTTP endpoint, from time to time.
/// A batch that is not taken is lost.
///
/// Thread safety: none; it belongs to the loop's thread.
class TraceExporter {
public:
  /// Precondition: \p Base outlives the exporter.
  TraceExporter(event_base *Base, HostId Host, const Endpoint &Collector);

  Tracer &tracer() { return m_buffer; }

private:
  void send(Instant Now);

  HostId m_host;
  SpanBuffer m_buffer;
  HttpClient m_client;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
