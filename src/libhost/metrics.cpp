#include "metrics.h"

#include <prometheus/text_serializer.h>

namespace burdockpulley {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 30};

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name,
                         const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

} // namespace

HostMetrics::HostMetrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("burdockpulley_requests_total")
                     .Help("Requests by service and outcome")
                     .Register(m_registry)),
      m_seconds(prometheus::BuildHistogram()
                    .Name("burdockpulley_request_seconds")
                    .Help("Time from a request's arrival to its answer")
                    .Register(m_registry)),
      m_storeCalls(prometheus::BuildCounter()
                       .Name("burdockpulley_store_calls_total")
                       .Help("Calls to the platform's store by result")
                       .Register(m_registry)),
      m_peerMessages(prometheus::BuildCounter()
                         .Name("burdockpulley_peer_messages_total")
                         .Help("Messages received from other hosts")
                         .Register(m_registry)
                         .Add({})),
      m_revision(gauge(m_registry, "burdockpulley_config_revision",
                       "Configuration in force on this host")),
      m_inFlight(gauge(m_registry, "burdockpulley_requests_in_flight",
                       "Callers' requests without an answer yet")),
      m_storeContactAge(gauge(m_registry,
                              "burdockpulley_store_contact_age_seconds",
                              "Time since the store answered; -1 is never")) {}

void HostMetrics::onRequestEnded(const ServiceId &Service,
                                 std::string_view Outcome, Duration Time) {
  m_requests
      .Add({{"service", Service.value()}, {"outcome", std::string(Outcome)}})
      .Increment();
  m_seconds.Add({{"service", Service.value()}}, LatencyBuckets)
      .Observe(std::chrono::duration<double>(Time).count());
}

void HostMetrics::onStoreCall(const char *Call, const char *Result) {
  m_storeCalls.Add({{"call", Call}, {"result", Result}}).Increment();
}

void HostMetrics::onPeerMessage() { m_peerMessages.Increment(); }

void HostMetrics::setRevision(Revision Number) {
  m_revision.Set(static_cast<double>(Number.value()));
}

void HostMetrics::setInFlight(std::size_t Requests) {
  m_inFlight.Set(static_cast<double>(Requests));
}

void HostMetrics::setStoreContactAge(double Seconds) {
  m_storeContactAge.Set(Seconds);
}

std::string HostMetrics::text() const {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace burdockpulley
