#ifndef BURDOCKPULLEY_LIBHOST_METRICS_H
#define BURDOCKPULLEY_LIBHOST_METRICS_H

#include "burdockpulley/types.h"
#include "request_observer.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace burdockpulley {

/// The counters of one host. No label carries a key, a path or a caller.
/// Thread safety: none; it belongs to the loop's thread.
class HostMetrics : public RequestObserver {
public:
  HostMetrics();

  void onRequestEnded(const ServiceId &Service, std::string_view Outcome,
                      Duration Time) override;

  /// A call to the store has ended. \p Call and \p Result are fixed words.
  void onStoreCall(const char *Call, const char *Result);

  /// A message of another host has come.
  void onPeerMessage();

  void setRevision(Revision Number);
  void setInFlight(std::size_t Requests);
  /// Negative when the store has never answered.
  void setStoreContactAge(double Seconds);

  /// All values in the text form that Prometheus reads.
  std::string text() const;

private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter> &m_requests;
  prometheus::Family<prometheus::Histogram> &m_seconds;
  prometheus::Family<prometheus::Counter> &m_storeCalls;
  prometheus::Counter &m_peerMessages;
  prometheus::Gauge &m_revision;
  prometheus::Gauge &m_inFlight;
  prometheus::Gauge &m_storeContactAge;
};

} // namespace burdockpulley

#endif
