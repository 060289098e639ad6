#include "trace_exporter.h"

namespace burdockpulley {

namespace {

constexpr std::size_t MaxSpans = 4096;
constexpr Duration ExportInterval{1'000'000};
constexpr Duration ExportTimeout{2'000'000};

/// Wall-clock time of Instant zero.
Duration epoch(Instant Now) {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(Wall) - Now.time_since_epoch();
}

} // namespace

TraceExporter::TraceExporter(event_base *Base, HostId Host,
                             const Endpoint &Collector)
    : m_host(std::move(Host)), m_buffer(MaxSpans), m_client(Base, Collector, 1),
      m_timer(Base, ExportInterval, [this](Instant Now) { send(Now); }) {}

void TraceExporter::send(Instant Now) {
  if (m_client.inFlight() != 0)
    return;
  std::vector<Span> Spans = m_buffer.take();
  if (Spans.empty())
    return;
  HttpRequest Request{"POST",
                      "/v1/traces",
                      {{"Content-Type", "application/json"}},
                      encodeOtlp(Spans, m_host, epoch(Now))};
  m_client.call(std::move(Request), ExportTimeout,
                [](HttpError, HttpResponse &&) {});
}

} // namespace burdockpulley
